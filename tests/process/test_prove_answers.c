/* Promise "own answer": each of several concurrent callers gets the complete answer to its own
 * request and no part of another one, also when engines reply late, to the wrong step or twice,
 * when processes fail, and when a caller resumes. recovery_ms is the longest pause between two
 * tokens of one caller or, if a stream is lost, the time from the fault to the first success. */
#include "base/clock.h"
#include "callers.h"
#include "golden.h"
#include "stream_proof.h"

#include <signal.h>
#include <string.h>

#define N_CALLERS 16
#define N_TOKENS 40
#define N_RESUMED_TOKENS 60
/* Takes 4 s, twice the grace period for a stream without a reader. */
#define N_LONG_TOKENS 400
#define GOLDEN_TOKENS 5
#define IDLE_MS 600
#define RUN_TIMEOUT_MS 5000
#define MANY_LINEAGES 12
/* The timeout of one step (300 ms) with room for a busy machine, but not for the timeout of a
 * replay (1000 ms) as well. */
#define DEAD_CONNECTIONS_MAX_PAUSE_MS 1250
#define WRONG_REPLIES "greengage_wrong_replies_total{from=\"engine\"}"

typedef struct
{
  const char *name;
  void (*inject) (GgCluster *cluster);
  gboolean before_start;  /**< The fault is injected before the callers start. */
  gboolean wrong_replies; /**< Replies to other steps must have been received and discarded. */
} Fault;

static void
control_engines (GgCluster *cluster, const char *json)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    gg_cluster_control_runner (cluster, i, json);
}

static void
change_nothing (GgCluster *cluster)
{
}

/* Later than the timeout of a step, so that its lineage is abandoned before the reply arrives. */
static void
reply_late (GgCluster *cluster)
{
  control_engines (cluster, "{\"late_ms\":450}");
}

static void
cross_replies (GgCluster *cluster)
{
  gg_cluster_control_runner (cluster, 2, "{\"cross_replies\":true}");
}

static void
double_replies (GgCluster *cluster)
{
  gg_cluster_control_runner (cluster, 2, "{\"double_replies\":true}");
}

static void
lose_replies (GgCluster *cluster)
{
  control_engines (cluster, "{\"drop_after_run\":2}");
}

static void
kill_engine (GgCluster *cluster)
{
  gg_process_signal (cluster->runners[2].process, SIGKILL);
}

static void
reset_all_connections (GgCluster *cluster)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    gg_process_signal (cluster->runners[i].relay, SIGUSR2);
}

/* Makes every connection of the entry processes to engines stop delivering data, without closing
 * it. */
static void
silence_all_connections (GgCluster *cluster)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    gg_process_signal (cluster->runners[i].relay, SIGUSR1);
}

static void
kill_control (GgCluster *cluster)
{
  gg_process_signal (cluster->instances[0].control, SIGKILL);
}

static void
terminate_engine (GgCluster *cluster)
{
  gg_process_signal (cluster->runners[2].process, SIGTERM);
}

static void
terminate_platform (GgCluster *cluster)
{
  gg_process_signal (cluster->platform_process, SIGTERM);
}

static void
terminate_list (GgCluster *cluster)
{
  gg_process_signal (cluster->list_process, SIGTERM);
}

static void
terminate_relay (GgCluster *cluster)
{
  gg_process_signal (cluster->runners[2].relay, SIGTERM);
}

static void
cross_replies_and_kill_engine (GgCluster *cluster)
{
  cross_replies (cluster);
  gg_process_signal (cluster->runners[0].process, SIGKILL);
}

static const Fault faults[] = {
  { "no-fault", change_nothing, FALSE, FALSE },
  { "late-replies", reply_late, FALSE, FALSE },
  { "crossed-replies", cross_replies, TRUE, TRUE },
  { "doubled-replies", double_replies, TRUE, TRUE },
  { "lost-replies", lose_replies, FALSE, FALSE },
  { "killed-stage", kill_engine, FALSE, FALSE },
  { "reset-connections", reset_all_connections, FALSE, FALSE },
  { "silent-connections", silence_all_connections, FALSE, FALSE },
  { "killed-control", kill_control, FALSE, FALSE },
  { "crossed-replies-and-killed-stage", cross_replies_and_kill_engine, FALSE, TRUE },
  { "terminated-engine", terminate_engine, FALSE, FALSE },
  { "terminated-platform", terminate_platform, FALSE, FALSE },
  { "terminated-list", terminate_list, FALSE, FALSE },
  { "terminated-relay", terminate_relay, FALSE, FALSE },
};

static const Fault *
find_fault (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    if (strcmp (faults[i].name, name) == 0)
      return &faults[i];
  g_assert_not_reached ();
}

/* Sum over both instances. */
static uint64_t
count_wrong_replies (GgCluster *cluster)
{
  uint64_t n = 0;
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    {
      char *metrics = gg_test_get (cluster->instances[i].callers, "/metrics");
      const char *line = metrics ? strstr (metrics, "\n" WRONG_REPLIES " ") : NULL;
      n += line ? g_ascii_strtoull (line + strlen ("\n" WRONG_REPLIES " "), NULL, 10) : 0;
      g_free (metrics);
    }
  return n;
}

static void
prove_callers (GgProof *proof)
{
  const Fault *fault = find_fault (proof->fault);
  const GgClusterOptions options = { .n_instances = 2, .with_relays = TRUE };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  GgCallers *callers = gg_callers_create (cluster, N_CALLERS, N_TOKENS);
  if (fault->before_start)
    fault->inject (cluster);
  gg_proof_check (proof, gg_callers_start (callers, -1));
  if (!fault->before_start)
    fault->inject (cluster);
  gg_callers_finish (callers, proof);
  gg_proof_check (proof, !fault->wrong_replies || count_wrong_replies (cluster) > 0);
  proof->recovery_ms = (int64_t) gg_callers_get_longest_pause_ms (callers);
  if (proof->failed)
    gg_cluster_print_errors (cluster);
  gg_callers_destroy (callers);
  gg_cluster_destroy (cluster);
}

/* Many pooled connections to every engine stop delivering data without being closed. After the
 * first failure a stream must use fresh connections, instead of waiting for the timeout of every
 * engine or connection. */
static void
silence_idle_connections (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      GgCallers *callers = gg_callers_create (self.cluster, N_CALLERS, 4);
      gg_proof_check (proof, gg_callers_start (callers, 0));
      gg_callers_finish (callers, proof);
      gg_callers_destroy (callers);
      gg_answer_close (self.answer);
      self.answer = gg_answer_open (self.cluster->instances[0].callers, NULL,
                                    GG_STREAM_PROOF_PROMPT, N_RESUMED_TOKENS);
      gg_proof_check (proof, gg_answer_read (self.answer, GG_STREAM_PROOF_TOKENS_BEFORE_FAULT));
      gg_answer_reset_pauses (self.answer);
      silence_all_connections (self.cluster);
      gg_stream_proof_finish (&self);
      gg_stream_proof_check_layers (&self, GG_CLUSTER_RANGES + 1, MANY_LINEAGES);
      gg_proof_check (proof, proof->recovery_ms < DEAD_CONNECTIONS_MAX_PAUSE_MS);
    }
  gg_stream_proof_end (&self);
}

/* The caller loses its connection and reads the rest through @instance. */
static void
prove_resume (GgProof *proof, uint32_t instance)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      gg_answer_reset_pauses (self.answer);
      gg_proof_check (
          proof, gg_answer_resume (self.answer, self.cluster->instances[instance].callers, NULL));
      gg_stream_proof_finish (&self);
      gg_stream_proof_check_layers (&self, GG_CLUSTER_RANGES, GG_CLUSTER_RANGES);
    }
  gg_stream_proof_end (&self);
}

static void
resume_here (GgProof *proof)
{
  prove_resume (proof, 0);
}

static void
resume_elsewhere (GgProof *proof)
{
  prove_resume (proof, 1);
}

typedef struct
{
  GgCluster *cluster;
  const char *request;
  uint32_t position;
} Progress;

static gboolean
has_run (void *data)
{
  const Progress *progress = data;
  char *calls = gg_lineage_print_calls (progress->cluster, progress->request);
  char *wanted = g_strdup_printf (" position %u ", progress->position);
  gboolean found = strstr (calls, wanted) != NULL;
  g_free (wanted);
  g_free (calls);
  return found;
}

/* An answer continues while its caller is disconnected for less than the grace period. */
static void
return_within_grace (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      Progress progress = { self.cluster, self.answer->request, N_RESUMED_TOKENS - 1 };
      gg_answer_disconnect (self.answer);
      gg_proof_check (proof, gg_wait_until (has_run, &progress, RUN_TIMEOUT_MS));
      gg_answer_reset_pauses (self.answer);
      gg_proof_check (proof,
                      gg_answer_resume (self.answer, self.cluster->instances[1].callers, NULL));
      gg_stream_proof_finish (&self);
      gg_stream_proof_check_layers (&self, GG_CLUSTER_RANGES, GG_CLUSTER_RANGES);
    }
  gg_stream_proof_end (&self);
}

/* The answer is resumed after its end, once at each instance. */
static void
resume_after_end (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      GgAnswer *other = gg_answer_open (self.cluster->instances[0].callers, NULL, "another", 1);
      g_free (other->request);
      other->request = g_strdup (self.answer->request);
      gg_answer_finish (self.answer);
      for (uint32_t i = 0; i < self.cluster->n_instances; i++)
        {
          other->n_tokens = N_RESUMED_TOKENS - 1;
          gg_proof_check (proof,
                          gg_answer_resume (other, self.cluster->instances[i].callers, NULL));
          gg_answer_finish (other);
          gg_proof_check (proof, other->n_tokens == N_RESUMED_TOKENS);
        }
      gg_stream_proof_finish (&self);
    }
  gg_stream_proof_end (&self);
}

/* A caller with the key of another team, or with an invalid key, gets no part of the answer. */
static void
resume_with_other_credentials (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      gg_answer_disconnect (self.answer);
      for (uint32_t i = 0; i < self.cluster->n_instances; i++)
        {
          const char *address = self.cluster->instances[i].callers;
          gg_answer_resume (self.answer, address, GG_CLUSTER_READERS_BEARER);
          gg_proof_check (proof, self.answer->status == 404);
          gg_answer_resume (self.answer, address, "Bearer of-nobody");
          gg_proof_check (proof, self.answer->status == 401);
        }
      gg_answer_reset_pauses (self.answer);
      gg_proof_check (proof,
                      gg_answer_resume (self.answer, self.cluster->instances[1].callers, NULL));
      gg_stream_proof_finish (&self);
    }
  gg_stream_proof_end (&self);
}

static void
ask_again (GgStreamProof *self)
{
  uint64_t start = gg_clock_now_ms ();
  char *text = gg_answer_fetch_text (self->cluster->instances[1].callers, GG_STREAM_PROOF_PROMPT,
                                     self->n_tokens);
  gg_proof_check (self->proof, g_strcmp0 (text, self->expected) == 0);
  self->proof->recovery_ms = (int64_t) (gg_clock_now_ms () - start);
  g_free (text);
}

/* When an entry process is killed, its stream ends without a closing event, so that the caller can
 * detect the truncation; the tokens received must be a prefix of the answer. The stream can't be
 * resumed at either instance, also after the restart. */
static void
kill_entry (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      gg_process_signal (self.cluster->instances[0].entry, SIGKILL);
      gg_answer_finish (self.answer);
      gg_proof_check (proof,
                      self.answer->is_truncated && !self.answer->closing && !self.answer->done);
      gg_proof_check (proof, self.answer->n_tokens < N_RESUMED_TOKENS && self.answer->in_order);
      gg_proof_check (proof, g_str_has_prefix (self.expected, self.answer->text->str));
      ask_again (&self);
      gg_answer_resume (self.answer, self.cluster->instances[1].callers, NULL);
      gg_proof_check (proof, self.answer->status == 404);
      gg_cluster_start_entry (self.cluster, 0);
      gg_proof_check (proof, gg_cluster_wait_ready (self.cluster, 0, 10000));
      gg_answer_resume (self.answer, self.cluster->instances[0].callers, NULL);
      gg_proof_check (proof, self.answer->status == 404);
    }
  gg_stream_proof_end (&self);
}

/* While one entry process is paused, the other one serves; the stream continues afterwards. */
static void
stop_entry (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_RESUMED_TOKENS))
    {
      gg_process_signal (self.cluster->instances[0].entry, SIGSTOP);
      gg_proof_check (proof, gg_answer_read_until_idle (self.answer, IDLE_MS));
      ask_again (&self);
      gg_process_signal (self.cluster->instances[0].entry, SIGCONT);
      gg_answer_reset_pauses (self.answer);
      gg_stream_proof_finish (&self);
    }
  gg_stream_proof_end (&self);
}

/* An answer whose caller stays disconnected for longer than the grace period is cancelled at its
 * engines before it is complete. */
static void
stay_disconnected (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_LONG_TOKENS))
    {
      const char *request = self.answer->request;
      gg_answer_disconnect (self.answer);
      gg_proof_check (proof, gg_lineage_wait_cancels (self.cluster, request, GG_CLUSTER_RANGES));
      char *calls = gg_lineage_print_calls (self.cluster, request);
      char *last = g_strdup_printf ("position %u ", N_LONG_TOKENS - 1);
      gg_proof_check (proof, !strstr (calls, last));
      g_free (last);
      g_free (calls);
    }
  gg_stream_proof_end (&self);
}

/* Golden session: a caller reads three tokens, loses its connection, is refused with another team's
 * key and gets the rest through the other instance. */
static void
compare_session (GgProof *proof)
{
  const GgClusterOptions options = { .n_instances = 2, .step_us = 20000 };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  const char *other = cluster->instances[1].callers;
  GgGolden *golden = gg_golden_create ("own-answer");
  GgAnswer *answer
      = gg_answer_open (cluster->instances[0].callers, NULL, GG_STREAM_PROOF_PROMPT, GOLDEN_TOKENS);
  gg_golden_set_name (golden, answer->request, "<request>");
  gg_answer_read (answer, 3);
  gg_golden_append (golden, "entry-0: status %u\n%s", answer->status, answer->events->str);
  g_string_truncate (answer->events, 0);
  gg_answer_resume (answer, other, GG_CLUSTER_READERS_BEARER);
  gg_golden_append (golden, "entry-1, other team after token %u: status %u\n", answer->n_tokens,
                    answer->status);
  gg_answer_resume (answer, other, NULL);
  gg_golden_append (golden, "entry-1, after token %u: status %u\n", answer->n_tokens,
                    answer->status);
  gg_answer_finish (answer);
  gg_golden_append (golden, "%s", answer->events->str);
  gg_proof_check (proof, gg_lineage_wait_cancels (cluster, answer->request, GG_CLUSTER_RANGES));
  char *calls = gg_lineage_print_calls (cluster, answer->request);
  gg_golden_append (golden, "calls of the engines\n%s", calls);
  gg_golden_finish (golden, proof);
  g_free (calls);
  gg_answer_close (answer);
  gg_cluster_destroy (cluster);
}

static const GgProofCase single_cases[] = {
  { "own-answer", "session", compare_session },
  { "own-answer", "resumed-at-same-instance", resume_here },
  { "own-answer", "resumed-at-other-instance", resume_elsewhere },
  { "own-answer", "resumed-within-grace", return_within_grace },
  { "own-answer", "resumed-after-end", resume_after_end },
  { "own-answer", "resumed-with-other-credentials", resume_with_other_credentials },
  { "own-answer", "caller-stays-away", stay_disconnected },
  { "own-answer", "silent-idle-connections", silence_idle_connections },
  { "own-answer", "killed-entry", kill_entry },
  { "own-answer", "stopped-entry", stop_entry },
};

int
main (int argc, char **argv)
{
  GgProofCase cases[G_N_ELEMENTS (single_cases) + G_N_ELEMENTS (faults)];
  memcpy (cases, single_cases, sizeof single_cases);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    cases[G_N_ELEMENTS (single_cases) + i]
        = (GgProofCase){ "own-answer", faults[i].name, prove_callers };
  return gg_prove_main ("own answer", cases, G_N_ELEMENTS (cases), argc, argv);
}
