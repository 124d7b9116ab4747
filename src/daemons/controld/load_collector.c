#include "daemons/controld/load_collector.h"

#include "adapters/http/http_pool.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/json.h"
#include "base/tsan.h"
#include "core/mutation.h"
#include "daemons/controld/order_issuer.h"
#include "greengage/id.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* An unresponsive runner occupies one thread until its call times out. */
#define MAX_THREADS 8
#define CALL_TIMEOUT_MS 1000
/* Backup collectors per runner in each scope (its data centre, all instances), used while the
 * regular collector delivers no reports. */
#define MAX_BACKUPS 2
/* A backup collector polls a runner once its load record is older than this times the rank of the
 * backup. */
#define BACKUP_DELAY_MS 1000

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
  GHashTable *in_flight; /* Ids of runners being polled; guarded by the mutex. */
  GgOrderIssuer *orders;
  GArray *runners;          /* GgMember; used only by the thread, as the next two. */
  GArray *ranks;            /* int, by index in runners. */
  uint64_t members_version; /* Version of the member table from which runners was computed. */
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

/* Parses a load report. Sets the version, owned by the caller, if the report has one.
 * Returns FALSE if the report is malformed or a required field is missing. */
static gboolean
parse_load (const char *body, GgLoadRecord *load_out, char **version_out)
{
  JsonNode *root = gg_json_check (body, strlen (body), NULL) ? json_from_string (body, NULL) : NULL;
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      g_clear_pointer (&root, json_node_unref);
      return FALSE;
    }
  JsonObject *object = json_node_get_object (root);
  gboolean complete = read_uint (object, "outstanding_tokens", &load_out->outstanding_tokens)
                      && read_uint (object, "tokens_per_s", &load_out->tokens_per_s);
  /* The age is optional; a report without it counts as measured now. */
  load_out->age_ms = 0;
  (void) read_uint (object, "age_ms", &load_out->age_ms);
  JsonNode *leaving = json_object_get_member (object, "leaving");
  load_out->leaving = leaving != NULL && JSON_NODE_HOLDS_VALUE (leaving)
                      && json_node_get_value_type (leaving) == G_TYPE_BOOLEAN
                      && json_node_get_boolean (leaving)
                      && !GG_IS_MUTATED ("runner-ignore-refusal");
  JsonNode *version = json_object_get_member (object, "version");
  if (version != NULL && JSON_NODE_HOLDS_VALUE (version))
    *version_out = json_node_dup_string (version);
  json_node_unref (root);
  return complete;
}

static void
apply_load (GgLoadCollector *self, const GgMember *runner, const char *body)
{
  GgLoadRecord load = { .runner_hash = gg_id_hash_instance (runner->id) };
  uint64_t now_ms = gg_clock_now_ms ();
  char *version = NULL;
  if (!parse_load (body, &load, &version))
    {
      gg_counter_add (&failed, 1);
      g_free (version);
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
  gg_order_issuer_handle_report (self->orders, runner, version);
  g_free (version);
}

static void
call_runner (GgLoadCollector *self, const GgMember *runner)
{
  GgHttpRequest request = { .method = "GET", .path = "/v1/load", .may_repeat = TRUE };
  GgHttpReply reply = { 0 };
  GgHttpResult result = gg_http_pool_call (self->http, runner->address, &request,
                                           gg_clock_now_ms () + CALL_TIMEOUT_MS, &reply);
  if (result == GG_HTTP_OK && reply.status == 200)
    apply_load (self, runner, reply.body);
  else
    gg_counter_add (&failed, 1);
  gg_http_reply_clear (&reply);
}

static void
poll_runner (void *data, void *user_data)
{
  GgLoadCollector *self = user_data;
  GgMember *runner = data;
  GG_TSAN_ACQUIRE (runner);
  if (!gg_control_state_is_stopping (self->state))
    call_runner (self, runner);

  pthread_mutex_lock (&self->mutex);
  g_hash_table_remove (self->in_flight, runner->id);
  pthread_mutex_unlock (&self->mutex);
  gg_member_clear (runner);
  g_free (runner);
  GG_TSAN_RELEASE (self);
}

/* Call with the state locked. */
static gboolean
has_local_entry (const GgControlState *state, const char *data_centre)
{
  for (guint i = 0; i < gg_member_table_get_size (state->members); i++)
    {
      const GgMember *entry = gg_member_table_get (state->members, i);
      if (entry->role == GG_MEMBER_ENTRY && entry->state == GG_MEMBER_LIVE
          && g_strcmp0 (entry->data_centre, data_centre) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns the rank of this instance among the collectors of a runner, or -1. Rank 0 collects; the
 * next ranks are backups that take over while reports are missing. Instances in other data centres
 * rank after the local ones. A runner that is missing from the list has a collector in every data
 * centre: it stays in use there only while it is known to answer, and load records are not sent
 * between data centres. Call with the state locked. */
static int
get_rank (const GgControlState *state, const GgMember *runner)
{
  int rank = -1;
  if (gg_member_table_is_missing (state->members, runner->id)
      && !GG_IS_MUTATED ("collector-local-only"))
    rank = gg_member_table_get_rank (state->members, state->data_centre, runner->id, state->name);
  if (rank == 0)
    return rank;
  if (has_local_entry (state, runner->data_centre))
    rank = gg_member_table_get_rank (state->members, runner->data_centre, runner->id, state->name);
  if (rank >= 0)
    return rank;
  rank = gg_member_table_get_rank (state->members, NULL, runner->id, state->name);
  return rank >= 0 && has_local_entry (state, runner->data_centre) ? rank + MAX_BACKUPS : rank;
}

static gboolean
is_candidate (const GgControlState *state, const GgMember *member)
{
  if (member->role != GG_MEMBER_RUNNER || member->address == NULL)
    return FALSE;
  int rank = get_rank (state, member);
  return rank >= 0 && rank <= 2 * MAX_BACKUPS;
}

/* Computing a rank takes a pass over all entry instances per runner, so ranks are computed only
 * when the member table has changed. */
static void
update_runners (GgLoadCollector *self)
{
  gg_control_state_lock (self->state);
  uint64_t version = gg_member_table_get_version (self->state->members);
  gg_control_state_unlock (self->state);
  if (self->runners != NULL && version == self->members_version)
    return;
  g_clear_pointer (&self->runners, g_array_unref);
  self->runners = gg_control_state_copy_members (self->state, is_candidate);
  self->members_version = version;

  uint32_t n_assigned = 0;
  g_array_set_size (self->ranks, 0);
  gg_control_state_lock (self->state);
  for (guint i = 0; i < self->runners->len; i++)
    {
      int rank = get_rank (self->state, &g_array_index (self->runners, GgMember, i));
      g_array_append_val (self->ranks, rank);
      n_assigned += rank == 0 ? 1 : 0;
    }
  gg_control_state_unlock (self->state);
  gg_counter_set (&assigned, n_assigned);
}

/* A backup collector polls once the reports received from the collectors before it are too old. */
static gboolean
is_due (GgLoadCollector *self, const GgMember *runner, int rank)
{
  if (rank == 0 || GG_IS_MUTATED ("collector-no-stand-in"))
    return rank == 0;
  uint64_t wait_ms = BACKUP_DELAY_MS * (uint64_t) rank;
  uint64_t now_ms = gg_clock_now_ms ();
  GgLoadTable *loads = self->state->loads;
  gg_control_state_lock (self->state);
  uint64_t measured_ms = gg_load_table_get_measured_ms (loads, gg_id_hash_instance (runner->id));
  /* Only sums are received from other data centres. */
  const GgLoadSum *sum
      = gg_load_table_get_sum (loads, runner->data_centre, runner->service, now_ms);
  if (sum != NULL && g_strcmp0 (runner->data_centre, self->state->data_centre) != 0)
    measured_ms = MAX (measured_ms, sum->received_ms);
  gg_control_state_unlock (self->state);
  return now_ms > MAX (measured_ms, self->state->started_at_ms) + wait_ms;
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
  GG_TSAN_RELEASE (copy);
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
        {
          const GgMember *runner = &g_array_index (self->runners, GgMember, i);
          if (is_due (self, runner, g_array_index (self->ranks, int, i)))
            start_poll (self, runner);
        }
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
  self->orders = gg_order_issuer_create (state, self->http);
  self->ranks = g_array_new (FALSE, FALSE, sizeof (int));
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
  GG_TSAN_ACQUIRE (self);
  gg_order_issuer_destroy (self->orders);
  gg_http_pool_destroy (self->http);
  g_clear_pointer (&self->runners, g_array_unref);
  g_array_unref (self->ranks);
  g_hash_table_unref (self->in_flight);
  pthread_mutex_destroy (&self->mutex);
  g_free (self);
}
