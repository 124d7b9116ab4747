#include "daemons/routerd/load_exchange.h"

#include "adapters/rpc/load_report.h"
#include "base/clock.h"
#include "core/peer_load.h"

#include <stdlib.h>
#include <string.h>

/* A data centre takes some 30 requests a second, of which its runners hold about 100: what is not
 * heard yet is a few hundredths of their room. */
#define SEND_MS 150
/* Peers in other data centres are told in each third round only: bytes between data centres cost,
 * and requests mostly stay where they come in. */
#define FAR_ROUNDS 3
/* Up to so many peers in other data centres are told directly. With more of them the bytes grow
 * with the square of the number of instances, so that the sources exchange sums instead. */
#define FAR_DIRECT_MOST 16
/* A peer that has been silent for this long no longer counts; its requests have ended or will
 * be seen in what the runners refuse. */
#define HOLD_MS 2000
/* Names of what an instance says beside its own work. */
#define SUM_PREFIX "sum/"
#define ORDERS_PREFIX "orders/"

/* Whom a share is for. */
typedef enum
{
  SHARE_OWN,    /* the work of this instance: for the peers in reach */
  SHARE_SUM,    /* the work of its data centre: for the sources of the others */
  SHARE_ORDERS, /* what runners were ordered to hold: for all peers in other data centres */
} ShareKind;

struct _GgLoadExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgLoopTimer *timer;
  GgPeerLoad *near_work; /* of the own data centre */
  GgPeerLoad *far_work;
  uint64_t incarnation;
  uint64_t number;
  uint64_t n_rounds;
  /* Hash of a runner that those told believe to have work -> rounds in which they are still to
   * hear that it has none; by kind of share. */
  GHashTable *told[SHARE_SUM + 1];
};

static gboolean
is_near (const GgLoadExchange *self, const char *data_centre)
{
  return strcmp (data_centre, self->router->data_centre) == 0;
}

static gboolean
is_far_direct (const GgLoadExchange *self)
{
  const GPtrArray *peers = gg_membership_get_peers (self->membership);
  guint n_far = 0;
  for (guint i = 0; i < peers->len; i++)
    n_far += !is_near (self, ((const GgPeer *) g_ptr_array_index (peers, i))->data_centre);
  return n_far <= FAR_DIRECT_MOST;
}

static gboolean
is_source (const GgLoadExchange *self)
{
  return g_strcmp0 (gg_membership_find_source (self->membership),
                    gg_membership_get_address (self->membership))
         == 0;
}

static void
apply_peer_work (GgLoadExchange *self, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      uint32_t hash = gg_load_report_hash (runner->record.id, runner->record.born_ms);
      GgRunnerLoad far = gg_peer_load_get (self->far_work, hash);
      runner->peers = gg_peer_load_get (self->near_work, hash);
      gg_runner_load_add (&runner->peers, &far);
      gg_fleet_runner_note_peer_misses (runner, runner->peers.n_misses, now_ms);
    }
}

static void
take_pledge (GgLoadExchange *self, const GgLoadReportEntry *entry, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (gg_load_report_hash (runner->record.id, runner->record.born_ms) == entry->runner_hash)
        gg_fleet_runner_assign_range (runner, &entry->pledged, now_ms);
    }
}

/* Sends to the peers in the own data centre, to those in others, or to both. */
static void
send_to_peers (const GgLoadExchange *self,
               const char *bytes,
               size_t size_bytes,
               gboolean to_near,
               gboolean to_far)
{
  const GPtrArray *peers = gg_membership_get_peers (self->membership);
  for (guint i = 0; i < peers->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (peers, i);
      if (is_near (self, peer->data_centre) ? to_near : to_far)
        gg_datagram_socket_send (self->router->peer_socket, peer->address, bytes, size_bytes);
    }
}

/* A sum that was known already is not passed on, so that two instances that both believe to be the
 * source can't send it to each other for ever. */
static void
take_share (GgLoadExchange *self, const GgLoadReport *share, const char *bytes, size_t size_bytes)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgPeerLoad *work = is_near (self, share->data_centre) ? self->near_work : self->far_work;
  if (!gg_peer_load_begin_report (work, share->instance, share->incarnation, share->number, now_ms))
    return;
  for (guint i = 0; i < share->entries->len; i++)
    {
      const GgLoadReportEntry *entry = &g_array_index (share->entries, GgLoadReportEntry, i);
      gg_peer_load_add (work, entry->runner_hash, &entry->work);
      if (entry->pledged.end_layer > 0)
        take_pledge (self, entry, now_ms);
    }
  if (share->is_sum && is_source (self))
    send_to_peers (self, bytes, size_bytes, TRUE, FALSE);
}

void
gg_load_exchange_receive (GgLoadExchange *self, char *bytes, size_t size_bytes)
{
  GgLoadReport share;
  if (gg_load_report_decode (bytes, size_bytes, &share)
      && !(share.is_sum && is_near (self, share.data_centre)))
    take_share (self, &share, bytes, size_bytes);
  gg_load_report_clear (&share);
}

/* Whether a runner's pledge is worth telling: its entry does not show it yet. */
static gboolean
has_open_pledge (const GgFleetRunner *runner, uint64_t now_ms)
{
  return runner->pledged.end_layer > 0 && now_ms < runner->pledged_until_ms
         && (runner->pledged.first_layer != runner->record.range.first_layer
             || runner->pledged.end_layer != runner->record.range.end_layer);
}

static void
send_part (GgLoadExchange *self, GgLoadReport *share, ShareKind kind, gboolean is_far_due)
{
  char bytes[GG_LOAD_REPORT_MAX_BYTES];
  if (share->entries->len == 0)
    return;
  share->number = ++self->number;
  size_t size_bytes = gg_load_report_encode (share, bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  switch (kind)
    {
    case SHARE_OWN:
      send_to_peers (self, bytes, size_bytes, TRUE, is_far_due && is_far_direct (self));
      break;
    case SHARE_SUM:
      {
        const GPtrArray *sources = gg_membership_get_far_sources (self->membership);
        for (guint i = 0; i < sources->len; i++)
          gg_datagram_socket_send (self->router->peer_socket,
                                   ((const GgPeer *) g_ptr_array_index (sources, i))->address,
                                   bytes, size_bytes);
        break;
      }
    case SHARE_ORDERS:
      send_to_peers (self, bytes, size_bytes, FALSE, TRUE);
      break;
    }
  g_array_set_size (share->entries, 0);
}

/* Fills in what is to be told of a runner.
 * @return FALSE for nothing. */
static gboolean
fill_entry (GgLoadExchange *self,
            const GgFleetRunner *runner,
            ShareKind kind,
            GgLoadReportEntry *entry_out)
{
  uint32_t hash = gg_load_report_hash (runner->record.id, runner->record.born_ms);
  *entry_out = (GgLoadReportEntry){ .runner_hash = hash };
  gboolean is_pledged = kind != SHARE_SUM && gg_membership_is_leader (self->membership)
                        && has_open_pledge (runner, gg_clock_now_ms ());
  if (is_pledged)
    entry_out->pledged = runner->pledged;
  if (kind == SHARE_ORDERS)
    return is_pledged;
  entry_out->work = runner->own;
  entry_out->work.n_misses = gg_fleet_runner_get_misses (runner, gg_clock_now_ms ());
  if (kind == SHARE_SUM)
    {
      GgRunnerLoad near = gg_peer_load_get (self->near_work, hash);
      gg_runner_load_add (&entry_out->work, &near);
    }
  GHashTable *told = self->told[kind];
  guint n_left = GPOINTER_TO_UINT (g_hash_table_lookup (told, GUINT_TO_POINTER (hash)));
  gboolean has_work = entry_out->work.n_requests > 0 || entry_out->work.n_misses > 0;
  if (!has_work && n_left == 0)
    return is_pledged;
  n_left = has_work ? FAR_ROUNDS : n_left - 1;
  if (n_left > 0)
    g_hash_table_insert (told, GUINT_TO_POINTER (hash), GUINT_TO_POINTER (n_left));
  else
    g_hash_table_remove (told, GUINT_TO_POINTER (hash));
  return TRUE;
}

/* Tells each runner that has work, and for a while that it has none any more. */
static void
send_share (GgLoadExchange *self, ShareKind kind, gboolean is_far_due)
{
  static const char *const prefixes[] = { "", SUM_PREFIX, ORDERS_PREFIX };
  const GgFleet *fleet = self->router->fleet;
  /* A sum is the data centre's, whichever instance makes it, so that it replaces the one before. */
  char *name = g_strconcat (
      prefixes[kind], kind == SHARE_SUM ? self->router->data_centre : self->router->instance, NULL);
  GgLoadReport share;
  gg_load_report_init (&share);
  /* Freed as what XDR decodes is. */
  share.instance = strdup (name);
  share.data_centre = strdup (self->router->data_centre);
  share.is_sum = kind == SHARE_SUM;
  share.incarnation = self->incarnation;
  g_free (name);
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgLoadReportEntry entry;
      if (!fill_entry (self, gg_fleet_get (fleet, i), kind, &entry))
        continue;
      g_array_append_val (share.entries, entry);
      if (share.entries->len == GG_LOAD_REPORT_MAX_ENTRIES)
        send_part (self, &share, kind, is_far_due);
    }
  send_part (self, &share, kind, is_far_due);
  gg_load_report_clear (&share);
}

static void
on_timer (void *data)
{
  GgLoadExchange *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  gboolean is_far_due = self->n_rounds++ % FAR_ROUNDS == 0;
  gg_peer_load_expire (self->near_work, now_ms);
  gg_peer_load_expire (self->far_work, now_ms);
  apply_peer_work (self, now_ms);
  send_share (self, SHARE_OWN, is_far_due);
  if (is_far_due && !is_far_direct (self))
    {
      if (is_source (self))
        send_share (self, SHARE_SUM, TRUE);
      if (gg_membership_is_leader (self->membership))
        send_share (self, SHARE_ORDERS, TRUE);
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
  self->near_work = gg_peer_load_create (HOLD_MS);
  self->far_work = gg_peer_load_create (HOLD_MS);
  for (guint i = 0; i < G_N_ELEMENTS (self->told); i++)
    self->told[i] = g_hash_table_new (NULL, NULL);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, SEND_MS);
  return self;
}

void
gg_load_exchange_destroy (GgLoadExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  gg_peer_load_destroy (self->near_work);
  gg_peer_load_destroy (self->far_work);
  for (guint i = 0; i < G_N_ELEMENTS (self->told); i++)
    g_hash_table_unref (self->told[i]);
  g_free (self);
}
