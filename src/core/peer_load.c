#include "core/peer_load.h"

typedef struct
{
  GgRunnerLoad load;
  uint64_t received_ms;
} Entry;

typedef struct
{
  uint64_t incarnation;
  uint64_t number;
  uint64_t received_ms;
  GHashTable *entries; /* hash of a runner -> Entry */
} Peer;

struct _GgPeerLoad
{
  uint64_t hold_ms;
  uint64_t takeover_ms;
  GHashTable *peers;  /* name -> Peer */
  GHashTable *totals; /* hash of a runner -> GgRunnerLoad: the sum over all peers */
  Peer *current;      /* whose report is being added */
};

static void
free_peer (void *data)
{
  Peer *peer = data;
  g_hash_table_unref (peer->entries);
  g_free (peer);
}

GgPeerLoad *
gg_peer_load_create (uint64_t hold_ms, uint64_t takeover_ms)
{
  GgPeerLoad *self = g_new0 (GgPeerLoad, 1);
  self->hold_ms = hold_ms;
  self->takeover_ms = takeover_ms;
  self->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_peer);
  self->totals = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return self;
}

void
gg_peer_load_destroy (GgPeerLoad *self)
{
  g_hash_table_unref (self->peers);
  g_hash_table_unref (self->totals);
  g_free (self);
}

static void
add_to_total (GgPeerLoad *self, void *runner, const GgRunnerLoad *load)
{
  GgRunnerLoad *total = g_hash_table_lookup (self->totals, runner);
  if (total == NULL)
    {
      total = g_new0 (GgRunnerLoad, 1);
      g_hash_table_insert (self->totals, runner, total);
    }
  gg_runner_load_add (total, load);
}

static void
subtract_from_total (GgPeerLoad *self, void *runner, const GgRunnerLoad *load)
{
  GgRunnerLoad *total = g_hash_table_lookup (self->totals, runner);
  if (total == NULL)
    return; /* of entries without load there is no total */
  gg_runner_load_subtract (total, load);
  if (total->n_requests == 0 && total->token_layers == 0 && total->n_misses == 0
      && total->n_first_hop == 0)
    g_hash_table_remove (self->totals, runner);
}

static void
clear_entries (GgPeerLoad *self, Peer *peer)
{
  GHashTableIter iter;
  void *runner;
  void *value;
  g_hash_table_iter_init (&iter, peer->entries);
  while (g_hash_table_iter_next (&iter, &runner, &value))
    subtract_from_total (self, runner, &((const Entry *) value)->load);
  g_hash_table_remove_all (peer->entries);
}

gboolean
gg_peer_load_begin_report (
    GgPeerLoad *self, const char *peer, uint64_t incarnation, uint64_t number, uint64_t now_ms)
{
  Peer *known = g_hash_table_lookup (self->peers, peer);
  if (known == NULL)
    {
      known = g_new0 (Peer, 1);
      known->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
      known->incarnation = incarnation;
      g_hash_table_insert (self->peers, g_strdup (peer), known);
    }
  else if (known->incarnation == incarnation && known->number >= number)
    return FALSE;
  if (known->incarnation != incarnation)
    {
      if (now_ms < known->received_ms + self->takeover_ms)
        return FALSE;
      clear_entries (self, known);
    }
  known->incarnation = incarnation;
  known->number = number;
  known->received_ms = now_ms;
  self->current = known;
  return TRUE;
}

void
gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *load)
{
  void *runner = GUINT_TO_POINTER (runner_hash);
  Entry *entry = g_hash_table_lookup (self->current->entries, runner);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      g_hash_table_insert (self->current->entries, runner, entry);
      add_to_total (self, runner, load);
    }
  else
    {
      add_to_total (self, runner, load);
      subtract_from_total (self, runner, &entry->load);
    }
  *entry = (Entry){ .load = *load, .received_ms = self->current->received_ms };
}

static void
expire_entries (GgPeerLoad *self, GHashTable *entries, uint64_t before_ms)
{
  GHashTableIter iter;
  void *runner;
  void *value;
  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, &runner, &value))
    if (((const Entry *) value)->received_ms < before_ms)
      {
        subtract_from_total (self, runner, &((const Entry *) value)->load);
        g_hash_table_iter_remove (&iter);
      }
}

void
gg_peer_load_expire (GgPeerLoad *self, uint64_t now_ms)
{
  uint64_t before_ms = now_ms > self->hold_ms ? now_ms - self->hold_ms : 0;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Peer *peer = value;
      if (peer->received_ms >= before_ms)
        expire_entries (self, peer->entries, before_ms);
      else
        {
          clear_entries (self, peer);
          g_hash_table_iter_remove (&iter);
        }
    }
}

GgRunnerLoad
gg_peer_load_get (const GgPeerLoad *self, uint32_t runner_hash)
{
  const GgRunnerLoad *total = g_hash_table_lookup (self->totals, GUINT_TO_POINTER (runner_hash));
  return total != NULL ? *total : (GgRunnerLoad){ 0 };
}

GgRunnerLoad
gg_peer_load_get_of (const GgPeerLoad *self, uint32_t runner_hash, const char *peer)
{
  const Peer *known = g_hash_table_lookup (self->peers, peer);
  const Entry *entry
      = known != NULL ? g_hash_table_lookup (known->entries, GUINT_TO_POINTER (runner_hash)) : NULL;
  return entry != NULL ? entry->load : (GgRunnerLoad){ 0 };
}

guint
gg_peer_load_count_peers (const GgPeerLoad *self)
{
  return g_hash_table_size (self->peers);
}

gboolean
gg_peer_load_has_peer (const GgPeerLoad *self, const char *peer)
{
  return g_hash_table_contains (self->peers, peer);
}
