#include "daemons/routerd/request_queue.h"

#include "base/clock.h"
#include "core/wait_order.h"

/* Capacity also becomes free when requests of peers end; peers report their load a few times a
 * second. */
#define CHECK_MS 50
/* Time constant of the average rate at which queued requests are sent. */
#define RATE_MS 1000.0

/* What is counted of one service. */
typedef struct
{
  char *name;
  guint n_waiting;
  double n_admitted; /* queued requests that were sent, decaying over RATE_MS */
  uint64_t decayed_ms;
} Service;

typedef struct
{
  GgRelay *relay;
  Service *service;
  GgQueuedRequest queued; /* as of the current pass */
} Entry;

struct _GgRequestQueue
{
  GgLoop *loop;
  GgLoopTimer *timer;
  GQueue waiting;       /* Entry */
  GHashTable *services; /* name -> Service */
  gboolean is_wake_pending;
};

static void
free_service (void *data)
{
  Service *service = data;
  g_free (service->name);
  g_free (service);
}

static Service *
get_service (GgRequestQueue *self, const char *name)
{
  Service *service = g_hash_table_lookup (self->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  g_hash_table_insert (self->services, service->name, service);
  return service;
}

static GgQueuedRequest
build_queued_request (const GgRelay *relay, const Service *service)
{
  GgQueuedRequest queued = { .service = service->name,
                             .usable_memory = gg_relay_get_usable_memory (relay),
                             .priority = gg_relay_get_priority (relay),
                             .received_ms = gg_relay_get_received_ms (relay),
                             .waiting_since_ms = gg_relay_get_waiting_since_ms (relay),
                             .latency_target_ms = gg_relay_get_latency_target_ms (relay) };
  return queued;
}

static void
decay (Service *service, uint64_t now_ms)
{
  double passed = MIN ((double) (now_ms - service->decayed_ms) / RATE_MS, 1);
  service->n_admitted *= 1 - passed;
  service->decayed_ms = now_ms;
}

static void
decay_all (GgRequestQueue *self, uint64_t now_ms)
{
  GHashTableIter iter;
  void *service;
  g_hash_table_iter_init (&iter, self->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    decay (service, now_ms);
}

static void
unlink_entry (GgRequestQueue *self, GList *link)
{
  const Entry *entry = link->data;
  entry->service->n_waiting--;
  g_queue_unlink (&self->waiting, link);
}

static void
free_link (GList *link)
{
  g_free (link->data);
  g_list_free_1 (link);
}

static void
reject_expired (GgRequestQueue *self, uint64_t now_ms)
{
  GList *l = self->waiting.head;
  while (l != NULL)
    {
      GList *next = l->next;
      Entry *entry = l->data;
      entry->queued = build_queued_request (entry->relay, entry->service);
      if (gg_wait_order_is_expired (&entry->queued, now_ms))
        {
          GgRelay *relay = entry->relay;
          unlink_entry (self, l);
          free_link (l);
          gg_relay_reject_queued (relay);
        }
      l = next;
    }
}

/* Returns the first request in order that may still find capacity in this pass, or NULL. */
static GList *
find_next (GgRequestQueue *self, const GgWaitPass *pass, uint64_t now_ms)
{
  GList *best = NULL;
  for (GList *l = self->waiting.head; l != NULL; l = l->next)
    {
      const Entry *entry = l->data;
      if (gg_wait_pass_is_blocked (pass, &entry->queued))
        continue;
      const Entry *best_entry = best != NULL ? best->data : NULL;
      if (best_entry == NULL
          || gg_wait_order_is_before (&entry->queued, &best_entry->queued, now_ms))
        best = l;
    }
  return best;
}

static void
wake (void *data)
{
  GgRequestQueue *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  self->is_wake_pending = FALSE;
  reject_expired (self, now_ms);
  decay_all (self, now_ms);
  GgWaitPass *pass = gg_wait_pass_create ();
  GList *next;
  while ((next = find_next (self, pass, now_ms)) != NULL)
    {
      Entry *entry = next->data;
      unlink_entry (self, next);
      GgRetryResult result = gg_relay_retry_dispatch (entry->relay);
      if (result != GG_RETRY_FULL)
        {
          entry->service->n_admitted += result == GG_RETRY_SENT;
          free_link (next);
          continue;
        }
      entry->service->n_waiting++;
      g_queue_push_head_link (&self->waiting, next);
      gg_wait_pass_note_full (pass, &entry->queued);
    }
  gg_wait_pass_destroy (pass);
  if (self->waiting.length > 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
}

GgRequestQueue *
gg_request_queue_create (GgLoop *loop)
{
  GgRequestQueue *self = g_new0 (GgRequestQueue, 1);
  self->loop = loop;
  self->timer = gg_loop_timer_create (loop, wake, self);
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  g_queue_init (&self->waiting);
  return self;
}

void
gg_request_queue_destroy (GgRequestQueue *self)
{
  gg_loop_timer_destroy (self->timer);
  g_queue_clear_full (&self->waiting, g_free);
  g_hash_table_unref (self->services);
  g_free (self);
}

gboolean
gg_request_queue_add (GgRequestQueue *self, GgRelay *relay)
{
  Service *service = get_service (self, gg_relay_get_service_name (relay));
  decay (service, gg_clock_now_ms ());
  if (!gg_wait_order_may_queue (service->n_waiting, service->n_admitted))
    return FALSE;
  Entry *entry = g_new0 (Entry, 1);
  entry->relay = relay;
  entry->service = service;
  entry->queued = build_queued_request (relay, service);
  service->n_waiting++;
  g_queue_push_tail (&self->waiting, entry);
  if (self->waiting.length == 1)
    gg_loop_timer_start (self->timer, CHECK_MS);
  return TRUE;
}

void
gg_request_queue_remove (GgRequestQueue *self, GgRelay *relay)
{
  for (GList *l = self->waiting.head; l != NULL; l = l->next)
    if (((const Entry *) l->data)->relay == relay)
      {
        unlink_entry (self, l);
        free_link (l);
        return;
      }
}

void
gg_request_queue_wake (GgRequestQueue *self)
{
  if (self->waiting.length == 0 || self->is_wake_pending)
    return;
  self->is_wake_pending = TRUE;
  gg_loop_defer (self->loop, wake, self);
}

guint
gg_request_queue_count_before (GgRequestQueue *self, const GgRelay *relay)
{
  const Service *service = get_service (self, gg_relay_get_service_name (relay));
  GgQueuedRequest queued = build_queued_request (relay, service);
  uint64_t now_ms = gg_clock_now_ms ();
  guint n = 0;
  for (const GList *l = self->waiting.head; l != NULL; l = l->next)
    {
      const Entry *entry = l->data;
      n += entry->service == service && gg_wait_order_is_before (&entry->queued, &queued, now_ms);
    }
  return n;
}

guint
gg_request_queue_get_size (const GgRequestQueue *self, const char *service)
{
  const Service *counted = g_hash_table_lookup (self->services, service);
  return counted != NULL ? counted->n_waiting : 0;
}
