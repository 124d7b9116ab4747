#include "daemons/controld/control_report.h"

#include "base/clock.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define RECORDS_PREFIX "greengage/ledger/"
#define READ_TIMEOUT_MS 800
/* Keeps the reply below the maximum length of a text in control.x. */
#define MAX_RECORDS 4000

typedef struct
{
  JsonArray *records;
  JsonArray *gaps;
} RecordList;

static gboolean
is_open_record (JsonObject *object)
{
  JsonNode *state = json_object_get_member (object, "state");
  if (state == NULL || !JSON_NODE_HOLDS_VALUE (state)
      || json_node_get_value_type (state) != G_TYPE_STRING)
    return FALSE;
  const char *text = json_node_get_string (state);
  return strcmp (text, "intent") == 0 || strcmp (text, "unknown") == 0;
}

static void
add_record (RecordList *list, const char *key, const char *path, JsonObject *record)
{
  if (json_array_get_length (list->records) >= MAX_RECORDS)
    return;
  JsonObject *item = json_object_new ();
  json_object_set_string_member (item, "key", key);
  json_object_set_string_member (item, "path", path);
  json_object_set_object_member (item, "record", json_object_ref (record));
  json_array_add_object_element (list->records, item);
  if (json_array_get_length (list->records) == MAX_RECORDS)
    json_array_add_string_element (list->gaps, "more records exist than fit into the reply");
}

/* Adds the open records in @node, which is one record or, in the sharded layout, a document of
 * records. */
static void
search (RecordList *list, const char *key, const char *path, JsonNode *node)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return;
  JsonObject *object = json_node_get_object (node);
  if (is_open_record (object))
    {
      add_record (list, key, path, object);
      return;
    }
  GList *names = json_object_get_members (object);
  for (GList *name = names; name != NULL; name = name->next)
    {
      char *inner = g_strconcat (path, *path != '\0' ? "/" : "", name->data, NULL);
      search (list, key, inner, json_object_get_member (object, name->data));
      g_free (inner);
    }
  g_list_free (names);
}

static void
search_values (RecordList *list, const GArray *values)
{
  for (guint i = 0; i < values->len; i++)
    {
      const GgKvValue *value = &g_array_index (values, GgKvValue, i);
      JsonNode *root
          = value->text != NULL && gg_json_check (value->text, strlen (value->text), NULL)
                ? json_from_string (value->text, NULL)
                : NULL;
      if (root == NULL)
        {
          char *gap = g_strdup_printf ("%s is malformed", value->key);
          json_array_add_string_element (list->gaps, gap);
          g_free (gap);
          continue;
        }
      search (list, value->key, "", root);
      json_node_unref (root);
    }
}

char *
gg_control_report_records (GgControlState *state, GgKv *kv)
{
  RecordList list = { json_array_new (), json_array_new () };
  GArray *values = NULL;
  gboolean down = gg_control_state_is_platform_down (state, GG_CONTROL_PLATFORM_KV);
  GgKvResult result
      = down ? GG_KV_UNREACHABLE
             : gg_kv_list (kv, RECORDS_PREFIX, gg_clock_now_ms () + READ_TIMEOUT_MS, &values);
  if (values != NULL)
    search_values (&list, values);
  if (result != GG_KV_OK && result != GG_KV_ABSENT)
    json_array_add_string_element (list.gaps, "the platform does not answer");
  g_clear_pointer (&values, g_array_unref);

  JsonObject *object = json_object_new ();
  json_object_set_array_member (object, "records", list.records);
  json_object_set_array_member (object, "gaps", list.gaps);
  JsonNode *root = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (root, object);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  return text;
}
