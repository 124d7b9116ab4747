/* Promise "layers once": a streamed answer with a fault in the middle has the same text as without,
 * and every layer of each token ran exactly once and in order along the lineages that produced it.
 * recovery_ms is the longest pause between two tokens after the fault. */
#include "base/clock.h"
#include "golden.h"
#include "stream_proof.h"

#include <signal.h>
#include <string.h>

#define N_TOKENS 80
#define GOLDEN_TOKENS 4
/* With three steps per token this takes longer than members missing from the list are kept. */
#define N_TOKENS_HOLD 270
#define N_TOKENS_LONG 300
#define IDLE_MS 600
/* Timeout of the first token of the model "reader"; a step at a hung engine takes at least this
 * long. */
#define FIRST_TOKEN_TIMEOUT_MS 1000
#define N_FOLLOWING 8
#define RETURN_TIMEOUT_MS 10000
#define UNLIMITED_LINEAGES 100
#define N_SINGLE_CASES 3
#define STEP_LAYERS (GG_CLUSTER_LAYERS / GG_CLUSTER_RANGES)
#define DATA_CENTRE "rubavu"

typedef struct
{
  const char *name;
  void (*inject) (GgStreamProof *self);
  void (*heal) (GgStreamProof *self); /**< After the answer; may be NULL. */
  guint min_lineages;                 /**< An answer without faults has 3. */
  guint max_lineages;
  uint32_t n_tokens;
} Fault;

static void
kill_first_stage (GgStreamProof *self)
{
  gg_stream_proof_signal_engine (self, 0, SIGKILL);
}

static void
kill_middle_stage (GgStreamProof *self)
{
  gg_stream_proof_signal_engine (self, 1, SIGKILL);
}

static void
kill_last_stage (GgStreamProof *self)
{
  gg_stream_proof_signal_engine (self, 2, SIGKILL);
}

static void
kill_two_stages (GgStreamProof *self)
{
  kill_first_stage (self);
  kill_last_stage (self);
}

static void
read_more (GgStreamProof *self)
{
  gg_proof_check (self->proof, gg_answer_read (self->answer, self->answer->n_tokens + 10));
}

/* The killed engine is restarted before its replacement is killed. */
static void
kill_stage_twice (GgStreamProof *self)
{
  uint32_t engine = gg_stream_proof_get_engine (self, 1);
  gg_process_signal (self->cluster->runners[engine].process, SIGKILL);
  read_more (self);
  gg_proof_check (self->proof, gg_cluster_start_runner (self->cluster, engine));
  kill_middle_stage (self);
}

static void
stop_stage (GgStreamProof *self)
{
  gg_stream_proof_signal_engine (self, 1, SIGSTOP);
}

/* Continues stopped and hung engines. Steps that an engine received before it stopped may still run
 * now, but no further ones. */
static void
continue_engines (GgStreamProof *self)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    {
      gg_process_signal (self->cluster->runners[i].process, SIGCONT);
      gg_proof_check (self->proof,
                      gg_cluster_control_runner (self->cluster, i, "{\"hang\":false}"));
      gg_stream_proof_wait_engine (self, i);
    }
}

static void
hang_stage (GgStreamProof *self)
{
  gg_stream_proof_control_engine (self, 1, "{\"hang\":true}");
}

static void
reset_connections (GgStreamProof *self)
{
  gg_stream_proof_signal_relay (self, 1, SIGUSR2);
}

static void
silence_connections (GgStreamProof *self)
{
  gg_stream_proof_signal_relay (self, 1, SIGUSR1);
}

static void
silence_connections_twice (GgStreamProof *self)
{
  silence_connections (self);
  read_more (self);
  silence_connections (self);
}

static void
lose_reply (GgStreamProof *self)
{
  gg_stream_proof_control_engine (self, 1, "{\"drop_after_run\":1}");
}

/* The reply to the step that replaces the lost one is lost as well. */
static void
lose_reply_twice (GgStreamProof *self)
{
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES_PER_RANGE; i++)
    gg_proof_check (self->proof,
                    gg_cluster_control_runner (self->cluster, GG_CLUSTER_ENGINES_PER_RANGE + i,
                                               "{\"drop_after_run\":1}"));
}

static void
take_platform_down (GgStreamProof *self)
{
  gg_process_signal (self->cluster->platform_process, SIGKILL);
}

static void
kill_stage_without_platform (GgStreamProof *self)
{
  take_platform_down (self);
  kill_middle_stage (self);
}

static void
set_runners_listed (GgStreamProof *self, GgListed listed)
{
  for (uint32_t i = 0; i < GG_CLUSTER_RUNNERS; i++)
    self->cluster->runners[i].listed = listed;
  gg_proof_check (self->proof, gg_cluster_publish_list (self->cluster));
}

/* All runners vanish from the list but still answer. After a time longer than missing members are
 * kept, one of them fails. */
static void
shrink_list (GgStreamProof *self)
{
  set_runners_listed (self, GG_LISTED_ABSENT);
  gg_proof_check (self->proof, gg_answer_read (self->answer, N_TOKENS_HOLD));
  gg_answer_reset_pauses (self->answer);
  kill_middle_stage (self);
}

/* The list service is paused, so that the list still contains the killed engine. */
static void
lag_list (GgStreamProof *self)
{
  gg_process_signal (self->cluster->list_process, SIGSTOP);
  kill_middle_stage (self);
}

static void
drop_serving_from_list (GgStreamProof *self)
{
  for (uint32_t range = 0; range < GG_CLUSTER_RANGES; range++)
    self->cluster->runners[gg_stream_proof_get_engine (self, range)].listed = GG_LISTED_ABSENT;
  gg_proof_check (self->proof, gg_cluster_publish_list (self->cluster));
}

static void
set_runner_leaving (GgStreamProof *self)
{
  gg_stream_proof_control_engine (self, 1, "{\"leaving\":true}");
}

/* The only other engine of the range is leaving and refuses the work, so that the answer can only
 * continue once the killed engine is restarted. */
static void
kill_stage_while_other_leaves (GgStreamProof *self)
{
  uint32_t engine = gg_stream_proof_get_engine (self, 1);
  uint32_t other = 2 * GG_CLUSTER_ENGINES_PER_RANGE - 1 - (engine - GG_CLUSTER_ENGINES_PER_RANGE);
  gg_proof_check (self->proof,
                  gg_cluster_control_runner (self->cluster, other, "{\"leaving\":true}"));
  gg_process_signal (self->cluster->runners[engine].process, SIGKILL);
  gg_proof_check (self->proof, gg_answer_read_until_idle (self->answer, IDLE_MS));
  gg_proof_check (self->proof, gg_cluster_start_runner (self->cluster, engine));
}

static void
cut_data_centre (GgStreamProof *self)
{
  for (uint32_t i = 0; i < GG_CLUSTER_RUNNERS; i++)
    if (strcmp (self->cluster->runners[i].data_centre, DATA_CENTRE) == 0)
      gg_process_signal (self->cluster->runners[i].relay, SIGHUP);
}

static void
cut_data_centre_without_platform (GgStreamProof *self)
{
  take_platform_down (self);
  cut_data_centre (self);
}

static void
kill_control (GgStreamProof *self)
{
  gg_process_signal (self->cluster->instances[0].control, SIGKILL);
}

static void
stop_control (GgStreamProof *self)
{
  gg_process_signal (self->cluster->instances[0].control, SIGSTOP);
}

static void
continue_control (GgStreamProof *self)
{
  gg_process_signal (self->cluster->instances[0].control, SIGCONT);
}

static void
hang_stage_and_kill_control (GgStreamProof *self)
{
  hang_stage (self);
  kill_control (self);
}

/* The duration of the pause does not count as recovery time. */
static void
stop_entry (GgStreamProof *self)
{
  gg_process_signal (self->cluster->instances[0].entry, SIGSTOP);
  gg_proof_check (self->proof, gg_answer_read_until_idle (self->answer, IDLE_MS));
  gg_process_signal (self->cluster->instances[0].entry, SIGCONT);
  gg_answer_reset_pauses (self->answer);
}

static void
stop_entry_and_kill_stage (GgStreamProof *self)
{
  gg_process_signal (self->cluster->instances[0].entry, SIGSTOP);
  kill_middle_stage (self);
  gg_proof_check (self->proof, gg_answer_read_until_idle (self->answer, IDLE_MS));
  gg_process_signal (self->cluster->instances[0].entry, SIGCONT);
  gg_answer_reset_pauses (self->answer);
}

static const Fault faults[] = {
  { "killed-first-stage", kill_first_stage, NULL, 4, 4, N_TOKENS },
  { "killed-middle-stage", kill_middle_stage, NULL, 4, 4, N_TOKENS },
  { "killed-last-stage", kill_last_stage, NULL, 4, 4, N_TOKENS },
  { "stopped-stage", stop_stage, continue_engines, 4, 4, N_TOKENS },
  { "hung-stage", hang_stage, continue_engines, 4, 4, N_TOKENS },
  { "reset-connections", reset_connections, NULL, 3, 4, N_TOKENS },
  { "silent-connections", silence_connections, NULL, 4, 4, N_TOKENS },
  { "lost-reply", lose_reply, NULL, 4, 4, N_TOKENS },
  { "platform-down", take_platform_down, NULL, 3, 3, N_TOKENS },
  { "list-shrinks", drop_serving_from_list, NULL, 3, 3, N_TOKENS_LONG },
  { "list-lags-and-killed-stage", lag_list, NULL, 4, 4, N_TOKENS },
  { "list-empty-and-killed-stage", shrink_list, NULL, 4, 4, N_TOKENS_LONG },
  { "runner-leaves", set_runner_leaving, NULL, 3, 3, N_TOKENS },
  { "cut-data-centre", cut_data_centre, NULL, 3, 6, N_TOKENS },
  { "killed-control", kill_control, NULL, 3, 3, N_TOKENS },
  { "stopped-control", stop_control, continue_control, 3, 3, N_TOKENS },
  { "stopped-entry", stop_entry, NULL, 3, UNLIMITED_LINEAGES, N_TOKENS },
  { "killed-two-stages", kill_two_stages, NULL, 5, 5, N_TOKENS },
  { "killed-stage-twice", kill_stage_twice, NULL, 5, 5, N_TOKENS },
  { "silent-connections-twice", silence_connections_twice, NULL, 5, 5, N_TOKENS },
  { "lost-reply-twice", lose_reply_twice, NULL, 5, 5, N_TOKENS },
  { "killed-stage-while-other-leaves", kill_stage_while_other_leaves, NULL, 4, UNLIMITED_LINEAGES,
    N_TOKENS },
  { "killed-stage-and-platform-down", kill_stage_without_platform, NULL, 4, 4, N_TOKENS },
  { "cut-data-centre-and-platform-down", cut_data_centre_without_platform, NULL, 3, 6, N_TOKENS },
  { "hung-stage-and-killed-control", hang_stage_and_kill_control, continue_engines, 4, 4,
    N_TOKENS },
  { "stopped-entry-and-killed-stage", stop_entry_and_kill_stage, NULL, 4, UNLIMITED_LINEAGES,
    N_TOKENS },
};

static const Fault *
find_fault (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    if (strcmp (faults[i].name, name) == 0)
      return &faults[i];
  g_assert_not_reached ();
}

static void
prove_fault (GgProof *proof)
{
  const Fault *fault = find_fault (proof->fault);
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, fault->n_tokens))
    {
      gg_answer_reset_pauses (self.answer);
      fault->inject (&self);
      gg_stream_proof_finish (&self);
      if (fault->heal)
        fault->heal (&self);
      gg_stream_proof_check_layers (&self, fault->min_lineages, fault->max_lineages);
    }
  gg_stream_proof_end (&self);
}

/* Answers that start after a hung engine was detected must not wait for it. Without ejection, the
 * same prompt would be routed to the same engine again. */
static void
avoid_hung_engine (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_TOKENS))
    {
      gg_answer_reset_pauses (self.answer);
      hang_stage (&self);
      gg_stream_proof_finish (&self);
      const char *address = self.cluster->instances[0].callers;
      for (uint32_t i = 0; i < N_FOLLOWING; i++)
        {
          uint64_t start = gg_clock_now_ms ();
          char *text = gg_answer_fetch_text (address, GG_STREAM_PROOF_PROMPT, 1);
          gg_proof_check (proof, text && gg_clock_now_ms () - start < FIRST_TOKEN_TIMEOUT_MS);
          g_free (text);
        }
      continue_engines (&self);
    }
  gg_stream_proof_end (&self);
}

typedef struct
{
  GgCluster *cluster;
  uint32_t engine;
  guint n_before;
} ReturnCheck;

static guint
count_records (GgCluster *cluster, uint32_t engine)
{
  GArray *records = gg_cluster_read_records (cluster);
  guint n = 0;
  for (guint i = 0; i < records->len; i++)
    n += g_array_index (records, GgClusterRecord, i).runner == engine;
  g_array_unref (records);
  return n;
}

static gboolean
has_new_work (void *data)
{
  const ReturnCheck *ret = data;
  char *text = gg_answer_fetch_text (ret->cluster->instances[0].callers, GG_STREAM_PROOF_PROMPT, 1);
  g_free (text);
  return count_records (ret->cluster, ret->engine) > ret->n_before;
}

/* An engine that was stopped and continued gets work again. recovery_ms counts from SIGCONT. */
static void
use_engine_that_returns (GgProof *proof)
{
  GgStreamProof self;
  if (gg_stream_proof_begin (&self, proof, N_TOKENS))
    {
      ReturnCheck ret
          = { .cluster = self.cluster, .engine = gg_stream_proof_get_engine (&self, 1) };
      stop_stage (&self);
      gg_stream_proof_finish (&self);
      uint64_t start = gg_clock_now_ms ();
      continue_engines (&self);
      /* The step that the engine received before it stopped may still run. */
      ret.n_before = count_records (self.cluster, ret.engine) + STEP_LAYERS;
      gg_proof_check (proof, gg_wait_until (has_new_work, &ret, RETURN_TIMEOUT_MS));
      proof->recovery_ms = (int64_t) (gg_clock_now_ms () - start);
    }
  gg_stream_proof_end (&self);
}

/* Golden session: both engines of the middle range run the first step and lose its reply, so that
 * the calls are the same in every run. */
static void
compare_session (GgProof *proof)
{
  const GgClusterOptions options = { .n_instances = 1 };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, cluster))
    return;
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES_PER_RANGE; i++)
    gg_cluster_control_runner (cluster, GG_CLUSTER_ENGINES_PER_RANGE + i, "{\"drop_after_run\":1}");
  GgAnswer *answer
      = gg_answer_open (cluster->instances[0].callers, NULL, GG_STREAM_PROOF_PROMPT, GOLDEN_TOKENS);
  gg_answer_finish (answer);
  gg_proof_check (proof, gg_lineage_wait_cancels (cluster, answer->request, 5));
  char *calls = gg_lineage_print_calls (cluster, answer->request);
  GgGolden *golden = gg_golden_create ("layers-once");
  gg_golden_set_name (golden, answer->request, "<request>");
  gg_golden_append (golden, "status %u\n\n%s", answer->status, answer->events->str);
  gg_golden_append (golden, "calls of the engines\n%s", calls);
  gg_golden_finish (golden, proof);
  gg_lineage_check (cluster, answer->request, GOLDEN_TOKENS, proof);
  g_free (calls);
  gg_answer_close (answer);
  gg_cluster_destroy (cluster);
}

int
main (int argc, char **argv)
{
  GgProofCase cases[N_SINGLE_CASES + G_N_ELEMENTS (faults)] = {
    { "layers-once", "session", compare_session },
    { "layers-once", "hung-stage-gets-no-new-work", avoid_hung_engine },
    { "layers-once", "stopped-stage-returns", use_engine_that_returns },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    cases[N_SINGLE_CASES + i] = (GgProofCase){ "layers-once", faults[i].name, prove_fault };
  return gg_prove_main ("layers once", cases, G_N_ELEMENTS (cases), argc, argv);
}
