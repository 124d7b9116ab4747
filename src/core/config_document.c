#include "core/config_document.h"

#include "base/json.h"
#include "core/config.h"
#include "core/mutation.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Records of removed files are kept for the newest removals only, which bounds the size of the
 * document. */
#define GG_CONFIG_DOCUMENT_MAX_REMOVED 256

/* A publisher resolves a lost reply within seconds of its write; at 1,200 changes a day, 32
 * publishes cover more than half an hour. */
#define GG_CONFIG_DOCUMENT_MAX_PUBLISHES 32

struct _GgConfigDocument
{
  uint64_t generation;
  char *publish_id;
  GHashTable *files;     /* path to text */
  GHashTable *changed;   /* path to generation, including removed files */
  GHashTable *publishes; /* publish id to generation */
  uint64_t history_from; /* newest generation of a dropped record; 0 for none */
};

static uint64_t
get_generation (GHashTable *table, const char *key)
{
  const uint64_t *generation = g_hash_table_lookup (table, key);
  return generation != NULL ? *generation : 0;
}

static void
set_generation (GHashTable *table, const char *key, uint64_t generation)
{
  g_hash_table_insert (table, g_strdup (key), g_memdup2 (&generation, sizeof generation));
}

static GHashTable *
create_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static GgConfigDocument *
create_empty (uint64_t generation, const char *publish_id)
{
  GgConfigDocument *self = g_atomic_rc_box_new0 (GgConfigDocument);
  self->generation = generation;
  self->publish_id = g_strdup (publish_id);
  self->files = create_table ();
  self->changed = create_table ();
  self->publishes = create_table ();
  return self;
}

static void
document_clear (gpointer data)
{
  GgConfigDocument *self = data;
  g_free (self->publish_id);
  g_hash_table_unref (self->files);
  g_hash_table_unref (self->changed);
  g_hash_table_unref (self->publishes);
}

GgConfigDocument *
gg_config_document_create (uint64_t generation, const char *publish_id, GHashTable *files)
{
  GgConfigDocument *self = create_empty (generation, publish_id);
  GHashTableIter iter;
  gpointer path;
  gpointer text;
  g_hash_table_iter_init (&iter, files);
  while (g_hash_table_iter_next (&iter, &path, &text))
    {
      g_hash_table_insert (self->files, g_strdup (path), g_strdup (text));
      set_generation (self->changed, path, generation);
    }
  set_generation (self->publishes, publish_id, generation);
  return self;
}

GgConfigDocument *
gg_config_document_ref (GgConfigDocument *self)
{
  return g_atomic_rc_box_acquire (self);
}

void
gg_config_document_unref (GgConfigDocument *self)
{
  if (self != NULL)
    g_atomic_rc_box_release_full (self, document_clear);
}

static gboolean
fail (GError **error, const char *member, const char *expected)
{
  g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_SYNTAX,
               "configuration document: member '%s': expected %s", member, expected);
  return FALSE;
}

static gboolean
parse_generation (JsonObject *object, const char *name, uint64_t *generation_out, GError **error)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_INT64 || json_node_get_int (node) < 0)
    return fail (error, name, "a non-negative integer");
  *generation_out = (uint64_t) json_node_get_int (node);
  return TRUE;
}

static const char *
get_string (JsonNode *node)
{
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static JsonObject *
get_object (JsonObject *object, const char *name, GError **error)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    return json_node_get_object (node);
  fail (error, name, "an object");
  return NULL;
}

static gboolean
parse_files (GgConfigDocument *self, JsonObject *root, GError **error)
{
  JsonObject *files = get_object (root, "files", error);
  if (files == NULL)
    return FALSE;
  JsonObjectIter iter;
  const char *path;
  JsonNode *node;
  json_object_iter_init (&iter, files);
  while (json_object_iter_next (&iter, &path, &node))
    {
      const char *text = get_string (node);
      if (text == NULL)
        return fail (error, path, "a string");
      g_hash_table_insert (self->files, g_strdup (path), g_strdup (text));
    }
  return TRUE;
}

static gboolean
parse_generations (GHashTable *table, JsonObject *root, const char *name, GError **error)
{
  JsonObject *object = get_object (root, name, error);
  if (object == NULL)
    return FALSE;
  JsonObjectIter iter;
  const char *key;
  JsonNode *node;
  uint64_t generation = 0;
  json_object_iter_init (&iter, object);
  while (json_object_iter_next (&iter, &key, &node))
    {
      if (!parse_generation (object, key, &generation, error))
        return FALSE;
      set_generation (table, key, generation);
    }
  return TRUE;
}

static GgConfigDocument *
parse_object (JsonObject *root, GError **error)
{
  uint64_t generation = 0;
  const char *publish_id = get_string (json_object_get_member (root, "publish_id"));
  if (!parse_generation (root, "generation", &generation, error))
    return NULL;
  if (publish_id == NULL || generation == 0)
    {
      fail (error, publish_id == NULL ? "publish_id" : "generation",
            publish_id == NULL ? "a string" : "a number above 0");
      return NULL;
    }
  GgConfigDocument *self = create_empty (generation, publish_id);
  if (parse_generation (root, "history_from", &self->history_from, error)
      && parse_files (self, root, error)
      && parse_generations (self->changed, root, "changed", error)
      && parse_generations (self->publishes, root, "publishes", error))
    return self;
  gg_config_document_unref (self);
  return NULL;
}

GgConfigDocument *
gg_config_document_parse (const char *json, GError **error)
{
  GError *cause = NULL;
  JsonNode *node
      = gg_json_check (json, strlen (json), &cause) ? json_from_string (json, &cause) : NULL;
  GgConfigDocument *self = NULL;
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    self = parse_object (json_node_get_object (node), error);
  else
    g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_SYNTAX,
                 "configuration document: expected a JSON object%s%s", cause != NULL ? ": " : "",
                 cause != NULL ? cause->message : "");
  g_clear_error (&cause);
  g_clear_pointer (&node, json_node_unref);
  return self;
}

static GList *
get_sorted_keys (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), (GCompareFunc) strcmp);
}

static JsonObject *
format_generations (GHashTable *table)
{
  JsonObject *object = json_object_new ();
  GList *keys = get_sorted_keys (table);
  for (GList *key = keys; key != NULL; key = key->next)
    json_object_set_int_member (object, key->data, (gint64) get_generation (table, key->data));
  g_list_free (keys);
  return object;
}

char *
gg_config_document_format (const GgConfigDocument *self)
{
  JsonObject *files = json_object_new ();
  GList *paths = get_sorted_keys (self->files);
  for (GList *path = paths; path != NULL; path = path->next)
    json_object_set_string_member (files, path->data,
                                   g_hash_table_lookup (self->files, path->data));
  g_list_free (paths);

  JsonObject *root = json_object_new ();
  json_object_set_int_member (root, "generation", (gint64) self->generation);
  json_object_set_string_member (root, "publish_id", self->publish_id);
  json_object_set_int_member (root, "history_from", (gint64) self->history_from);
  json_object_set_object_member (root, "files", files);
  json_object_set_object_member (root, "changed", format_generations (self->changed));
  json_object_set_object_member (root, "publishes", format_generations (self->publishes));
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, root);
  char *json = json_to_string (node, FALSE);
  json_node_unref (node);
  return json;
}

uint64_t
gg_config_document_get_generation (const GgConfigDocument *self)
{
  return self->generation;
}

const char *
gg_config_document_get_publish_id (const GgConfigDocument *self)
{
  return self->publish_id;
}

GHashTable *
gg_config_document_get_files (const GgConfigDocument *self)
{
  return self->files;
}

uint64_t
gg_config_document_get_changed (const GgConfigDocument *self, const char *path)
{
  uint64_t generation = get_generation (self->changed, path);
  return generation != 0 ? generation : self->history_from;
}

uint64_t
gg_config_document_find_publish (const GgConfigDocument *self, const char *publish_id)
{
  return get_generation (self->publishes, publish_id);
}

gboolean
gg_config_document_supersedes (const GgConfigDocument *candidate, const GgConfigDocument *current)
{
  return current == NULL || candidate->generation > current->generation
         || (GG_IS_MUTATED ("config-accept-older") && candidate->generation != current->generation);
}

static const char *
get_text (const GgConfigDocument *document, const char *path)
{
  return document != NULL ? g_hash_table_lookup (document->files, path) : NULL;
}

/* Drops the oldest entries of @p table that are not keys of @p kept until at most @p max of them
 * are left. Returns the newest generation dropped, or 0. */
static uint64_t
drop_oldest (GHashTable *table, GHashTable *kept, guint max)
{
  uint64_t dropped = 0;
  for (;;)
    {
      GHashTableIter iter;
      gpointer key;
      gpointer value;
      const char *oldest = NULL;
      uint64_t generation = UINT64_MAX;
      guint n = 0;
      g_hash_table_iter_init (&iter, table);
      while (g_hash_table_iter_next (&iter, &key, &value))
        {
          if (kept != NULL && g_hash_table_contains (kept, key))
            continue;
          n++;
          uint64_t own = *(uint64_t *) value;
          if (own < generation || (own == generation && strcmp (key, oldest) < 0))
            {
              oldest = key;
              generation = own;
            }
        }
      if (n <= max)
        return dropped;
      dropped = generation;
      g_hash_table_remove (table, oldest);
    }
}

static void
copy_entries (GHashTable *target, GHashTable *source, gboolean is_text)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, source);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_text)
      g_hash_table_insert (target, g_strdup (key), g_strdup (value));
    else
      set_generation (target, key, *(uint64_t *) value);
}

static GgConfigDocument *
create_successor (const GgConfigDocument *current, const char *publish_id)
{
  uint64_t generation = current != NULL ? current->generation : 0;
  GgConfigDocument *self = create_empty (generation + 1, publish_id);
  if (current != NULL)
    {
      self->history_from = current->history_from;
      copy_entries (self->files, current->files, TRUE);
      copy_entries (self->changed, current->changed, FALSE);
      copy_entries (self->publishes, current->publishes, FALSE);
    }
  set_generation (self->publishes, publish_id, self->generation);
  return self;
}

static void
change_file (GgConfigDocument *self, const char *path, const char *text)
{
  if (text != NULL)
    g_hash_table_insert (self->files, g_strdup (path), g_strdup (text));
  else
    g_hash_table_remove (self->files, path);
  set_generation (self->changed, path, self->generation);
}

gboolean
gg_config_document_merge (GgConfigDocument **merged_out,
                          char **conflict_out,
                          const GgConfigDocument *base,
                          GHashTable *changes,
                          const GgConfigDocument *current,
                          const char *publish_id)
{
  GgConfigDocument *merged = create_successor (current, publish_id);
  const char *conflict = NULL;
  GList *paths = get_sorted_keys (changes);
  for (GList *path = paths; conflict == NULL && path != NULL; path = path->next)
    {
      const char *before = get_text (base, path->data);
      const char *now = get_text (current, path->data);
      const char *wanted = g_hash_table_lookup (changes, path->data);
      if (g_strcmp0 (wanted, before) == 0 || g_strcmp0 (wanted, now) == 0)
        continue;
      if (g_strcmp0 (now, before) == 0)
        change_file (merged, path->data, wanted);
      else
        conflict = path->data;
    }
  if (conflict != NULL)
    {
      *conflict_out = g_strdup (conflict);
      g_clear_pointer (&merged, gg_config_document_unref);
    }
  else
    {
      uint64_t dropped
          = drop_oldest (merged->changed, merged->files, GG_CONFIG_DOCUMENT_MAX_REMOVED);
      merged->history_from = MAX (merged->history_from, dropped);
      drop_oldest (merged->publishes, NULL, GG_CONFIG_DOCUMENT_MAX_PUBLISHES);
    }
  g_list_free (paths);
  *merged_out = merged;
  return merged != NULL;
}
