#include "daemons/controld/control_rpc.h"

#include "adapters/rpc/member_wire.h"
#include "base/clock.h"
#include "base/counters.h"
#include "daemons/controld/account_store.h"
#include "daemons/controld/control_digest.h"
#include "daemons/controld/control_report.h"
#include "greengage/id.h"

#include <string.h>

#define MAX_RECORD_BYTES (GG_RPC_TEXT_MAX + 1024 * 1024)
/* The request rates of a peer are counted until well after the next exchange with it is expected:
 * for this many expected intervals between two exchanges, but at least for the minimum. */
#define MIN_USE_MAX_AGE_MS 5000
#define USE_MAX_AGE_EXCHANGES 4

/* Defined in the generated code, which declares it in no header. */
extern void gg_control_program_1 (struct svc_req *request, SVCXPRT *transport);

static GgCounter calls = GG_COUNTER ("greengage_control_calls_total", "Calls of the RPC program");

/* Static, since libtirpc passes no user data to procedures. */
static struct
{
  GgControlState *state;
  GgKv *kv;
  uint64_t exchange_ms;
  uint64_t fanout;
} context;

GgRpcServer *
gg_control_rpc_create (GgControlState *state, GgKv *kv, const GgSettings *settings, GError **error)
{
  context.state = state;
  context.kv = kv;
  context.exchange_ms = gg_settings_get_uint (settings, "peers", "exchange_ms");
  context.fanout = gg_settings_get_uint (settings, "peers", "fanout");
  return gg_rpc_server_create (state->rpc_address, GG_CONTROL_PROGRAM, GG_CONTROL_V1,
                               gg_control_program_1, MAX_RECORD_BYTES, error);
}

/* Frees @text and returns a copy for XDR, which can't encode NULL and frees results by free(3). */
static char *
make_reply (char *text)
{
  char *reply = strdup (text != NULL ? text : "");
  g_free (text);
  return reply;
}

static void
fill_members (gg_rpc_snapshot *snapshot)
{
  GgMemberTable *members = context.state->members;
  guint n = MIN (gg_member_table_get_size (members), GG_RPC_MEMBERS_MAX);
  snapshot->members.members_len = n;
  snapshot->members.members_val = calloc (n + 1, sizeof (gg_rpc_member));
  for (guint i = 0; i < n; i++)
    gg_member_to_wire (gg_member_table_get (members, i), &snapshot->members.members_val[i]);
}

static void
fill_loads (gg_rpc_snapshot *snapshot, uint64_t now_ms)
{
  GgMemberTable *members = context.state->members;
  guint n = MIN (gg_member_table_get_size (members), GG_RPC_MEMBERS_MAX);
  snapshot->loads.loads_val = calloc (n + 1, sizeof (gg_rpc_load));
  for (guint i = 0; i < n; i++)
    {
      const GgMember *member = gg_member_table_get (members, i);
      GgLoadRecord load;
      if (member->role != GG_MEMBER_RUNNER
          || !gg_control_get_load (context.state, member, now_ms, &load))
        continue;
      snapshot->loads.loads_val[snapshot->loads.loads_len++]
          = (gg_rpc_load){ .runner_hash = load.runner_hash,
                           .outstanding_tokens = load.outstanding_tokens,
                           .tokens_per_s = load.tokens_per_s,
                           .age_ms = load.age_ms,
                           .leaving = load.leaving };
    }
}

/* Returns the maximum age of a peer's request rates that are still counted, ms.
 *
 * Estimates the mean time between two exchanges with the same peer as
 * exchange_ms * members / (2 * fanout): every exchange_ms each process starts exchanges with fanout
 * random peers, an exchange carries the digests of both sides, and either side may start it. The
 * estimate counts runners as peers, and ignores that peer_exchange.c adds jitter, starts a round
 * early after an update, and contacts only one peer per round in a large fleet. */
static uint64_t
get_use_max_age_ms (void)
{
  uint64_t n_members = gg_member_table_get_size (context.state->members);
  uint64_t interval_ms = context.exchange_ms * n_members / (2 * context.fanout);
  return MAX (MIN_USE_MAX_AGE_MS, USE_MAX_AGE_EXCHANGES * interval_ms);
}

static void
fill_use (gg_rpc_snapshot *snapshot, uint64_t now_ms)
{
  GHashTable *totals = gg_load_table_sum_use (context.state->loads, context.state->name,
                                              get_use_max_age_ms (), now_ms);
  guint i = 0;
  GHashTableIter iter;
  void *team;
  void *milli;
  snapshot->remote_use.remote_use_len = g_hash_table_size (totals);
  snapshot->remote_use.remote_use_val
      = calloc (g_hash_table_size (totals) + 1, sizeof (gg_rpc_team_use));
  g_hash_table_iter_init (&iter, totals);
  while (g_hash_table_iter_next (&iter, &team, &milli))
    snapshot->remote_use.remote_use_val[i++]
        = (gg_rpc_team_use){ strdup (team), GPOINTER_TO_UINT (milli) };
  g_hash_table_unref (totals);
}

bool_t
gg_control_snapshot_1_svc (gg_rpc_snapshot_query query,
                           gg_rpc_snapshot *snapshot,
                           struct svc_req *request)
{
  GgControlState *state = context.state;
  uint64_t now_ms = gg_clock_now_ms ();
  gg_counter_add (&calls, 1);
  memset (snapshot, 0, sizeof *snapshot);
  gg_control_state_lock (state);
  if (state->document != NULL)
    snapshot->generation = gg_config_document_get_generation (state->document);
  gboolean send_config = snapshot->generation > query.known_generation;
  snapshot->config_json = strdup (send_config ? state->config_json : "");
  snapshot->members_version = gg_member_table_get_version (state->members);
  if (snapshot->members_version != query.known_members_version)
    fill_members (snapshot);
  fill_loads (snapshot, now_ms);
  fill_use (snapshot, now_ms);
  snapshot->ready = state->config != NULL && gg_member_table_get_size (state->members) > 0;
  gg_control_state_unlock (state);
  return TRUE;
}

bool_t
gg_control_exchange_1_svc (gg_rpc_digest digest, gg_rpc_digest *reply, struct svc_req *request)
{
  uint64_t now_ms = gg_clock_now_ms ();
  gg_counter_add (&calls, 1);
  gg_control_digest_merge (context.state, &digest, NULL, now_ms);
  gg_control_digest_build (context.state, digest.data_centre, now_ms, reply);
  return TRUE;
}

bool_t
gg_control_config_fetch_1_svc (u_quad_t known_generation,
                               gg_rpc_text *text,
                               struct svc_req *request)
{
  GgControlState *state = context.state;
  gg_counter_add (&calls, 1);
  gg_control_state_lock (state);
  gboolean newer = state->document != NULL
                   && gg_config_document_get_generation (state->document) > known_generation;
  *text = strdup (newer ? state->config_json : "");
  gg_control_state_unlock (state);
  return TRUE;
}

/* Returns whether the report is a retransmission. A sender waits for each reply, so only its latest
 * report can be repeated; a restarted sender may continue with any sequence number. */
static gboolean
is_repeated (const gg_rpc_report *report)
{
  GHashTable *sequences = context.state->report_sequences;
  gg_control_state_lock (context.state);
  uint64_t *known = g_hash_table_lookup (sequences, report->sender);
  gboolean repeated = known != NULL && *known == report->sequence;
  if (!repeated)
    g_hash_table_insert (sequences, g_strdup (report->sender),
                         g_memdup2 (&report->sequence, sizeof (uint64_t)));
  gg_control_state_unlock (context.state);
  return repeated;
}

bool_t
gg_control_report_1_svc (gg_rpc_report report, bool_t *done, struct svc_req *request)
{
  uint64_t now_ms = gg_clock_now_ms ();
  gg_counter_add (&calls, 1);
  *done = TRUE;
  if (is_repeated (&report))
    return TRUE;
  for (u_int i = 0; i < report.leaving.leaving_len; i++)
    {
      const gg_rpc_leaving *mark = &report.leaving.leaving_val[i];
      gg_control_state_mark_leaving (context.state, mark->id, mark->incarnation,
                                     GG_MEMBER_SOURCE_SELF, now_ms);
    }
  for (u_int i = 0; i < report.events.events_len; i++)
    {
      const gg_rpc_account_event *event = &report.events.events_val[i];
      gg_account_record (context.state->account, event->kind, event->subject, event->detail,
                         event->needs_person, event->wall_ms);
    }
  gg_control_put_use (context.state, report.sender, report.local_use.local_use_val,
                      report.local_use.local_use_len, now_ms);
  return TRUE;
}

bool_t
gg_control_status_1_svc (gg_rpc_text *text, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *text = make_reply (gg_control_report_status (context.state));
  return TRUE;
}

bool_t
gg_control_dump_1_svc (gg_rpc_text *text, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *text = make_reply (gg_control_report_dump (context.state));
  return TRUE;
}

bool_t
gg_control_drain_1_svc (gg_rpc_leaving leaving, bool_t *known, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *known = gg_control_state_mark_leaving (context.state, leaving.id, leaving.incarnation,
                                          GG_MEMBER_SOURCE_OPERATOR, gg_clock_now_ms ());
  if (*known)
    gg_account_record (context.state->account, "drain", leaving.id, "asked for by an operator",
                       FALSE, gg_clock_wall_ms ());
  return TRUE;
}

bool_t
gg_control_account_1_svc (u_quad_t since_ms, gg_rpc_text *text, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *text = make_reply (gg_account_store_read_all (context.state, context.kv, since_ms));
  return TRUE;
}

bool_t
gg_control_account_copy_1_svc (gg_rpc_text copy, bool_t *taken, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *taken = gg_account_merge (context.state->account, copy);
  return TRUE;
}

bool_t
gg_control_records_1_svc (gg_rpc_text *text, struct svc_req *request)
{
  gg_counter_add (&calls, 1);
  *text = make_reply (gg_control_report_records (context.state, context.kv));
  return TRUE;
}

int
gg_control_program_1_freeresult (SVCXPRT *transport, xdrproc_t proc, caddr_t result)
{
  xdr_free (proc, result);
  return TRUE;
}
