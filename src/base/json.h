/** @file
 * Helpers for building and reading JSON objects. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdint.h>

/** Most lists and objects inside each other in a text that is parsed. The platform's documents have
 * six levels. */
#define GG_JSON_MAX_NESTING 64

/** Adds a string member; NULL is written as "". */
void gg_json_add_string (JsonBuilder *builder, const char *name, const char *value);
void gg_json_add_uint (JsonBuilder *builder, const char *name, uint64_t value);
void gg_json_add_boolean (JsonBuilder *builder, const char *name, gboolean value);

/** Serializes the value in @p builder and frees the builder.
 * @return the text, owned by the caller. */
char *gg_json_print (JsonBuilder *builder);

/** Checks a text from another process before a parser of json-glib sees it: one that is nested too
 * deeply would use up the parser's stack.
 * @return FALSE with @p error set unless gg_json_parse_object() accepts such texts. */
gboolean gg_json_check (const char *text, size_t size_bytes, GError **error);

/** Parses text that must hold one JSON object, as RFC 8259 has it, without unpaired surrogates and
 * with at most GG_JSON_MAX_NESTING levels.
 * @return a parser that owns the object, or NULL with @p error set. */
JsonParser *
gg_json_parse_object (const char *text, size_t size_bytes, JsonObject **object_out, GError **error);

/** A part of a text. */
typedef struct
{
  size_t start;
  size_t end; /**< Behind its last byte. */
} GgJsonSpan;

/** Finds the elements of a list of objects without parsing the text, so that each can be parsed by
 * itself: the list is the member @p name of the object that @p text holds.
 * @param list_out the content of the list, without its brackets. If the elements and the text
 *   without this content are each accepted by gg_json_parse_object(), so is the whole text.
 * @return an array of GgJsonSpan, owned by the caller; NULL if the text is not that simple, so that
 *   it has to be parsed as a whole, whether it is valid or not. */
GArray *
gg_json_split_list (const char *text, size_t size_bytes, const char *name, GgJsonSpan *list_out);

/** These read a member of the expected type.
 * @return FALSE, without changing the output, if the member is absent or has another type. */
gboolean gg_json_read_string (JsonObject *object, const char *name, const char **value_out);
gboolean gg_json_read_uint (JsonObject *object, const char *name, uint64_t *value_out);
gboolean gg_json_read_uint32 (JsonObject *object, const char *name, uint32_t *value_out);
/** These read a quantity, which may be written with a fraction, and round it down; one above zero
 * is at least 1, since 0 often has a meaning of its own.
 * @return FALSE as the others do, also for a quantity that is out of range. */
gboolean gg_json_read_quantity (JsonObject *object, const char *name, uint64_t *value_out);
gboolean gg_json_read_quantity32 (JsonObject *object, const char *name, uint32_t *value_out);
gboolean gg_json_read_number (JsonObject *object, const char *name, double *value_out);
gboolean gg_json_read_boolean (JsonObject *object, const char *name, gboolean *value_out);
gboolean gg_json_read_array (JsonObject *object, const char *name, JsonArray **value_out);
gboolean gg_json_read_object (JsonObject *object, const char *name, JsonObject **value_out);

/** Returns element @p i if it is an object, else NULL. */
JsonObject *gg_json_get_object_element (JsonArray *array, guint i);
