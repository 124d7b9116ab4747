/** @file
 * HTTP calls for tests, and an incremental reader of server-sent events. */
#pragma once

#include "adapters/http/http_pool.h"

/** Makes one call on a new connection.
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
  GG_EVENT_READ,      /**< An event was read. */
  GG_EVENT_ENDED,     /**< The reply is complete. */
  GG_EVENT_TRUNCATED, /**< The connection was closed or reset before the end of the reply. */
  GG_EVENT_TIMEOUT,   /**< No event arrived in time; the stream is still open. */
} GgEventResult;

/** Sends a request over a plain socket and reads the response header.
 * @return NULL if the connection failed or no header arrived within 10 s. */
GgEventStream *gg_event_stream_open (const char *method,
                                     const char *address,
                                     const char *path,
                                     const char *const *headers,
                                     const char *body);

/** Closes the connection, even if the stream has not ended; @p self may be NULL. */
void gg_event_stream_close (GgEventStream *self);

unsigned gg_event_stream_get_status (const GgEventStream *self);

/** Returns the value of a response header, or NULL. */
const char *gg_event_stream_get_header (const GgEventStream *self, const char *name);

/** Reads the next event; @p event_out is set only for GG_EVENT_READ. */
GgEventResult gg_event_stream_next (GgEventStream *self, uint64_t timeout_ms, GgEvent *event_out);
