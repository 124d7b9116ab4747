#include "daemons/routerd/waiting_room.h"

#include "base/clock.h"

/* Requests at one instance that may wait; more would leave later than MAX_WAIT_MS. */
#define MAX_WAITING 40
/* Longest wait; a request that is refused sooner can be served elsewhere or later. */
#define MAX_WAIT_MS 1200
/* Room also becomes free by what peers do, which is heard a few times a second. */
#define CHECK_MS 50

struct _GgWaitingRoom
{
  GgLoop *loop;
  GgLoopTimer *timer;
  GQueue waiting; /* GgRelay */
  gboolean wake_is_due;
};

static void
reject_overdue (GgWaitingRoom *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GList *l = self->waiting.head;
  while (l != NULL)
    {
      GList *next = l->next;
      GgRelay *relay = l->data;
      if (now_ms - gg_relay_get_begun_ms (relay) > MAX_WAIT_MS)
        {
          g_queue_delete_link (&self->waiting, l);
          gg_relay_reject_waiting (relay);
        }
      l = next;
    }
}

static void
wake (void *data)
{
  GgWaitingRoom *self = data;
  self->wake_is_due = FALSE;
  reject_overdue (self);
  while (self->waiting.length > 0)
    {
      GgRelay *relay = g_queue_pop_head (&self->waiting);
      if (!gg_relay_try_again (relay))
        {
          g_queue_push_head (&self->waiting, relay);
          break;
        }
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

static gint
compare (gconstpointer a, gconstpointer b, void *data)
{
  uint32_t x = gg_relay_get_priority (a);
  uint32_t y = gg_relay_get_priority (b);
  if (x != y)
    return x < y ? -1 : 1;
  uint64_t s = gg_relay_get_begun_ms (a);
  uint64_t t = gg_relay_get_begun_ms (b);
  return s < t ? -1 : s > t ? 1 : 0;
}

gboolean
gg_waiting_room_enter (GgWaitingRoom *self, GgRelay *relay)
{
  if (self->waiting.length >= MAX_WAITING)
    return FALSE;
  g_queue_insert_sorted (&self->waiting, relay, compare, NULL);
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
