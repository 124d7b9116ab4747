#include "daemons/controld/control_report.h"

#include "base/clock.h"
#include "base/counters.h"
#include "daemons/controld/control_digest.h"
#include "base/json.h"
#include "greengage/version.h"

#include <json-glib/json-glib.h>
#include <string.h>

typedef struct
{
  guint live;
  guint leaving;
  guint with_load;
  uint64_t outstanding_tokens;
  uint64_t tokens_per_s;
} ServiceSum;

static const char *
state_to_string (GgMemberState state)
{
  return state == GG_MEMBER_LEAVING ? "leaving" : "live";
}

static void
add_configuration (JsonBuilder *builder, const GgControlState *state)
{
  json_builder_set_member_name (builder, "configuration");
  json_builder_begin_object (builder);
  gg_json_add_uint (builder, "generation",
                    state->document != NULL ? gg_config_document_get_generation (state->document)
                                            : 0);
  gg_json_add_string (builder, "publish_id",
                      state->document != NULL ? gg_config_document_get_publish_id (state->document)
                                              : "");
  json_builder_end_object (builder);
}

static void
add_platform (JsonBuilder *builder, const GgControlState *state, uint64_t now_ms)
{
  json_builder_set_member_name (builder, "platform");
  json_builder_begin_array (builder);
  for (int i = 0; i < GG_CONTROL_N_PLATFORMS; i++)
    {
      const GgControlPlatformState *part = &state->platform[i];
      json_builder_begin_object (builder);
      gg_json_add_string (builder, "part", gg_control_platform_get_name ((GgControlPlatform) i));
      gg_json_add_string (builder, "state",
                          !part->known ? "not asked yet"
                          : part->up   ? "up"
                                       : "down");
      gg_json_add_uint (builder, "since_ms",
                        part->known ? now_ms - MIN (now_ms, part->changed_at_ms) : 0);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
add_entries (JsonBuilder *builder, const GgControlState *state)
{
  json_builder_set_member_name (builder, "entries");
  json_builder_begin_array (builder);
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      if (member->role != GG_MEMBER_ENTRY)
        continue;
      json_builder_begin_object (builder);
      gg_json_add_string (builder, "id", member->id);
      gg_json_add_string (builder, "data_centre", member->data_centre);
      gg_json_add_string (builder, "state", state_to_string (member->state));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

static void
sum_runner (GgControlState *state, GHashTable *services, const GgMember *runner, uint64_t now_ms)
{
  char *key = g_strdup (runner->service != NULL ? runner->service : "");
  ServiceSum *sum = g_hash_table_lookup (services, key);
  if (sum == NULL)
    {
      sum = g_new0 (ServiceSum, 1);
      g_hash_table_insert (services, g_strdup (key), sum);
    }
  g_free (key);
  if (runner->state == GG_MEMBER_LIVE)
    sum->live++;
  else
    sum->leaving++;
  GgLoadRecord load;
  if (!gg_control_get_load (state, runner, now_ms, &load))
    return;
  sum->with_load++;
  sum->outstanding_tokens += load.outstanding_tokens;
  sum->tokens_per_s += load.tokens_per_s;
}

static void
add_services (JsonBuilder *builder, GgControlState *state, uint64_t now_ms)
{
  GHashTable *services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *member = gg_member_table_get (state->members, i);
      if (member->role == GG_MEMBER_RUNNER)
        sum_runner (state, services, member, now_ms);
    }
  json_builder_set_member_name (builder, "services");
  json_builder_begin_array (builder);
  GList *names = g_list_sort (g_hash_table_get_keys (services), (GCompareFunc) g_strcmp0);
  for (GList *name = names; name != NULL; name = name->next)
    {
      const ServiceSum *sum = g_hash_table_lookup (services, name->data);
      json_builder_begin_object (builder);
      gg_json_add_string (builder, "service", name->data);
      gg_json_add_uint (builder, "live", sum->live);
      gg_json_add_uint (builder, "leaving", sum->leaving);
      gg_json_add_uint (builder, "with_load", sum->with_load);
      gg_json_add_uint (builder, "outstanding_tokens", sum->outstanding_tokens);
      gg_json_add_uint (builder, "tokens_per_s", sum->tokens_per_s);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  g_list_free (names);
  g_hash_table_unref (services);
}

static void
add_overview (JsonBuilder *builder, GgControlState *state, uint64_t now_ms)
{
  gg_json_add_string (builder, "instance", state->name);
  gg_json_add_string (builder, "data_centre", state->data_centre);
  gg_json_add_string (builder, "version", GG_VERSION);
  gg_json_add_uint (builder, "uptime_ms", now_ms - state->started_at_ms);
  gg_json_add_uint (builder, "members_version", gg_member_table_get_version (state->members));
  gg_json_add_boolean (builder, "ready",
                       state->config != NULL && gg_member_table_get_size (state->members) > 0);
  add_configuration (builder, state);
  add_platform (builder, state, now_ms);
  add_entries (builder, state);
  add_services (builder, state, now_ms);
}

char *
gg_control_report_status (GgControlState *state)
{
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_object (builder);
  gg_control_state_lock (state);
  add_overview (builder, state, gg_clock_now_ms ());
  gg_control_state_unlock (state);
  json_builder_end_object (builder);
  return gg_json_print (builder);
}

static void
add_member (JsonBuilder *builder, GgControlState *state, const GgMember *member, uint64_t now_ms)
{
  GgLoadRecord load;
  json_builder_begin_object (builder);
  gg_json_add_string (builder, "id", member->id);
  gg_json_add_uint (builder, "incarnation", member->incarnation);
  gg_json_add_string (builder, "role", member->role == GG_MEMBER_ENTRY ? "entry" : "runner");
  gg_json_add_string (builder, "state", state_to_string (member->state));
  gg_json_add_string (builder, "address", member->address);
  gg_json_add_string (builder, "control", member->control_address);
  gg_json_add_string (builder, "entry_rpc", member->entry_rpc_address);
  gg_json_add_string (builder, "data_centre", member->data_centre);
  gg_json_add_string (builder, "service", member->service);
  gg_json_add_uint (builder, "first_layer", member->first_layer);
  gg_json_add_uint (builder, "end_layer", member->end_layer);
  gg_json_add_string (builder, "accelerator", member->accelerator);
  if (member->role == GG_MEMBER_RUNNER && gg_control_get_load (state, member, now_ms, &load))
    {
      gg_json_add_uint (builder, "outstanding_tokens", load.outstanding_tokens);
      gg_json_add_uint (builder, "tokens_per_s", load.tokens_per_s);
      gg_json_add_uint (builder, "load_age_ms", load.age_ms);
    }
  json_builder_end_object (builder);
}

char *
gg_control_report_dump (GgControlState *state)
{
  uint64_t now_ms = gg_clock_now_ms ();
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_object (builder);
  gg_control_state_lock (state);
  add_overview (builder, state, now_ms);
  json_builder_set_member_name (builder, "members");
  json_builder_begin_array (builder);
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    add_member (builder, state, gg_member_table_get (state->members, i), now_ms);
  json_builder_end_array (builder);
  gg_control_state_unlock (state);

  GString *counters = g_string_new (NULL);
  gg_counters_expose (counters);
  gg_json_add_string (builder, "counters", counters->str);
  g_string_free (counters, TRUE);
  json_builder_end_object (builder);
  return gg_json_print (builder);
}
