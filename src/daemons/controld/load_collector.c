#include "daemons/controld/load_collector.h"

#include "adapters/http/http_pool.h"
#include "base/clock.h"
#include "base/counters.h"
#include "greengage/id.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* A runner that does not answer holds one of these until the timeout. */
#define MAX_THREADS 8
#define CALL_TIMEOUT_MS 1000

static GgCounter collected
    = GG_COUNTER ("greengage_load_polls_total{result=\"ok\"}", "Polls of the load of runners");
static GgCounter failed
    = GG_COUNTER ("greengage_load_polls_total{result=\"failed\"}", "Polls of the load of runners");
static GgCounter assigned
    = GG_GAUGE ("greengage_load_assigned_runners", "Runners whose load this instance collects");

struct _GgLoadCollector
{
  GgControlState *state;
  GgHttpPool *http;
  uint64_t poll_ms;
  GThreadPool *workers;
  pthread_t thread;
  pthread_mutex_t mutex;
  GHashTable *in_flight;    /* Ids that a worker polls; guarded by the mutex. */
  GArray *runners;          /* GgMember; used by the thread alone. */
  uint64_t members_version; /* For which runners was computed. */
};

static gboolean
read_uint (JsonObject *object, const char *name, uint32_t *value_out)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || (json_node_get_value_type (node) != G_TYPE_INT64
          && json_node_get_value_type (node) != G_TYPE_DOUBLE))
    return FALSE;
  double value = json_node_get_double (node);
  *value_out = (uint32_t) CLAMP (value, 0.0, (double) UINT32_MAX);
  return TRUE;
}

static gboolean
parse_load (const char *body, GgExchangeLoad *load_out)
{
  JsonNode *root = json_from_string (body, NULL);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_clear_pointer (&root, json_node_unref);
      return FALSE;
    }
  JsonObject *object = json_node_get_object (root);
  gboolean whole = read_uint (object, "outstanding_tokens", &load_out->outstanding_tokens)
                   && read_uint (object, "tokens_per_s", &load_out->tokens_per_s);
  /* The age is optional: a runner that does not report it counts as measured now. */
  load_out->age_ms = 0;
  (void) read_uint (object, "age_ms", &load_out->age_ms);
  JsonNode *leaving = json_object_get_member (object, "leaving");
  load_out->leaving = leaving != NULL && JSON_NODE_HOLDS_VALUE (leaving)
                      && json_node_get_value_type (leaving) == G_TYPE_BOOLEAN
                      && json_node_get_boolean (leaving);
  json_node_unref (root);
  return whole;
}

static void
take_load (GgLoadCollector *self, const GgMember *runner, const char *body)
{
  GgExchangeLoad load = { .runner_hash = gg_id_hash_instance (runner->id) };
  uint64_t now_ms = gg_clock_now_ms ();
  if (!parse_load (body, &load))
    {
      gg_counter_add (&failed, 1);
      return;
    }
  gg_counter_add (&collected, 1);
  gg_control_state_lock (self->state);
  gg_load_table_put (self->state->loads, &load, now_ms);
  gg_member_table_confirm (self->state->members, runner->id, now_ms);
  gg_control_state_unlock (self->state);
  if (load.leaving)
    gg_control_state_mark_leaving (self->state, runner->id, runner->incarnation,
                                   GG_MEMBER_SOURCE_SELF, now_ms);
}

static void
call_runner (GgLoadCollector *self, const GgMember *runner)
{
  GgHttpRequest request = { .method = "GET", .path = "/v1/load", .may_repeat = TRUE };
  GgHttpReply reply = { 0 };
  GgHttpResult result = gg_http_pool_call (self->http, runner->address, &request,
                                           gg_clock_now_ms () + CALL_TIMEOUT_MS, &reply);
  if (result == GG_HTTP_OK && reply.status == 200)
    take_load (self, runner, reply.body);
  else
    gg_counter_add (&failed, 1);
  gg_http_reply_clear (&reply);
}

static void
poll_runner (void *data, void *user_data)
{
  GgLoadCollector *self = user_data;
  GgMember *runner = data;
  if (!gg_control_state_is_stopping (self->state))
    call_runner (self, runner);

  pthread_mutex_lock (&self->mutex);
  g_hash_table_remove (self->in_flight, runner->id);
  pthread_mutex_unlock (&self->mutex);
  gg_member_clear (runner);
  g_free (runner);
}

/* Call with the state locked. */
static gboolean
is_assigned (const GgControlState *state, const GgMember *member)
{
  if (member->role != GG_MEMBER_RUNNER || member->address == NULL)
    return FALSE;
  gboolean local = FALSE;
  for (guint i = 0; i < gg_member_table_get_size (state->members) && !local; i++)
    {
      const GgMember *entry = gg_member_table_get (state->members, i);
      local = entry->role == GG_MEMBER_ENTRY && entry->state == GG_MEMBER_LIVE
              && g_strcmp0 (entry->data_centre, member->data_centre) == 0;
    }
  return gg_member_table_get_rank (state->members, local ? member->data_centre : NULL, member->id,
                                   state->name)
         == 0;
}

/* Ranks cost a pass over all entries per runner, so they are computed once per change. */
static void
update_runners (GgLoadCollector *self)
{
  gg_control_state_lock (self->state);
  uint64_t version = gg_member_table_get_version (self->state->members);
  gg_control_state_unlock (self->state);
  if (self->runners != NULL && version == self->members_version)
    return;
  g_clear_pointer (&self->runners, g_array_unref);
  self->runners = gg_control_state_copy_members (self->state, is_assigned);
  self->members_version = version;
  gg_counter_set (&assigned, self->runners->len);
}

static void
start_poll (GgLoadCollector *self, const GgMember *runner)
{
  pthread_mutex_lock (&self->mutex);
  gboolean idle = g_hash_table_add (self->in_flight, g_strdup (runner->id));
  pthread_mutex_unlock (&self->mutex);
  if (!idle)
    return;
  GgMember *copy = g_new (GgMember, 1);
  gg_member_copy (copy, runner);
  g_thread_pool_push (self->workers, copy, NULL);
}

static void *
run (void *data)
{
  GgLoadCollector *self = data;
  do
    {
      update_runners (self);
      for (guint i = 0; i < self->runners->len; i++)
        start_poll (self, &g_array_index (self->runners, GgMember, i));
    }
  while (gg_control_state_wait (self->state, self->poll_ms));
  return NULL;
}

GgLoadCollector *
gg_load_collector_create (GgControlState *state, const GgSettings *settings)
{
  GgLoadCollector *self = g_new0 (GgLoadCollector, 1);
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  limits.max_idle_per_address = 1;
  limits.max_reply_bytes = 64 * 1024;
  self->state = state;
  self->http = gg_http_pool_create (&limits);
  self->poll_ms = gg_settings_get_uint (settings, "loads", "poll_ms");
  pthread_mutex_init (&self->mutex, NULL);
  self->in_flight = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->workers = g_thread_pool_new (poll_runner, self, MAX_THREADS, FALSE, NULL);
  gg_control_thread_start (&self->thread, run, self);
  return self;
}

void
gg_load_collector_destroy (GgLoadCollector *self)
{
  pthread_join (self->thread, NULL);
  g_thread_pool_free (self->workers, FALSE, TRUE);
  gg_http_pool_destroy (self->http);
  g_clear_pointer (&self->runners, g_array_unref);
  g_hash_table_unref (self->in_flight);
  pthread_mutex_destroy (&self->mutex);
  g_free (self);
}
