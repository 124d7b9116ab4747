#include "daemons/routerd/work_exchange.h"

#include "adapters/rpc/work_share.h"
#include "base/clock.h"
#include "core/peer_work.h"

#include <stdlib.h>
#include <string.h>

/* A data centre takes some 30 requests a second, of which its runners hold about 100: what is not
 * heard yet is a few hundredths of their room. */
#define SEND_MS 150
/* Peers in other data centres are told in each third round only: bytes between data centres cost,
 * and requests mostly stay where they come in. */
#define FAR_ROUNDS 3
/* A peer that has been silent for this long no longer counts; its requests have ended or will
 * be seen in what the runners refuse. */
#define HOLD_MS 2000

struct _GgWorkExchange
{
  GgRouter *router;
  const GgMembership *membership;
  GgLoopTimer *timer;
  GgPeerWork *peer_work;
  uint64_t incarnation;
  uint64_t number;
  uint64_t n_rounds;
  GHashTable *told; /* hash of a runner that peers believe to have work -> rounds in which they
                     * are still to hear that it has none */
};

static void
apply_peer_work (GgWorkExchange *self)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      uint32_t hash = gg_work_share_hash (runner->record.id, runner->record.born_ms);
      runner->peers = gg_peer_work_get (self->peer_work, hash);
    }
}

static void
take_pledge (GgWorkExchange *self, const GgWorkShareEntry *entry, uint64_t now_ms)
{
  GgFleet *fleet = self->router->fleet;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (gg_work_share_hash (runner->record.id, runner->record.born_ms) == entry->runner_hash)
        gg_fleet_runner_pledge (runner, &entry->pledged, now_ms);
    }
}

void
gg_work_exchange_take (GgWorkExchange *self, char *bytes, size_t size_bytes)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgWorkShare share;
  if (gg_work_share_decode (bytes, size_bytes, &share)
      && gg_peer_work_begin (self->peer_work, share.instance, share.incarnation, share.number,
                             now_ms))
    for (guint i = 0; i < share.entries->len; i++)
      {
        const GgWorkShareEntry *entry = &g_array_index (share.entries, GgWorkShareEntry, i);
        gg_peer_work_add (self->peer_work, entry->runner_hash, &entry->work);
        if (entry->pledged.end_layer > 0)
          take_pledge (self, entry, now_ms);
      }
  gg_work_share_clear (&share);
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
send_part (GgWorkExchange *self, GgWorkShare *share, gboolean is_far_due)
{
  char bytes[GG_WORK_SHARE_MAX_BYTES];
  if (share->entries->len == 0)
    return;
  share->number = ++self->number;
  size_t size_bytes = gg_work_share_encode (share, bytes, sizeof bytes);
  g_assert (size_bytes > 0);
  const GPtrArray *peers = gg_membership_get_peers (self->membership);
  for (guint i = 0; i < peers->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (peers, i);
      if (is_far_due || strcmp (peer->data_centre, self->router->data_centre) == 0)
        gg_datagram_socket_send (self->router->peer_socket, peer->address, bytes, size_bytes);
    }
  g_array_set_size (share->entries, 0);
}

/* Tells each runner that has work, and for a while that it has none any more. */
static void
send_share (GgWorkExchange *self)
{
  const GgFleet *fleet = self->router->fleet;
  uint64_t now_ms = gg_clock_now_ms ();
  gboolean is_leader = gg_membership_is_leader (self->membership);
  gboolean is_far_due = self->n_rounds++ % FAR_ROUNDS == 0;
  GgWorkShare share;
  gg_work_share_init (&share);
  share.instance = strdup (self->router->instance);
  share.incarnation = self->incarnation;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgFleetRunner *runner = gg_fleet_get (fleet, i);
      uint32_t hash = gg_work_share_hash (runner->record.id, runner->record.born_ms);
      gboolean has_work = runner->own.n_requests > 0;
      gboolean is_pledged = is_leader && has_open_pledge (runner, now_ms);
      guint n_left = GPOINTER_TO_UINT (g_hash_table_lookup (self->told, GUINT_TO_POINTER (hash)));
      if (!has_work && n_left == 0 && !is_pledged)
        continue;
      GgWorkShareEntry entry = { .runner_hash = hash, .work = runner->own };
      if (is_pledged)
        entry.pledged = runner->pledged;
      g_array_append_val (share.entries, entry);
      n_left = has_work ? FAR_ROUNDS : n_left - MIN (n_left, 1);
      if (n_left > 0)
        g_hash_table_insert (self->told, GUINT_TO_POINTER (hash), GUINT_TO_POINTER (n_left));
      else
        g_hash_table_remove (self->told, GUINT_TO_POINTER (hash));
      if (share.entries->len == GG_WORK_SHARE_MAX_ENTRIES)
        send_part (self, &share, is_far_due);
    }
  send_part (self, &share, is_far_due);
  gg_work_share_clear (&share);
}

static void
on_timer (void *data)
{
  GgWorkExchange *self = data;
  gg_peer_work_expire (self->peer_work, gg_clock_now_ms ());
  apply_peer_work (self);
  send_share (self);
  gg_loop_timer_start (self->timer, SEND_MS);
}

GgWorkExchange *
gg_work_exchange_create (GgRouter *router, const GgMembership *membership)
{
  GgWorkExchange *self = g_new0 (GgWorkExchange, 1);
  self->router = router;
  self->membership = membership;
  self->incarnation = gg_clock_wall_ms ();
  self->peer_work = gg_peer_work_create (HOLD_MS);
  self->told = g_hash_table_new (NULL, NULL);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, SEND_MS);
  return self;
}

void
gg_work_exchange_destroy (GgWorkExchange *self)
{
  gg_loop_timer_destroy (self->timer);
  gg_peer_work_destroy (self->peer_work);
  g_hash_table_unref (self->told);
  g_free (self);
}
