#include "core/roster.h"

#include <string.h>

struct _GgRoster
{
  GgPeer *own;
  GHashTable *peers;        /* name -> GgPeer, this instance included if it is registered */
  GHashTable *data_centres; /* name -> GPtrArray of GgPeer by rank, borrowed */
  GPtrArray *names;         /* of the data centres, borrowed */
  GPtrArray *others;        /* GgPeer, borrowed */
  GPtrArray *sources;       /* GgPeer, borrowed */
};

GgPeer *
gg_peer_create (const char *name, const char *address, const char *data_centre, uint32_t capacity)
{
  GgPeer *self = g_new0 (GgPeer, 1);
  self->name = g_strdup (name);
  self->address = g_strdup (address);
  self->data_centre = g_strdup (data_centre);
  self->capacity = capacity;
  return self;
}

void
gg_peer_destroy (GgPeer *self)
{
  if (self == NULL)
    return;
  g_free (self->name);
  g_free (self->address);
  g_free (self->data_centre);
  g_free (self);
}

static void
free_peer (void *data)
{
  gg_peer_destroy (data);
}

static void
unref_array (void *data)
{
  g_ptr_array_unref (data);
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const GgPeer *x = *(const GgPeer *const *) a;
  const GgPeer *y = *(const GgPeer *const *) b;
  if (x->capacity != y->capacity)
    return x->capacity > y->capacity ? -1 : 1;
  return strcmp (x->name, y->name);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static gboolean
is_own (const GgRoster *self, const GgPeer *peer)
{
  return strcmp (peer->name, self->own->name) == 0;
}

static void
rebuild_sources (GgRoster *self)
{
  const GPtrArray *local = gg_roster_get_ranked (self, self->own->data_centre);
  for (guint i = 0; local != NULL && i < local->len; i++)
    if (!is_own (self, g_ptr_array_index (local, i)))
      g_ptr_array_add (self->sources, g_ptr_array_index (local, i));
  for (guint i = 0; i < self->names->len; i++)
    {
      const char *name = g_ptr_array_index (self->names, i);
      const GPtrArray *remote = gg_roster_get_ranked (self, name);
      if (strcmp (name, self->own->data_centre) != 0)
        g_ptr_array_add (self->sources, g_ptr_array_index (remote, 0));
    }
}

static void
rebuild (GgRoster *self)
{
  g_hash_table_remove_all (self->data_centres);
  g_ptr_array_set_size (self->names, 0);
  g_ptr_array_set_size (self->others, 0);
  g_ptr_array_set_size (self->sources, 0);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GgPeer *peer = value;
      GPtrArray *ranked = g_hash_table_lookup (self->data_centres, peer->data_centre);
      if (ranked == NULL)
        {
          ranked = g_ptr_array_new ();
          g_hash_table_insert (self->data_centres, peer->data_centre, ranked);
          g_ptr_array_add (self->names, peer->data_centre);
        }
      g_ptr_array_add (ranked, peer);
      if (!is_own (self, peer))
        g_ptr_array_add (self->others, peer);
    }
  g_hash_table_iter_init (&iter, self->data_centres);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_sort (value, compare_ranks);
  g_ptr_array_sort (self->names, compare_names);
  rebuild_sources (self);
}

GgRoster *
gg_roster_create (const GgPeer *self_peer)
{
  GgRoster *self = g_new0 (GgRoster, 1);
  self->own = gg_peer_create (self_peer->name, self_peer->address, self_peer->data_centre,
                              self_peer->capacity);
  self->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  self->data_centres = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_array);
  self->names = g_ptr_array_new ();
  self->others = g_ptr_array_new ();
  self->sources = g_ptr_array_new ();
  return self;
}

void
gg_roster_destroy (GgRoster *self)
{
  g_hash_table_unref (self->data_centres);
  g_hash_table_unref (self->peers);
  g_ptr_array_unref (self->names);
  g_ptr_array_unref (self->others);
  g_ptr_array_unref (self->sources);
  gg_peer_destroy (self->own);
  g_free (self);
}

void
gg_roster_clear (GgRoster *self)
{
  g_hash_table_remove_all (self->data_centres);
  g_hash_table_remove_all (self->peers);
  rebuild (self);
}

void
gg_roster_put (GgRoster *self, GgPeer *peer)
{
  g_hash_table_remove_all (self->data_centres);
  g_hash_table_replace (self->peers, peer->name, peer);
  rebuild (self);
}

void
gg_roster_remove (GgRoster *self, const char *name)
{
  g_hash_table_remove_all (self->data_centres);
  g_hash_table_remove (self->peers, name);
  rebuild (self);
}

const GPtrArray *
gg_roster_get_ranked (const GgRoster *self, const char *data_centre)
{
  return g_hash_table_lookup (self->data_centres, data_centre);
}

const GPtrArray *
gg_roster_get_others (const GgRoster *self)
{
  return self->others;
}

const GPtrArray *
gg_roster_get_sources (const GgRoster *self)
{
  return self->sources;
}

const GPtrArray *
gg_roster_get_data_centres (const GgRoster *self)
{
  return self->names;
}

gboolean
gg_roster_has_name (const GgRoster *self, const char *name)
{
  return g_hash_table_contains (self->peers, name);
}

gboolean
gg_roster_has_address (const GgRoster *self, const char *address)
{
  for (guint i = 0; i < self->others->len; i++)
    if (strcmp (((const GgPeer *) g_ptr_array_index (self->others, i))->address, address) == 0)
      return TRUE;
  return FALSE;
}

guint
gg_roster_get_rank (const GgRoster *self)
{
  const GPtrArray *ranked = gg_roster_get_ranked (self, self->own->data_centre);
  guint rank = 0;
  while (ranked != NULL && rank < ranked->len && !is_own (self, g_ptr_array_index (ranked, rank)))
    rank++;
  return rank;
}

gboolean
gg_roster_is_first (const GgRoster *self)
{
  return gg_roster_get_rank (self) == 0 && gg_roster_has_name (self, self->own->name);
}

guint
gg_roster_get_overall_rank (const GgRoster *self)
{
  guint rank = 0;
  for (guint i = 0; i < self->others->len; i++)
    rank += strcmp (((const GgPeer *) g_ptr_array_index (self->others, i))->name, self->own->name)
            < 0;
  return rank;
}

gboolean
gg_roster_is_needed (const GgRoster *self)
{
  const GPtrArray *ranked = gg_roster_get_ranked (self, self->own->data_centre);
  guint n_as_large = 0;
  for (guint i = 0; ranked != NULL && i < ranked->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (ranked, i);
      n_as_large += !is_own (self, peer) && peer->capacity >= self->own->capacity;
    }
  return n_as_large < GG_ROSTER_TARGET;
}

gboolean
gg_roster_is_surplus (const GgRoster *self)
{
  return g_hash_table_contains (self->peers, self->own->name)
         && gg_roster_get_rank (self) >= GG_ROSTER_TARGET;
}
