#include "daemons/routerd/waiting_room.h"

#include "base/clock.h"
#include "core/wait_order.h"

/* Room also becomes free by what peers do, which is heard a few times a second. */
#define CHECK_MS 50
/* The rate at which waiting requests find room is averaged over about this long. */
#define RATE_MS 1000.0

struct _GgWaitingRoom
{
  GgLoop *loop;
  GgLoopTimer *timer;
  GQueue waiting; /* GgRelay */
  gboolean wake_is_due;
  double n_recent; /* requests that found room, fading over RATE_MS */
  uint64_t faded_ms;
};

static GgQueuedRequest
describe (const GgRelay *relay)
{
  GgQueuedRequest waiter = { .priority = gg_relay_get_priority (relay),
                             .received_ms = gg_relay_get_begun_ms (relay),
                             .latency_target_ms = gg_relay_get_goal_ms (relay) };
  return waiter;
}

static void
fade (GgWaitingRoom *self, uint64_t now_ms)
{
  double passed = MIN ((double) (now_ms - self->faded_ms) / RATE_MS, 1);
  self->n_recent *= 1 - passed;
  self->faded_ms = now_ms;
}

static void
reject_overdue (GgWaitingRoom *self, uint64_t now_ms)
{
  GList *l = self->waiting.head;
  while (l != NULL)
    {
      GList *next = l->next;
      GgRelay *relay = l->data;
      if (now_ms - gg_relay_get_begun_ms (relay) > gg_wait_order_get_max_wait_ms ())
        {
          g_queue_delete_link (&self->waiting, l);
          gg_relay_reject_waiting (relay);
        }
      l = next;
    }
}

static GList *
find_next (GgWaitingRoom *self, uint64_t now_ms)
{
  GList *best = self->waiting.head;
  for (GList *l = best; l != NULL; l = l->next)
    {
      GgQueuedRequest a = describe (l->data);
      GgQueuedRequest b = describe (best->data);
      if (gg_wait_order_is_before (&a, &b, now_ms))
        best = l;
    }
  return best;
}

static void
wake (void *data)
{
  GgWaitingRoom *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  self->wake_is_due = FALSE;
  reject_overdue (self, now_ms);
  fade (self, now_ms);
  while (self->waiting.length > 0)
    {
      GList *next = find_next (self, now_ms);
      GgRelay *relay = next->data;
      g_queue_unlink (&self->waiting, next);
      if (!gg_relay_try_again (relay))
        {
          g_queue_push_head_link (&self->waiting, next);
          break;
        }
      g_list_free_1 (next);
      self->n_recent++;
    }
  if (self->waiting.length > 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
}

GgWaitingRoom *
gg_waiting_room_create (GgLoop *loop)
{
  GgWaitingRoom *self = g_new0 (GgWaitingRoom, 1);
  self->loop = loop;
  self->timer = gg_loop_timer_create (loop, wake, self);
  g_queue_init (&self->waiting);
  return self;
}

void
gg_waiting_room_destroy (GgWaitingRoom *self)
{
  gg_loop_timer_destroy (self->timer);
  g_queue_clear (&self->waiting);
  g_free (self);
}

gboolean
gg_waiting_room_enter (GgWaitingRoom *self, GgRelay *relay)
{
  fade (self, gg_clock_now_ms ());
  if (!gg_wait_order_may_queue (self->waiting.length, self->n_recent))
    return FALSE;
  g_queue_push_tail (&self->waiting, relay);
  if (self->waiting.length == 1)
    gg_loop_timer_start (self->timer, CHECK_MS);
  return TRUE;
}

void
gg_waiting_room_leave (GgWaitingRoom *self, GgRelay *relay)
{
  g_queue_remove (&self->waiting, relay);
}

void
gg_waiting_room_wake (GgWaitingRoom *self)
{
  if (self->waiting.length == 0 || self->wake_is_due)
    return;
  self->wake_is_due = TRUE;
  gg_loop_defer (self->loop, wake, self);
}

guint
gg_waiting_room_get_size (const GgWaitingRoom *self)
{
  return self->waiting.length;
}
