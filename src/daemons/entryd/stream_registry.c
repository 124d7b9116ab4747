#include "daemons/entryd/stream_registry.h"

#include "core/mutation.h"
#include <pthread.h>

typedef struct
{
  GgStream *stream;
  uint64_t ended_at_ms; /* 0 before the end was noticed */
  gboolean delivered;
} Entry;

struct _GgStreamRegistry
{
  pthread_mutex_t lock;
  GHashTable *entries; /* GgId to Entry */
  uint64_t grace_ms;
};

static guint
id_hash (gconstpointer key)
{
  const GgId *id = key;
  guint hash = 0;
  for (int i = 8; i < 12; i++)
    hash = hash << 8 | id->bytes[i];
  return hash;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return gg_id_equal (a, b);
}

static void
entry_free (gpointer data)
{
  Entry *entry = data;
  gg_stream_unref (entry->stream);
  g_free (entry);
}

GgStreamRegistry *
gg_stream_registry_create (uint64_t grace_ms)
{
  GgStreamRegistry *self = g_new0 (GgStreamRegistry, 1);
  pthread_mutex_init (&self->lock, NULL);
  self->entries = g_hash_table_new_full (id_hash, id_equal, NULL, entry_free);
  self->grace_ms = grace_ms;
  return self;
}

void
gg_stream_registry_destroy (GgStreamRegistry *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->entries);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

void
gg_stream_registry_add (GgStreamRegistry *self, GgStream *stream)
{
  Entry *entry = g_new0 (Entry, 1);
  entry->stream = gg_stream_ref (stream);
  pthread_mutex_lock (&self->lock);
  g_hash_table_replace (self->entries, (gpointer) gg_stream_get_request_id (stream), entry);
  pthread_mutex_unlock (&self->lock);
}

GgStream *
gg_stream_registry_find (GgStreamRegistry *self, const GgId *request_id, const char *team)
{
  GgStream *stream = NULL;
  pthread_mutex_lock (&self->lock);
  Entry *entry = g_hash_table_lookup (self->entries, request_id);
  if (entry != NULL
      && (g_str_equal (gg_stream_get_team (entry->stream), team)
          || GG_IS_MUTATED ("stream-any-team")))
    stream = gg_stream_ref (entry->stream);
  pthread_mutex_unlock (&self->lock);
  return stream;
}

void
gg_stream_registry_expire (GgStreamRegistry *self, uint64_t now_ms)
{
  GHashTableIter it;
  gpointer value;
  pthread_mutex_lock (&self->lock);
  g_hash_table_iter_init (&it, self->entries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Entry *entry = value;
      if (entry->ended_at_ms == 0 && gg_stream_is_ended (entry->stream))
        entry->ended_at_ms = now_ms;
      if (entry->ended_at_ms != 0 && now_ms >= entry->ended_at_ms + self->grace_ms)
        g_hash_table_iter_remove (&it);
    }
  pthread_mutex_unlock (&self->lock);
}

void
gg_stream_registry_mark_delivered (GgStreamRegistry *self, const GgId *request_id)
{
  pthread_mutex_lock (&self->lock);
  Entry *entry = g_hash_table_lookup (self->entries, request_id);
  if (entry != NULL)
    entry->delivered = TRUE;
  pthread_mutex_unlock (&self->lock);
}

guint
gg_stream_registry_count_undelivered (GgStreamRegistry *self)
{
  guint count = 0;
  GHashTableIter it;
  gpointer value;
  pthread_mutex_lock (&self->lock);
  g_hash_table_iter_init (&it, self->entries);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count += ((Entry *) value)->delivered ? 0 : 1;
  pthread_mutex_unlock (&self->lock);
  return count;
}

guint
gg_stream_registry_count (GgStreamRegistry *self)
{
  pthread_mutex_lock (&self->lock);
  guint count = g_hash_table_size (self->entries);
  pthread_mutex_unlock (&self->lock);
  return count;
}
