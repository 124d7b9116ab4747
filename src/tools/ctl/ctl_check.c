#include "tools/ctl/ctl_check.h"

#include "base/json.h"
#include "ports/config_findings.h"
#include "tools/ctl/ctl_text.h"

#include <string.h>

static const char *const places[] = {
  [GG_CONFIG_DOCUMENT] = "document",
  [GG_CONFIG_ROUTE] = "route",
  [GG_CONFIG_SERVICE] = "service",
  [GG_CONFIG_TEAM] = "team",
};

static const char *const changes_texts[] = {
  [GG_CONFIG_KEY_REVOKED] = "key revoked", [GG_CONFIG_REMOVED] = "removed",
  [GG_CONFIG_CHANGED] = "changed",         [GG_CONFIG_ADDED] = "added",
  [GG_CONFIG_KEY_ADDED] = "key added",
};

/* What was found. */
typedef struct
{
  const char *path;
  const char *against;
  GPtrArray *findings; /* GgConfigFinding */
  GPtrArray *changes;  /* GgConfigChange; NULL without a comparison */
  gboolean is_accepted;
} Report;

/* Appends a text of the file without control characters, which could change the terminal. */
static void
append_text (GString *out, const char *text)
{
  for (; *text != '\0'; text++)
    g_string_append_c (out, g_ascii_iscntrl (*text) ? '?' : *text);
}

static void
append_place (GString *out, GgConfigPlace place, const char *name)
{
  g_string_append (out, places[place]);
  if (*name != '\0')
    {
      g_string_append_c (out, ' ');
      append_text (out, name);
    }
}

static void
append_finding (GString *out, const char *path, const GgConfigFinding *finding)
{
  const char *field = gg_config_finding_get_field (finding);
  char *problem = gg_config_finding_get_problem (finding);
  char *remedy = gg_config_finding_get_remedy (finding);
  g_string_append_printf (out, "%s: ", path);
  append_place (out, finding->place, finding->name);
  if (*field != '\0')
    {
      g_string_append_printf (out, ": %s", field);
      if (*finding->value != '\0')
        g_string_append_c (out, ' ');
      append_text (out, finding->value);
    }
  g_string_append (out, ": ");
  append_text (out, problem);
  g_string_append (out, "; ");
  append_text (out, remedy);
  g_string_append_c (out, '\n');
  g_free (problem);
  g_free (remedy);
}

static void
append_change (GString *out, const GgConfigChange *change)
{
  append_place (out, change->place, change->name);
  g_string_append_printf (out, ": %s", changes_texts[change->type]);
  if (change->field != GG_CONFIG_FIELD_NONE)
    g_string_append_printf (out, ": %s", gg_config_field_get_name (change->field));
  if (change->before != NULL)
    {
      g_string_append_c (out, ' ');
      append_text (out, change->before);
    }
  if (change->before != NULL && change->after != NULL)
    g_string_append (out, " ->");
  if (change->after != NULL)
    {
      g_string_append_c (out, ' ');
      append_text (out, change->after);
    }
  g_string_append_c (out, '\n');
}

static void
print_text (const Report *report, GString *out)
{
  for (guint i = 0; i < report->findings->len; i++)
    append_finding (out, report->path, g_ptr_array_index (report->findings, i));
  g_string_append_printf (out, "%s: %u finding%s; the router %s the configuration\n", report->path,
                          report->findings->len, report->findings->len == 1 ? "" : "s",
                          report->is_accepted ? "accepts" : "refuses");
  if (report->changes == NULL)
    return;
  g_string_append_printf (out, "\n%u difference%s from %s\n", report->changes->len,
                          report->changes->len == 1 ? "" : "s", report->against);
  for (guint i = 0; i < report->changes->len; i++)
    append_change (out, g_ptr_array_index (report->changes, i));
}

static void
add_findings (JsonBuilder *builder, const Report *report)
{
  json_builder_set_member_name (builder, "findings");
  json_builder_begin_array (builder);
  for (guint i = 0; i < report->findings->len; i++)
    {
      const GgConfigFinding *finding = g_ptr_array_index (report->findings, i);
      char *problem = gg_config_finding_get_problem (finding);
      char *remedy = gg_config_finding_get_remedy (finding);
      json_builder_begin_object (builder);
      gg_json_add_string (builder, "file", report->path);
      gg_json_add_string (builder, "place", places[finding->place]);
      gg_json_add_string (builder, "name", finding->name);
      gg_json_add_string (builder, "field", gg_config_finding_get_field (finding));
      gg_json_add_string (builder, "value", finding->value);
      gg_json_add_string (builder, "problem", problem);
      gg_json_add_string (builder, "remedy", remedy);
      json_builder_end_object (builder);
      g_free (problem);
      g_free (remedy);
    }
  json_builder_end_array (builder);
}

static void
add_changes (JsonBuilder *builder, const Report *report)
{
  gg_json_add_string (builder, "against", report->against);
  json_builder_set_member_name (builder, "changes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < report->changes->len; i++)
    {
      const GgConfigChange *change = g_ptr_array_index (report->changes, i);
      json_builder_begin_object (builder);
      gg_json_add_string (builder, "change", changes_texts[change->type]);
      gg_json_add_string (builder, "place", places[change->place]);
      gg_json_add_string (builder, "name", change->name);
      gg_json_add_string (builder, "field", gg_config_field_get_name (change->field));
      gg_json_add_string (builder, "before", change->before);
      gg_json_add_string (builder, "after", change->after);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
print_json (const Report *report, GString *out)
{
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_object (builder);
  gg_json_add_string (builder, "file", report->path);
  gg_json_add_boolean (builder, "accepted", report->is_accepted);
  add_findings (builder, report);
  if (report->changes != NULL)
    add_changes (builder, report);
  json_builder_end_object (builder);
  JsonNode *root = json_builder_get_root (builder);
  gg_ctl_text_json (root, out);
  json_node_unref (root);
  g_object_unref (builder);
}

/* Reads a configuration and what is wrong with it.
 * @return NULL with a finding if the file can't be opened or if the router refuses it. */
static GgRoutingConfig *
read_config (const char *path, GPtrArray *findings)
{
  char *text = NULL;
  gsize size = 0;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, &size, &error))
    {
      gg_config_findings_add (findings, GG_CONFIG_UNREADABLE, GG_CONFIG_DOCUMENT, "",
                              GG_CONFIG_FIELD_NONE, NULL, g_strdup (error->message));
      g_error_free (error);
      return NULL;
    }
  GBytes *bytes = g_bytes_new_take (text, size);
  GgRoutingConfig *config = gg_config_findings_read (bytes, findings);
  g_bytes_unref (bytes);
  return config;
}

static GgRoutingConfig *
read_other (const char *path, GError **error)
{
  GPtrArray *findings = gg_config_findings_create ();
  GgRoutingConfig *config = read_config (path, findings);
  if (config == NULL)
    g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                 "%s: the file can't be read or the router refuses it, so nothing is compared with "
                 "it; check it by itself",
                 path);
  g_ptr_array_unref (findings);
  return config;
}

static gboolean
is_unreadable (const GPtrArray *findings)
{
  const GgConfigFinding *first = findings->len > 0 ? g_ptr_array_index (findings, 0) : NULL;
  return first != NULL && first->fault == GG_CONFIG_UNREADABLE;
}

GgCtlCheckResult
gg_ctl_check (
    const char *path, const char *against, gboolean json, GString *text_out, GError **error)
{
  GPtrArray *findings = gg_config_findings_create ();
  GgRoutingConfig *config = read_config (path, findings);
  GgRoutingConfig *other = against != NULL ? read_other (against, error) : NULL;
  if (config != NULL)
    gg_config_check (config, findings);
  GgCtlCheckResult result = findings->len > 0 ? GG_CTL_CHECK_FINDINGS : GG_CTL_CHECK_VALID;
  if (is_unreadable (findings) || (against != NULL && other == NULL))
    result = GG_CTL_CHECK_UNREADABLE;
  Report report = { path, against, findings, NULL, config != NULL };
  if (config != NULL && other != NULL)
    report.changes = gg_config_compare (other, config);
  if (json)
    print_json (&report, text_out);
  else
    print_text (&report, text_out);
  g_clear_pointer (&report.changes, g_ptr_array_unref);
  g_ptr_array_unref (findings);
  gg_routing_config_unref (config);
  gg_routing_config_unref (other);
  return result;
}
