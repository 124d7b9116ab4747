#include "core/peer_load.h"

typedef struct
{
  GgRunnerLoad work;
  uint64_t heard_ms;
} Said;

typedef struct
{
  uint64_t incarnation;
  uint64_t number;
  uint64_t heard_ms;
  GHashTable *said; /* hash of a runner -> Said */
} Peer;

struct _GgPeerLoad
{
  uint64_t hold_ms;
  GHashTable *peers; /* name -> Peer */
  Peer *current;     /* whose word is being read */
};

static void
free_peer (void *data)
{
  Peer *peer = data;
  g_hash_table_unref (peer->said);
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
      known->said = g_hash_table_new_full (NULL, NULL, NULL, g_free);
      g_hash_table_insert (self->peers, g_strdup (peer), known);
    }
  else if (known->incarnation == incarnation && known->number >= number)
    return FALSE;
  if (known->incarnation != incarnation)
    g_hash_table_remove_all (known->said);
  known->incarnation = incarnation;
  known->number = number;
  known->heard_ms = now_ms;
  self->current = known;
  return TRUE;
}

void
gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *work)
{
  Said *said = g_new (Said, 1);
  *said = (Said){ .work = *work, .heard_ms = self->current->heard_ms };
  g_hash_table_insert (self->current->said, GUINT_TO_POINTER (runner_hash), said);
}

static void
expire_said (GHashTable *said, uint64_t before_ms)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, said);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Said *) value)->heard_ms < before_ms)
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
      if (peer->heard_ms < before_ms)
        g_hash_table_iter_remove (&iter);
      else
        expire_said (peer->said, before_ms);
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
      const Said *said = g_hash_table_lookup (peer->said, GUINT_TO_POINTER (runner_hash));
      if (said != NULL)
        gg_runner_load_add (&sum, &said->work);
    }
  return sum;
}
