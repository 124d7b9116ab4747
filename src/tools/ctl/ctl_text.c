#include "tools/ctl/ctl_text.h"

#include "tools/ctl/ctl_time.h"

#include <string.h>

/* With more entry instances than this, only those that are leaving are listed. */
#define MAX_NAMED_ENTRIES 16

static const char *
get_text (JsonObject *object, const char *name)
{
  return json_object_get_string_member_with_default (object, name, "");
}

static uint64_t
get_uint (JsonObject *object, const char *name)
{
  return (uint64_t) json_object_get_int_member_with_default (object, name, 0);
}

static JsonObject *
get_object (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static JsonArray *
get_array (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

static guint
get_length (JsonArray *array)
{
  return array != NULL ? json_array_get_length (array) : 0;
}

static void
add_configuration (JsonObject *status, GString *out)
{
  JsonObject *configuration = get_object (status, "configuration");
  uint64_t generation = configuration != NULL ? get_uint (configuration, "generation") : 0;
  if (generation == 0)
    g_string_append (out, "Configuration: none known\n");
  else
    g_string_append_printf (out, "Configuration: generation %" G_GUINT64_FORMAT ", publish id %s\n",
                            generation, get_text (configuration, "publish_id"));
}

static void
add_platform (JsonObject *status, GString *out)
{
  JsonArray *parts = get_array (status, "platform");
  for (guint i = 0; i < get_length (parts); i++)
    {
      JsonObject *part = json_array_get_object_element (parts, i);
      char *since = gg_ctl_duration_format (get_uint (part, "since_ms"));
      g_string_append_printf (out, "Platform: %s is %s (for %s)\n", get_text (part, "part"),
                              get_text (part, "state"), since);
      g_free (since);
    }
}

static void
add_entries (JsonObject *status, GString *out)
{
  JsonArray *entries = get_array (status, "entries");
  guint n = get_length (entries);
  guint n_live = 0;
  GString *names = g_string_new (NULL);
  for (guint i = 0; i < n; i++)
    {
      JsonObject *entry = json_array_get_object_element (entries, i);
      gboolean live = strcmp (get_text (entry, "state"), "live") == 0;
      n_live += live;
      if (!live || n <= MAX_NAMED_ENTRIES)
        g_string_append_printf (names, "  %-20s %-16s %s\n", get_text (entry, "id"),
                                get_text (entry, "data_centre"), get_text (entry, "state"));
    }
  g_string_append_printf (out, "\nEntry instances: %u live, %u leaving\n%s", n_live, n - n_live,
                          names->str);
  g_string_free (names, TRUE);
}

static void
add_services (JsonObject *status, GString *out)
{
  JsonArray *services = get_array (status, "services");
  g_string_append_printf (out, "\n%-20s %6s %8s %11s %12s %10s\n", "Service", "live", "leaving",
                          "load known", "outstanding", "tokens/s");
  for (guint i = 0; i < get_length (services); i++)
    {
      JsonObject *service = json_array_get_object_element (services, i);
      g_string_append_printf (
          out,
          "%-20s %6" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT " %11" G_GUINT64_FORMAT
          " %12" G_GUINT64_FORMAT " %10" G_GUINT64_FORMAT "\n",
          get_text (service, "service"), get_uint (service, "live"), get_uint (service, "leaving"),
          get_uint (service, "with_load"), get_uint (service, "outstanding_tokens"),
          get_uint (service, "tokens_per_s"));
    }
  if (get_length (services) == 0)
    g_string_append (out, "(no runners are known)\n");
}

void
gg_ctl_text_status (JsonObject *status, GString *out)
{
  char *uptime = gg_ctl_duration_format (get_uint (status, "uptime_ms"));
  gboolean ready = json_object_get_boolean_member_with_default (status, "ready", FALSE);
  g_string_append_printf (out, "Control process of %s in %s, version %s, up for %s, %s\n",
                          get_text (status, "instance"), get_text (status, "data_centre"),
                          get_text (status, "version"), uptime, ready ? "ready" : "not ready");
  g_free (uptime);
  add_configuration (status, out);
  add_platform (status, out);
  add_entries (status, out);
  add_services (status, out);
}

void
gg_ctl_text_config (JsonObject *document, GString *out)
{
  g_string_append_printf (out, "# generation %" G_GUINT64_FORMAT ", publish id %s\n",
                          get_uint (document, "generation"), get_text (document, "publish_id"));
  JsonObject *files = get_object (document, "files");
  if (files == NULL)
    return;
  GList *names = g_list_sort (json_object_get_members (files), (GCompareFunc) g_strcmp0);
  for (GList *name = names; name != NULL; name = name->next)
    {
      const char *text = get_text (files, name->data);
      g_string_append_printf (out, "\n# file %s\n%s%s", (const char *) name->data, text,
                              g_str_has_suffix (text, "\n") ? "" : "\n");
    }
  g_list_free (names);
}

static int
compare_last (const void *a, const void *b)
{
  uint64_t x = get_uint (json_node_get_object (*(JsonNode *const *) a), "last_ms");
  uint64_t y = get_uint (json_node_get_object (*(JsonNode *const *) b), "last_ms");
  return (x > y) - (x < y);
}

static void
add_account_entry (JsonObject *entry, GString *out)
{
  char *last = gg_ctl_time_format (get_uint (entry, "last_ms"));
  uint64_t count = get_uint (entry, "count");
  g_string_append_printf (out, "%s  %-10s %-18s %s: %s", last, get_text (entry, "instance"),
                          get_text (entry, "kind"), get_text (entry, "subject"),
                          get_text (entry, "detail"));
  g_free (last);
  if (count > 1)
    {
      char *first = gg_ctl_time_format (get_uint (entry, "first_ms"));
      g_string_append_printf (out, " (%" G_GUINT64_FORMAT " times since %s)", count, first);
      g_free (first);
    }
  g_string_append_c (out, '\n');
}

static guint
add_account_part (GPtrArray *entries, gboolean needs_person, GString *out)
{
  guint n = 0;
  for (guint i = 0; i < entries->len; i++)
    {
      JsonObject *entry = json_node_get_object (g_ptr_array_index (entries, i));
      if (json_object_get_boolean_member_with_default (entry, "needs_person", FALSE)
          != needs_person)
        continue;
      add_account_entry (entry, out);
      n++;
    }
  return n;
}

static void
add_gaps (JsonObject *object, GString *out)
{
  JsonArray *gaps = get_array (object, "gaps");
  for (guint i = 0; i < get_length (gaps); i++)
    g_string_append_printf (out, "INCOMPLETE: %s\n", json_array_get_string_element (gaps, i));
}

void
gg_ctl_text_account (JsonObject *account, GString *out)
{
  JsonArray *array = get_array (account, "entries");
  GPtrArray *entries = g_ptr_array_new ();
  for (guint i = 0; i < get_length (array); i++)
    if (JSON_NODE_HOLDS_OBJECT (json_array_get_element (array, i)))
      g_ptr_array_add (entries, json_array_get_element (array, i));
  g_ptr_array_sort (entries, compare_last);

  add_gaps (account, out);
  g_string_append (out, "To be settled by a person:\n");
  if (add_account_part (entries, TRUE, out) == 0)
    g_string_append (out, "(nothing)\n");
  g_string_append (out, "\nOther events:\n");
  if (add_account_part (entries, FALSE, out) == 0)
    g_string_append (out, "(nothing)\n");
  g_ptr_array_unref (entries);
}

void
gg_ctl_text_records (JsonObject *records, GString *out)
{
  JsonArray *array = get_array (records, "records");
  add_gaps (records, out);
  for (guint i = 0; i < get_length (array); i++)
    {
      JsonObject *shown = json_array_get_object_element (array, i);
      JsonObject *record = get_object (shown, "record");
      const char *path = get_text (shown, "path");
      g_string_append_printf (out, "%-8s %s%s%s\n",
                              record != NULL ? get_text (record, "state") : "",
                              get_text (shown, "key"), *path != '\0' ? " " : "", path);
    }
  if (get_length (array) == 0)
    g_string_append (out, "(no records in intent or unknown)\n");
}

void
gg_ctl_text_json (JsonNode *node, GString *out)
{
  char *text = json_to_string (node, TRUE);
  g_string_append_printf (out, "%s\n", text);
  g_free (text);
}
