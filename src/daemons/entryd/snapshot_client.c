#include "daemons/entryd/snapshot_client.h"

#include "adapters/rpc/rpc_client.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "base/tsan.h"
#include "core/config_document.h"
#include "core/member.h"
#include "core/runner_health.h"
#include "daemons/entryd/report_queue.h"
#include "daemons/entryd/runner_registry.h"
#include "greengage/id.h"

#include <pthread.h>
#include <urcu/urcu-bp.h>

#define RPC_TIMEOUT_MS 1000
/* The control process is reported as unresponsive after this time without an answer. */
#define UNRESPONSIVE_AFTER_MS 2000
#define FLUSH_TIMEOUT_MS 1000
/* Lower request rates are not reported. The rate of a single request decays to this in 3 s, which
 * leaves 5% of the use unreported. Without this bound, the names of teams that recently sent one
 * request filled most of a digest. */
#define MIN_REPORTED_USE_PER_S 0.05

static GgCounter polls
    = GG_COUNTER ("greengage_snapshot_polls_total", "Snapshots asked of the control process");
static GgCounter poll_failures = GG_COUNTER ("greengage_snapshot_poll_failures_total",
                                             "Snapshots that the control process did not give");
static GgCounter generation_gauge
    = GG_GAUGE ("greengage_config_generation", "Generation of the configuration in force");

typedef struct
{
  uint32_t instance_hash;
  char *rpc_address;
} Peer;

/* Published by RCU; immutable. */
typedef struct
{
  GgConfig *config;
  GgRouteTable *routes;
  GArray *peers;      /* Peer */
  GPtrArray *runners; /* GgRunner */
} Snapshot;

struct _GgSnapshotClient
{
  char *instance;
  char *control_address;
  uint64_t poll_ms;
  GgAdmission *admission;
  GgReportQueue *reports;

  Snapshot *current; /* RCU */
  _Atomic uint64_t answered_at_ms;
  _Atomic uint64_t generation;
  atomic_bool ready;

  /* Owned by the polling thread. */
  CLIENT *client;
  GgConfigDocument *document;
  GgConfig *config;
  uint64_t members_version;
  GgRunnerRegistry *runners;
  GArray *peers; /* Peer */
  gboolean unresponsive;

  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  gboolean stopping;
  gboolean urgent;
};

static void
clear_peer (gpointer data)
{
  g_free (((Peer *) data)->rpc_address);
}

static void
unref_runner (gpointer data)
{
  gg_runner_unref (data);
}

static void
snapshot_free (Snapshot *snapshot)
{
  if (snapshot == NULL)
    return;
  gg_config_unref (snapshot->config);
  gg_route_table_destroy (snapshot->routes);
  g_array_unref (snapshot->peers);
  g_ptr_array_unref (snapshot->runners);
  g_free (snapshot);
}

static void
apply_config (GgSnapshotClient *self, const char *json)
{
  if (json == NULL || *json == '\0')
    return;
  GError *error = NULL;
  GgConfig *config = NULL;
  GgConfigDocument *document = gg_config_document_parse (json, &error);
  if (document != NULL && gg_config_document_supersedes (document, self->document))
    config = gg_config_create (gg_config_document_get_files (document), &error);
  if (error != NULL)
    {
      gg_log (LOG_ERR, "event=config-rejected reason=\"%s\"", error->message);
      g_error_free (error);
    }
  if (config == NULL)
    {
      gg_config_document_unref (document);
      return;
    }
  gg_config_document_unref (self->document);
  gg_config_unref (self->config);
  self->document = document;
  self->config = config;
  uint64_t generation = gg_config_document_get_generation (document);
  atomic_store (&self->generation, generation);
  gg_counter_set (&generation_gauge, (int64_t) generation);
  gg_log (LOG_NOTICE, "event=config-in-force generation=%" G_GUINT64_FORMAT, (guint64) generation);
}

static void
apply_members (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
{
  if (reply->members_version == self->members_version)
    return;
  self->members_version = reply->members_version;
  gg_runner_registry_set_members (self->runners, reply->members.members_val,
                                  reply->members.members_len);
  g_array_set_size (self->peers, 0);
  for (u_int i = 0; i < reply->members.members_len; i++)
    {
      const gg_rpc_member *member = &reply->members.members_val[i];
      Peer peer = { gg_id_hash_instance (member->id), g_strdup (member->entry_rpc_address) };
      if (member->role == GG_MEMBER_ENTRY)
        g_array_append_val (self->peers, peer);
      else
        clear_peer (&peer);
    }
}

static Snapshot *
make_snapshot (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
{
  Snapshot *snapshot = g_new0 (Snapshot, 1);
  GArray *entries = gg_runner_registry_make_entries (self->runners, reply->loads.loads_val,
                                                     reply->loads.loads_len, gg_clock_now_ms ());
  snapshot->runners = g_ptr_array_new_with_free_func (unref_runner);
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_add (snapshot->runners,
                     gg_runner_ref (g_array_index (entries, GgRouteEntry, i).runner));
  snapshot->routes = gg_route_table_create ((const GgRouteEntry *) entries->data, entries->len);
  g_array_unref (entries);

  snapshot->peers = g_array_new (FALSE, FALSE, sizeof (Peer));
  g_array_set_clear_func (snapshot->peers, clear_peer);
  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *known = &g_array_index (self->peers, Peer, i);
      Peer peer = { known->instance_hash, g_strdup (known->rpc_address) };
      g_array_append_val (snapshot->peers, peer);
    }
  snapshot->config = self->config != NULL ? gg_config_ref (self->config) : NULL;
  return snapshot;
}

static void
publish (GgSnapshotClient *self, Snapshot *snapshot)
{
  Snapshot *old = self->current;
  GG_TSAN_RELEASE (snapshot);
  rcu_assign_pointer (self->current, snapshot);
  urcu_bp_synchronize_rcu ();
  GG_TSAN_ACQUIRE (old);
  snapshot_free (old);
}

static void
apply_remote_use (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
{
  uint64_t now = gg_clock_now_ms ();
  for (u_int i = 0; i < reply->remote_use.remote_use_len; i++)
    {
      const gg_rpc_team_use *use = &reply->remote_use.remote_use_val[i];
      gg_admission_set_remote_use (self->admission, use->team, use->milli_requests_per_s / 1000.0,
                                   now);
    }
}

static gboolean
poll_snapshot (GgSnapshotClient *self)
{
  gg_rpc_snapshot_query query = { .known_generation = atomic_load (&self->generation),
                                  .known_members_version = self->members_version };
  gg_rpc_snapshot reply = { 0 };
  gg_counter_add (&polls, 1);
  if (gg_control_snapshot_1 (query, &reply, self->client) != RPC_SUCCESS)
    return FALSE;

  apply_config (self, reply.config_json);
  apply_members (self, &reply);
  apply_remote_use (self, &reply);
  publish (self, make_snapshot (self, &reply));
  if (reply.ready && self->config != NULL)
    atomic_store (&self->ready, TRUE);
  clnt_freeres (self->client, (xdrproc_t) xdr_gg_rpc_snapshot, (char *) &reply);
  return TRUE;
}

static void
fill_local_use (GgSnapshotClient *self, GArray *use)
{
  if (self->config == NULL)
    return;
  uint64_t now = gg_clock_now_ms ();
  for (guint i = 0; i < gg_config_get_n_teams (self->config); i++)
    {
      const GgTeam *team = gg_config_get_team (self->config, i);
      double per_s = gg_admission_get_local_use (self->admission, team->name, now);
      if (per_s < MIN_REPORTED_USE_PER_S)
        continue;
      gg_rpc_team_use item = { team->name, (u_int) (per_s * 1000.0) };
      g_array_append_val (use, item);
    }
}

static gboolean
send_report (GgSnapshotClient *self)
{
  GArray *use = g_array_new (FALSE, FALSE, sizeof (gg_rpc_team_use));
  gg_rpc_report report;
  gg_report_queue_fill (self->reports, &report);
  fill_local_use (self, use);
  report.local_use.local_use_len = use->len;
  report.local_use.local_use_val = (gg_rpc_team_use *) (void *) use->data;

  bool_t accepted = FALSE;
  gboolean delivered = gg_control_report_1 (report, &accepted, self->client) == RPC_SUCCESS;
  gg_report_queue_acknowledge (self->reports, delivered);
  g_free (report.leaving.leaving_val);
  g_free (report.events.events_val);
  g_array_unref (use);
  return delivered;
}

static void
note_result (GgSnapshotClient *self, gboolean answered)
{
  uint64_t now = gg_clock_now_ms ();
  if (answered)
    {
      if (self->unresponsive)
        {
          char *detail = g_strdup_printf ("silent for %" G_GUINT64_FORMAT " ms",
                                          (guint64) (now - atomic_load (&self->answered_at_ms)));
          gg_log (LOG_NOTICE, "event=control-restored detail=\"%s\"", detail);
          gg_snapshot_client_report_event (self, "control-restored", self->instance, detail, FALSE);
          g_free (detail);
        }
      self->unresponsive = FALSE;
      atomic_store (&self->answered_at_ms, now);
      return;
    }
  gg_counter_add (&poll_failures, 1);
  if (!self->unresponsive && now - atomic_load (&self->answered_at_ms) > UNRESPONSIVE_AFTER_MS)
    {
      self->unresponsive = TRUE;
      gg_log (LOG_WARNING, "event=control-silent effect=\"routing on the last snapshot\"");
    }
}

static void
poll_once (GgSnapshotClient *self)
{
  if (self->client == NULL)
    {
      self->client = gg_rpc_client_create (self->control_address, GG_CONTROL_PROGRAM, GG_CONTROL_V1,
                                           GG_RPC_TCP, RPC_TIMEOUT_MS);
      /* Versions of the members are local to one control process. A restarted one reports 0 until
       * it has read a list. Since this is equal to the version set here, its empty table does not
       * replace the known members. */
      self->members_version = 0;
    }
  gboolean answered = self->client != NULL && send_report (self) && poll_snapshot (self);
  if (!answered)
    {
      gg_rpc_client_destroy (self->client);
      self->client = NULL;
    }
  note_result (self, answered);
}

static void
wait_for_next_poll (GgSnapshotClient *self)
{
  uint64_t due = gg_clock_now_ms () + self->poll_ms;
  struct timespec ts
      = { .tv_sec = (time_t) (due / 1000), .tv_nsec = (long) (due % 1000) * 1000000 };
  pthread_mutex_lock (&self->lock);
  while (!self->stopping && !self->urgent && gg_clock_now_ms () < due)
    pthread_cond_timedwait (&self->wake, &self->lock, &ts);
  self->urgent = FALSE;
  pthread_mutex_unlock (&self->lock);
}

static gboolean
is_stopping (GgSnapshotClient *self)
{
  pthread_mutex_lock (&self->lock);
  gboolean stopping = self->stopping;
  pthread_mutex_unlock (&self->lock);
  return stopping;
}

static void *
poll_thread (void *data)
{
  GgSnapshotClient *self = data;
  while (!is_stopping (self))
    {
      poll_once (self);
      wait_for_next_poll (self);
    }
  uint64_t end = gg_clock_now_ms () + FLUSH_TIMEOUT_MS;
  while (gg_report_queue_has_pending (self->reports) && gg_clock_now_ms () < end)
    {
      poll_once (self);
      if (self->client == NULL)
        g_usleep (20000);
    }
  return NULL;
}

GgSnapshotClient *
gg_snapshot_client_create (const GgSnapshotClientParams *params)
{
  GgSnapshotClient *self = g_new0 (GgSnapshotClient, 1);
  self->instance = g_strdup (params->instance);
  self->control_address = g_strdup (params->control_address);
  self->poll_ms = params->poll_ms;
  self->admission = params->admission;
  self->reports = gg_report_queue_create (params->instance);
  self->runners = gg_runner_registry_create (params->data_centre, params->remote_link_us);
  self->peers = g_array_new (FALSE, FALSE, sizeof (Peer));
  g_array_set_clear_func (self->peers, clear_peer);
  atomic_init (&self->answered_at_ms, gg_clock_now_ms ());

  pthread_condattr_t attr;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&self->wake, &attr);
  pthread_condattr_destroy (&attr);
  pthread_mutex_init (&self->lock, NULL);
  int failed = pthread_create (&self->thread, NULL, poll_thread, self);
  g_assert (failed == 0);
  return self;
}

void
gg_snapshot_client_destroy (GgSnapshotClient *self)
{
  if (self == NULL)
    return;
  pthread_mutex_lock (&self->lock);
  self->stopping = TRUE;
  pthread_cond_signal (&self->wake);
  pthread_mutex_unlock (&self->lock);
  pthread_join (self->thread, NULL);

  gg_rpc_client_destroy (self->client);
  snapshot_free (self->current);
  gg_config_document_unref (self->document);
  gg_config_unref (self->config);
  gg_runner_registry_destroy (self->runners);
  g_array_unref (self->peers);
  gg_report_queue_destroy (self->reports);
  pthread_cond_destroy (&self->wake);
  pthread_mutex_destroy (&self->lock);
  g_free (self->instance);
  g_free (self->control_address);
  g_free (self);
}

/* The snapshot stays valid until end_read(). */
static Snapshot *
begin_read (GgSnapshotClient *self)
{
  urcu_bp_read_lock ();
  Snapshot *snapshot = rcu_dereference (self->current);
  GG_TSAN_ACQUIRE (snapshot);
  return snapshot;
}

static void
end_read (Snapshot *snapshot)
{
  GG_TSAN_RELEASE (snapshot);
  urcu_bp_read_unlock ();
}

GgConfig *
gg_snapshot_client_get_config (GgSnapshotClient *self)
{
  Snapshot *snapshot = begin_read (self);
  GgConfig *config
      = snapshot != NULL && snapshot->config != NULL ? gg_config_ref (snapshot->config) : NULL;
  end_read (snapshot);
  return config;
}

gboolean
gg_snapshot_client_choose (GgSnapshotClient *self, const GgRouteQuery *query, GgRoutePlan *plan_out)
{
  *plan_out = (GgRoutePlan){ 0 };
  Snapshot *snapshot = begin_read (self);
  gboolean found = snapshot != NULL && gg_route_choose (snapshot->routes, query, plan_out);
  end_read (snapshot);
  return found;
}

char *
gg_snapshot_client_find_peer (GgSnapshotClient *self, uint32_t instance_hash)
{
  char *address = NULL;
  Snapshot *snapshot = begin_read (self);
  for (guint i = 0; snapshot != NULL && address == NULL && i < snapshot->peers->len; i++)
    {
      const Peer *peer = &g_array_index (snapshot->peers, Peer, i);
      if (peer->instance_hash == instance_hash)
        address = g_strdup (peer->rpc_address);
    }
  end_read (snapshot);
  return address;
}

GPtrArray *
gg_snapshot_client_list_probes (GgSnapshotClient *self, uint64_t now_ms)
{
  GPtrArray *due = g_ptr_array_new_with_free_func (unref_runner);
  Snapshot *snapshot = begin_read (self);
  for (guint i = 0; snapshot != NULL && i < snapshot->runners->len; i++)
    {
      GgRunner *runner = g_ptr_array_index (snapshot->runners, i);
      if (gg_runner_health_needs_probe (runner, now_ms))
        g_ptr_array_add (due, gg_runner_ref (runner));
    }
  end_read (snapshot);
  return due;
}

gboolean
gg_snapshot_client_is_ready (GgSnapshotClient *self)
{
  return atomic_load (&self->ready);
}

uint64_t
gg_snapshot_client_get_age_ms (GgSnapshotClient *self)
{
  return gg_clock_now_ms () - atomic_load (&self->answered_at_ms);
}

uint64_t
gg_snapshot_client_get_generation (GgSnapshotClient *self)
{
  return atomic_load (&self->generation);
}

void
gg_snapshot_client_dump (GgSnapshotClient *self, GString *json_out)
{
  g_string_append_printf (json_out,
                          "{\"generation\":%" G_GUINT64_FORMAT
                          ",\"snapshot_age_ms\":%" G_GUINT64_FORMAT ",\"runners\":[",
                          (guint64) gg_snapshot_client_get_generation (self),
                          (guint64) gg_snapshot_client_get_age_ms (self));
  Snapshot *snapshot = begin_read (self);
  for (guint i = 0; snapshot != NULL && i < snapshot->runners->len; i++)
    {
      const GgRunner *r = g_ptr_array_index (snapshot->runners, i);
      g_string_append_printf (json_out,
                              "%s{\"id\":\"%s\",\"service\":\"%s\",\"data_centre\":\"%s\","
                              "\"first_layer\":%u,\"end_layer\":%u,\"outstanding_tokens\":%u,"
                              "\"step_time_us\":%u,\"ejected\":%s,\"leaving\":%s}",
                              i > 0 ? "," : "", r->id, r->service, r->data_centre, r->first_layer,
                              r->end_layer, atomic_load (&r->outstanding_tokens),
                              atomic_load (&r->step_time_us),
                              gg_runner_health_is_ejected (r) ? "true" : "false",
                              atomic_load (&r->leaving) ? "true" : "false");
    }
  end_read (snapshot);
  g_string_append (json_out, "]}");
}

static void
wake_thread (GgSnapshotClient *self)
{
  pthread_mutex_lock (&self->lock);
  self->urgent = TRUE;
  pthread_cond_signal (&self->wake);
  pthread_mutex_unlock (&self->lock);
}

void
gg_snapshot_client_report_leaving (GgSnapshotClient *self, const char *id, uint64_t incarnation)
{
  gg_report_queue_add_leaving (self->reports, id, incarnation);
  wake_thread (self);
}

void
gg_snapshot_client_report_event (GgSnapshotClient *self,
                                 const char *kind,
                                 const char *subject,
                                 const char *detail,
                                 gboolean needs_person)
{
  gg_report_queue_add_event (self->reports, kind, subject, detail, needs_person);
}
