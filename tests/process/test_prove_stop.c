/* Promise "graceful stop": a planned stop of any process interrupts nothing in flight.
 * recovery_ms is the longest pause between two tokens of one caller. */
#include "base/clock.h"
#include "callers.h"
#include "golden.h"
#include "stream_proof.h"

#include <signal.h>
#include <string.h>

#define N_CALLERS 8
#define N_TOKENS 100
#define STOP_TIMEOUT_MS 10000
#define GOLDEN_TOKENS 20
#define BOOKING_PATH "/services/moorings/berths/7"

typedef struct
{
  const char *name;
  int instance; /**< Used by the callers; -1 for both. */
  void (*stop) (GgCluster *cluster, GgProof *proof);
  void (*check) (GgCluster *cluster, GgProof *proof); /**< After the answers; may be NULL. */
} Stop;

static void
stop_entry (GgCluster *cluster, GgProof *proof)
{
  gg_process_signal (cluster->instances[0].entry, SIGTERM);
}

static void
check_exit (GgProcess *process, GgProof *proof)
{
  gg_proof_check (proof, gg_process_wait_exit (process, STOP_TIMEOUT_MS));
  gg_proof_check (proof, gg_process_get_status (process) == 0);
}

static void
check_entry (GgCluster *cluster, GgProof *proof)
{
  check_exit (cluster->instances[0].entry, proof);
  char *errors = gg_process_read_errors (cluster->instances[0].entry);
  gg_proof_check (proof, strstr (errors, "event=drain-finished cut=0"));
  g_free (errors);
}

static void
stop_control (GgCluster *cluster, GgProof *proof)
{
  gg_process_signal (cluster->instances[0].control, SIGTERM);
}

static void
check_control (GgCluster *cluster, GgProof *proof)
{
  check_exit (cluster->instances[0].control, proof);
}

static void
stop_instance (GgCluster *cluster, GgProof *proof)
{
  stop_entry (cluster, proof);
  stop_control (cluster, proof);
}

static void
check_instance (GgCluster *cluster, GgProof *proof)
{
  check_entry (cluster, proof);
  check_control (cluster, proof);
}

/* Makes one engine of each range report in refusals and load reports that it is leaving. */
static void
set_engines_leaving (GgCluster *cluster, GgProof *proof)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i += GG_CLUSTER_ENGINES_PER_RANGE)
    gg_proof_check (proof, gg_cluster_control_runner (cluster, i, "{\"leaving\":true}"));
}

static void
list_engines_as_leaving (GgCluster *cluster, GgProof *proof)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i += GG_CLUSTER_ENGINES_PER_RANGE)
    cluster->runners[i].listed = GG_LISTED_LEAVING;
  gg_proof_check (proof, gg_cluster_publish_list (cluster));
}

static void
stop_entry_and_kill_stage (GgCluster *cluster, GgProof *proof)
{
  stop_entry (cluster, proof);
  gg_process_signal (cluster->runners[2].process, SIGKILL);
}

static void
stop_entry_without_platform (GgCluster *cluster, GgProof *proof)
{
  gg_process_signal (cluster->platform_process, SIGKILL);
  stop_entry (cluster, proof);
}

static void
stop_entry_without_control (GgCluster *cluster, GgProof *proof)
{
  gg_process_signal (cluster->instances[0].control, SIGKILL);
  stop_entry (cluster, proof);
}

static const Stop stops[] = {
  { "entry", 0, stop_entry, check_entry },
  { "control", 0, stop_control, check_control },
  { "entry-and-control", 0, stop_instance, check_instance },
  { "engines-leave", -1, set_engines_leaving, NULL },
  { "engines-listed-as-leaving", -1, list_engines_as_leaving, NULL },
  { "entry-and-killed-stage", 0, stop_entry_and_kill_stage, check_entry },
  { "entry-and-platform-down", 0, stop_entry_without_platform, check_entry },
  { "entry-and-killed-control", 0, stop_entry_without_control, check_entry },
};

static const Stop *
find_stop (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (stops); i++)
    if (strcmp (stops[i].name, name) == 0)
      return &stops[i];
  g_assert_not_reached ();
}

static void
prove_stop (GgProof *proof)
{
  const Stop *stop = find_stop (proof->fault);
  /* Shorter than the answers take, so that the drain can't succeed merely by waiting for callers
   * that lost their connections. */
  static const char *const settings[] = { "streams", "grace_ms", "200", NULL };
  const GgClusterOptions options
      = { .n_instances = 2, .step_us = GG_STREAM_PROOF_STEP_US, .entry_settings = settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  GgCallers *callers = gg_callers_create (cluster, N_CALLERS, N_TOKENS);
  gg_proof_check (proof, gg_callers_start (callers, stop->instance));
  stop->stop (cluster, proof);
  gg_callers_finish (callers, proof);
  if (stop->check)
    stop->check (cluster, proof);
  proof->recovery_ms = (int64_t) gg_callers_get_longest_pause_ms (callers);
  if (proof->failed)
    gg_cluster_print_errors (cluster);
  gg_callers_destroy (callers);
  gg_cluster_destroy (cluster);
}

static gboolean
refuses_connections (void *data)
{
  GgHttpReply reply;
  GgHttpResult result = gg_test_call ("GET", data, "/readyz", NULL, NULL, &reply);
  gg_http_reply_clear (&reply);
  return result == GG_HTTP_NOT_SENT;
}

/* The answer is complete and the stopping process accepts no more connections, but the caller has
 * not received the end of the answer: it must get it through the other instance. */
static void
resume_complete_answer_from_stopping_entry (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_TOKENS))
    {
      gg_answer_disconnect (self.answer);
      gg_proof_check (
          proof, gg_lineage_wait_cancels (self.cluster, self.answer->request, GG_CLUSTER_RANGES));
      stop_entry (self.cluster, proof);
      gg_proof_check (proof, gg_wait_until (refuses_connections, self.cluster->instances[0].callers,
                                            STOP_TIMEOUT_MS));
      gg_answer_reset_pauses (self.answer);
      gg_proof_check (proof,
                      gg_answer_resume (self.answer, self.cluster->instances[1].callers, NULL));
      gg_stream_proof_finish (&self);
      check_entry (self.cluster, proof);
    }
  gg_stream_proof_end (&self);
}

typedef struct
{
  const char *address;
  unsigned status;
} Readiness;

static gboolean
is_not_ready (void *data)
{
  Readiness *readiness = data;
  GgHttpReply reply;
  gg_test_call ("GET", readiness->address, "/readyz", NULL, NULL, &reply);
  readiness->status = reply.status;
  gg_http_reply_clear (&reply);
  return readiness->status == 503;
}

/* Until the balancer has noticed the failed readiness check, the stopping process must also serve
 * new callers. */
static void
serve_late_caller (GgProof *proof)
{
  static const char *const settings[] = { "drain", "balancer_settle_ms", "1500", NULL };
  const GgClusterOptions options
      = { .n_instances = 2, .step_us = GG_STREAM_PROOF_STEP_US, .entry_settings = settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  Readiness readiness = { .address = cluster->instances[0].callers };
  stop_entry (cluster, proof);
  gg_proof_check (proof, gg_wait_until (is_not_ready, &readiness, STOP_TIMEOUT_MS));
  GgAnswer *answer = gg_answer_open (readiness.address, NULL, GG_STREAM_PROOF_PROMPT, N_TOKENS);
  gg_answer_finish (answer);
  gg_proof_check (proof, gg_answer_is_complete (answer, N_TOKENS));
  gg_lineage_check (cluster, answer->request, N_TOKENS, proof);
  check_entry (cluster, proof);
  gg_answer_close (answer);
  gg_cluster_destroy (cluster);
}

/* The caller lost its connection before the stop; the stopping process must keep the answer until
 * it is resumed. */
static void
resume_from_stopping_entry (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_TOKENS))
    {
      gg_answer_disconnect (self.answer);
      stop_entry (self.cluster, proof);
      gg_answer_reset_pauses (self.answer);
      gg_proof_check (proof,
                      gg_answer_resume (self.answer, self.cluster->instances[1].callers, NULL));
      gg_stream_proof_finish (&self);
      gg_stream_proof_check_layers (&self, GG_CLUSTER_RANGES, GG_CLUSTER_RANGES);
      check_entry (self.cluster, proof);
    }
  gg_stream_proof_end (&self);
}

static void
append_booking (GgGolden *golden, const char *name, const char *address)
{
  const char *const headers[]
      = { "Authorization", GG_CLUSTER_SCHOOLS_BEARER, "Idempotency-Key", "\"berth-7\"", NULL };
  GgHttpReply reply;
  gg_test_call ("POST", address, BOOKING_PATH, headers, "{\"barge\":\"Kivu Reader\"}", &reply);
  const char *connection = reply.headers ? g_hash_table_lookup (reply.headers, "connection") : NULL;
  const char *outcome
      = reply.headers ? g_hash_table_lookup (reply.headers, "greengage-outcome") : NULL;
  gg_golden_append (golden, "%s: booking: status %u, connection %s, outcome %s\n", name,
                    reply.status, connection ? connection : "-", outcome ? outcome : "-");
  gg_http_reply_clear (&reply);
}

/* Golden session: a stream in flight, requests during the stop, and requests afterwards. */
static void
compare_session (GgProof *proof)
{
  static const char *const settings[] = { "drain", "balancer_settle_ms", "1000", NULL };
  const GgClusterOptions options
      = { .n_instances = 2, .step_us = 10000, .entry_settings = settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  GgClusterInstance *instance = &cluster->instances[0];
  Readiness readiness = { .address = instance->callers };
  GgGolden *golden = gg_golden_create ("graceful-stop");
  GgAnswer *answer
      = gg_answer_open (instance->callers, NULL, GG_STREAM_PROOF_PROMPT, GOLDEN_TOKENS);
  gg_golden_set_name (golden, answer->request, "<request>");
  gg_answer_read (answer, 2);
  gg_golden_append (golden, "entry-0: status %u\n%s", answer->status, answer->events->str);
  g_string_truncate (answer->events, 0);
  gg_process_signal (instance->entry, SIGTERM);
  gg_proof_check (proof, gg_wait_until (is_not_ready, &readiness, STOP_TIMEOUT_MS));
  gg_golden_append (golden, "entry-0 stops: /readyz %u\n", readiness.status);
  append_booking (golden, "entry-0 stops", instance->callers);
  gg_answer_finish (answer);
  gg_golden_append (golden, "%s", answer->events->str);
  gg_proof_check (proof, gg_process_wait_exit (instance->entry, STOP_TIMEOUT_MS));
  gg_golden_append (golden, "entry-0: exit %d\n", gg_process_get_status (instance->entry));
  append_booking (golden, "entry-1", cluster->instances[1].callers);
  gg_proof_check (proof, gg_lineage_wait_cancels (cluster, answer->request, GG_CLUSTER_RANGES));
  char *calls = gg_lineage_print_calls (cluster, answer->request);
  gg_golden_append (golden, "calls of the engines\n%s", calls);
  gg_golden_finish (golden, proof);
  g_free (calls);
  gg_answer_close (answer);
  gg_cluster_destroy (cluster);
}

static const GgProofCase single_cases[] = {
  { "graceful-stop", "session", compare_session },
  { "graceful-stop", "entry-with-lost-caller", resume_from_stopping_entry },
  { "graceful-stop", "entry-with-lost-caller-after-end",
    resume_complete_answer_from_stopping_entry },
  { "graceful-stop", "entry-with-late-caller", serve_late_caller },
};

int
main (int argc, char **argv)
{
  GgProofCase cases[G_N_ELEMENTS (single_cases) + G_N_ELEMENTS (stops)];
  memcpy (cases, single_cases, sizeof single_cases);
  for (size_t i = 0; i < G_N_ELEMENTS (stops); i++)
    cases[G_N_ELEMENTS (single_cases) + i]
        = (GgProofCase){ "graceful-stop", stops[i].name, prove_stop };
  return gg_prove_main ("graceful stop", cases, G_N_ELEMENTS (cases), argc, argv);
}
