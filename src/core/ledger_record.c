#include "core/ledger.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define MAX_STATUS 999

static const char *const state_names[] = { "intent", "done", "unknown", "not-run" };

void
gg_ledger_record_clear (GgLedgerRecord *self)
{
  g_free (self->fingerprint);
  g_free (self->owner);
  g_free (self->content_type);
  g_free (self->body);
  *self = (GgLedgerRecord){ .state = GG_LEDGER_INTENT };
}

static void
add_answer (JsonBuilder *builder, const GgLedgerRecord *record)
{
  if (record->content_type != NULL)
    {
      char *content_type = g_utf8_make_valid (record->content_type, -1);
      gg_json_add_string (builder, "content_type", content_type);
      g_free (content_type);
    }
  if (record->body != NULL)
    {
      char *body = g_base64_encode ((const guchar *) record->body, strlen (record->body));
      gg_json_add_string (builder, "body_base64", body);
      g_free (body);
    }
}

char *
gg_ledger_record_format (const GgLedgerRecord *self)
{
  char attempt[GG_ID_TEXT_LENGTH + 1];
  JsonBuilder *builder = json_builder_new ();
  gg_id_format (&self->attempt, attempt);
  json_builder_begin_object (builder);
  gg_json_add_string (builder, "state", state_names[self->state]);
  gg_json_add_string (builder, "attempt", attempt);
  gg_json_add_string (builder, "fingerprint", self->fingerprint);
  gg_json_add_string (builder, "owner", self->owner);
  gg_json_add_uint (builder, "created_at_ms", self->created_at_wall_ms);
  gg_json_add_uint (builder, "status", self->status);
  add_answer (builder, self);
  json_builder_end_object (builder);
  return gg_json_print (builder);
}

/** @return NULL if the member is absent or of another type. */
static const char *
get_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

/** @return -1 if the member is absent or of another type. */
static gint64
get_int (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64)
    return -1;
  return json_node_get_int (node);
}

static gboolean
parse_state (GgLedgerState *state_out, const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (g_strcmp0 (name, state_names[i]) == 0)
      {
        *state_out = (GgLedgerState) i;
        return TRUE;
      }
  return FALSE;
}

static char *
decode_body (const char *base64)
{
  gsize size_bytes;
  if (base64 == NULL)
    return NULL;
  guchar *body = g_base64_decode (base64, &size_bytes);
  char *text = g_strndup ((const char *) body, size_bytes);
  g_free (body);
  return text;
}

static gboolean
parse_object (GgLedgerRecord *record, JsonObject *object)
{
  gint64 created_at_ms = get_int (object, "created_at_ms");
  gint64 status = get_int (object, "status");
  record->fingerprint = g_strdup (get_string (object, "fingerprint"));
  record->owner = g_strdup (get_string (object, "owner"));
  record->created_at_wall_ms = (uint64_t) created_at_ms;
  record->status = (uint32_t) status;
  record->content_type = g_strdup (get_string (object, "content_type"));
  record->body = decode_body (get_string (object, "body_base64"));
  return parse_state (&record->state, get_string (object, "state"))
         && gg_id_parse (&record->attempt, get_string (object, "attempt"))
         && record->fingerprint != NULL && record->owner != NULL && created_at_ms >= 0
         && status >= 0 && status <= MAX_STATUS;
}

gboolean
gg_ledger_record_parse (GgLedgerRecord *record_out, const char *json)
{
  JsonParser *parser = json_parser_new ();
  gboolean is_record = FALSE;
  *record_out = (GgLedgerRecord){ .state = GG_LEDGER_INTENT };
  if (gg_json_check (json, strlen (json), NULL)
      && json_parser_load_from_data (parser, json, -1, NULL))
    {
      JsonNode *root = json_parser_get_root (parser);
      if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
        is_record = parse_object (record_out, json_node_get_object (root));
    }
  if (!is_record)
    gg_ledger_record_clear (record_out);
  g_object_unref (parser);
  return is_record;
}
