#include "core/stream.h"

#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

/* POSIX primitives instead of GMutex and GCond, since ThreadSanitizer does not see GLib's locks. */
struct _GgStream
{
  atomic_uint references;
  GgId request_id;
  char *team;

  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *tokens;
  gboolean is_ended;
  GgOutcome outcome;
  char *detail;
  uint32_t readers;
  gboolean has_unread_since;
  uint64_t unread_since_ms;
};

static void
init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

GgStream *
gg_stream_create (const GgId *request_id, const char *team)
{
  GgStream *self = g_new0 (GgStream, 1);
  atomic_init (&self->references, 1);
  self->request_id = *request_id;
  self->team = g_strdup (team);
  self->tokens = g_ptr_array_new_with_free_func (g_free);
  self->outcome = GG_OUTCOME_UNKNOWN;
  pthread_mutex_init (&self->lock, NULL);
  init_condition (&self->changed);
  return self;
}

GgStream *
gg_stream_ref (GgStream *self)
{
  atomic_fetch_add_explicit (&self->references, 1, memory_order_relaxed);
  return self;
}

void
gg_stream_unref (GgStream *self)
{
  if (self == NULL)
    return;
  if (atomic_fetch_sub_explicit (&self->references, 1, memory_order_acq_rel) != 1)
    return;
  g_ptr_array_unref (self->tokens);
  pthread_cond_destroy (&self->changed);
  pthread_mutex_destroy (&self->lock);
  g_free (self->detail);
  g_free (self->team);
  g_free (self);
}

const GgId *
gg_stream_get_request_id (const GgStream *self)
{
  return &self->request_id;
}

const char *
gg_stream_get_team (const GgStream *self)
{
  return self->team;
}

gboolean
gg_stream_append (GgStream *self, uint32_t number, const char *token)
{
  pthread_mutex_lock (&self->lock);
  gboolean is_next = !self->is_ended && number == self->tokens->len + 1;
  if (is_next)
    {
      g_ptr_array_add (self->tokens, g_strdup (token));
      pthread_cond_broadcast (&self->changed);
    }
  pthread_mutex_unlock (&self->lock);
  return is_next;
}

void
gg_stream_end (GgStream *self, GgOutcome outcome, const char *detail)
{
  pthread_mutex_lock (&self->lock);
  if (!self->is_ended)
    {
      self->is_ended = TRUE;
      self->outcome = outcome;
      self->detail = g_strdup (detail);
      pthread_cond_broadcast (&self->changed);
    }
  pthread_mutex_unlock (&self->lock);
}

/** @return FALSE if the deadline has passed. */
static gboolean
wait_for_change (GgStream *self, uint64_t deadline_ms)
{
  struct timespec deadline = {
    .tv_sec = (time_t) (deadline_ms / 1000),
    .tv_nsec = (long) (deadline_ms % 1000) * 1000000,
  };
  return pthread_cond_timedwait (&self->changed, &self->lock, &deadline) == 0;
}

GgStreamReadResult
gg_stream_read (GgStream *self, uint32_t number, uint64_t deadline_ms, char **token_out)
{
  GgStreamReadResult result = GG_STREAM_READ_TIMEOUT;
  gboolean is_waiting = TRUE;
  *token_out = NULL;
  pthread_mutex_lock (&self->lock);
  for (;;)
    {
      if (number >= 1 && number <= self->tokens->len)
        {
          *token_out = g_strdup (g_ptr_array_index (self->tokens, number - 1));
          result = GG_STREAM_READ_TOKEN;
          break;
        }
      if (self->is_ended)
        {
          result = GG_STREAM_READ_END;
          break;
        }
      if (!is_waiting)
        break;
      is_waiting = wait_for_change (self, deadline_ms);
    }
  pthread_mutex_unlock (&self->lock);
  return result;
}

uint32_t
gg_stream_get_length (GgStream *self)
{
  pthread_mutex_lock (&self->lock);
  uint32_t length = self->tokens->len;
  pthread_mutex_unlock (&self->lock);
  return length;
}

gboolean
gg_stream_is_ended (GgStream *self)
{
  pthread_mutex_lock (&self->lock);
  gboolean is_ended = self->is_ended;
  pthread_mutex_unlock (&self->lock);
  return is_ended;
}

GgOutcome
gg_stream_get_outcome (GgStream *self)
{
  pthread_mutex_lock (&self->lock);
  GgOutcome outcome = self->outcome;
  pthread_mutex_unlock (&self->lock);
  return outcome;
}

char *
gg_stream_get_detail (GgStream *self)
{
  pthread_mutex_lock (&self->lock);
  char *detail = g_strdup (self->detail);
  pthread_mutex_unlock (&self->lock);
  return detail;
}

void
gg_stream_attach_reader (GgStream *self)
{
  pthread_mutex_lock (&self->lock);
  self->readers++;
  pthread_mutex_unlock (&self->lock);
}

void
gg_stream_detach_reader (GgStream *self, uint64_t now_ms)
{
  pthread_mutex_lock (&self->lock);
  g_assert (self->readers > 0);
  self->readers--;
  self->has_unread_since = TRUE;
  self->unread_since_ms = now_ms;
  pthread_mutex_unlock (&self->lock);
}

uint64_t
gg_stream_get_unread_ms (GgStream *self, uint64_t now_ms)
{
  uint64_t unread_ms = 0;
  pthread_mutex_lock (&self->lock);
  if (!self->has_unread_since)
    {
      self->has_unread_since = TRUE;
      self->unread_since_ms = now_ms;
    }
  if (self->readers == 0 && now_ms > self->unread_since_ms)
    unread_ms = now_ms - self->unread_since_ms;
  pthread_mutex_unlock (&self->lock);
  return unread_ms;
}
