/** @file
 * One HTTP call, shared by its caller and the thread of a connection.
 *
 * Both hold a reference and the request is copied, so the caller may return at its deadline while
 * the thread still uses the memory. Internal to the HTTP adapter. */
#pragma once

#include "adapters/http/http_pool.h"

#include <pthread.h>

typedef enum
{
  GG_HTTP_EXCHANGE_QUEUED,
  GG_HTTP_EXCHANGE_RUNNING,
  GG_HTTP_EXCHANGE_DONE,
  GG_HTTP_EXCHANGE_ABANDONED, /**< The caller returned at its deadline. */
} GgHttpExchangeState;

typedef struct
{
  gint references;
  pthread_mutex_t lock;
  pthread_cond_t done;
  GgHttpExchangeState state;
  gboolean sent; /**< Some bytes may have been sent. */

  char *method; /**< Constant after creation, like the next fields. */
  char *path;
  char **headers;
  char *body;
  size_t body_size_bytes;
  gboolean may_repeat;
  uint64_t deadline_ms;
  size_t max_reply_bytes;

  GgHttpResult result; /**< Written by the thread before DONE. */
  GgHttpReply reply;
} GgHttpExchange;

/** Copies @p request; the result has one reference. */
GgHttpExchange *gg_http_exchange_create (const GgHttpRequest *request,
                                         uint64_t deadline_ms,
                                         size_t max_reply_bytes);
GgHttpExchange *gg_http_exchange_ref (GgHttpExchange *self);
void gg_http_exchange_unref (GgHttpExchange *self);

/** Called by the thread before it sends.
 * @param on_open_connection TRUE if the connection is open, so that bytes may be sent from now on.
 * @return FALSE if the caller has returned; then nothing may be sent. */
gboolean gg_http_exchange_begin (GgHttpExchange *self, gboolean on_open_connection);

/** Called by the thread when a connection is being opened. */
void gg_http_exchange_note_connecting (GgHttpExchange *self);

/** Called by the thread when the connection is open and the request is about to be sent.
 * @return FALSE if the caller has returned; then nothing may be sent. */
gboolean gg_http_exchange_note_connected (GgHttpExchange *self);

gboolean gg_http_exchange_is_abandoned (GgHttpExchange *self);

/** Records the result.
 * @return FALSE if the caller has returned. */
gboolean gg_http_exchange_complete (GgHttpExchange *self, gboolean is_reply_complete);

/** Wakes the caller after gg_http_exchange_complete(). */
void gg_http_exchange_notify (GgHttpExchange *self);

/** Waits for the result until the deadline, then abandons the call. */
GgHttpResult gg_http_exchange_wait (GgHttpExchange *self, GgHttpReply *reply_out);
