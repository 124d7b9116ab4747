#include "adapters/http/http_json.h"

#include "base/json.h"

JsonNode *
gg_http_json_parse (const GgHttpReply *reply)
{
  JsonNode *root = NULL;
  JsonParser *parser = json_parser_new_immutable ();
  if (gg_json_check (reply->body, reply->body_size_bytes, NULL)
      && json_parser_load_from_data (parser, reply->body, (gssize) reply->body_size_bytes, NULL))
    root = json_parser_steal_root (parser);
  g_object_unref (parser);
  return root;
}

JsonObject *
gg_http_json_parse_object (const GgHttpReply *reply)
{
  JsonNode *root = gg_http_json_parse (reply);
  JsonObject *object = NULL;
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    object = json_node_dup_object (root);
  g_clear_pointer (&root, json_node_unref);
  return object;
}

gboolean
gg_http_json_is_text (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_value_type (node) == G_TYPE_STRING;
}

const char *
gg_http_json_get_text (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);
  return gg_http_json_is_text (node) ? json_node_get_string (node) : "";
}

uint32_t
gg_http_json_get_uint (JsonObject *object, const char *member, uint32_t initial)
{
  gint64 value = json_object_get_int_member_with_default (object, member, -1);
  return value >= 0 && value <= G_MAXUINT32 ? (uint32_t) value : initial;
}

JsonArray *
gg_http_json_get_array (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}
