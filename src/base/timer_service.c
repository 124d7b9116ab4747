#include "base/timer_service.h"

#include "base/clock.h"

#include <pthread.h>
#include <time.h>

typedef struct
{
  uint64_t due_ms;
  uint64_t period_ms;
  uint64_t jitter_ms;
  GgTimerFunc func;
  void *data;
} GgTimer;

struct _GgTimerService
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  pthread_t thread;
  GSequence *timers; /* GgTimer, by due_ms */
  gboolean stopping;
};

static int
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  const GgTimer *x = a;
  const GgTimer *y = b;
  return x->due_ms < y->due_ms ? -1 : x->due_ms > y->due_ms;
}

static void
schedule (GgTimerService *self, GgTimer *timer, uint64_t delay_ms)
{
  uint64_t jitter
      = timer->jitter_ms > 0 ? (uint64_t) g_random_int_range (0, (gint32) timer->jitter_ms + 1) : 0;
  timer->due_ms = gg_clock_now_ms () + delay_ms + jitter;
  g_sequence_insert_sorted (self->timers, timer, compare_due, NULL);
  pthread_cond_broadcast (&self->changed);
}

static void
wait_until (GgTimerService *self, uint64_t due_ms)
{
  struct timespec ts
      = { .tv_sec = (time_t) (due_ms / 1000), .tv_nsec = (long) (due_ms % 1000) * 1000000 };
  pthread_cond_timedwait (&self->changed, &self->lock, &ts);
}

static void
run_timer (GgTimerService *self, GSequenceIter *first)
{
  GgTimer *timer = g_sequence_get (first);
  g_sequence_remove (first);
  pthread_mutex_unlock (&self->lock);
  timer->func (timer->data);
  pthread_mutex_lock (&self->lock);
  schedule (self, timer, timer->period_ms);
}

static void *
timer_thread (void *data)
{
  GgTimerService *self = data;
  pthread_mutex_lock (&self->lock);
  while (!self->stopping)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (self->timers);
      if (g_sequence_iter_is_end (first))
        {
          pthread_cond_wait (&self->changed, &self->lock);
          continue;
        }
      GgTimer *timer = g_sequence_get (first);
      if (timer->due_ms > gg_clock_now_ms ())
        wait_until (self, timer->due_ms);
      else
        run_timer (self, first);
    }
  pthread_mutex_unlock (&self->lock);
  return NULL;
}

GgTimerService *
gg_timer_service_create (void)
{
  GgTimerService *self = g_new0 (GgTimerService, 1);
  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&self->changed, &attr);
  pthread_condattr_destroy (&attr);
  pthread_mutex_init (&self->lock, NULL);
  self->timers = g_sequence_new (NULL);
  int failed = pthread_create (&self->thread, NULL, timer_thread, self);
  g_assert (failed == 0);
  return self;
}

void
gg_timer_service_destroy (GgTimerService *self)
{
  if (self == NULL)
    return;
  pthread_mutex_lock (&self->lock);
  self->stopping = TRUE;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->lock);
  pthread_join (self->thread, NULL);

  GSequenceIter *it = g_sequence_get_begin_iter (self->timers);
  for (; !g_sequence_iter_is_end (it); it = g_sequence_iter_next (it))
    g_free (g_sequence_get (it));
  g_sequence_free (self->timers);
  pthread_cond_destroy (&self->changed);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

void
gg_timer_service_subscribe (
    GgTimerService *self, uint64_t period_ms, uint64_t jitter_ms, GgTimerFunc func, void *data)
{
  g_assert (period_ms > 0);
  GgTimer *timer = g_new0 (GgTimer, 1);
  timer->period_ms = period_ms;
  timer->jitter_ms = jitter_ms;
  timer->func = func;
  timer->data = data;
  pthread_mutex_lock (&self->lock);
  schedule (self, timer, period_ms);
  pthread_mutex_unlock (&self->lock);
}
