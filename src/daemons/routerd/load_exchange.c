#include "daemons/routerd/load_exchange.h"

#include "adapters/rpc/load_report.h"
#include "base/clock.h"
#include "base/counters.h"
#include "core/peer_load.h"
#include "daemons/routerd/delegated_watch.h"
#include "daemons/routerd/link_monitor.h"

#include <stdlib.h>
#include <string.h>

/* Interval of the reports. A data centre receives some 30 requests a second and its runners hold
 * about 100, so the load that has not been reported yet is a few hundredths of their capacity. */
#define SEND_MS 150
/* Reports go to other data centres in every third round only: traffic between data centres is
 * expensive, and requests mostly stay in the data centre in which they arrive. */
#define REMOTE_ROUNDS 3
/* Up to this number of registered peers in other data centres receive reports directly, if all
 * instances of this data centre are registered. Otherwise the sources exchange sums, so that the
 * traffic does not grow with the square of the number of instances. */
#define MAX_DIRECT_REMOTE_PEERS 16
/* An instance that has no load to report sends an empty report once in so many rounds, so that it
 * is still counted. */
#define IDLE_ROUNDS 4
/* While two instances compute the sum of a data centre, the one that was first counts until it has
 * sent none for this long. */
#define SUM_TAKEOVER_MS 500
/* The load of a peer that has sent no report for this long is no longer counted; its requests have
 * ended, or runners refuse requests because of them. */
#define PEER_LOAD_EXPIRY_MS 2000
/* An instance of another data centre that is idle reports every 12 rounds, and two reports in a row
 * may be lost. */
#define REMOTE_INSTANCE_EXPIRY_MS 6000
/* Prefixes of the sender's address, or of the data centre, in reports other than REPORT_OWN. */
#define SUM_PREFIX "sum/"
#define ORDERS_PREFIX "orders/"

/* Kinds of reports, with their receivers. */
typedef enum
{
  REPORT_OWN,    /* load given by this instance, and from the leader the assigned ranges: the
                  * registered instances of its data centre, and those of the others if direct */
  REPORT_SUM,    /* load given by its data centre: the registered instances of the others */
  REPORT_ORDERS, /* assigned ranges, sent by the leader: all registered instances */
} ReportKind;

struct _GgLoadExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgLoopTimer *timer;
  GgPeerLoad *local_load;  /* given by the instances of this data centre, each by its own report */
  GgPeerLoad *local_sum;   /* the same as a sum, without this instance; for a member */
  GgPeerLoad *remote_load; /* given by the other data centres */
  GHashTable *n_remote;    /* data centre -> number of its instances, from its sums */
  GgPeerLoad *remote_own;  /* the instances of other data centres that report by themselves */
  gboolean has_members;    /* an instance of this data centre is not registered */
  uint64_t incarnation;
  uint64_t number;
  uint64_t n_rounds;
  /* Hash of a runner that was reported with load -> number of rounds in which it is still to be
   * reported without load; by kind of report. */
  GHashTable *reported[REPORT_SUM + 1];
  GHashTable *reported_to_members;
};

static GgCounter instances = GG_GAUGE ("greengage_router_instances",
                                       "Active instances that this one knows, this one included");

static gboolean
is_local (const GgLoadExchange *self, const char *data_centre)
{
  return strcmp (data_centre, self->router->data_centre) == 0;
}

static gboolean
is_member (const GgLoadExchange *self)
{
  return gg_membership_get_role (self->membership) != GG_ROLE_REGISTERED;
}

static gboolean
is_source (const GgLoadExchange *self)
{
  return gg_delegated_watch_is_source (self->router->delegated_watch);
}

static gboolean
is_remote_direct (const GgLoadExchange *self)
{
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  guint n_remote = 0;
  if (self->has_members || is_member (self))
    return FALSE;
  for (guint i = 0; i < peers->len; i++)
    n_remote += !is_local (self, ((const GgPeer *) g_ptr_array_index (peers, i))->data_centre);
  return n_remote <= MAX_DIRECT_REMOTE_PEERS;
}

static void
apply_peer_load (GgLoadExchange *self, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      uint32_t hash = gg_load_report_hash (runner->record.id, runner->record.started_ms);
      GgRunnerLoad remote = gg_peer_load_get (self->remote_load, hash);
      runner->peers
          = gg_peer_load_get (is_member (self) ? self->local_sum : self->local_load, hash);
      gg_runner_load_add (&runner->peers, &remote);
      gg_fleet_runner_note_peer_misses (runner, runner->peers.n_misses, now_ms);
    }
}

static void
apply_assignment (GgLoadExchange *self, const GgLoadReportEntry *entry, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (gg_load_report_hash (runner->record.id, runner->record.started_ms) == entry->runner_hash)
        gg_fleet_runner_assign_range (runner, &entry->assigned_range, now_ms);
    }
}

/* Sends to the registered peers in this data centre, in the others, or in all. */
static void
send_to_peers (const GgLoadExchange *self,
               const char *bytes,
               size_t size_bytes,
               gboolean to_local,
               gboolean to_remote)
{
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  for (guint i = 0; i < peers->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (peers, i);
      if (is_local (self, peer->data_centre) ? to_local : to_remote)
        gg_datagram_socket_send (self->router->peer_socket, peer->address, bytes, size_bytes);
    }
}

typedef struct
{
  const GgLoadExchange *exchange;
  const char *bytes;
  size_t size_bytes;
} Forward;

static void
forward_to_member (void *data, const char *address)
{
  const Forward *forward = data;
  gg_datagram_socket_send (forward->exchange->router->peer_socket, address, forward->bytes,
                           forward->size_bytes);
}

/* Sends a datagram to the members that rely on this instance. */
static void
send_to_members (const GgLoadExchange *self, const char *bytes, size_t size_bytes)
{
  Forward forward = { self, bytes, size_bytes };
  gg_delegated_watch_foreach_member (self->router->delegated_watch, forward_to_member, &forward);
}

/* Returns where a report is counted. */
static GgPeerLoad *
find_table (const GgLoadExchange *self, const GgLoadReport *report)
{
  if (!is_local (self, report->data_centre))
    return self->remote_load;
  return report->is_sum ? self->local_sum : self->local_load;
}

static void
note_sender (GgLoadExchange *self, const GgLoadReport *report, uint64_t now_ms)
{
  if (is_local (self, report->data_centre))
    return;
  if (!report->is_sum && !g_str_has_prefix (report->instance, ORDERS_PREFIX))
    gg_peer_load_begin_report (self->remote_own, report->instance, report->incarnation,
                               report->number, now_ms);
  if (report->is_sum)
    g_hash_table_insert (self->n_remote, g_strdup (report->data_centre),
                         GUINT_TO_POINTER (report->n_instances));
}

/* Applies a report. A source forwards reports from other data centres to its members, except one
 * that is not newer than the known one, so that none is forwarded endlessly. */
static void
apply_report (GgLoadExchange *self,
              const GgLoadReport *report,
              const char *bytes,
              size_t size_bytes)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgPeerLoad *load = find_table (self, report);
  if (!gg_peer_load_begin_report (load, report->instance, report->incarnation, report->number,
                                  now_ms))
    return;
  note_sender (self, report, now_ms);
  for (guint i = 0; i < report->entries->len; i++)
    {
      const GgLoadReportEntry *entry = &g_array_index (report->entries, GgLoadReportEntry, i);
      gg_peer_load_add (load, entry->runner_hash, &entry->load);
      if (entry->assigned_range.end_layer > 0)
        apply_assignment (self, entry, now_ms);
    }
  gboolean is_order = g_str_has_prefix (report->instance, ORDERS_PREFIX);
  if ((load == self->remote_load || is_order) && is_source (self))
    send_to_members (self, bytes, size_bytes);
}

void
gg_load_exchange_receive (GgLoadExchange *self, char *bytes, size_t size_bytes)
{
  GgLoadReport report;
  if (gg_load_report_decode (bytes, size_bytes, &report)
      && !(report.is_sum && is_local (self, report.data_centre) && !is_member (self)))
    apply_report (self, &report, bytes, size_bytes);
  gg_load_report_clear (&report);
}

gboolean
gg_load_exchange_has_local (const GgLoadExchange *self, const char *address)
{
  return gg_peer_load_has_peer (self->local_load, address);
}

gboolean
gg_load_exchange_has_remote (const GgLoadExchange *self, const char *address)
{
  return gg_peer_load_has_peer (self->remote_own, address);
}

/* Whether a runner has an assigned range to report: one that its entry does not show yet. */
static gboolean
has_open_assignment (const GgFleetRunner *runner, uint64_t now_ms)
{
  return runner->assigned_range.end_layer > 0 && now_ms < runner->assigned_until_ms
         && (runner->assigned_range.first_layer != runner->record.range.first_layer
             || runner->assigned_range.end_layer != runner->record.range.end_layer);
}

static void
send_part (GgLoadExchange *self, GgLoadReport *report, ReportKind kind, gboolean is_remote_due)
{
  char bytes[GG_LOAD_REPORT_MAX_BYTES];
  report->number = ++self->number;
  size_t size_bytes = gg_load_report_encode (report, bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  switch (kind)
    {
    case REPORT_OWN:
      send_to_peers (self, bytes, size_bytes, TRUE, is_remote_due && is_remote_direct (self));
      break;
    case REPORT_SUM:
      send_to_peers (self, bytes, size_bytes, FALSE, TRUE);
      break;
    case REPORT_ORDERS:
      send_to_peers (self, bytes, size_bytes, TRUE, TRUE);
      if (is_source (self))
        send_to_members (self, bytes, size_bytes);
      break;
    }
  g_array_set_size (report->entries, 0);
}

/* Whether a runner is to be reported: with load, or for REMOTE_ROUNDS rounds after that without. */
static gboolean
is_due (GHashTable *reported, uint32_t hash, const GgRunnerLoad *load)
{
  guint n_left = GPOINTER_TO_UINT (g_hash_table_lookup (reported, GUINT_TO_POINTER (hash)));
  gboolean has_load = load->n_requests > 0 || load->n_misses > 0;
  if (!has_load && n_left == 0)
    return FALSE;
  n_left = has_load ? REMOTE_ROUNDS : n_left - 1;
  if (n_left > 0)
    g_hash_table_insert (reported, GUINT_TO_POINTER (hash), GUINT_TO_POINTER (n_left));
  else
    g_hash_table_remove (reported, GUINT_TO_POINTER (hash));
  return TRUE;
}

/* Returns the load that this instance has given to a runner, with its misses as far as they are
 * evidence against the runner: those of an instance without links would make the others avoid sound
 * runners. */
static GgRunnerLoad
get_own_load (const GgLoadExchange *self, const GgFleetRunner *runner)
{
  GgRunnerLoad load = runner->own;
  if (gg_link_monitor_is_runner_at_fault (self->router->link_monitor, runner->record.service,
                                          runner->last_miss_ms))
    load.n_misses = gg_fleet_runner_get_misses (runner, gg_clock_now_ms ());
  return load;
}

/* Fills in the entry of a runner.
 * @return FALSE if there is nothing to report. */
static gboolean
fill_entry (GgLoadExchange *self,
            const GgFleetRunner *runner,
            ReportKind kind,
            GgLoadReportEntry *entry_out)
{
  uint32_t hash = gg_load_report_hash (runner->record.id, runner->record.started_ms);
  *entry_out = (GgLoadReportEntry){ .runner_hash = hash };
  gboolean is_assigned = kind != REPORT_SUM && gg_membership_is_leader (self->membership)
                         && has_open_assignment (runner, gg_clock_now_ms ());
  if (is_assigned)
    entry_out->assigned_range = runner->assigned_range;
  if (kind == REPORT_ORDERS)
    return is_assigned;
  entry_out->load = get_own_load (self, runner);
  if (kind == REPORT_SUM)
    {
      GgRunnerLoad local = gg_peer_load_get (self->local_load, hash);
      gg_runner_load_add (&entry_out->load, &local);
    }
  return is_due (self->reported[kind], hash, &entry_out->load) || is_assigned;
}

/* Returns the number of active instances in this data centre, as far as a registered one knows. */
static guint
count_local (const GgLoadExchange *self)
{
  return gg_peer_load_count_peers (self->local_load) + 1;
}

static void
init_report (const GgLoadExchange *self, GgLoadReport *report, ReportKind kind)
{
  static const char *const prefixes[] = { "", SUM_PREFIX, ORDERS_PREFIX };
  /* A sum has the name of the data centre, whichever instance computes it, so that it replaces the
   * one before. */
  char *name = g_strconcat (prefixes[kind],
                            kind == REPORT_SUM ? self->router->data_centre
                                               : gg_membership_get_address (self->membership),
                            NULL);
  gg_load_report_init (report);
  /* Allocated with malloc(), as XDR does when it decodes. */
  report->instance = strdup (name);
  report->data_centre = strdup (self->router->data_centre);
  report->is_sum = kind == REPORT_SUM;
  report->incarnation = self->incarnation;
  report->n_instances = kind == REPORT_SUM ? count_local (self) : 1;
  g_free (name);
}

/* Reports each runner that has load, and in the REMOTE_ROUNDS rounds after that the fact that it
 * has none any more. */
static void
send_reports (GgLoadExchange *self, ReportKind kind, gboolean is_remote_due)
{
  const GgFleet *fleet = self->router->fleet;
  GgLoadReport report;
  init_report (self, &report, kind);
  gboolean is_due_idle = kind != REPORT_ORDERS && self->n_rounds % IDLE_ROUNDS == 0;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgLoadReportEntry entry;
      if (!fill_entry (self, gg_fleet_get (fleet, i), kind, &entry))
        continue;
      g_array_append_val (report.entries, entry);
      if (report.entries->len == GG_LOAD_REPORT_MAX_ENTRIES)
        {
          send_part (self, &report, kind, is_remote_due);
          is_due_idle = FALSE;
        }
    }
  if (report.entries->len > 0 || is_due_idle)
    send_part (self, &report, kind, is_remote_due);
  gg_load_report_clear (&report);
}

/* The sum for the members: for each the load given by all others of the data centre. */
typedef struct
{
  GgLoadExchange *exchange;
  GArray *entries; /* GgLoadReportEntry, of all instances together */
} MemberSum;

static void
send_member_part (GgLoadExchange *self, const char *address, GgLoadReport *report)
{
  char bytes[GG_LOAD_REPORT_MAX_BYTES];
  report->number = ++self->number;
  size_t size_bytes = gg_load_report_encode (report, bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
  g_array_set_size (report->entries, 0);
}

static void
send_sum_to_member (void *data, const char *address)
{
  const MemberSum *sum = data;
  GgLoadExchange *self = sum->exchange;
  GgLoadReport report;
  init_report (self, &report, REPORT_SUM);
  for (guint i = 0; i < sum->entries->len; i++)
    {
      GgLoadReportEntry entry = g_array_index (sum->entries, GgLoadReportEntry, i);
      GgRunnerLoad own = gg_peer_load_get_of (self->local_load, entry.runner_hash, address);
      gg_runner_load_subtract (&entry.load, &own);
      g_array_append_val (report.entries, entry);
      if (report.entries->len == GG_LOAD_REPORT_MAX_ENTRIES)
        send_member_part (self, address, &report);
    }
  if (report.entries->len > 0)
    send_member_part (self, address, &report);
  gg_load_report_clear (&report);
}

static void
send_sums_to_members (GgLoadExchange *self)
{
  const GgFleet *fleet = self->router->fleet;
  MemberSum sum = { self, g_array_new (FALSE, TRUE, sizeof (GgLoadReportEntry)) };
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgFleetRunner *runner = gg_fleet_get (fleet, i);
      uint32_t hash = gg_load_report_hash (runner->record.id, runner->record.started_ms);
      GgLoadReportEntry entry = { .runner_hash = hash, .load = get_own_load (self, runner) };
      GgRunnerLoad local = gg_peer_load_get (self->local_load, hash);
      gg_runner_load_add (&entry.load, &local);
      if (is_due (self->reported_to_members, hash, &entry.load))
        g_array_append_val (sum.entries, entry);
    }
  gg_delegated_watch_foreach_member (self->router->delegated_watch, send_sum_to_member, &sum);
  g_array_unref (sum.entries);
}

/* Members receive the number of instances from their source. */
static void
update_instances (GgLoadExchange *self)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  const GPtrArray *names = gg_roster_get_data_centres (roster);
  guint n_registered = gg_roster_get_others (roster)->len + 1;
  guint n_local = count_local (self);
  guint n = n_local;
  const GPtrArray *ranked = gg_roster_get_ranked (roster, self->router->data_centre);
  self->has_members = ranked != NULL && n_local > ranked->len;
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      guint n_known = GPOINTER_TO_UINT (g_hash_table_lookup (self->n_remote, name));
      if (!is_local (self, name))
        n += MAX (gg_roster_get_ranked (roster, name)->len, n_known);
    }
  /* Instances whose calls the store rejects are no longer listed, but still run. */
  n = MAX (n, n_local + gg_peer_load_count_peers (self->remote_own));
  gg_router_set_instances (self->router, MAX (n, n_registered));
}

static void
on_timer (void *data)
{
  GgLoadExchange *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  gboolean is_remote_due = self->n_rounds++ % REMOTE_ROUNDS == 0;
  gg_peer_load_expire (self->local_load, now_ms);
  gg_peer_load_expire (self->local_sum, now_ms);
  gg_peer_load_expire (self->remote_load, now_ms);
  gg_peer_load_expire (self->remote_own, now_ms);
  apply_peer_load (self, now_ms);
  if (gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED)
    update_instances (self);
  gg_counter_set (&instances, self->router->n_instances);
  send_reports (self, REPORT_OWN, is_remote_due);
  if (is_source (self))
    send_sums_to_members (self);
  if (is_remote_due && !is_remote_direct (self))
    {
      if (is_source (self))
        send_reports (self, REPORT_SUM, TRUE);
      if (gg_membership_is_leader (self->membership))
        send_reports (self, REPORT_ORDERS, TRUE);
    }
  gg_loop_timer_start (self->timer, SEND_MS);
}

GgLoadExchange *
gg_load_exchange_create (GgRouter *router, const GgMembership *membership)
{
  GgLoadExchange *self = g_new0 (GgLoadExchange, 1);
  self->router = router;
  self->membership = membership;
  self->incarnation = gg_clock_wall_ms ();
  self->local_load = gg_peer_load_create (PEER_LOAD_EXPIRY_MS, 0);
  self->local_sum = gg_peer_load_create (PEER_LOAD_EXPIRY_MS, SUM_TAKEOVER_MS);
  self->remote_load = gg_peer_load_create (PEER_LOAD_EXPIRY_MS, SUM_TAKEOVER_MS);
  self->remote_own = gg_peer_load_create (REMOTE_INSTANCE_EXPIRY_MS, 0);
  self->n_remote = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->reported_to_members = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (self->reported); i++)
    self->reported[i] = g_hash_table_new (NULL, NULL);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, SEND_MS);
  return self;
}

void
gg_load_exchange_destroy (GgLoadExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  gg_peer_load_destroy (self->local_load);
  gg_peer_load_destroy (self->local_sum);
  gg_peer_load_destroy (self->remote_own);
  g_hash_table_unref (self->n_remote);
  g_hash_table_unref (self->reported_to_members);
  gg_peer_load_destroy (self->remote_load);
  for (guint i = 0; i < G_N_ELEMENTS (self->reported); i++)
    g_hash_table_unref (self->reported[i]);
  g_free (self);
}
