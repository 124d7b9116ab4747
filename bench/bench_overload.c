/* Complete answers within their deadline under a load above the engines' capacity, the shares of
 * ten teams of which one sends half of all requests, and the processor time of a refusal. */
#include "cluster.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define INSTANCES 2
#define ENGINES 3
#define SLOTS 8
#define TOKENS 8
#define TEAMS 10
#define REQUEST_TIMEOUT_MS 3000
/* Fair shares take account of the work admitted in the last 5 s or so, including the start, when
 * the runners are not full yet and every request is admitted. */
#define WARM_MS 6000
#define MEASURED_MS 7000
#define REFUSAL_RATE 300.0
#define REFUSAL_MS 2500

static const uint32_t steps_us[ENGINES] = { 10000, 20000, 40000 };
static const char *const control_settings[]
    = { "loads", "poll_ms", "250", "peers", "exchange_ms", "500", NULL };
/* An answer that its caller has abandoned must not affect the next measurement. */
static const char *const entry_settings[]
    = { "control",     "poll_ms", "100",      "streams",        "grace_ms", "200", "requests",
        "deadline_ms", "3000",    "requests", "target_wait_ms", "300",      NULL };
static const char reader[] = "[service reader]\nkind = model\nlayers = 12\nversion = 1\n"
                             "first_token_timeout_ms = 5000\ntoken_timeout_ms = 2000\n";

static GgCluster *cluster;
static const char *addresses[INSTANCES];
static double capacity_per_s;

/* Returns the processor time of all entry processes so far, in seconds. */
static double
read_processor_s (void)
{
  double sum = 0.0;
  for (uint32_t i = 0; i < INSTANCES; i++)
    sum += gg_load_read_processor_s (gg_process_get_id (cluster->instances[i].entry));
  return sum;
}

/* Computes the max-min fair share of each team in @p total from the work that the teams offered. */
static void
compute_fair_shares (const double *offered, double total, double *shares_out)
{
  gboolean satisfied[TEAMS] = { FALSE };
  double left = total;
  int n = TEAMS;
  for (gboolean changed = TRUE; changed && n > 0;)
    {
      double equal = left / n;
      changed = FALSE;
      for (int i = 0; i < TEAMS; i++)
        if (!satisfied[i] && offered[i] <= equal)
          {
            satisfied[i] = changed = TRUE;
            shares_out[i] = offered[i];
            left -= offered[i];
            n--;
          }
    }
  for (int i = 0; i < TEAMS; i++)
    if (!satisfied[i])
      shares_out[i] = left / n;
}

static double
count_offered (const GgLoadRun *run, int team)
{
  double n = 0.0;
  for (guint i = 0; i < run->requests->len; i++)
    {
      const GgLoadRequest *request = run->requests->pdata[i];
      uint64_t at = request->due_us - run->started_us;
      n += request->team == (uint32_t) team && at >= WARM_MS * 1000
           && at < (WARM_MS + MEASURED_MS) * 1000;
    }
  return n * TOKENS;
}

static void
print_shares (const GgLoadRun *run)
{
  double offered[TEAMS];
  double fair[TEAMS];
  double answered[TEAMS];
  double total = 0.0;
  double least = 1e9;
  for (int i = 0; i < TEAMS; i++)
    {
      offered[i] = count_offered (run, i);
      answered[i] = (double) gg_load_count_answered (run, i, WARM_MS * 1000,
                                                     (WARM_MS + MEASURED_MS) * 1000);
      total += answered[i];
    }
  compute_fair_shares (offered, total, fair);
  printf (" of_fair_share=");
  for (int i = 0; i < TEAMS; i++)
    {
      printf ("%s%.2f", i ? "," : "", answered[i] / fair[i]);
      least = MIN (least, answered[i] / fair[i]);
    }
  printf (" least_of_fair_share=%.3f", least);
}

static GgLoadRun *
run_load (double rate_per_s, uint64_t duration_ms, const double *weights, GRand *rand)
{
  const GgLoadPlan plan = { .addresses = addresses,
                            .n_addresses = INSTANCES,
                            .n_teams = TEAMS,
                            .weights = weights,
                            .rate_per_s = rate_per_s,
                            .duration_ms = duration_ms,
                            .max_tokens = TOKENS,
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  GgLoadRun *run = gg_load_finish (gg_load_start (&plan, rand));
  gg_load_wait_idle (cluster);
  return run;
}

/* Returns the tokens per second of complete answers. */
static double
measure (double load, double peak, gboolean with_large_team, GRand *rand)
{
  double weights[TEAMS];
  for (int i = 0; i < TEAMS; i++)
    weights[i] = i == 0 && with_large_team ? TEAMS - 1 : 1.0;
  double before_s = read_processor_s ();
  GgLoadRun *run = run_load (capacity_per_s * load / TOKENS, WARM_MS + MEASURED_MS, weights, rand);
  double spent_s = read_processor_s () - before_s;
  double answered
      = (double) gg_load_count_answered (run, -1, WARM_MS * 1000, (WARM_MS + MEASURED_MS) * 1000)
        * 1000.0 / MEASURED_MS;
  printf ("load=%.1f large_team=%s answered_tokens_per_s=%.0f of_bound=%.3f of_peak=%.3f "
          "entry_cpu_s=%.2f",
          load, with_large_team ? "yes" : "no", answered, answered / capacity_per_s,
          peak > 0.0 ? answered / peak : 1.0, spent_s);
  if (with_large_team)
    print_shares (run);
  gg_load_print (run);
  printf ("\n");
  fflush (stdout);
  gg_load_run_destroy (run);
  return answered;
}

/* Measures answers alone, at half of the capacity, and refusals alone, with a rate-limited team
 * that exceeds its limit by far. */
static void
measure_refusal (GRand *rand)
{
  double start_s = read_processor_s ();
  GgLoadRun *answers = run_load (capacity_per_s * 0.5 / TOKENS, REFUSAL_MS, NULL, rand);
  double middle_s = read_processor_s ();
  GgLoadPlan plan = { .addresses = addresses,
                      .n_addresses = INSTANCES,
                      .first_team = TEAMS,
                      .n_teams = 1,
                      .rate_per_s = REFUSAL_RATE,
                      .duration_ms = REFUSAL_MS,
                      .max_tokens = TOKENS,
                      .timeout_ms = REQUEST_TIMEOUT_MS };
  GgLoadRun *refusals = gg_load_finish (gg_load_start (&plan, rand));
  double end_s = read_processor_s ();
  g_usleep (REFUSAL_MS * 1000);
  double idle_s = read_processor_s () - end_s;
  double n_answers = gg_load_count (answers, GG_LOAD_COMPLETE);
  double n_refusals = gg_load_count (refusals, GG_LOAD_REFUSED);
  double answer_us = (middle_s - start_s - idle_s) * 1e6 / MAX (n_answers, 1.0);
  /* The few requests within the limit count as answers. */
  double refusal_us
      = ((end_s - middle_s - idle_s) * 1e6 - answer_us * gg_load_count (refusals, GG_LOAD_COMPLETE))
        / MAX (n_refusals, 1.0);
  printf ("refusals=%.0f answers=%.0f refusal_cpu_us=%.0f answer_cpu_us=%.0f tokens_per_answer=%d "
          "refusal_of_answer=%.4f refusal_of_answer_of_256_tokens=%.4f",
          n_refusals, n_answers, refusal_us, answer_us, TOKENS, refusal_us / answer_us,
          refusal_us / (answer_us * 256 / TOKENS));
  gg_load_print (refusals);
  printf ("\n");
  gg_load_run_destroy (answers);
  gg_load_run_destroy (refusals);
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
                                     .n_teams = TEAMS + 1,
                                     .last_team_requests_per_s = 1,
                                     .reader_declaration = reader,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  gg_load_print_machine ("overload", seed);
  cluster = gg_cluster_create (&options);
  if (!cluster)
    return 1;
  for (int i = 0; i < INSTANCES; i++)
    addresses[i] = cluster->instances[i].callers;
  for (int i = 0; i < ENGINES; i++)
    capacity_per_s += SLOTS * 1e6 / steps_us[i];
  GRand *rand = g_rand_new_with_seed (seed);
  double peak = measure (1.0, 0.0, FALSE, rand);
  measure (1.5, peak, TRUE, rand);
  measure (2.0, peak, TRUE, rand);
  measure_refusal (rand);
  g_rand_free (rand);
  gg_cluster_destroy (cluster);
  return 0;
}
