#include "daemons/routerd/leaving_exchange.h"

#include "adapters/rpc/leaving_message.h"
#include "adapters/rpc/load_report.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "daemons/routerd/delegated_watch.h"

/* Delay of the first message, so that runners that leave together share it. */
#define NEWS_MS 10
/* Datagrams may be lost, so each runner is sent several times. */
#define N_SENDINGS 3
#define SENDING_INTERVAL_MS 150
/* Bound on the remembered processes. One is remembered after its entry is gone, since the entry may
 * come back. */
#define MAX_KNOWN 4096

struct _GgLeavingExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GHashTable *known; /* hash of id and start -> sendings that are left */
  GQueue order;      /* the hashes, the oldest first */
  GgLoopTimer *timer;
  gboolean has_news; /* the timer runs */
};

static GgCounter leaving_total
    = GG_COUNTER ("greengage_router_runners_leaving_total",
                  "Runners that announced in an answer that they are leaving");

typedef struct
{
  const GgLeavingExchange *exchange;
  char bytes[GG_LEAVING_MESSAGE_MAX_BYTES];
  size_t size_bytes;
} Datagram;

static void
send_to (void *data, const char *address)
{
  const Datagram *datagram = data;
  gg_datagram_socket_send (datagram->exchange->router->peer_socket, address, datagram->bytes,
                           datagram->size_bytes);
}

/* Sends a datagram to the registered instances, and to the members that rely on this one. */
static void
send_hashes (GgLeavingExchange *self, GArray *hashes)
{
  Datagram datagram = { .exchange = self };
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  datagram.size_bytes = gg_leaving_message_encode (hashes, datagram.bytes, sizeof datagram.bytes);
  for (guint i = 0; i < peers->len; i++)
    send_to (&datagram, ((const GgPeer *) g_ptr_array_index (peers, i))->address);
  gg_delegated_watch_foreach_member (self->router->delegated_watch, send_to, &datagram);
  g_array_set_size (hashes, 0);
}

static void
on_timer (void *data)
{
  GgLeavingExchange *self = data;
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  self->has_news = FALSE;
  for (const GList *l = self->order.head; l != NULL; l = l->next)
    {
      uint32_t hash = GPOINTER_TO_UINT (l->data);
      guint n_left = GPOINTER_TO_UINT (g_hash_table_lookup (self->known, l->data));
      if (n_left == 0)
        continue;
      g_hash_table_insert (self->known, l->data, GUINT_TO_POINTER (n_left - 1));
      self->has_news |= n_left > 1;
      g_array_append_val (hashes, hash);
      if (hashes->len == GG_LEAVING_MESSAGE_MAX_RUNNERS)
        send_hashes (self, hashes);
    }
  if (hashes->len > 0)
    send_hashes (self, hashes);
  g_array_unref (hashes);
  if (self->has_news)
    gg_loop_timer_start (self->timer, SENDING_INTERVAL_MS);
}

/* Adds a process.
 * @param is_passed_on whether to notify other instances.
 * @return FALSE if it was known. */
static gboolean
add (GgLeavingExchange *self, uint32_t hash, gboolean is_passed_on)
{
  void *key = GUINT_TO_POINTER (hash);
  if (g_hash_table_contains (self->known, key))
    return FALSE;
  if (self->order.length >= MAX_KNOWN)
    g_hash_table_remove (self->known, g_queue_pop_head (&self->order));
  g_queue_push_tail (&self->order, key);
  g_hash_table_insert (self->known, key, GUINT_TO_POINTER (is_passed_on ? N_SENDINGS : 0));
  if (is_passed_on && !self->has_news)
    {
      self->has_news = TRUE;
      gg_loop_timer_start (self->timer, NEWS_MS);
    }
  return TRUE;
}

static uint32_t
get_hash (const GgRunnerRecord *record)
{
  return gg_load_report_hash (record->id, record->started_ms);
}

static void
set_leaving (GgLeavingExchange *self, const GgRunnerRecord *record, const char *origin)
{
  gg_counter_add (&leaving_total, 1);
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_leaving", "runner=%s origin=%s", record->id, origin);
  gg_fleet_set_leaving (self->router->fleet, record->id, record->started_ms);
}

void
gg_leaving_exchange_note_answer (GgLeavingExchange *self,
                                 const GgFleetRunner *runner,
                                 const GgRunnerAnswerFields *fields)
{
  if (fields->is_misdirected)
    return; /* another runner has answered */
  if (fields->is_leaving_malformed)
    gg_event_log_add (GG_EVENT_NOTABLE, "runner_leaving_malformed", "runner=%s valid=%d",
                      runner->record.id, fields->is_leaving);
  if (fields->is_leaving && add (self, get_hash (&runner->record), TRUE))
    set_leaving (self, &runner->record, "answer");
}

gboolean
gg_leaving_exchange_is_leaving (const GgLeavingExchange *self, const GgRunnerRecord *record)
{
  return g_hash_table_contains (self->known, GUINT_TO_POINTER (get_hash (record)));
}

static void
apply_hash (GgLeavingExchange *self, uint32_t hash)
{
  /* A registered instance passes on what is new to it, so that members, and instances that the
   * sender does not know, learn of it. */
  gboolean is_registered = gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED;
  if (!add (self, hash, is_registered))
    return;
  const GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    if (get_hash (&gg_fleet_get (fleet, i)->record) == hash)
      {
        set_leaving (self, &gg_fleet_get (fleet, i)->record, "peer");
        return;
      }
}

gboolean
gg_leaving_exchange_receive (GgLeavingExchange *self, char *bytes, size_t size_bytes)
{
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  gboolean is_valid = gg_leaving_message_decode (bytes, size_bytes, hashes);
  for (guint i = 0; i < hashes->len && is_valid; i++)
    apply_hash (self, g_array_index (hashes, uint32_t, i));
  g_array_unref (hashes);
  return is_valid;
}

GgLeavingExchange *
gg_leaving_exchange_create (GgRouter *router, const GgMembership *membership)
{
  GgLeavingExchange *self = g_new0 (GgLeavingExchange, 1);
  self->router = router;
  self->membership = membership;
  self->known = g_hash_table_new (NULL, NULL);
  g_queue_init (&self->order);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  return self;
}

void
gg_leaving_exchange_destroy (GgLeavingExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->known);
  g_queue_clear (&self->order);
  g_free (self);
}
