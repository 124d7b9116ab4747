/* Token rate when one runner in ten is killed and, later, one data centre is cut off, at 0.8 of the
 * engines' capacity: the dip, the time until the rate recovers, and retries. */
#include "cluster.h"
#include "load.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 4
#define ENGINES 4
#define SLOTS 8
#define STEP_US 20000
#define TOKENS 8
#define REQUEST_TIMEOUT_MS 10000
#define KILL_MS 5000
#define CUT_MS 12000
#define DURATION_MS 20000
#define BUCKET_MS 100
/* The rate counts as recovered when the mean of this many buckets is; a single bucket holds about
 * 90 tokens of few answers and varies by a fifth. The recovery time is that of the first such
 * bucket. */
#define WINDOW 5
#define LOAD 0.8
#define RECOVERED_SHARE 0.95
#define NOT_RECOVERED G_MAXUINT32

static const uint32_t steps_us[ENGINES] = { STEP_US, STEP_US, STEP_US, STEP_US };
static const char *const control_settings[]
    = { "loads", "poll_ms", "250", "peers", "exchange_ms", "500", NULL };
static const char *const entry_settings[]
    = { "control", "poll_ms", "100", "requests", "target_wait_ms", "500", NULL };

static double counters_before[4];
static const char *const counter_names[]
    = { "greengage_answers_total{outcome=\"complete\"}", "greengage_stage_replacements_total",
        "greengage_answer_restarts_total", "greengage_stage_steps_total" };

static double
read_counter (const char *text, const char *name)
{
  const char *line = text;
  while (line && (line = strstr (line, name)))
    {
      if ((line == text || line[-1] == '\n') && line[strlen (name)] == ' ')
        return g_ascii_strtod (line + strlen (name), NULL);
      line++;
    }
  return 0.0;
}

static void
read_counters (GgCluster *cluster, double *values)
{
  memset (values, 0, sizeof counters_before);
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    {
      char *text = gg_test_get (cluster->instances[i].callers, "/metrics");
      for (size_t k = 0; k < G_N_ELEMENTS (counter_names); k++)
        values[k] += read_counter (text, counter_names[k]);
      g_free (text);
    }
}

static void
sleep_until (uint64_t at_us)
{
  uint64_t now = g_get_monotonic_time ();
  if (at_us > now)
    g_usleep ((gulong) (at_us - now));
}

static double
count_bucket (const GgLoadRun *run, uint64_t at_ms)
{
  return (double) gg_load_count_tokens (run, at_ms * 1000, (at_ms + BUCKET_MS) * 1000);
}

/* The rate counts as recovered at RECOVERED_SHARE of what is still possible: the lesser of the mean
 * rate before the fault and the capacity of the remaining engines, @p possible_per_s tokens per
 * second. */
static void
print_recovery (const GgLoadRun *run, const char *fault, uint64_t at_ms, double possible_per_s)
{
  double before = (double) gg_load_count_tokens (run, (at_ms - 2500) * 1000, at_ms * 1000) / 2.5;
  double target = RECOVERED_SHARE * MIN (before, possible_per_s) * BUCKET_MS / 1000.0;
  double least = G_MAXDOUBLE;
  uint32_t recovered_ms = NOT_RECOVERED;
  printf ("fault=%s tokens_per_s_before=%.0f possible_tokens_per_s=%.0f buckets=", fault, before,
          possible_per_s);
  for (uint64_t ms = 0; ms < 3000; ms += BUCKET_MS)
    {
      double n = count_bucket (run, at_ms + ms);
      double mean = 0.0;
      for (int i = 0; i < WINDOW; i++)
        mean += count_bucket (run, at_ms + ms + (uint64_t) i * BUCKET_MS) / WINDOW;
      printf ("%s%.0f", ms ? "," : "", n);
      least = MIN (least, n);
      if (recovered_ms == NOT_RECOVERED && mean >= target)
        recovered_ms = (uint32_t) ms;
    }
  printf (" least_bucket_of_before=%.2f", least / (before * BUCKET_MS / 1000.0));
  if (recovered_ms == NOT_RECOVERED)
    printf (" back_ms=never\n");
  else
    printf (" back_ms=%u\n", recovered_ms);
}

static void
print_counters (GgCluster *cluster)
{
  double after[4];
  read_counters (cluster, after);
  for (int i = 0; i < 4; i++)
    after[i] -= counters_before[i];
  printf ("first_tries=%.0f replacements=%.0f restarts=%.0f steps=%.0f "
          "retries_per_first_try=%.4f replacements_per_step=%.5f\n",
          after[0], after[1], after[2], after[3], (after[1] + after[2]) / MAX (after[0], 1.0),
          after[1] / MAX (after[3], 1.0));
}

/* Pauses the engines outside the first data centre in the middle of their work, as if they were cut
 * off. Returns the number of remaining engines per layer range. */
static uint32_t
stop_data_centre (GgCluster *cluster)
{
  uint32_t left = 0;
  for (uint32_t i = 0; i < cluster->n_engines; i++)
    {
      GgClusterRunner *runner = &cluster->runners[i];
      if (strcmp (runner->data_centre, cluster->runners[0].data_centre) != 0)
        gg_process_signal (runner->process, SIGSTOP);
    }
  for (uint32_t i = 0; i < ENGINES; i++)
    left += strcmp (cluster->runners[i].data_centre, cluster->runners[0].data_centre) == 0;
  return left;
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  const GgClusterOptions options = { .n_instances = INSTANCES,
                                     .engines_per_range = ENGINES,
                                     .steps_us = steps_us,
                                     .slots = SLOTS,
                                     .without_records = TRUE,
                                     .one_entry_centre = TRUE,
                                     .n_teams = 1,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  gg_load_print_machine ("faults", seed);
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    return 1;
  const char *addresses[INSTANCES];
  for (int i = 0; i < INSTANCES; i++)
    addresses[i] = cluster->instances[i].callers;
  double engine_per_s = SLOTS * 1e6 / STEP_US;
  double capacity_per_s = engine_per_s * ENGINES;
  const GgLoadPlan plan = { .addresses = addresses,
                            .n_addresses = INSTANCES,
                            .n_teams = 1,
                            .rate_per_s = capacity_per_s * LOAD / TOKENS,
                            .duration_ms = DURATION_MS,
                            .max_tokens = TOKENS,
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  GRand *rand = g_rand_new_with_seed (seed);
  read_counters (cluster, counters_before);
  GgLoad *load = gg_load_start (&plan, rand);
  uint64_t started = (uint64_t) g_get_monotonic_time ();
  sleep_until (started + KILL_MS * 1000);
  /* One of the twelve engines; it is in the first data centre, so that the cut below leaves one
   * engine fewer. */
  gg_process_signal (cluster->runners[2].process, SIGKILL);
  sleep_until (started + CUT_MS * 1000);
  uint32_t left = stop_data_centre (cluster);
  GgLoadRun *run = gg_load_finish (load);
  print_recovery (run, "kill-runner", KILL_MS, engine_per_s * (ENGINES - 1));
  print_recovery (run, "cut-data-centre", CUT_MS, engine_per_s * (left - 1));
  print_counters (cluster);
  gg_load_print (run);
  printf ("\n");
  gg_load_run_destroy (run);
  g_rand_free (rand);
  gg_cluster_destroy (cluster);
  return 0;
}
