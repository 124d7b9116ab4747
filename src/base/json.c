#include "base/json.h"

#include <string.h>

/* Characters of JSON outside strings, beside letters and digits. The parser's library also accepts
 * comments and other quotation marks, which could hide brackets from the check of the nesting. */
#define PUNCTUATION "{}[]:,+-. \t\r\n"
/* A negative number of fewer digits fits 64 bits; json-glib reads some that don't as positive. */
#define TOO_MANY_DIGITS 19
#define BYTE_ORDER_MARK "\xef\xbb\xbf"
#define SINGLE_ESCAPES "\"\\/bfnrt"
#define UNIT_ESCAPE_BYTES 6 /* of \uXXXX */
#define HIGH_SURROGATE_MIN 0xd800
#define HIGH_SURROGATE_MAX 0xdbff
#define LOW_SURROGATE_MIN 0xdc00
#define LOW_SURROGATE_MAX 0xdfff

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

/* Reads an escaped UTF-16 unit; returns -1 if there is none. */
static int
read_unit (const char *at, const char *end)
{
  int unit = 0;
  if (end - at < UNIT_ESCAPE_BYTES || at[0] != '\\' || at[1] != 'u')
    return -1;
  for (int i = 2; i < UNIT_ESCAPE_BYTES; i++)
    {
      int digit = g_ascii_xdigit_value (at[i]);
      if (digit < 0)
        return -1;
      unit = unit * 16 + digit;
    }
  return unit;
}

/* Returns the byte after an escape sequence, NULL if it is malformed. The parser's library skips a
 * quotation mark that stands where a digit or the second half of a surrogate pair is missing, so
 * such a sequence would shift the ends of all later strings. */
static const char *
skip_escape (const char *at, const char *end)
{
  if (end - at < 2)
    return NULL;
  if (at[1] != 'u')
    return at[1] != '\0' && strchr (SINGLE_ESCAPES, at[1]) != NULL ? at + 2 : NULL;
  int unit = read_unit (at, end);
  if (unit < HIGH_SURROGATE_MIN || unit > LOW_SURROGATE_MAX)
    return unit >= 0 ? at + UNIT_ESCAPE_BYTES : NULL;
  int low = read_unit (at + UNIT_ESCAPE_BYTES, end);
  return unit <= HIGH_SURROGATE_MAX && low >= LOW_SURROGATE_MIN && low <= LOW_SURROGATE_MAX
             ? at + 2 * UNIT_ESCAPE_BYTES
             : NULL;
}

/* Returns the byte after a string whose content starts at @p at, NULL if it does not end. */
static const char *
skip_string (const char *at, const char *end)
{
  while (at != NULL && at < end && *at != '"')
    at = *at == '\\' ? skip_escape (at, end) : at + 1;
  return at != NULL && at < end ? at + 1 : NULL;
}

static guint
count_digits (const char *at, const char *end)
{
  guint n = 0;
  while (at < end && g_ascii_isdigit (*at++))
    n++;
  return n;
}

static const char *
skip_space (const char *at, const char *end)
{
  while (at < end && (*at == ' ' || *at == '\t' || *at == '\r' || *at == '\n'))
    at++;
  return at;
}

static gboolean
is_outside_string (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr (PUNCTUATION, c) != NULL);
}

/* Checks the nesting before the parser sees the text. The parser, the release of what it returns
 * and the printing of it call themselves for each level, and end the process when the stack is
 * used up. It never releases all of them if a text holds several values.
 * @return what is wrong, NULL for nothing. */
static const char *
find_fault (const char *text, size_t size_bytes)
{
  const char *end = text + size_bytes;
  guint depth = 0;
  gboolean has_mark = size_bytes >= strlen (BYTE_ORDER_MARK)
                      && memcmp (text, BYTE_ORDER_MARK, strlen (BYTE_ORDER_MARK)) == 0;
  const char *start = skip_space (has_mark ? text + strlen (BYTE_ORDER_MARK) : text, end);
  for (const char *at = start; at < end;)
    {
      char c = *at++;
      if (c == '"')
        {
          at = skip_string (at, end);
          if (at == NULL)
            return "malformed string";
          continue;
        }
      if (!is_outside_string (c))
        return "invalid character";
      if (c == '-' && count_digits (at, end) >= TOO_MANY_DIGITS)
        return "number out of range";
      if ((c == '[' || c == '{') && depth == 0 && at - 1 != start)
        return "text before the value";
      if ((c == '[' || c == '{') && ++depth > GG_JSON_MAX_NESTING)
        return "nested too deeply";
      if ((c == ']' || c == '}') && depth-- == 0)
        return "unbalanced bracket";
      if ((c == ']' || c == '}') && depth == 0)
        return skip_space (at, end) == end ? NULL : "text behind the value";
    }
  return NULL;
}

gboolean
gg_json_check (const char *text, size_t size_bytes, GError **error)
{
  /* json_parser_load_from_data() does not accept empty input. */
  const char *fault = size_bytes > 0 ? find_fault (text, size_bytes) : "empty text";
  if (fault == NULL)
    return TRUE;
  g_set_error_literal (error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE, fault);
  return FALSE;
}

/* Returns a parser that has loaded the text, NULL if it is no JSON. */
static JsonParser *
load (const char *text, size_t size_bytes, GError **error)
{
  if (!gg_json_check (text, size_bytes, error))
    return NULL;
  JsonParser *parser = json_parser_new_immutable ();
  if (json_parser_load_from_data (parser, text, (gssize) size_bytes, error))
    return parser;
  g_object_unref (parser);
  return NULL;
}

JsonParser *
gg_json_parse_object (const char *text, size_t size_bytes, JsonObject **object_out, GError **error)
{
  JsonParser *parser = load (text, size_bytes, error);
  if (parser == NULL)
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      *object_out = json_node_get_object (root);
      return parser;
    }
  g_set_error_literal (error, JSON_PARSER_ERROR, JSON_PARSER_ERROR_PARSE, "expected a JSON object");
  g_object_unref (parser);
  return NULL;
}

/* Returns the byte after a list or an object that starts at @p at, NULL if it does not end or is
 * nested deeper than @p max_depth. */
static const char *
skip_brackets (const char *at, const char *end, guint max_depth)
{
  guint depth = 0;
  while (at != NULL && at < end)
    {
      char c = *at++;
      if (c == '"')
        at = skip_string (at, end);
      else if (c == '{' || c == '[')
        {
          if (++depth > max_depth)
            return NULL;
        }
      else if ((c == '}' || c == ']') && --depth == 0)
        return at;
    }
  return NULL;
}

/* Returns the byte after a member's value, NULL if it does not end. */
static const char *
skip_value (const char *at, const char *end)
{
  if (at < end && *at == '"')
    return skip_string (at + 1, end);
  if (at < end && (*at == '{' || *at == '['))
    return skip_brackets (at, end, GG_JSON_MAX_NESTING - 1);
  const char *start = at;
  while (at < end && (g_ascii_isalnum (*at) || *at == '-' || *at == '+' || *at == '.'))
    at++;
  return at > start ? at : NULL;
}

/* Reads the name of a member and the colon.
 * @param is_name_out whether it is @p name.
 * @return where its value starts; NULL if that is not clear. */
static const char *
read_name (const char *at, const char *end, const char *name, gboolean *is_name_out)
{
  size_t n = strlen (name);
  if (at >= end || *at != '"')
    return NULL;
  const char *start = ++at;
  at = skip_string (at, end);
  if (at == NULL || memchr (start, '\\', (size_t) (at - start)) != NULL)
    return NULL;
  *is_name_out = (size_t) (at - 1 - start) == n && memcmp (start, name, n) == 0;
  at = skip_space (at, end);
  return at < end && *at == ':' ? skip_space (at + 1, end) : NULL;
}

/* Finds the content of the list.
 * @return FALSE unless the text is one object with exactly one such member. */
static gboolean
find_list (const char *text, size_t size_bytes, const char *name, GgJsonSpan *list_out)
{
  const char *end = text + size_bytes;
  const char *at = skip_space (text, end);
  guint n_found = 0;
  if (at == end || *at != '{')
    return FALSE;
  do
    {
      gboolean is_name = FALSE;
      at = read_name (skip_space (at + 1, end), end, name, &is_name);
      const char *value_end = at != NULL ? skip_value (at, end) : NULL;
      if (value_end == NULL || (is_name && (n_found++ > 0 || *at != '[')))
        return FALSE;
      if (is_name)
        *list_out = (GgJsonSpan){ (size_t) (at + 1 - text), (size_t) (value_end - 1 - text) };
      at = skip_space (value_end, end);
    }
  while (at < end && *at == ',');
  return n_found == 1 && at < end && *at == '}' && skip_space (at + 1, end) == end;
}

GArray *
gg_json_split_list (const char *text, size_t size_bytes, const char *name, GgJsonSpan *list_out)
{
  if (!find_list (text, size_bytes, name, list_out))
    return NULL;
  GArray *spans = g_array_new (FALSE, FALSE, sizeof (GgJsonSpan));
  const char *end = text + list_out->end;
  const char *at = skip_space (text + list_out->start, end);
  while (at != NULL && at < end)
    {
      const char *element_end
          = *at == '{' ? skip_brackets (at, end, GG_JSON_MAX_NESTING - 2) : NULL;
      if (element_end == NULL)
        break;
      GgJsonSpan span = { (size_t) (at - text), (size_t) (element_end - text) };
      g_array_append_val (spans, span);
      at = skip_space (element_end, end);
      if (at == end)
        return spans;
      at = *at == ',' ? skip_space (at + 1, end) : NULL;
    }
  if (at == end && spans->len == 0)
    return spans;
  g_array_unref (spans);
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
