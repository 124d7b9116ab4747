#include "base/json.h"

/* Largest number up to which a double represents every integer. */
#define MAX_QUANTITY 9007199254740992.0

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

JsonParser *
gg_json_parse_object (const char *text, size_t size_bytes, JsonObject **object_out, GError **error)
{
  JsonParser *parser = json_parser_new_immutable ();
  /* json_parser_load_from_data() does not accept empty input. */
  if (size_bytes > 0 && !json_parser_load_from_data (parser, text, (gssize) size_bytes, error))
    goto fail;
  JsonNode *root = size_bytes > 0 ? json_parser_get_root (parser) : NULL;
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_set_error_literal (error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE,
                           "expected a JSON object");
      goto fail;
    }
  *object_out = json_node_get_object (root);
  return parser;

fail:
  g_object_unref (parser);
  return NULL;
}

/* Returns the member's node if it holds a scalar of one of two types, else NULL. */
static JsonNode *
get_value (JsonObject *object, const char *name, GType type, GType other)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node))
    return NULL;
  GType found = json_node_get_value_type (node);
  return found == type || found == other ? node : NULL;
}

gboolean
gg_json_read_string (JsonObject *object, const char *name, const char **value_out)
{
  JsonNode *node = get_value (object, name, G_TYPE_STRING, G_TYPE_STRING);
  if (node == NULL)
    return FALSE;
  *value_out = json_node_get_string (node);
  return TRUE;
}

gboolean
gg_json_read_uint (JsonObject *object, const char *name, uint64_t *value_out)
{
  JsonNode *node = get_value (object, name, G_TYPE_INT64, G_TYPE_INT64);
  if (node == NULL || json_node_get_int (node) < 0)
    return FALSE;
  *value_out = (uint64_t) json_node_get_int (node);
  return TRUE;
}

gboolean
gg_json_read_uint32 (JsonObject *object, const char *name, uint32_t *value_out)
{
  uint64_t value;
  if (!gg_json_read_uint (object, name, &value) || value > G_MAXUINT32)
    return FALSE;
  *value_out = (uint32_t) value;
  return TRUE;
}

gboolean
gg_json_read_number (JsonObject *object, const char *name, double *value_out)
{
  JsonNode *node = get_value (object, name, G_TYPE_INT64, G_TYPE_DOUBLE);
  if (node == NULL)
    return FALSE;
  *value_out = json_node_get_double (node);
  return TRUE;
}

gboolean
gg_json_read_quantity (JsonObject *object, const char *name, uint64_t *value_out)
{
  double number;
  if (gg_json_read_uint (object, name, value_out))
    return TRUE;
  if (!gg_json_read_number (object, name, &number) || !(number >= 0 && number <= MAX_QUANTITY))
    return FALSE;
  *value_out = number > 0 ? MAX ((uint64_t) number, 1) : 0;
  return TRUE;
}

gboolean
gg_json_read_quantity32 (JsonObject *object, const char *name, uint32_t *value_out)
{
  uint64_t value;
  if (!gg_json_read_quantity (object, name, &value) || value > G_MAXUINT32)
    return FALSE;
  *value_out = (uint32_t) value;
  return TRUE;
}

gboolean
gg_json_read_boolean (JsonObject *object, const char *name, gboolean *value_out)
{
  JsonNode *node = get_value (object, name, G_TYPE_BOOLEAN, G_TYPE_BOOLEAN);
  if (node == NULL)
    return FALSE;
  *value_out = json_node_get_boolean (node);
  return TRUE;
}

gboolean
gg_json_read_array (JsonObject *object, const char *name, JsonArray **value_out)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return FALSE;
  *value_out = json_node_get_array (node);
  return TRUE;
}

gboolean
gg_json_read_object (JsonObject *object, const char *name, JsonObject **value_out)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  *value_out = json_node_get_object (node);
  return TRUE;
}

JsonObject *
gg_json_get_object_element (JsonArray *array, guint i)
{
  JsonNode *node = json_array_get_element (array, i);
  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}
