/** @file
 * HTTP calls of tests, and a reader of server-sent events that sees each event as it arrives. */
#pragma once

#include "adapters/http/http_pool.h"

/** Makes one call on a fresh connection.
 * @param headers name, value, ..., NULL; may be NULL.
 * @param reply_out cleared by the caller with gg_http_reply_clear(); zeroed unless GG_HTTP_OK. */
GgHttpResult gg_test_call (const char *method,
                           const char *address,
                           const char *path,
                           const char *const *headers,
                           const char *body,
                           GgHttpReply *reply_out);

/** Returns the body of a reply of status 200, owned by the caller, or NULL. */
char *gg_test_get (const char *address, const char *path);

/** Returns whether the reply has status 200. */
gboolean gg_test_send (const char *method, const char *address, const char *path, const char *body);

typedef struct _GgEventStream GgEventStream;

typedef struct
{
  char *id;   /**< NULL if absent, as below. */
  char *name; /**< Field "event". */
  char *data;
} GgEvent;

void gg_event_clear (GgEvent *self);

typedef enum
{
  GG_EVENT_READ,
  GG_EVENT_ENDED,   /**< The reply is over. */
  GG_EVENT_CUT,     /**< The connection was closed or reset before the end of the reply. */
  GG_EVENT_TIMEOUT, /**< Nothing came in time; the stream goes on. */
} GgEventResult;

/** Sends a request over a plain socket and reads the response header.
 * @return NULL if there was none by the time limit of a call. */
GgEventStream *gg_event_stream_open (const char *method,
                                     const char *address,
                                     const char *path,
                                     const char *const *headers,
                                     const char *body);

/** Closes the connection, also in the middle of the stream; @p self may be NULL. */
void gg_event_stream_close (GgEventStream *self);

unsigned gg_event_stream_get_status (const GgEventStream *self);

/** Value of a response header or NULL. */
const char *gg_event_stream_get_header (const GgEventStream *self, const char *name);

/** Reads the next event; @p event_out is set only for GG_EVENT_READ. */
GgEventResult gg_event_stream_next (GgEventStream *self, uint64_t timeout_ms, GgEvent *event_out);
