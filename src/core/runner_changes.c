#include "core/runner_changes.h"

/* An instance that received no report for this long has started its own watch of the store long
 * before, so it needs no older changes. */
#define KEEP_MS 10000
/* Bounds memory if many entries change at once; an instance that is further behind lists all
 * runners again. */
#define MAX_CHANGES 200

typedef struct
{
  GgRunnerChange change;
  uint64_t recorded_ms;
} Entry;

struct _GgRunnerChanges
{
  GArray *entries;         /* Entry, in order of revision */
  GHashTable *removed;     /* id of a runner that is not listed again -> revision of its removal */
  uint64_t complete_after; /* every change after this revision is kept */
};

void
gg_runner_change_clear (GgRunnerChange *self)
{
  gg_runner_record_clear (&self->record);
  *self = (GgRunnerChange){ 0 };
}

static void
clear_entry (void *data)
{
  gg_runner_change_clear (&((Entry *) data)->change);
}

GgRunnerChanges *
gg_runner_changes_create (void)
{
  GgRunnerChanges *self = g_new0 (GgRunnerChanges, 1);
  self->entries = g_array_new (FALSE, TRUE, sizeof (Entry));
  g_array_set_clear_func (self->entries, clear_entry);
  self->removed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
gg_runner_changes_destroy (GgRunnerChanges *self)
{
  if (self == NULL)
    return;
  g_array_unref (self->entries);
  g_hash_table_unref (self->removed);
  g_free (self);
}

void
gg_runner_changes_reset (GgRunnerChanges *self, uint64_t revision)
{
  g_array_set_size (self->entries, 0);
  g_hash_table_remove_all (self->removed);
  self->complete_after = revision;
}

static void
discard_old (GgRunnerChanges *self, uint64_t now_ms)
{
  guint n = 0;
  for (; n < self->entries->len; n++)
    {
      const Entry *entry = &g_array_index (self->entries, Entry, n);
      if (self->entries->len - n <= MAX_CHANGES && now_ms - entry->recorded_ms <= KEEP_MS)
        break;
      self->complete_after = entry->change.revision;
      const uint64_t *removed = g_hash_table_lookup (self->removed, entry->change.record.id);
      if (removed != NULL && *removed == entry->change.revision)
        g_hash_table_remove (self->removed, entry->change.record.id);
    }
  if (n > 0)
    g_array_remove_range (self->entries, 0, n);
}

static void
add (GgRunnerChanges *self, const GgRunnerChange *change, uint64_t now_ms)
{
  Entry entry = { .change = *change, .recorded_ms = now_ms };
  g_array_append_val (self->entries, entry);
  discard_old (self, now_ms);
}

void
gg_runner_changes_put (GgRunnerChanges *self,
                       uint64_t revision,
                       const GgRunnerRecord *record,
                       gboolean is_changed,
                       uint64_t now_ms)
{
  gboolean was_removed = g_hash_table_remove (self->removed, record->id);
  if (!is_changed && !was_removed)
    return;
  GgRunnerChange change = { .revision = revision };
  gg_runner_record_copy (&change.record, record);
  add (self, &change, now_ms);
}

void
gg_runner_changes_remove (GgRunnerChanges *self, uint64_t revision, const char *id, uint64_t now_ms)
{
  g_hash_table_replace (self->removed, g_strdup (id), g_memdup2 (&revision, sizeof revision));
  GgRunnerChange change = { .revision = revision, .is_removed = TRUE };
  change.record.id = g_strdup (id);
  add (self, &change, now_ms);
}

int
gg_runner_changes_find (const GgRunnerChanges *self, uint64_t revision, guint *first_out)
{
  guint first = self->entries->len;
  while (first > 0 && g_array_index (self->entries, Entry, first - 1).change.revision > revision)
    first--;
  *first_out = first;
  return revision < self->complete_after ? -1 : (int) (self->entries->len - first);
}

const GgRunnerChange *
gg_runner_changes_get (const GgRunnerChanges *self, guint i)
{
  return &g_array_index (self->entries, Entry, i).change;
}
