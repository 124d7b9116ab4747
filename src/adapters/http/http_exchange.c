#include "adapters/http/http_exchange.h"

#include "base/counters.h"

#include <string.h>
#include <time.h>

static GgCounter connections
    = GG_COUNTER ("greengage_http_connections_total", "Outward HTTP connections attempted");
static GgCounter abandoned_calls
    = GG_COUNTER ("greengage_http_abandoned_total", "Outward HTTP calls abandoned at the deadline");

GgHttpExchange *
gg_http_exchange_create (const GgHttpRequest *request, uint64_t deadline_ms, size_t max_reply_bytes)
{
  GgHttpExchange *self = g_new0 (GgHttpExchange, 1);
  self->references = 1;
  self->method = g_strdup (request->method);
  self->path = g_strdup (request->path);
  self->headers = g_strdupv ((char **) request->headers);
  self->body_size_bytes = request->body != NULL ? request->body_size_bytes : 0;
  self->body = g_memdup2 (request->body, self->body_size_bytes);
  self->may_repeat = request->may_repeat;
  self->deadline_ms = deadline_ms;
  self->max_reply_bytes = max_reply_bytes;

  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&self->done, &attr);
  pthread_condattr_destroy (&attr);
  pthread_mutex_init (&self->lock, NULL);
  return self;
}

GgHttpExchange *
gg_http_exchange_ref (GgHttpExchange *self)
{
  g_atomic_int_inc (&self->references);
  return self;
}

void
gg_http_exchange_unref (GgHttpExchange *self)
{
  if (!g_atomic_int_dec_and_test (&self->references))
    return;
  pthread_cond_destroy (&self->done);
  pthread_mutex_destroy (&self->lock);
  gg_http_reply_clear (&self->reply);
  g_free (self->method);
  g_free (self->path);
  g_strfreev (self->headers);
  g_free (self->body);
  g_free (self);
}

gboolean
gg_http_exchange_begin (GgHttpExchange *self, gboolean on_open_connection)
{
  pthread_mutex_lock (&self->lock);
  gboolean is_awaited = self->state == GG_HTTP_EXCHANGE_QUEUED;
  if (is_awaited)
    {
      self->state = GG_HTTP_EXCHANGE_RUNNING;
      self->sent = on_open_connection;
    }
  pthread_mutex_unlock (&self->lock);
  return is_awaited;
}

void
gg_http_exchange_note_connecting (GgHttpExchange *self)
{
  gg_counter_add (&connections, 1);
  pthread_mutex_lock (&self->lock);
  self->reply.connection_was_fresh = TRUE;
  pthread_mutex_unlock (&self->lock);
}

gboolean
gg_http_exchange_note_connected (GgHttpExchange *self)
{
  pthread_mutex_lock (&self->lock);
  gboolean is_awaited = self->state == GG_HTTP_EXCHANGE_RUNNING;
  if (is_awaited)
    {
      self->reply.was_repeated = self->sent;
      self->sent = TRUE;
    }
  pthread_mutex_unlock (&self->lock);
  return is_awaited;
}

gboolean
gg_http_exchange_is_abandoned (GgHttpExchange *self)
{
  pthread_mutex_lock (&self->lock);
  gboolean abandoned = self->state == GG_HTTP_EXCHANGE_ABANDONED;
  pthread_mutex_unlock (&self->lock);
  return abandoned;
}

gboolean
gg_http_exchange_complete (GgHttpExchange *self, gboolean is_reply_complete)
{
  pthread_mutex_lock (&self->lock);
  gboolean is_awaited = self->state == GG_HTTP_EXCHANGE_RUNNING;
  if (is_awaited)
    {
      if (is_reply_complete)
        self->result = GG_HTTP_OK;
      else
        self->result = self->sent ? GG_HTTP_IN_DOUBT : GG_HTTP_NOT_SENT;
      self->state = GG_HTTP_EXCHANGE_DONE;
    }
  pthread_mutex_unlock (&self->lock);
  return is_awaited;
}

void
gg_http_exchange_notify (GgHttpExchange *self)
{
  pthread_mutex_lock (&self->lock);
  pthread_cond_signal (&self->done);
  pthread_mutex_unlock (&self->lock);
}

/* Called with the lock held; the thread checks the state under the same lock before it sends. */
static GgHttpResult
abandon (GgHttpExchange *self)
{
  self->state = GG_HTTP_EXCHANGE_ABANDONED;
  gg_counter_add (&abandoned_calls, 1);
  return self->sent ? GG_HTTP_IN_DOUBT : GG_HTTP_NOT_SENT;
}

GgHttpResult
gg_http_exchange_wait (GgHttpExchange *self, GgHttpReply *reply_out)
{
  struct timespec until = { .tv_sec = (time_t) (self->deadline_ms / 1000),
                            .tv_nsec = (long) (self->deadline_ms % 1000) * 1000000 };
  int failed = 0;
  GgHttpResult result;
  pthread_mutex_lock (&self->lock);
  while (self->state != GG_HTTP_EXCHANGE_DONE && failed == 0)
    failed = pthread_cond_timedwait (&self->done, &self->lock, &until);
  if (self->state == GG_HTTP_EXCHANGE_DONE)
    {
      result = self->result;
      *reply_out = self->reply;
      memset (&self->reply, 0, sizeof self->reply);
    }
  else
    {
      result = abandon (self);
      reply_out->connection_was_fresh = self->reply.connection_was_fresh;
      reply_out->was_repeated = self->reply.was_repeated;
    }
  pthread_mutex_unlock (&self->lock);
  return result;
}
