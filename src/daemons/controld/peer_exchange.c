#include "daemons/controld/peer_exchange.h"

#include "adapters/rpc/member_wire.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "daemons/controld/control_digest.h"
#include "daemons/controld/control_random.h"

#include <string.h>

/* With more peers than this, each round contacts only one. */
#define LARGE_FLEET_PEERS 32
#define EXCHANGE_TIMEOUT_MS 300
#define FETCH_TIMEOUT_MS 1500
/* Minimum time between two rounds when updates wake the exchange early. */
#define MIN_INTERVAL_MS 50
#define ANNOUNCE_PEERS 8
#define ANNOUNCE_TIMEOUT_MS 1000
/* A lost datagram or the restart of a peer must not be reported as an outage. */
#define UNREACHABLE_AFTER_MS 5000
#define UNREACHABLE_FAILURES 3
#define BOOTSTRAP_PEERS 4

static GgCounter exchanges
    = GG_COUNTER ("greengage_exchanges_total{result=\"ok\"}", "Exchanges of digests");
static GgCounter failures
    = GG_COUNTER ("greengage_exchanges_total{result=\"failed\"}", "Exchanges of digests");
static GgCounter fetches
    = GG_COUNTER ("greengage_config_fetches_total", "Configurations fetched from peers");

typedef struct
{
  uint32_t failures;      /* Consecutive. */
  uint64_t since_ms;      /* Time of the first of them. */
  gboolean recorded;      /* Logged as unreachable. */
  gboolean is_in_account; /* Recorded by this process, which then also records the recovery. */
} PeerHealth;

struct _GgPeerExchange
{
  GgControlState *state;
  uint64_t period_ms;
  guint fanout;
  char **seeds;
  GHashTable *health; /* Peer id or address to PeerHealth. */
  pthread_t thread;
};

static gboolean
exchange_with (GgControlState *state, const char *address, const char *data_centre)
{
  gg_rpc_digest digest;
  gg_rpc_digest reply;
  gg_control_digest_build (state, data_centre, gg_clock_now_ms (), &digest);
  gboolean answered = gg_control_client_exchange (address, &digest, EXCHANGE_TIMEOUT_MS, &reply);
  gg_control_digest_free (&digest);
  gg_counter_add (answered ? &exchanges : &failures, 1);
  if (!answered)
    return FALSE;
  gg_control_digest_merge (state, &reply, address, gg_clock_now_ms ());
  gg_control_digest_free (&reply);
  return TRUE;
}

static PeerHealth *
get_health (GgPeerExchange *self, const char *peer)
{
  PeerHealth *health = g_hash_table_lookup (self->health, peer);
  if (health == NULL)
    {
      health = g_new0 (PeerHealth, 1);
      g_hash_table_insert (self->health, g_strdup (peer), health);
    }
  return health;
}

static void
note_answer (GgPeerExchange *self, const char *peer, uint64_t now_ms)
{
  const PeerHealth *health = g_hash_table_lookup (self->health, peer);
  if (health == NULL)
    return;
  if (health->recorded)
    gg_log (LOG_NOTICE, "event=peer-reachable peer=%s", peer);
  if (health->is_in_account)
    {
      char *detail
          = g_strdup_printf ("control process answers again after %" G_GUINT64_FORMAT " ms",
                             now_ms - health->since_ms);
      gg_account_record (self->state->account, "peer-reachable", peer, detail, FALSE,
                         gg_clock_wall_ms ());
      g_free (detail);
    }
  g_hash_table_remove (self->health, peer);
}

static void
note_result (GgPeerExchange *self, const char *peer, gboolean answered)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (answered)
    {
      note_answer (self, peer, now_ms);
      return;
    }
  PeerHealth *health = get_health (self, peer);
  if (health->failures++ == 0)
    health->since_ms = now_ms;
  if (health->recorded || health->failures < UNREACHABLE_FAILURES
      || now_ms < health->since_ms + UNREACHABLE_AFTER_MS)
    return;
  health->recorded = TRUE;
  gg_log (LOG_WARNING, "event=peer-unreachable peer=%s failures=%u", peer, health->failures);
  health->is_in_account = gg_control_state_is_recorder (self->state, peer);
  if (health->is_in_account)
    gg_account_record (self->state->account, "peer-unreachable", peer,
                       "control process does not answer", FALSE, gg_clock_wall_ms ());
}

static void
shuffle (GArray *members)
{
  for (guint i = members->len; i > 1; i--)
    {
      guint j = (guint) (gg_control_random () % i);
      GgMember a = g_array_index (members, GgMember, i - 1);
      g_array_index (members, GgMember, i - 1) = g_array_index (members, GgMember, j);
      g_array_index (members, GgMember, j) = a;
    }
}

static void
exchange_with_seed (GgPeerExchange *self)
{
  guint n = g_strv_length (self->seeds);
  if (n == 0)
    return;
  const char *seed = self->seeds[gg_control_random () % n];
  if (strcmp (seed, self->state->rpc_address) != 0)
    note_result (self, seed, exchange_with (self->state, seed, NULL));
}

static void
exchange_once (GgPeerExchange *self)
{
  GArray *peers = gg_control_state_copy_members (self->state, gg_control_state_is_peer);
  shuffle (peers);
  /* Updates wake the exchange at once, so a large fleet does not need a second peer per round, and
   * its digests are large because of the load records. */
  guint fanout = peers->len > LARGE_FLEET_PEERS ? 1 : self->fanout;
  for (guint i = 0; i < peers->len && i < fanout; i++)
    {
      const GgMember *peer = &g_array_index (peers, GgMember, i);
      note_result (self, peer->id,
                   exchange_with (self->state, peer->control_address, peer->data_centre));
    }
  if (peers->len == 0)
    exchange_with_seed (self);
  g_array_unref (peers);
}

static void
fetch_newer_config (GgPeerExchange *self)
{
  gg_control_state_lock (self->state);
  char *address = g_steal_pointer (&self->state->newer_config_address);
  gg_control_state_unlock (self->state);
  if (address == NULL)
    return;
  char *text = NULL;
  uint64_t generation = gg_control_state_get_generation (self->state);
  gg_counter_add (&fetches, 1);
  if (gg_control_client_fetch (address, GG_CONTROL_TEXT_CONFIG, generation, FETCH_TIMEOUT_MS, &text)
      && *text != '\0')
    gg_control_state_accept_config (self->state, text, address);
  g_free (text);
  g_free (address);
}

static void
apply_snapshot (GgPeerExchange *self, const gg_rpc_snapshot *snapshot, const char *address)
{
  GArray *members = g_array_new (FALSE, FALSE, sizeof (GgMember));
  g_array_set_clear_func (members, (GDestroyNotify) gg_member_clear);
  for (u_int i = 0; i < snapshot->members.members_len; i++)
    {
      GgMember member;
      gg_member_from_wire (&snapshot->members.members_val[i], &member);
      g_array_append_val (members, member);
    }
  if (members->len > 0)
    gg_control_state_apply_members (self->state, members, FALSE, gg_clock_now_ms ());
  g_array_unref (members);
  if (*snapshot->config_json != '\0')
    gg_control_state_accept_config (self->state, snapshot->config_json, address);
}

static void
bootstrap_from (GgPeerExchange *self, const char *address)
{
  gg_rpc_snapshot_query query = { 0 };
  gg_rpc_snapshot snapshot;
  if (strcmp (address, self->state->rpc_address) == 0
      || !gg_control_client_snapshot (address, query, FETCH_TIMEOUT_MS, &snapshot))
    return;
  apply_snapshot (self, &snapshot, address);
  gg_control_snapshot_free (&snapshot);
}

/* Requests snapshots from the seeds and a few known peers until this process is ready. Other
 * threads query the platform at the same time. */
static void
bootstrap (GgPeerExchange *self)
{
  for (guint i = 0; self->seeds[i] != NULL && !gg_control_state_is_ready (self->state); i++)
    bootstrap_from (self, self->seeds[i]);
  GArray *peers = gg_control_state_copy_members (self->state, gg_control_state_is_peer);
  shuffle (peers);
  for (guint i = 0; i < peers->len && i < BOOTSTRAP_PEERS; i++)
    if (!gg_control_state_is_ready (self->state))
      bootstrap_from (self, g_array_index (peers, GgMember, i).control_address);
  g_array_unref (peers);
}

static void *
run (void *data)
{
  GgPeerExchange *self = data;
  gboolean is_running = TRUE;
  while (is_running)
    {
      if (!gg_control_state_is_ready (self->state))
        bootstrap (self);
      exchange_once (self);
      fetch_newer_config (self);
      uint64_t jitter_ms = gg_control_random () % (self->period_ms / 4 + 1);
      is_running = gg_control_state_wait (self->state, MIN_INTERVAL_MS)
                   && gg_control_state_wait_for_update (self->state, self->period_ms + jitter_ms
                                                                         - MIN_INTERVAL_MS);
    }
  return NULL;
}

GgPeerExchange *
gg_peer_exchange_create (GgControlState *state, const GgSettings *settings)
{
  GgPeerExchange *self = g_new0 (GgPeerExchange, 1);
  self->state = state;
  self->period_ms = gg_settings_get_uint (settings, "peers", "exchange_ms");
  self->fanout = (guint) gg_settings_get_uint (settings, "peers", "fanout");
  self->seeds = gg_settings_get_list (settings, "peers", "seeds");
  self->health = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gg_control_thread_start (&self->thread, run, self);
  return self;
}

void
gg_peer_exchange_destroy (GgPeerExchange *self)
{
  pthread_join (self->thread, NULL);
  g_strfreev (self->seeds);
  g_hash_table_unref (self->health);
  g_free (self);
}

void
gg_peer_exchange_announce (GgControlState *state)
{
  uint64_t end_ms = gg_clock_now_ms () + ANNOUNCE_TIMEOUT_MS;
  GArray *peers = gg_control_state_copy_members (state, gg_control_state_is_peer);
  shuffle (peers);
  for (guint i = 0; i < peers->len && i < ANNOUNCE_PEERS && gg_clock_now_ms () < end_ms; i++)
    {
      const GgMember *peer = &g_array_index (peers, GgMember, i);
      (void) exchange_with (state, peer->control_address, peer->data_centre);
    }
  g_array_unref (peers);
}
