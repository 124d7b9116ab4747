#include "core/account.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <pthread.h>
#include <string.h>

/* An entry is closed this long after its latest event; the next event opens a new entry. */
#define GG_ACCOUNT_OPEN_MS ((uint64_t) 10 * 60 * 1000)
#define GG_ACCOUNT_TEXT_MAX_BYTES 512
/* Sequence of the entry that counts dropped entries; others are at least the wall clock in ms. */
#define GG_ACCOUNT_GAP_SEQUENCE 0
#define GG_ACCOUNT_GAP_KIND "gap"

typedef struct
{
  char *instance;
  uint64_t sequence;
  char *kind;
  char *subject;
  char *detail;
  uint64_t first_ms;
  uint64_t last_ms;
  uint64_t count;
  gboolean needs_person;
} Entry;

struct _GgAccount
{
  pthread_mutex_t mutex;
  char *instance;
  uint32_t max_entries;
  uint64_t version;
  uint64_t last_sequence;
  GPtrArray *own;    /**< Entry, oldest first. */
  GPtrArray *merged; /**< Entry of other instances, in order of arrival. */
};

static void
entry_free (void *data)
{
  Entry *entry = data;
  g_free (entry->instance);
  g_free (entry->kind);
  g_free (entry->subject);
  g_free (entry->detail);
  g_free (entry);
}

GgAccount *
gg_account_create (const char *instance, uint32_t max_entries)
{
  GgAccount *self = g_new0 (GgAccount, 1);
  pthread_mutex_init (&self->mutex, NULL);
  self->instance = g_strdup (instance);
  self->max_entries = max_entries;
  self->own = g_ptr_array_new_with_free_func (entry_free);
  self->merged = g_ptr_array_new_with_free_func (entry_free);
  return self;
}

void
gg_account_destroy (GgAccount *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->own);
  g_ptr_array_unref (self->merged);
  pthread_mutex_destroy (&self->mutex);
  g_free (self->instance);
  g_free (self);
}

static char *
bounded_text (const char *text)
{
  char *valid = g_utf8_make_valid (text != NULL ? text : "", -1);
  if (strlen (valid) > GG_ACCOUNT_TEXT_MAX_BYTES)
    {
      char *end = g_utf8_find_prev_char (valid, valid + GG_ACCOUNT_TEXT_MAX_BYTES + 1);
      *end = '\0';
    }
  return valid;
}

static Entry *
find_open (GPtrArray *entries, const char *kind, const char *subject, uint64_t wall_ms)
{
  for (guint i = entries->len; i > 0; i--)
    {
      Entry *entry = g_ptr_array_index (entries, i - 1);
      if (entry->last_ms + GG_ACCOUNT_OPEN_MS >= wall_ms && strcmp (entry->kind, kind) == 0
          && strcmp (entry->subject, subject) == 0)
        return entry;
    }
  return NULL;
}

static Entry *
find_sequence (GPtrArray *entries, const char *instance, uint64_t sequence)
{
  for (guint i = entries->len; i > 0; i--)
    {
      Entry *entry = g_ptr_array_index (entries, i - 1);
      if (entry->sequence == sequence && strcmp (entry->instance, instance) == 0)
        return entry;
    }
  return NULL;
}

/* Returns the index of the entry to drop: the oldest one that needs no person or, if all need one,
 * the oldest. */
static guint
find_victim (GPtrArray *entries)
{
  guint oldest = 0;
  gboolean found = FALSE;
  for (guint i = 0; i < entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (entries, i);
      if (entry->sequence == GG_ACCOUNT_GAP_SEQUENCE)
        continue;
      if (!entry->needs_person)
        return i;
      if (!found)
        oldest = i;
      found = TRUE;
    }
  return oldest;
}

static void
count_gap (GgAccount *self, GPtrArray *entries, const Entry *dropped)
{
  Entry *gap = find_sequence (entries, dropped->instance, GG_ACCOUNT_GAP_SEQUENCE);
  if (gap == NULL)
    {
      gap = g_new0 (Entry, 1);
      gap->instance = g_strdup (dropped->instance);
      gap->kind = g_strdup (GG_ACCOUNT_GAP_KIND);
      gap->subject = g_strdup ("account");
      gap->first_ms = dropped->first_ms;
      g_ptr_array_insert (entries, 0, gap);
    }
  gap->count++;
  gap->first_ms = MIN (gap->first_ms, dropped->first_ms);
  gap->last_ms = MAX (gap->last_ms, dropped->last_ms);
  gap->needs_person |= dropped->needs_person;
  g_free (gap->detail);
  gap->detail = g_strdup_printf ("%" G_GUINT64_FORMAT " entries were dropped", gap->count);
}

static void
enforce_bound (GgAccount *self, GPtrArray *entries)
{
  while (entries->len > self->max_entries)
    {
      Entry *dropped = g_ptr_array_steal_index (entries, find_victim (entries));
      if (dropped->sequence != GG_ACCOUNT_GAP_SEQUENCE)
        count_gap (self, entries, dropped);
      entry_free (dropped);
    }
}

/* A process that restarts under its old name must not reuse a sequence that was saved. */
static uint64_t
next_sequence (GgAccount *self, uint64_t wall_ms)
{
  self->last_sequence = MAX (self->last_sequence + 1, wall_ms);
  return self->last_sequence;
}

static Entry *
open_entry (GgAccount *self, const char *kind, const char *subject, uint64_t wall_ms)
{
  Entry *entry = g_new0 (Entry, 1);
  entry->instance = g_strdup (self->instance);
  entry->sequence = next_sequence (self, wall_ms);
  entry->kind = g_strdup (kind);
  entry->subject = g_strdup (subject);
  entry->first_ms = wall_ms;
  g_ptr_array_add (self->own, entry);
  return entry;
}

void
gg_account_record (GgAccount *self,
                   const char *kind,
                   const char *subject,
                   const char *detail,
                   gboolean needs_person,
                   uint64_t wall_ms)
{
  char *bounded_subject = bounded_text (subject);
  char *bounded_kind = bounded_text (kind);
  char *bounded_detail = bounded_text (detail);

  pthread_mutex_lock (&self->mutex);
  Entry *entry = find_open (self->own, bounded_kind, bounded_subject, wall_ms);
  if (entry == NULL)
    entry = open_entry (self, bounded_kind, bounded_subject, wall_ms);
  entry->count++;
  entry->last_ms = MAX (entry->last_ms, wall_ms);
  entry->needs_person |= needs_person;
  g_free (entry->detail);
  entry->detail = g_steal_pointer (&bounded_detail);
  enforce_bound (self, self->own);
  self->version++;
  pthread_mutex_unlock (&self->mutex);

  g_free (bounded_subject);
  g_free (bounded_kind);
}

static void
format_entry (JsonBuilder *builder, const Entry *entry)
{
  json_builder_begin_object (builder);
  gg_json_add_string (builder, "instance", entry->instance);
  gg_json_add_uint (builder, "sequence", entry->sequence);
  gg_json_add_string (builder, "kind", entry->kind);
  gg_json_add_string (builder, "subject", entry->subject);
  gg_json_add_string (builder, "detail", entry->detail);
  gg_json_add_uint (builder, "first_ms", entry->first_ms);
  gg_json_add_uint (builder, "last_ms", entry->last_ms);
  gg_json_add_uint (builder, "count", entry->count);
  gg_json_add_boolean (builder, "needs_person", entry->needs_person);
  json_builder_end_object (builder);
}

static void
format_entries (JsonBuilder *builder, GPtrArray *entries, uint64_t since_ms)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const Entry *entry = g_ptr_array_index (entries, i);
      if (entry->last_ms >= since_ms)
        format_entry (builder, entry);
    }
}

char *
gg_account_format (GgAccount *self, uint64_t since_ms)
{
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_array (builder);
  pthread_mutex_lock (&self->mutex);
  format_entries (builder, self->own, since_ms);
  format_entries (builder, self->merged, since_ms);
  pthread_mutex_unlock (&self->mutex);
  json_builder_end_array (builder);

  return gg_json_print (builder);
}

static char *
parse_text (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return bounded_text (json_node_get_string (node));
}

static gboolean
parse_uint (JsonObject *object, const char *name, uint64_t *value_out)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64
      || json_node_get_int (node) < 0)
    return FALSE;
  *value_out = (uint64_t) json_node_get_int (node);
  return TRUE;
}

static Entry *
parse_entry (JsonNode *node)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  JsonObject *object = json_node_get_object (node);
  JsonNode *person = json_object_get_member (object, "needs_person");
  Entry *entry = g_new0 (Entry, 1);
  entry->instance = parse_text (object, "instance");
  entry->kind = parse_text (object, "kind");
  entry->subject = parse_text (object, "subject");
  entry->detail = parse_text (object, "detail");
  gboolean is_complete = entry->instance != NULL && entry->kind != NULL && entry->subject != NULL
                         && entry->detail != NULL
                         && parse_uint (object, "sequence", &entry->sequence)
                         && parse_uint (object, "first_ms", &entry->first_ms)
                         && parse_uint (object, "last_ms", &entry->last_ms)
                         && parse_uint (object, "count", &entry->count) && person != NULL
                         && json_node_get_value_type (person) == G_TYPE_BOOLEAN;
  if (!is_complete)
    {
      entry_free (entry);
      return NULL;
    }
  entry->needs_person = json_node_get_boolean (person);
  return entry;
}

static GPtrArray *
parse_entries (const char *json)
{
  JsonNode *root = gg_json_check (json, strlen (json), NULL) ? json_from_string (json, NULL) : NULL;
  if (root == NULL || !JSON_NODE_HOLDS_ARRAY (root))
    {
      g_clear_pointer (&root, json_node_unref);
      return NULL;
    }
  GPtrArray *entries = g_ptr_array_new_with_free_func (entry_free);
  JsonArray *array = json_node_get_array (root);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      Entry *entry = parse_entry (json_array_get_element (array, i));
      if (entry == NULL)
        {
          g_clear_pointer (&entries, g_ptr_array_unref);
          break;
        }
      g_ptr_array_add (entries, entry);
    }
  json_node_unref (root);
  return entries;
}

/* Takes ownership of @p entry. */
static gboolean
merge_entry (GgAccount *self, Entry *entry)
{
  gboolean is_own = strcmp (entry->instance, self->instance) == 0;
  GPtrArray *entries = is_own ? self->own : self->merged;
  Entry *known = find_sequence (entries, entry->instance, entry->sequence);
  if (known != NULL && known->count >= entry->count && known->last_ms >= entry->last_ms)
    {
      entry_free (entry);
      return FALSE;
    }
  if (known != NULL)
    {
      Entry old = *known;
      *known = *entry;
      *entry = old;
      entry_free (entry);
      return TRUE;
    }
  if (is_own)
    self->last_sequence = MAX (self->last_sequence, entry->sequence);
  g_ptr_array_add (entries, entry);
  return TRUE;
}

static int
compare_sequences (const void *a, const void *b)
{
  const Entry *x = *(Entry *const *) a;
  const Entry *y = *(Entry *const *) b;
  return (x->sequence > y->sequence) - (x->sequence < y->sequence);
}

gboolean
gg_account_merge (GgAccount *self, const char *json)
{
  GPtrArray *entries = parse_entries (json);
  if (entries == NULL)
    return FALSE;

  gboolean changed = FALSE;
  pthread_mutex_lock (&self->mutex);
  while (entries->len > 0)
    changed |= merge_entry (self, g_ptr_array_steal_index (entries, 0));
  if (changed)
    {
      g_ptr_array_sort (self->own, compare_sequences);
      enforce_bound (self, self->own);
      enforce_bound (self, self->merged);
      self->version++;
    }
  pthread_mutex_unlock (&self->mutex);
  g_ptr_array_unref (entries);
  return TRUE;
}

uint64_t
gg_account_get_version (GgAccount *self)
{
  pthread_mutex_lock (&self->mutex);
  uint64_t version = self->version;
  pthread_mutex_unlock (&self->mutex);
  return version;
}
