#include "loop/loop.h"

#include <event2/event.h>

#define MS_PER_S 1000
#define US_PER_MS 1000

typedef struct
{
  GgLoopFunc func;
  void *data;
} Deferred;

typedef struct
{
  struct event *event;
  GgLoopFunc func;
  void *data;
} SignalWatch;

struct _GgLoop
{
  struct event_base *base;
  GArray *deferred; /* Deferred */
  GPtrArray *signal_watches;
  gboolean is_stopped;
};

struct _GgLoopTimer
{
  struct event *event;
  GgLoopFunc func;
  void *data;
};

static void
signal_watch_free (void *data)
{
  SignalWatch *watch = data;
  event_free (watch->event);
  g_free (watch);
}

GgLoop *
gg_loop_create (void)
{
  GgLoop *self = g_new0 (GgLoop, 1);
  self->base = event_base_new ();
  g_assert (self->base != NULL);
  self->deferred = g_array_new (FALSE, FALSE, sizeof (Deferred));
  self->signal_watches = g_ptr_array_new_with_free_func (signal_watch_free);
  return self;
}

void
gg_loop_run_deferred (GgLoop *self)
{
  /* A deferred function may defer more. */
  for (guint i = 0; i < self->deferred->len; i++)
    {
      Deferred entry = g_array_index (self->deferred, Deferred, i);
      entry.func (entry.data);
    }
  g_array_set_size (self->deferred, 0);
}

void
gg_loop_destroy (GgLoop *self)
{
  gg_loop_run_deferred (self);
  g_ptr_array_unref (self->signal_watches);
  g_array_unref (self->deferred);
  event_base_free (self->base);
  g_free (self);
}

void
gg_loop_run (GgLoop *self)
{
  while (!self->is_stopped)
    {
      gg_loop_run_deferred (self);
      event_base_loop (self->base, EVLOOP_ONCE);
    }
}

void
gg_loop_stop (GgLoop *self)
{
  self->is_stopped = TRUE;
}

struct event_base *
gg_loop_get_base (GgLoop *self)
{
  return self->base;
}

void
gg_loop_defer (GgLoop *self, GgLoopFunc func, void *data)
{
  Deferred entry = { func, data };
  g_array_append_val (self->deferred, entry);
}

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  SignalWatch *watch = data;
  watch->func (watch->data);
}

void
gg_loop_watch_signal (GgLoop *self, int signal_number, GgLoopFunc func, void *data)
{
  SignalWatch *watch = g_new0 (SignalWatch, 1);
  watch->func = func;
  watch->data = data;
  watch->event = evsignal_new (self->base, signal_number, on_signal, watch);
  event_add (watch->event, NULL);
  g_ptr_array_add (self->signal_watches, watch);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  GgLoopTimer *timer = data;
  timer->func (timer->data);
}

GgLoopTimer *
gg_loop_timer_create (GgLoop *self, GgLoopFunc func, void *data)
{
  GgLoopTimer *timer = g_new0 (GgLoopTimer, 1);
  timer->func = func;
  timer->data = data;
  timer->event = evtimer_new (self->base, on_timer, timer);
  return timer;
}

void
gg_loop_timer_destroy (GgLoopTimer *timer)
{
  if (timer == NULL)
    return;
  event_free (timer->event);
  g_free (timer);
}

void
gg_loop_timer_start (GgLoopTimer *timer, uint64_t delay_ms)
{
  struct timeval wait = { .tv_sec = (time_t) (delay_ms / MS_PER_S),
                          .tv_usec = (suseconds_t) (delay_ms % MS_PER_S * US_PER_MS) };
  evtimer_add (timer->event, &wait);
}

void
gg_loop_timer_stop (GgLoopTimer *timer)
{
  evtimer_del (timer->event);
}
