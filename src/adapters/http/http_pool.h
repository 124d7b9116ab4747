/** @file
 * Pool of neon connections with sub-second deadlines.
 *
 * neon's timeouts are whole seconds and neon hides the socket, so each connection has its own
 * thread; the caller waits on a condition variable and abandons the connection at the deadline.
 * An abandoned connection's thread discards its reply and ends at neon's read timeout; one that
 * still runs later, since neon blocks in a send or the reply comes byte by byte, is cancelled. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgHttpPool GgHttpPool;

typedef struct
{
  uint32_t max_idle_per_address;
  uint32_t idle_timeout_ms; /**< A kept connection idle for longer is not used again. */
  uint32_t max_age_ms;      /**< A connection older than this is not used again. */
  uint32_t read_timeout_s;  /**< Bound of connecting and, with 250 ms added, of the thread of an
                                 abandoned connection, counted from the deadline. */
  size_t max_reply_bytes;
} GgHttpPoolLimits;

#define GG_HTTP_POOL_LIMITS_DEFAULT                                                                \
  {                                                                                                \
    .max_idle_per_address = 64, .idle_timeout_ms = 5000, .max_age_ms = 60000, .read_timeout_s = 5, \
    .max_reply_bytes = 4 * 1024 * 1024                                                             \
  }

GgHttpPool *gg_http_pool_create (const GgHttpPoolLimits *limits);

/** Ends idle connections; abandoned threads end by themselves. */
void gg_http_pool_destroy (GgHttpPool *self);

typedef enum
{
  GG_HTTP_OK,       /**< A whole reply of any status. */
  GG_HTTP_NOT_SENT, /**< No byte was sent and none will be: no connection could be made, or
                         the request is malformed. */
  GG_HTTP_IN_DOUBT, /**< Sent at least in part, no whole reply by the deadline. */
} GgHttpResult;

typedef struct
{
  const char *method;
  const char *path;
  const char *const *headers; /**< Name, value, name, value, ..., NULL; may be NULL. */
  const char *body;           /**< May be NULL. */
  size_t body_size_bytes;
  gboolean may_repeat; /**< FALSE: goes out at most once, on a fresh connection. TRUE: may go
                            out a second time if a kept connection fails. */
} GgHttpRequest;

typedef struct
{
  uint32_t status;
  char *body; /**< NUL-terminated. */
  size_t body_size_bytes;
  GHashTable *headers;           /**< Lower-case name to value. */
  gboolean connection_was_fresh; /**< Set for every result. */
  gboolean was_repeated;         /**< Set for every result: the request was sent again after a kept
                                      connection had failed; the first copy may have run. */
} GgHttpReply;

void gg_http_reply_clear (GgHttpReply *self);

/** Makes one call to "IP:PORT"; returns by @p deadline_ms (monotonic). */
GgHttpResult gg_http_pool_call (GgHttpPool *self,
                                const char *address,
                                const GgHttpRequest *request,
                                uint64_t deadline_ms,
                                GgHttpReply *reply_out);

/** Makes a GET that may be sent twice: if a kept connection gives no reply in half the time, the
 * rest of the time is for a fresh one. */
GgHttpResult gg_http_pool_read (GgHttpPool *self,
                                const char *address,
                                const char *path,
                                uint64_t deadline_ms,
                                GgHttpReply *reply_out);

/** Starts a call whose outcome nobody waits for, and returns at once. It ends by
 * @p deadline_ms and the read timeout. */
void gg_http_pool_send (GgHttpPool *self,
                        const char *address,
                        const GgHttpRequest *request,
                        uint64_t deadline_ms);

/** Closes all idle connections to @p address, after one of them went silent or gave a reply
 * that belongs to another call. */
void gg_http_pool_discard (GgHttpPool *self, const char *address);
