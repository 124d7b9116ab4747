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
#include "greengage/id.h"

#include <pthread.h>
#include <urcu/urcu-bp.h>

#define RPC_TIMEOUT_MS 1000
/* A control process that has not answered for this long is reported as silent. */
#define SILENT_AFTER_MS 2000
#define DESTROY_FLUSH_MS 1000
/* A single request decays to this in 3 s, which leaves 5% of the use unseen. Without a bound the
 * names of teams that sent one request lately filled most of a digest. */
#define MIN_REPORTED_USE_PER_S 0.05
/* Link cost inside a data centre, one way. */
#define LOCAL_LINK_US 50

static GgCounter polls
    = GG_COUNTER ("greengage_snapshot_polls_total", "Snapshots asked of the control process");
static GgCounter poll_failures = GG_COUNTER ("greengage_snapshot_poll_failures_total",
                                             "Snapshots that the control process did not give");
static GgCounter generation_gauge
    = GG_GAUGE ("greengage_config_generation", "Generation of the configuration in force");

/* What stays of a runner between snapshots. */
typedef struct
{
  GgRunner *runner;
  uint64_t reported_at_ms;
  uint32_t own_tokens_at_report;
} KnownRunner;

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
  char *data_centre;
  char *control_address;
  uint64_t poll_ms;
  uint32_t remote_link_us;
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
  GArray *members;     /* GgMember */
  GHashTable *runners; /* hash of the id to KnownRunner */
  GHashTable *teams_reported;
  gboolean silent;

  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  gboolean stopping;
  gboolean urgent;
};

static void
known_runner_free (gpointer data)
{
  KnownRunner *known = data;
  gg_runner_unref (known->runner);
  g_free (known);
}

static void
clear_peer (gpointer data)
{
  g_free (((Peer *) data)->rpc_address);
}

static void
clear_member (gpointer data)
{
  gg_member_clear (data);
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

static gpointer
hash_key (uint32_t hash)
{
  return GUINT_TO_POINTER (hash);
}

static gboolean
is_same_runner (const GgRunner *runner, const GgMember *member)
{
  return runner->incarnation == member->incarnation && g_str_equal (runner->id, member->id)
         && g_str_equal (runner->address, member->address)
         && g_str_equal (runner->service, member->service)
         && runner->first_layer == member->first_layer && runner->end_layer == member->end_layer;
}

static KnownRunner *
ensure_runner (GHashTable *kept, GHashTable *old, const GgMember *member)
{
  uint32_t hash = gg_id_hash_instance (member->id);
  KnownRunner *before = g_hash_table_lookup (old, hash_key (hash));
  KnownRunner *known = g_new0 (KnownRunner, 1);
  if (before != NULL && is_same_runner (before->runner, member))
    {
      *known = *before;
      gg_runner_ref (known->runner);
    }
  else
    known->runner
        = gg_runner_create (member->id, member->incarnation, member->address, member->data_centre,
                            member->service, member->first_layer, member->end_layer);
  g_hash_table_replace (kept, hash_key (hash), known);
  return known;
}

static void
copy_text (char **dest, const char *source)
{
  *dest = g_strdup (source != NULL ? source : "");
}

static void
take_members (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
{
  if (reply->members_version == self->members_version)
    return;
  self->members_version = reply->members_version;
  g_array_set_size (self->members, 0);
  GHashTable *kept = g_hash_table_new_full (NULL, NULL, NULL, known_runner_free);
  for (u_int i = 0; i < reply->members.members_len; i++)
    {
      const gg_rpc_member *wire = &reply->members.members_val[i];
      GgMember member = { .incarnation = wire->incarnation,
                          .role = (GgMemberRole) wire->role,
                          .state = (GgMemberState) wire->state,
                          .first_layer = wire->first_layer,
                          .end_layer = wire->end_layer };
      copy_text (&member.id, wire->id);
      copy_text (&member.address, wire->address);
      copy_text (&member.control_address, wire->control_address);
      copy_text (&member.entry_rpc_address, wire->entry_rpc_address);
      copy_text (&member.data_centre, wire->data_centre);
      copy_text (&member.service, wire->service);
      copy_text (&member.accelerator, wire->accelerator);
      g_array_append_val (self->members, member);
      if (member.role == GG_MEMBER_RUNNER)
        ensure_runner (kept, self->runners, &member);
    }
  g_hash_table_unref (self->runners);
  self->runners = kept;
}

static void
take_config (GgSnapshotClient *self, const char *json)
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
take_load (KnownRunner *known, const gg_rpc_load *load, uint64_t now_ms)
{
  uint64_t reported_at = now_ms > load->age_ms ? now_ms - load->age_ms : 1;
  /* The same report comes with a greater age in the next snapshot; only a newer one fixes the
   * part that is this router's own work. */
  if (reported_at > known->reported_at_ms + 100)
    {
      known->reported_at_ms = reported_at;
      known->own_tokens_at_report = atomic_load (&known->runner->outstanding_tokens);
    }
}

static GHashTable *
index_loads (GgSnapshotClient *self, const gg_rpc_snapshot *reply, uint64_t now_ms)
{
  GHashTable *loads = g_hash_table_new (NULL, NULL);
  for (u_int i = 0; i < reply->loads.loads_len; i++)
    {
      gg_rpc_load *load = &reply->loads.loads_val[i];
      KnownRunner *known = g_hash_table_lookup (self->runners, hash_key (load->runner_hash));
      if (known != NULL)
        take_load (known, load, now_ms);
      g_hash_table_replace (loads, hash_key (load->runner_hash), load);
    }
  return loads;
}

static GgRouteEntry
make_entry (GgSnapshotClient *self, const GgMember *member, GHashTable *loads)
{
  uint32_t hash = gg_id_hash_instance (member->id);
  KnownRunner *known = g_hash_table_lookup (self->runners, hash_key (hash));
  const gg_rpc_load *load = g_hash_table_lookup (loads, hash_key (hash));
  gboolean is_local = g_str_equal (member->data_centre, self->data_centre);
  GgRouteEntry entry = { .runner = known->runner,
                         .link_us = is_local ? LOCAL_LINK_US : self->remote_link_us,
                         .leaving = member->state == GG_MEMBER_LEAVING };
  if (load == NULL)
    return entry;
  entry.reported_outstanding_tokens = load->outstanding_tokens;
  entry.tokens_per_s = load->tokens_per_s;
  entry.reported_at_ms = known->reported_at_ms;
  entry.own_tokens_at_report = known->own_tokens_at_report;
  entry.leaving = entry.leaving || load->leaving;
  uint32_t others = load->outstanding_tokens > known->own_tokens_at_report
                        ? load->outstanding_tokens - known->own_tokens_at_report
                        : 0;
  atomic_store (&known->runner->tokens_per_s, load->tokens_per_s);
  atomic_store (&known->runner->others_tokens, others);
  return entry;
}

static Snapshot *
make_snapshot (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
{
  Snapshot *snapshot = g_new0 (Snapshot, 1);
  GHashTable *loads = index_loads (self, reply, gg_clock_now_ms ());
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (GgRouteEntry));
  snapshot->peers = g_array_new (FALSE, FALSE, sizeof (Peer));
  g_array_set_clear_func (snapshot->peers, clear_peer);
  snapshot->runners = g_ptr_array_new_with_free_func (unref_runner);

  for (guint i = 0; i < self->members->len; i++)
    {
      const GgMember *member = &g_array_index (self->members, GgMember, i);
      switch (member->role)
        {
        case GG_MEMBER_RUNNER:
          {
            GgRouteEntry entry = make_entry (self, member, loads);
            g_array_append_val (entries, entry);
            g_ptr_array_add (snapshot->runners, gg_runner_ref (entry.runner));
            break;
          }
        case GG_MEMBER_ENTRY:
          {
            Peer peer = { gg_id_hash_instance (member->id), g_strdup (member->entry_rpc_address) };
            g_array_append_val (snapshot->peers, peer);
            break;
          }
        }
    }
  snapshot->config = self->config != NULL ? gg_config_ref (self->config) : NULL;
  snapshot->routes = gg_route_table_create ((const GgRouteEntry *) entries->data, entries->len);
  g_array_unref (entries);
  g_hash_table_unref (loads);
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
take_remote_use (GgSnapshotClient *self, const gg_rpc_snapshot *reply)
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

  take_config (self, reply.config_json);
  take_members (self, &reply);
  take_remote_use (self, &reply);
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
note_answer (GgSnapshotClient *self, gboolean answered)
{
  uint64_t now = gg_clock_now_ms ();
  if (answered)
    {
      if (self->silent)
        {
          char *detail = g_strdup_printf ("silent for %" G_GUINT64_FORMAT " ms",
                                          (guint64) (now - atomic_load (&self->answered_at_ms)));
          gg_log (LOG_NOTICE, "event=control-restored detail=\"%s\"", detail);
          gg_snapshot_client_report_event (self, "control-restored", self->instance, detail, FALSE);
          g_free (detail);
        }
      self->silent = FALSE;
      atomic_store (&self->answered_at_ms, now);
      return;
    }
  gg_counter_add (&poll_failures, 1);
  if (!self->silent && now - atomic_load (&self->answered_at_ms) > SILENT_AFTER_MS)
    {
      self->silent = TRUE;
      gg_log (LOG_WARNING, "event=control-silent effect=\"routing on the last snapshot\"");
    }
}

static void
poll_once (GgSnapshotClient *self)
{
  if (self->client == NULL)
    self->client = gg_rpc_client_create (self->control_address, GG_CONTROL_PROGRAM, GG_CONTROL_V1,
                                         GG_RPC_TCP, RPC_TIMEOUT_MS);
  gboolean answered = self->client != NULL && send_report (self) && poll_snapshot (self);
  if (!answered)
    {
      gg_rpc_client_destroy (self->client);
      self->client = NULL;
    }
  note_answer (self, answered);
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
  uint64_t end = gg_clock_now_ms () + DESTROY_FLUSH_MS;
  while (gg_report_queue_has_news (self->reports) && gg_clock_now_ms () < end)
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
  self->data_centre = g_strdup (params->data_centre);
  self->control_address = g_strdup (params->control_address);
  self->poll_ms = params->poll_ms;
  self->remote_link_us = params->remote_link_us;
  self->admission = params->admission;
  self->reports = gg_report_queue_create (params->instance);
  self->members = g_array_new (FALSE, TRUE, sizeof (GgMember));
  g_array_set_clear_func (self->members, clear_member);
  self->runners = g_hash_table_new_full (NULL, NULL, NULL, known_runner_free);
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
  g_array_unref (self->members);
  g_hash_table_unref (self->runners);
  gg_report_queue_destroy (self->reports);
  pthread_cond_destroy (&self->wake);
  pthread_mutex_destroy (&self->lock);
  g_free (self->instance);
  g_free (self->data_centre);
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
