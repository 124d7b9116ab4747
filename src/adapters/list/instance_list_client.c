#include "ports/instance_list.h"

#include "adapters/http/http_json.h"
#include "base/counters.h"
#include "base/settings.h"

#include <string.h>

#define GG_LIST_STATUS_OK 200

static GgCounter reads = GG_COUNTER ("greengage_list_reads_total", "Readings of the instance list");
static GgCounter failures
    = GG_COUNTER ("greengage_list_failures_total", "Readings of the instance list that failed");
static GgCounter skipped
    = GG_COUNTER ("greengage_list_skipped_total", "Malformed instances left out of a reading");

struct _GgInstanceList
{
  GgHttpPool *pool;
  char *address;
};

GgInstanceList *
gg_instance_list_create (const char *address)
{
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  GgInstanceList *self = g_new0 (GgInstanceList, 1);
  self->pool = gg_http_pool_create (&limits);
  self->address = g_strdup (address);
  return self;
}

void
gg_instance_list_destroy (GgInstanceList *self)
{
  if (self == NULL)
    return;
  gg_http_pool_destroy (self->pool);
  g_free (self->address);
  g_free (self);
}

/* Frees the fields that read_member() sets. */
static void
clear_member (void *data)
{
  gg_member_clear (data);
}

static gboolean
read_role (const char *text, GgMemberRole *role_out)
{
  *role_out = strcmp (text, "entry") == 0 ? GG_MEMBER_ENTRY : GG_MEMBER_RUNNER;
  return *role_out == GG_MEMBER_ENTRY || strcmp (text, "runner") == 0;
}

static gboolean
read_state (const char *text, GgMemberState *state_out)
{
  *state_out = strcmp (text, "leaving") == 0 ? GG_MEMBER_LEAVING : GG_MEMBER_LIVE;
  return *state_out == GG_MEMBER_LEAVING || strcmp (text, "live") == 0;
}

/* An absent address is read as ""; it is valid if @p is_optional. */
static gboolean
read_address (JsonObject *object, const char *member, gboolean is_optional, char **address_out)
{
  const char *text = gg_http_json_get_text (object, member);
  char *host = NULL;
  uint16_t port;
  gboolean valid = *text == '\0' ? is_optional : gg_address_parse (text, &host, &port);
  g_free (host);
  *address_out = g_strdup (text);
  return valid;
}

static gboolean
read_member (JsonObject *object, GgMember *member_out)
{
  gint64 incarnation = json_object_get_int_member_with_default (object, "incarnation", -1);
  member_out->id = g_strdup (gg_http_json_get_text (object, "id"));
  member_out->incarnation = (uint64_t) incarnation;
  member_out->data_centre = g_strdup (gg_http_json_get_text (object, "data_centre"));
  member_out->service = g_strdup (gg_http_json_get_text (object, "service"));
  member_out->accelerator = g_strdup (gg_http_json_get_text (object, "accelerator"));
  member_out->first_layer = gg_http_json_get_uint (object, "first_layer", 0);
  member_out->end_layer = gg_http_json_get_uint (object, "end_layer", 0);
  return *member_out->id != '\0' && incarnation >= 0
         && read_role (gg_http_json_get_text (object, "role"), &member_out->role)
         && read_state (gg_http_json_get_text (object, "state"), &member_out->state)
         && read_address (object, "address", FALSE, &member_out->address)
         && read_address (object, "control", TRUE, &member_out->control_address)
         && read_address (object, "entry_rpc", TRUE, &member_out->entry_rpc_address)
         && member_out->first_layer <= member_out->end_layer;
}

static void
append_member (GArray *members, JsonNode *node)
{
  GgMember member = { 0 };
  if (JSON_NODE_HOLDS_OBJECT (node) && read_member (json_node_get_object (node), &member))
    {
      g_array_append_val (members, member);
      return;
    }
  clear_member (&member);
  gg_counter_add (&skipped, 1);
}

/* Returns NULL if the list is malformed. Malformed instances are skipped, so that they don't hide
 * the others, but a non-empty list without any valid instance is rejected. */
static GArray *
parse_members (const GgHttpReply *http)
{
  JsonObject *object = gg_http_json_parse_object (http);
  JsonArray *array = object != NULL ? gg_http_json_get_array (object, "instances") : NULL;
  GArray *members = NULL;
  if (array != NULL)
    {
      guint n = json_array_get_length (array);
      members = g_array_sized_new (FALSE, TRUE, sizeof (GgMember), n);
      g_array_set_clear_func (members, clear_member);
      for (guint i = 0; i < n; i++)
        append_member (members, json_array_get_element (array, i));
      if (members->len == 0 && n > 0)
        g_clear_pointer (&members, g_array_unref);
    }
  g_clear_pointer (&object, json_object_unref);
  return members;
}

gboolean
gg_instance_list_read (GgInstanceList *self, uint64_t deadline_ms, GArray **members_out)
{
  GgHttpReply http;
  *members_out = NULL;
  gg_counter_add (&reads, 1);
  if (gg_http_pool_read (self->pool, self->address, "/v1/instances", deadline_ms, &http)
          == GG_HTTP_OK
      && http.status == GG_LIST_STATUS_OK)
    *members_out = parse_members (&http);
  gg_http_reply_clear (&http);
  if (*members_out == NULL)
    gg_counter_add (&failures, 1);
  return *members_out != NULL;
}
