/** @file
 * HTTP server shared by the fakes of the platform: options, request bodies, replies. */
#pragma once

#include <glib.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>

typedef struct
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  const char *body; /**< NUL-terminated. */
  size_t body_size_bytes;
} GgFakeCall;

typedef struct
{
  unsigned status;    /**< 200 unless changed. */
  char *body;         /**< Freed after sending; NULL for an empty body. */
  guint64 index;      /**< Sent as X-Consul-Index if above 0. */
  gboolean is_closed; /**< Close the connection without a reply. */
} GgFakeReply;

/** Runs on the connection's thread and may block. */
typedef void (*GgFakeHandler) (void *state, const GgFakeCall *call, GgFakeReply *reply);

/** Must make blocked handlers return; called once before the server stops. */
typedef void (*GgFakeStop) (void *state);

/** Returns the value of a query argument, "" if it has no value, NULL if it is absent. */
const char *gg_fake_call_get_argument (const GgFakeCall *call, const char *name);

gboolean gg_fake_call_is (const GgFakeCall *call, const char *method, const char *path);

/** Sets a status with a one-line body. */
void gg_fake_reply_set (GgFakeReply *reply, unsigned status, const char *text);

/** Parses the body as a JSON object.
 * @return NULL, with @p reply set to 400, if it is not one. */
JsonNode *gg_fake_parse_object (const GgFakeCall *call, GgFakeReply *reply);

/** Reads an integer or boolean member; returns @p fallback if it is absent. */
gint64 gg_fake_get_int (JsonNode *object, const char *name, gint64 fallback);

/** Serves "--listen IP:PORT" until SIGTERM or SIGINT.
 * @param stop may be NULL.
 * @return the exit status of the program. */
int gg_fake_http_run (int argc,
                      char **argv,
                      const char *summary,
                      GgFakeHandler handler,
                      GgFakeStop stop,
                      void *state);
