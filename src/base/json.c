#include "base/json.h"

void
gg_json_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value != NULL ? value : "");
}

void
gg_json_add_uint (JsonBuilder *builder, const char *name, uint64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64) value);
}

void
gg_json_add_boolean (JsonBuilder *builder, const char *name, gboolean value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_boolean_value (builder, value);
}

char *
gg_json_print (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (builder);
  return text;
}
