/* Distribution of the recovery time of streamed answers over 20 faults of one kind. The recovery
 * time is the longest pause between two tokens after the fault. A case fails if the median reaches
 * its target. */
#include "stream_proof.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_ROUNDS 20
#define N_TOKENS 60
#define KILLED_STAGE_TARGET_MS 500
#define SILENT_CONNECTION_TARGET_MS 2000

static int
compare_times (const void *a, const void *b)
{
  const int64_t *left = a;
  const int64_t *right = b;
  return (*left > *right) - (*left < *right);
}

/* Nearest-rank percentile. */
static int64_t
get_percentile (const int64_t *sorted, size_t n, unsigned percent)
{
  size_t rank = (n * percent + 99) / 100;
  return sorted[rank > 0 ? rank - 1 : 0];
}

static void
check_distribution (GgProof *proof, int64_t *times, int64_t target_ms)
{
  qsort (times, N_ROUNDS, sizeof *times, compare_times);
  int64_t median = get_percentile (times, N_ROUNDS, 50);
  printf ("  %s: n %d min %" G_GINT64_FORMAT " median %" G_GINT64_FORMAT " p95 %" G_GINT64_FORMAT
          " max %" G_GINT64_FORMAT " ms\n",
          proof->fault, N_ROUNDS, (gint64) times[0], (gint64) median,
          (gint64) get_percentile (times, N_ROUNDS, 95), (gint64) times[N_ROUNDS - 1]);
  if (median >= target_ms)
    gg_proof_fail (proof, "median %" G_GINT64_FORMAT " ms, target %" G_GINT64_FORMAT " ms",
                   (gint64) median, (gint64) target_ms);
  proof->recovery_ms = median;
}

static void
begin_round (GgStreamProof *self)
{
  if (self->answer)
    gg_answer_close (self->answer);
  self->answer = gg_answer_open (self->cluster->instances[0].callers, NULL, GG_STREAM_PROOF_PROMPT,
                                 self->n_tokens);
  gg_proof_check (self->proof, gg_answer_read (self->answer, GG_STREAM_PROOF_TOKENS_BEFORE_FAULT));
}

/* The faults affect the first, middle and last range in turn. */
static void
run_rounds (GgProof *proof,
            void (*inject) (GgStreamProof *self, uint32_t engine),
            void (*heal) (GgStreamProof *self, uint32_t engine),
            int64_t target_ms)
{
  GgStreamProof self;
  int64_t times[N_ROUNDS];
  gboolean started = gg_stream_proof_begin (&self, proof, N_TOKENS);
  for (uint32_t i = 0; started && i < N_ROUNDS; i++)
    {
      if (i > 0)
        begin_round (&self);
      uint32_t engine = gg_stream_proof_get_engine (&self, i % GG_CLUSTER_RANGES);
      gg_answer_reset_pauses (self.answer);
      inject (&self, engine);
      gg_stream_proof_finish (&self);
      gg_stream_proof_check_layers (&self, GG_CLUSTER_RANGES + 1, 2 * GG_CLUSTER_RANGES);
      times[i] = proof->recovery_ms;
      if (heal)
        heal (&self, engine);
    }
  if (started)
    check_distribution (proof, times, target_ms);
  gg_stream_proof_end (&self);
}

static void
kill_engine (GgStreamProof *self, uint32_t engine)
{
  gg_process_signal (self->cluster->runners[engine].process, SIGKILL);
}

static void
start_engine (GgStreamProof *self, uint32_t engine)
{
  gg_proof_check (self->proof, gg_cluster_start_runner (self->cluster, engine));
}

static void
silence_relay (GgStreamProof *self, uint32_t engine)
{
  gg_process_signal (self->cluster->runners[engine].relay, SIGUSR1);
}

static void
kill_stages (GgProof *proof)
{
  run_rounds (proof, kill_engine, start_engine, KILLED_STAGE_TARGET_MS);
}

static void
silence_connections (GgProof *proof)
{
  run_rounds (proof, silence_relay, NULL, SILENT_CONNECTION_TARGET_MS);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "layers-once", "20-killed-stages", kill_stages },
    { "layers-once", "20-silent-connections", silence_connections },
  };
  return gg_prove_main ("recovery", cases, G_N_ELEMENTS (cases), argc, argv);
}
