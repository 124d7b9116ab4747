/** @file
 * Short forms for building JSON objects. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdint.h>

/** Adds a text; NULL counts as empty. */
void gg_json_add_string (JsonBuilder *builder, const char *name, const char *value);
void gg_json_add_uint (JsonBuilder *builder, const char *name, uint64_t value);
void gg_json_add_boolean (JsonBuilder *builder, const char *name, gboolean value);

/** Returns the text of what @p builder built, owned by the caller, and frees the builder. */
char *gg_json_print (JsonBuilder *builder);
