#include "daemons/routerd/limit_exchange.h"

#include "adapters/rpc/limit_message.h"
#include "adapters/rpc/load_report.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "core/limit_allocator.h"
#include "daemons/routerd/allocator_exchange.h"
#include "daemons/routerd/delegated_watch.h"
#include "daemons/routerd/link_monitor.h"

#include <string.h>

/* Interval of the requests, at random within these bounds: instances in step would be served in
 * the same order each time. */
#define MIN_INTERVAL_MS 120
#define MAX_INTERVAL_MS 180
/* Interval while no runner has named a limit. */
#define IDLE_INTERVAL_MS 500
/* A request that finds no permit is sent sooner. */
#define URGENT_MS 20
/* Interval of the allocator's notices, which replace those that were lost. */
#define NOTICE_MS 300
#define STATUS_MULTIPLE_CHOICES 300
/* Evidence that only confirms what was reported before is reported this often. */
#define CONFIRM_MS 1000
/* Number of the latest requests whose replies are accepted. */
#define MAX_PENDING_REQUESTS 32
#define MILLI 1000.0
#define MS_PER_S 1000.0

typedef struct
{
  uint64_t number; /* 0 for none */
  uint64_t sent_ms;
} PendingRequest;

struct _GgLimitExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgLimitAllocator *allocator;
  GgAllocatorExchange *allocators;
  GgLoopTimer *timer;
  GgLoopTimer *notice_timer;
  gboolean has_limits;   /* some runner has named a limit */
  gboolean is_notifying; /* the notice timer runs */
  gboolean is_urgent;    /* the timer runs for URGENT_MS */
  uint64_t last_number;
  PendingRequest pending[MAX_PENDING_REQUESTS];
};

static GgCounter limited_runners
    = GG_GAUGE ("greengage_router_limited_runners", "Runners whose rate limit is in force");
static GgMetricFamily permits_total = GG_COUNTER_FAMILY (
    "greengage_router_permits_total", "Permits received for runners with a rate limit", "runner");
static GgCounter granted_total
    = GG_COUNTER ("greengage_router_permits_granted_total", "Permits handed out as allocator");

static uint32_t
get_hash (const GgFleetRunner *runner)
{
  return gg_load_report_hash (runner->record.id, runner->record.started_ms);
}

static GgFleetRunner *
find_runner (const GgLimitExchange *self, uint32_t hash)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    if (get_hash (gg_fleet_get (fleet, i)) == hash)
      return gg_fleet_get (fleet, i);
  return NULL;
}

static GgRateLimit *
get_limit (GgLimitExchange *self, GgFleetRunner *runner)
{
  if (runner->limit == NULL)
    runner->limit = g_new0 (GgRateLimit, 1);
  self->has_limits = TRUE;
  return runner->limit;
}

static void
log_change (const GgFleetRunner *runner, const char *origin)
{
  const GgLimitEvidence *evidence = gg_rate_limit_get (runner->limit);
  gg_event_log_add (GG_EVENT_NOTABLE, evidence->is_limited ? "runner_limited" : "runner_unlimited",
                    "runner=%s limit=%.3f origin=%s age_ms=%" G_GUINT64_FORMAT, runner->record.id,
                    evidence->limit_milli / MILLI, origin,
                    (guint64) (gg_clock_boot_ms () - evidence->time_ms));
}

/* Whether this instance hands out the permits of a runner. */
static gboolean
is_allocating (const GgLimitExchange *self, const GgFleetRunner *runner, uint64_t now_ms)
{
  return gg_allocator_exchange_is_allocating (self->allocators, runner->record.data_centre, now_ms);
}

static void
send_message (const GgLimitExchange *self, const char *address, GgLimitMessage *message)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  size_t size_bytes = gg_limit_message_encode (message, gg_clock_boot_ms (), bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
}

typedef struct
{
  const GgLimitExchange *exchange;
  GgLimitMessage *message;
} Forward;

static void
forward_to_member (void *data, const char *address)
{
  const Forward *forward = data;
  send_message (forward->exchange, address, forward->message);
}

static void
send_to_members (GgLimitExchange *self, GgLimitMessage *message)
{
  Forward forward = { self, message };
  gg_delegated_watch_foreach_member (self->router->delegated_watch, forward_to_member, &forward);
}

static void
send_notice (GgLimitExchange *self, GgLimitMessage *message)
{
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  gg_limit_message_clear_views (message);
  gg_allocator_exchange_add_views (self->allocators, message->sender, message);
  for (guint i = 0; i < peers->len; i++)
    send_message (self, ((const GgPeer *) g_ptr_array_index (peers, i))->address, message);
  send_to_members (self, message);
  g_array_set_size (message->entries, 0);
}

/* Reports to all instances the limits whose permits this one grants. */
static void
send_notices (GgLimitExchange *self, uint64_t now_ms)
{
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (GgAllocatedLimit));
  GgLimitMessage message;
  gg_limit_message_init (&message, GG_LIMIT_MESSAGE_NOTICE,
                         gg_membership_get_address (self->membership));
  gg_limit_allocator_list (self->allocator, limits);
  for (guint i = 0; i < limits->len; i++)
    {
      const GgAllocatedLimit *limit = &g_array_index (limits, GgAllocatedLimit, i);
      const GgFleetRunner *runner = find_runner (self, limit->runner_hash);
      GgLimitEntry entry = { .runner_hash = limit->runner_hash, .evidence = limit->evidence };
      if (runner == NULL || !is_allocating (self, runner, now_ms))
        continue;
      g_array_append_val (message.entries, entry);
      if (message.entries->len == GG_LIMIT_MESSAGE_MAX_ENTRIES)
        send_notice (self, &message);
    }
  if (message.entries->len > 0)
    send_notice (self, &message);
  gg_limit_message_clear (&message);
  g_array_unref (limits);
}

static void
on_notice_timer (void *data)
{
  GgLimitExchange *self = data;
  uint64_t now_ms = gg_clock_boot_ms ();
  gg_limit_allocator_expire (self->allocator, now_ms);
  self->is_notifying = !gg_limit_allocator_is_empty (self->allocator);
  if (!self->is_notifying)
    return;
  send_notices (self, now_ms);
  gg_loop_timer_start (self->notice_timer, NOTICE_MS);
}

/* Handles one entry of a request, of this instance too.
 * @param entry set to the reply. */
static void
serve_entry (GgLimitExchange *self,
             const GgFleetRunner *runner,
             const char *sender,
             GgLimitEntry *entry,
             uint64_t now_ms)
{
  uint32_t hash = entry->runner_hash;
  gboolean is_changed = entry->evidence.time_ms != 0
                        && gg_limit_allocator_note (self->allocator, hash, &entry->evidence,
                                                    entry->is_first_hand, now_ms);
  uint32_t n = 0;
  if (is_allocating (self, runner, now_ms))
    n = gg_limit_allocator_grant (self->allocator, hash, g_str_hash (sender), entry->n_permits,
                                  now_ms);
  gg_counter_add (&granted_total, n);
  *entry = (GgLimitEntry){ .runner_hash = hash,
                           .evidence = gg_limit_allocator_get (self->allocator, hash),
                           .n_permits = n };
  if (is_changed || (!self->is_notifying && !gg_limit_allocator_is_empty (self->allocator)))
    {
      self->is_notifying = TRUE;
      gg_loop_timer_start (self->notice_timer, 0);
    }
}

/* Applies what the allocator reports of a runner. */
static void
apply_entry (GgLimitExchange *self, const GgLimitEntry *entry, uint64_t permits_until_ms)
{
  GgFleetRunner *runner = find_runner (self, entry->runner_hash);
  if (runner == NULL || entry->evidence.time_ms == 0
      || (runner->limit == NULL && !entry->evidence.is_limited))
    return;
  GgRateLimit *limit = get_limit (self, runner);
  if (gg_rate_limit_note_shared (limit, &entry->evidence))
    log_change (runner, "peer");
  /* The allocator does not know of the end of the limit: the report of it was lost. */
  if (entry->evidence.is_limited && !gg_rate_limit_is_in_force (limit))
    limit->reported_ms = 0;
  if (entry->n_permits == 0)
    return;
  gg_rate_limit_add_permits (limit, entry->n_permits, permits_until_ms);
  gg_metric_family_add (&permits_total, runner->record.id, entry->n_permits);
}

/* Fills in what is to be reported and requested for a runner.
 * @return FALSE if that is nothing. */
static gboolean
fill_entry (const GgFleetRunner *runner, GgLimitEntry *entry_out, uint64_t now_ms)
{
  GgRateLimit *limit = runner->limit;
  const GgLimitEvidence *evidence = gg_rate_limit_get (limit);
  gboolean is_first_hand = evidence == &limit->own;
  gboolean is_news = is_first_hand && evidence->time_ms > limit->reported_ms
                     && (limit->reported_ms == 0 || now_ms > limit->reported_ms + CONFIRM_MS);
  *entry_out = (GgLimitEntry){ .runner_hash = get_hash (runner),
                               .evidence = *evidence,
                               .is_first_hand = is_first_hand,
                               .n_permits = gg_rate_limit_get_need (limit, now_ms) };
  if (!is_news && entry_out->n_permits == 0)
    return FALSE;
  if (is_first_hand)
    limit->reported_ms = evidence->time_ms;
  return TRUE;
}

/* Sends reports and requests for permits to one allocator. */
static void
send_to_allocator (GgLimitExchange *self,
                   const char *address,
                   GgLimitMessage *message,
                   uint64_t now_ms)
{
  if (strcmp (address, gg_membership_get_address (self->membership)) == 0)
    for (guint i = 0; i < message->entries->len; i++)
      {
        GgLimitEntry *entry = &g_array_index (message->entries, GgLimitEntry, i);
        const GgFleetRunner *runner = find_runner (self, entry->runner_hash);
        serve_entry (self, runner, address, entry, now_ms);
        apply_entry (self, entry, now_ms + GG_PERMIT_MS);
      }
  else
    {
      message->number = ++self->last_number;
      self->pending[message->number % MAX_PENDING_REQUESTS]
          = (PendingRequest){ message->number, now_ms };
      gg_limit_message_clear_views (message);
      gg_allocator_exchange_add_views (self->allocators, address, message);
      gg_allocator_exchange_note_request (self->allocators, address, now_ms);
      send_message (self, address, message);
    }
  g_array_set_size (message->entries, 0);
}

static void
send_requests (GgLimitExchange *self, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  GHashTable *messages = g_hash_table_new (g_str_hash, g_str_equal); /* address -> message */
  guint n_limited = 0;
  GHashTableIter iter;
  void *key;
  void *value;
  self->has_limits = FALSE;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      GgLimitEntry entry;
      if (runner->limit != NULL && gg_rate_limit_is_obsolete (runner->limit, now_ms))
        g_clear_pointer (&runner->limit, g_free);
      if (runner->limit == NULL)
        continue;
      self->has_limits = TRUE;
      n_limited += gg_rate_limit_is_in_force (runner->limit);
      const char *address
          = gg_allocator_exchange_find (self->allocators, runner->record.data_centre);
      if (address == NULL || !fill_entry (runner, &entry, now_ms))
        continue;
      GgLimitMessage *message = g_hash_table_lookup (messages, address);
      if (message == NULL)
        {
          message = g_new0 (GgLimitMessage, 1);
          gg_limit_message_init (message, GG_LIMIT_MESSAGE_REQUEST,
                                 gg_membership_get_address (self->membership));
          g_hash_table_insert (messages, (void *) address, message);
        }
      g_array_append_val (message->entries, entry);
      if (message->entries->len == GG_LIMIT_MESSAGE_MAX_ENTRIES)
        send_to_allocator (self, address, message, now_ms);
    }
  g_hash_table_iter_init (&iter, messages);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      GgLimitMessage *message = value;
      if (message->entries->len > 0)
        send_to_allocator (self, key, message, now_ms);
      gg_limit_message_clear (message);
      g_free (message);
    }
  g_hash_table_unref (messages);
  gg_counter_set (&limited_runners, n_limited);
}

static void
on_timer (void *data)
{
  GgLimitExchange *self = data;
  uint64_t now_ms = gg_clock_boot_ms ();
  self->is_urgent = FALSE;
  gg_allocator_exchange_update (self->allocators, now_ms);
  if (self->has_limits)
    send_requests (self, now_ms);
  uint64_t interval_ms = IDLE_INTERVAL_MS;
  if (self->has_limits)
    interval_ms = (uint64_t) g_random_int_range (MIN_INTERVAL_MS, MAX_INTERVAL_MS);
  gg_loop_timer_start (self->timer, interval_ms);
}

static void
send_requests_soon (GgLimitExchange *self)
{
  if (self->is_urgent)
    return;
  self->is_urgent = TRUE;
  gg_loop_timer_start (self->timer, URGENT_MS);
}

void
gg_limit_exchange_note_answer (GgLimitExchange *self,
                               GgFleetRunner *runner,
                               const GgRunnerAnswerFields *fields,
                               uint64_t sent_boot_ms)
{
  if (fields->is_misdirected)
    return; /* another runner has answered */
  if (fields->is_rate_limit_malformed)
    gg_event_log_add (GG_EVENT_NOTABLE, "runner_limit_malformed", "runner=%s valid=%d",
                      runner->record.id, fields->has_rate_limit);
  GgLimitEvidence evidence = { .is_limited = fields->has_rate_limit,
                               .limit_milli = fields->rate_limit_milli,
                               .time_ms = sent_boot_ms };
  if (evidence.is_limited)
    evidence.time_ms = gg_clock_boot_ms ();
  else if (runner->limit == NULL || fields->is_rate_limit_malformed || !fields->is_signed
           || fields->status >= STATUS_MULTIPLE_CHOICES)
    return;
  if (gg_rate_limit_note_own (get_limit (self, runner), &evidence))
    {
      runner->limit->reported_ms = 0;
      log_change (runner, "answer");
      send_requests_soon (self);
    }
}

static gboolean
is_limited (const GgFleetRunner *runner, const char *service)
{
  return runner->limit != NULL && gg_rate_limit_is_in_force (runner->limit)
         && strcmp (runner->record.service, service) == 0;
}

void
gg_limit_exchange_note_demand (GgLimitExchange *self, const char *service, const char *data_centre)
{
  GgFleet *fleet = self->router->fleet;
  uint64_t now_ms = gg_clock_boot_ms ();
  for (guint i = 0; i < gg_fleet_get_size (fleet) && self->has_limits; i++)
    {
      const GgFleetRunner *runner = gg_fleet_get (fleet, i);
      const char *centre = runner->record.data_centre;
      if (is_limited (runner, service)
          && (strcmp (centre, data_centre) == 0 || strcmp (centre, self->router->data_centre) == 0))
        gg_rate_limit_note_demand (runner->limit, now_ms);
    }
}

void
gg_limit_exchange_note_waiting (GgLimitExchange *self, const char *service, uint32_t random)
{
  GgFleet *fleet = self->router->fleet;
  /* Permits would be of no use here, and would be missing at the others. */
  if (gg_link_monitor_get_state (self->router->link_monitor, service) == GG_LINKS_DOWN)
    return;
  GPtrArray *limited = g_ptr_array_new ();
  for (guint i = 0; i < gg_fleet_get_size (fleet) && self->has_limits; i++)
    if (is_limited (gg_fleet_get (fleet, i), service))
      g_ptr_array_add (limited, gg_fleet_get (fleet, i));
  if (limited->len > 0)
    {
      const GgFleetRunner *runner = g_ptr_array_index (limited, random % limited->len);
      gg_rate_limit_note_waiting (runner->limit, gg_clock_boot_ms ());
      send_requests_soon (self);
    }
  g_ptr_array_unref (limited);
}

uint64_t
gg_limit_exchange_get_wait_ms (const GgLimitExchange *self, const char *service)
{
  const GgFleet *fleet = self->router->fleet;
  uint64_t now_ms = gg_clock_now_ms ();
  double sum = 0; /* requests per second, of all instances */
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgFleetRunner *runner = gg_fleet_get (fleet, i);
      gboolean is_first_hop
          = runner->record.accelerator == NULL
            || (runner->record.range.first_layer == 0 && runner->record.range.end_layer > 0);
      if (strcmp (runner->record.service, service) != 0 || !is_first_hop
          || !gg_fleet_runner_is_usable (runner, now_ms))
        continue;
      if (runner->limit == NULL || !gg_rate_limit_is_in_force (runner->limit))
        return 0;
      sum += MAX (gg_rate_limit_get (runner->limit)->limit_milli, 1) / MILLI;
    }
  return sum > 0 ? (uint64_t) (MS_PER_S * MAX (self->router->n_instances, 1) / sum) : 0;
}

static void
handle_request (GgLimitExchange *self, GgLimitMessage *message, uint64_t now_ms)
{
  gboolean has_views = message->views->len > 0;
  char *sender = g_strdup (message->sender);
  gg_allocator_exchange_receive (self->allocators, sender, message, now_ms);
  for (guint i = 0; i < message->entries->len; i++)
    {
      GgLimitEntry *entry = &g_array_index (message->entries, GgLimitEntry, i);
      const GgFleetRunner *runner = find_runner (self, entry->runner_hash);
      if (runner != NULL)
        {
          if (!has_views)
            gg_allocator_exchange_note_old_request (self->allocators, sender,
                                                    runner->record.data_centre, now_ms);
          serve_entry (self, runner, sender, entry, now_ms);
          GgLimitEntry known = { .runner_hash = entry->runner_hash, .evidence = entry->evidence };
          apply_entry (self, &known, 0);
        }
      else
        entry->n_permits = 0;
    }
  message->kind = GG_LIMIT_MESSAGE_REPLY;
  gg_limit_message_set_sender (message, gg_membership_get_address (self->membership));
  send_message (self, sender, message);
  g_free (sender);
}

static void
handle_reply (GgLimitExchange *self, GgLimitMessage *message, uint64_t now_ms)
{
  PendingRequest *request = &self->pending[message->number % MAX_PENDING_REQUESTS];
  if (message->number == 0 || request->number != message->number)
    return; /* a repeated or very late reply */
  uint64_t until_ms = request->sent_ms + GG_PERMIT_MS;
  *request = (PendingRequest){ 0 };
  gg_allocator_exchange_note_reply (self->allocators, message->sender);
  gg_allocator_exchange_receive (self->allocators, message->sender, message, now_ms);
  for (guint i = 0; i < message->entries->len; i++)
    apply_entry (self, &g_array_index (message->entries, GgLimitEntry, i), until_ms);
}

/* Replies with the views of this instance. */
static void
send_views (const GgLimitExchange *self, GgLimitMessage *message)
{
  char *sender = g_strdup (message->sender);
  g_array_set_size (message->entries, 0);
  message->kind = GG_LIMIT_MESSAGE_VIEWS;
  gg_limit_message_set_sender (message, gg_membership_get_address (self->membership));
  send_message (self, sender, message);
  g_free (sender);
}

static void
handle_notice (GgLimitExchange *self, GgLimitMessage *message, uint64_t now_ms)
{
  for (guint i = 0; i < message->entries->len; i++)
    {
      GgLimitEntry *entry = &g_array_index (message->entries, GgLimitEntry, i);
      entry->n_permits = 0;
      apply_entry (self, entry, 0);
    }
  if (gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED)
    send_to_members (self, message);
  if (gg_allocator_exchange_receive (self->allocators, message->sender, message, now_ms))
    send_views (self, message);
}

static void
handle_poll (GgLimitExchange *self, GgLimitMessage *message, uint64_t now_ms)
{
  gg_allocator_exchange_receive (self->allocators, message->sender, message, now_ms);
  send_views (self, message);
}

gboolean
gg_limit_exchange_receive (GgLimitExchange *self, char *bytes, size_t size_bytes)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  GgLimitMessage message;
  if (!gg_limit_message_decode (bytes, size_bytes, now_ms, &message))
    return FALSE;
  switch (message.kind)
    {
    case GG_LIMIT_MESSAGE_REQUEST:
      handle_request (self, &message, now_ms);
      break;
    case GG_LIMIT_MESSAGE_REPLY:
      handle_reply (self, &message, now_ms);
      break;
    case GG_LIMIT_MESSAGE_NOTICE:
      handle_notice (self, &message, now_ms);
      break;
    case GG_LIMIT_MESSAGE_POLL:
      handle_poll (self, &message, now_ms);
      break;
    case GG_LIMIT_MESSAGE_VIEWS:
      gg_allocator_exchange_receive (self->allocators, message.sender, &message, now_ms);
      break;
    }
  gg_limit_message_clear (&message);
  return TRUE;
}

/* What this instance knows of the limits is unknown to a new allocator. */
static void
on_allocator_changed (void *data, const char *data_centre, gboolean is_own)
{
  GgLimitExchange *self = data;
  GgFleet *fleet = self->router->fleet;
  if (is_own)
    gg_limit_allocator_empty (self->allocator, gg_clock_boot_ms ());
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (runner->limit != NULL && strcmp (runner->record.data_centre, data_centre) == 0)
        runner->limit->reported_ms = 0;
    }
  if (self->has_limits)
    send_requests_soon (self);
}

GgLimitExchange *
gg_limit_exchange_create (GgRouter *router, const GgMembership *membership)
{
  GgLimitExchange *self = g_new0 (GgLimitExchange, 1);
  self->router = router;
  self->membership = membership;
  self->allocator = gg_limit_allocator_create ();
  self->allocators = gg_allocator_exchange_create (router, membership, on_allocator_changed, self);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  self->notice_timer = gg_loop_timer_create (router->loop, on_notice_timer, self);
  gg_loop_timer_start (self->timer, MIN_INTERVAL_MS);
  return self;
}

void
gg_limit_exchange_destroy (GgLimitExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  gg_loop_timer_destroy (self->notice_timer);
  gg_limit_allocator_destroy (self->allocator);
  gg_allocator_exchange_destroy (self->allocators);
  g_free (self);
}
