#include "daemons/routerd/load_exchange.h"

#include "adapters/rpc/load_report.h"
#include "base/clock.h"
#include "core/peer_load.h"

#include <stdlib.h>
#include <string.h>

/* Interval of the reports. A data centre receives some 30 requests a second and its runners hold
 * about 100, so the load that has not been reported yet is a few hundredths of their capacity. */
#define SEND_MS 150
/* Reports go to other data centres in every third round only: traffic between data centres is
 * expensive, and requests mostly stay in the data centre in which they arrive. */
#define REMOTE_ROUNDS 3
/* Up to this number of peers in other data centres receive reports directly. With direct reports
 * the traffic grows with the square of the number of instances, so with more peers the delegates
 * exchange sums instead. */
#define MAX_DIRECT_REMOTE_PEERS 16
/* The load of a peer that has sent no report for this long is no longer counted; its requests have
 * ended, or runners refuse requests because of them. */
#define PEER_LOAD_EXPIRY_MS 2000
/* Prefixes of the sender's name in reports other than REPORT_OWN. */
#define SUM_PREFIX "sum/"
#define ORDERS_PREFIX "orders/"

/* Kinds of reports, with their receivers. */
typedef enum
{
  REPORT_OWN,    /* load given by this instance, and from the leader the assigned ranges: all peers
                  * that get direct reports */
  REPORT_SUM,    /* load given by its data centre: the delegates of the others */
  REPORT_ORDERS, /* assigned ranges, sent by the leader: all peers in other data centres */
} ReportKind;

struct _GgLoadExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgLoopTimer *timer;
  GgPeerLoad *local_load;  /* given by the peers in this data centre */
  GgPeerLoad *remote_load; /* given by the other data centres */
  uint64_t incarnation;
  uint64_t number;
  uint64_t n_rounds;
  /* Hash of a runner that was reported with load -> number of rounds in which it is still to be
   * reported without load; by kind of report. */
  GHashTable *reported[REPORT_SUM + 1];
};

static gboolean
is_local (const GgLoadExchange *self, const char *data_centre)
{
  return strcmp (data_centre, self->router->data_centre) == 0;
}

static gboolean
is_remote_direct (const GgLoadExchange *self)
{
  const GPtrArray *peers = gg_membership_get_peers (self->membership);
  guint n_remote = 0;
  for (guint i = 0; i < peers->len; i++)
    n_remote += !is_local (self, ((const GgPeer *) g_ptr_array_index (peers, i))->data_centre);
  return n_remote <= MAX_DIRECT_REMOTE_PEERS;
}

static gboolean
is_delegate (const GgLoadExchange *self)
{
  return g_strcmp0 (gg_membership_find_delegate (self->membership),
                    gg_membership_get_address (self->membership))
         == 0;
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
      runner->peers = gg_peer_load_get (self->local_load, hash);
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

/* Sends to the peers in this data centre, in the others, or in all. */
static void
send_to_peers (const GgLoadExchange *self,
               const char *bytes,
               size_t size_bytes,
               gboolean to_local,
               gboolean to_remote)
{
  const GPtrArray *peers = gg_membership_get_peers (self->membership);
  for (guint i = 0; i < peers->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (peers, i);
      if (is_local (self, peer->data_centre) ? to_local : to_remote)
        gg_datagram_socket_send (self->router->peer_socket, peer->address, bytes, size_bytes);
    }
}

/* Applies a report. The delegate forwards a sum to the peers in its data centre, except one that is
 * not newer than the known one, so that two instances that both consider themselves the delegate
 * don't send it to each other endlessly. */
static void
apply_report (GgLoadExchange *self,
              const GgLoadReport *report,
              const char *bytes,
              size_t size_bytes)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgPeerLoad *load = is_local (self, report->data_centre) ? self->local_load : self->remote_load;
  if (!gg_peer_load_begin_report (load, report->instance, report->incarnation, report->number,
                                  now_ms))
    return;
  for (guint i = 0; i < report->entries->len; i++)
    {
      const GgLoadReportEntry *entry = &g_array_index (report->entries, GgLoadReportEntry, i);
      gg_peer_load_add (load, entry->runner_hash, &entry->load);
      if (entry->assigned_range.end_layer > 0)
        apply_assignment (self, entry, now_ms);
    }
  if (report->is_sum && is_delegate (self))
    send_to_peers (self, bytes, size_bytes, TRUE, FALSE);
}

void
gg_load_exchange_receive (GgLoadExchange *self, char *bytes, size_t size_bytes)
{
  GgLoadReport report;
  if (gg_load_report_decode (bytes, size_bytes, &report)
      && !(report.is_sum && is_local (self, report.data_centre)))
    apply_report (self, &report, bytes, size_bytes);
  gg_load_report_clear (&report);
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
  if (report->entries->len == 0)
    return;
  report->number = ++self->number;
  size_t size_bytes = gg_load_report_encode (report, bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  switch (kind)
    {
    case REPORT_OWN:
      send_to_peers (self, bytes, size_bytes, TRUE, is_remote_due && is_remote_direct (self));
      break;
    case REPORT_SUM:
      {
        const GPtrArray *delegates = gg_membership_get_remote_delegates (self->membership);
        for (guint i = 0; i < delegates->len; i++)
          gg_datagram_socket_send (self->router->peer_socket,
                                   ((const GgPeer *) g_ptr_array_index (delegates, i))->address,
                                   bytes, size_bytes);
        break;
      }
    case REPORT_ORDERS:
      send_to_peers (self, bytes, size_bytes, FALSE, TRUE);
      break;
    }
  g_array_set_size (report->entries, 0);
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
  entry_out->load = runner->own;
  entry_out->load.n_misses = gg_fleet_runner_get_misses (runner, gg_clock_now_ms ());
  if (kind == REPORT_SUM)
    {
      GgRunnerLoad local = gg_peer_load_get (self->local_load, hash);
      gg_runner_load_add (&entry_out->load, &local);
    }
  GHashTable *reported = self->reported[kind];
  guint n_left = GPOINTER_TO_UINT (g_hash_table_lookup (reported, GUINT_TO_POINTER (hash)));
  gboolean has_load = entry_out->load.n_requests > 0 || entry_out->load.n_misses > 0;
  if (!has_load && n_left == 0)
    return is_assigned;
  n_left = has_load ? REMOTE_ROUNDS : n_left - 1;
  if (n_left > 0)
    g_hash_table_insert (reported, GUINT_TO_POINTER (hash), GUINT_TO_POINTER (n_left));
  else
    g_hash_table_remove (reported, GUINT_TO_POINTER (hash));
  return TRUE;
}

/* Reports each runner that has load, and in the REMOTE_ROUNDS rounds after that the fact that it
 * has none any more. */
static void
send_reports (GgLoadExchange *self, ReportKind kind, gboolean is_remote_due)
{
  static const char *const prefixes[] = { "", SUM_PREFIX, ORDERS_PREFIX };
  const GgFleet *fleet = self->router->fleet;
  /* A sum has the name of the data centre, whichever instance computes it, so that it replaces the
   * one before. */
  char *name
      = g_strconcat (prefixes[kind],
                     kind == REPORT_SUM ? self->router->data_centre : self->router->instance, NULL);
  GgLoadReport report;
  gg_load_report_init (&report);
  /* Allocated with malloc(), as XDR does when it decodes. */
  report.instance = strdup (name);
  report.data_centre = strdup (self->router->data_centre);
  report.is_sum = kind == REPORT_SUM;
  report.incarnation = self->incarnation;
  g_free (name);
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgLoadReportEntry entry;
      if (!fill_entry (self, gg_fleet_get (fleet, i), kind, &entry))
        continue;
      g_array_append_val (report.entries, entry);
      if (report.entries->len == GG_LOAD_REPORT_MAX_ENTRIES)
        send_part (self, &report, kind, is_remote_due);
    }
  send_part (self, &report, kind, is_remote_due);
  gg_load_report_clear (&report);
}

static void
on_timer (void *data)
{
  GgLoadExchange *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  gboolean is_remote_due = self->n_rounds++ % REMOTE_ROUNDS == 0;
  gg_peer_load_expire (self->local_load, now_ms);
  gg_peer_load_expire (self->remote_load, now_ms);
  apply_peer_load (self, now_ms);
  send_reports (self, REPORT_OWN, is_remote_due);
  if (is_remote_due && !is_remote_direct (self))
    {
      if (is_delegate (self))
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
  self->local_load = gg_peer_load_create (PEER_LOAD_EXPIRY_MS);
  self->remote_load = gg_peer_load_create (PEER_LOAD_EXPIRY_MS);
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
  gg_peer_load_destroy (self->remote_load);
  for (guint i = 0; i < G_N_ELEMENTS (self->reported); i++)
    g_hash_table_unref (self->reported[i]);
  g_free (self);
}
