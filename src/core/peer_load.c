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
  GHashTable *peers; /* name -> Peer */
  Peer *current;     /* whose report is being added */
};

static void
free_peer (void *data)
{
  Peer *peer = data;
  g_hash_table_unref (peer->entries);
  g_free (peer);
}

GgPeerLoad *
gg_peer_load_create (uint64_t hold_ms)
{
  GgPeerLoad *self = g_new0 (GgPeerLoad, 1);
  self->hold_ms = hold_ms;
  self->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_peer);
  return self;
}

void
gg_peer_load_destroy (GgPeerLoad *self)
{
  g_hash_table_unref (self->peers);
  g_free (self);
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
      g_hash_table_insert (self->peers, g_strdup (peer), known);
    }
  else if (known->incarnation == incarnation && known->number >= number)
    return FALSE;
  if (known->incarnation != incarnation)
    g_hash_table_remove_all (known->entries);
  known->incarnation = incarnation;
  known->number = number;
  known->received_ms = now_ms;
  self->current = known;
  return TRUE;
}

void
gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *load)
{
  Entry *entry = g_new (Entry, 1);
  *entry = (Entry){ .load = *load, .received_ms = self->current->received_ms };
  g_hash_table_insert (self->current->entries, GUINT_TO_POINTER (runner_hash), entry);
}

static void
expire_entries (GHashTable *entries, uint64_t before_ms)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Entry *) value)->received_ms < before_ms)
      g_hash_table_iter_remove (&iter);
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
      const Peer *peer = value;
      if (peer->received_ms < before_ms)
        g_hash_table_iter_remove (&iter);
      else
        expire_entries (peer->entries, before_ms);
    }
}

GgRunnerLoad
gg_peer_load_get (const GgPeerLoad *self, uint32_t runner_hash)
{
  GgRunnerLoad sum = { 0 };
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      const Entry *entry = g_hash_table_lookup (peer->entries, GUINT_TO_POINTER (runner_hash));
      if (entry != NULL)
        gg_runner_load_add (&sum, &entry->load);
    }
  return sum;
}
