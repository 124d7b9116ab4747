/** @file
 * JSON bodies of HTTP calls. Internal to the adapters. */
#pragma once

#include "adapters/http/http_pool.h"

#include <json-glib/json-glib.h>

/** Parses the body of @p reply.
 * @return NULL if it is not JSON; else owned by the caller (json_node_unref()). */
JsonNode *gg_http_json_parse (const GgHttpReply *reply);

/** Like gg_http_json_parse(), for an object; freed by the caller with json_object_unref(). */
JsonObject *gg_http_json_parse_object (const GgHttpReply *reply);

/** Returns the text of a member, or "" if there is none. */
const char *gg_http_json_get_text (JsonObject *object, const char *member);

/** Returns the number of a member, or @p initial if it is absent or out of range. */
uint32_t gg_http_json_get_uint (JsonObject *object, const char *member, uint32_t initial);

/** Returns the elements of an array member, or NULL if it is not an array. */
JsonArray *gg_http_json_get_array (JsonObject *object, const char *member);

/** Returns whether a node is a string. */
gboolean gg_http_json_is_text (JsonNode *node);
