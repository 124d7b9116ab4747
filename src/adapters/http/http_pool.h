/** @file
 * Pool of neon connections with sub-second deadlines.
 *
 * neon's timeouts are in whole seconds and neon hides the socket, so each connection has its own
 * thread; the caller waits on a condition variable and abandons the connection at the deadline.
 * The thread of an abandoned connection discards the reply and ends at neon's read timeout. If it
 * still runs after that, because neon blocks in a send or the reply arrives byte by byte, it is
 * cancelled. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgHttpPool GgHttpPool;

typedef struct
{
  uint32_t max_idle_per_address;
  uint32_t idle_timeout_ms; /**< A connection idle for longer is not reused. */
  uint32_t max_age_ms;      /**< A connection older than this is not reused. */
  uint32_t read_timeout_s;  /**< Limit for connecting, and for each read unless the call's deadline
                               is  later. The thread of an abandoned connection is cancelled if it
                                 still runs this long, plus up to 250 ms, after the deadline. */
  size_t max_reply_bytes;
} GgHttpPoolLimits;

#define GG_HTTP_POOL_LIMITS_DEFAULT                                                                \
  {                                                                                                \
    .max_idle_per_address = 64, .idle_timeout_ms = 5000, .max_age_ms = 60000, .read_timeout_s = 5, \
    .max_reply_bytes = 4 * 1024 * 1024                                                             \
  }

GgHttpPool *gg_http_pool_create (const GgHttpPoolLimits *limits);

/** Closes idle connections. The threads of abandoned connections end on their own. */
void gg_http_pool_destroy (GgHttpPool *self);

typedef enum
{
  GG_HTTP_OK,       /**< A complete reply of any status. */
  GG_HTTP_NOT_SENT, /**< No byte was sent and none will be: no connection was established,
                         or the request is malformed. */
  GG_HTTP_IN_DOUBT, /**< Sent at least in part; no complete reply by the deadline. */
} GgHttpResult;

typedef struct
{
  const char *method;
  const char *path;
  const char *const *headers; /**< Name, value, name, value, ..., NULL; may be NULL. */
  const char *body;           /**< May be NULL. */
  size_t body_size_bytes;
  gboolean may_repeat; /**< FALSE: sent at most once, on a fresh connection. TRUE: may be
                            sent again if a reused connection fails. */
} GgHttpRequest;

typedef struct
{
  uint32_t status;
  char *body; /**< NUL-terminated. */
  size_t body_size_bytes;
  GHashTable *headers;           /**< Lower-case name to value. */
  gboolean connection_was_fresh; /**< Set for every result. */
  gboolean was_repeated;         /**< Set for every result: the request was sent again after a
                                      reused connection failed; the first copy may have run. */
} GgHttpReply;

void gg_http_reply_clear (GgHttpReply *self);

/** Makes one call to "IP:PORT"; returns by @p deadline_ms (monotonic).
 * @param reply_out set for every result; freed by the caller with gg_http_reply_clear(). */
GgHttpResult gg_http_pool_call (GgHttpPool *self,
                                const char *address,
                                const GgHttpRequest *request,
                                uint64_t deadline_ms,
                                GgHttpReply *reply_out);

/** Makes a GET call that may be sent twice: if a reused connection gives no reply within half of
 * the time, the call is repeated on a fresh connection in the remaining time.
 * @param reply_out as for gg_http_pool_call(). */
GgHttpResult gg_http_pool_read (GgHttpPool *self,
                                const char *address,
                                const char *path,
                                uint64_t deadline_ms,
                                GgHttpReply *reply_out);

/** Starts a call without waiting for its result. The call ends at the latest at @p deadline_ms plus
 * the read timeout. */
void gg_http_pool_send (GgHttpPool *self,
                        const char *address,
                        const GgHttpRequest *request,
                        uint64_t deadline_ms);

/** Closes all idle connections to @p address, after one of them stopped responding or returned the
 * reply to another call. */
void gg_http_pool_discard (GgHttpPool *self, const char *address);
