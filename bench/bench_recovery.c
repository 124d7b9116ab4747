/* Time to the next token after the middle stage of an answer is killed, for two methods of
 * recovery: replay of the lost stage's inputs to its replacement, and a restart of all stages from
 * the prompt and the tokens sent (no retained inputs). */
#include "answer.h"
#include "base/clock.h"
#include "cluster.h"
#include "lineage.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUNDS 7
#define STEP_US 1000
#define TOKENS_AFTER 20
#define MIDDLE_RANGE 1

static const char *const no_retained_inputs[] = { "limits", "retained_bytes", "0", NULL };

typedef struct
{
  const char *name;
  const char *const *settings;
} Method;

static int
compare (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;
  return *x < *y ? -1 : *x > *y;
}

static uint64_t
run_round (GgCluster *cluster, uint32_t position)
{
  GgAnswer *answer
      = gg_answer_open (cluster->instances[0].callers, NULL, "recovery", position + TOKENS_AFTER);
  uint64_t pause_ms = G_MAXUINT64;
  if (gg_answer_read (answer, position))
    {
      int engine = gg_lineage_find_engine (cluster, answer->request, MIDDLE_RANGE);
      gg_answer_reset_pauses (answer);
      gg_process_signal (cluster->runners[engine].process, SIGKILL);
      gg_answer_finish (answer);
      if (gg_answer_is_complete (answer, position + TOKENS_AFTER))
        pause_ms = answer->longest_pause_ms;
      gg_cluster_start_runner (cluster, (uint32_t) engine);
    }
  gg_answer_close (answer);
  return pause_ms;
}

static void
measure (const Method *method, uint32_t position)
{
  GgClusterOptions options
      = { .n_instances = 2, .step_us = STEP_US, .entry_settings = method->settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (cluster == NULL)
    return;
  uint64_t pauses[ROUNDS];
  uint32_t n_failed = 0;
  for (int i = 0; i < ROUNDS; i++)
    {
      pauses[i] = run_round (cluster, position);
      n_failed += pauses[i] == G_MAXUINT64;
    }
  qsort (pauses, ROUNDS, sizeof *pauses, compare);
  printf ("recovery way=%s position=%u rounds=%d failed=%u min_ms=%u median_ms=%u max_ms=%u\n",
          method->name, position, ROUNDS, n_failed, (unsigned) pauses[0],
          (unsigned) pauses[ROUNDS / 2], (unsigned) pauses[ROUNDS - 1 - n_failed]);
  fflush (stdout);
  gg_cluster_destroy (cluster);
}

int
main (void)
{
  static const Method methods[] = { { "replay", NULL }, { "restart", no_retained_inputs } };
  static const uint32_t positions[] = { 20, 100, 200 };
  for (size_t p = 0; p < G_N_ELEMENTS (positions); p++)
    for (size_t m = 0; m < G_N_ELEMENTS (methods); m++)
      measure (&methods[m], positions[p]);
  return 0;
}
