/* Tokens per second of each routing policy relative to the engines' capacity. Each policy has two
 * instances and all share the engines; the policies are measured in turn within one run. */
#include "cluster.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>

#define POLICIES 4
#define INSTANCES_PER_POLICY 2
#define ENGINES 3
#define SLOTS 8
#define TOKENS 8
#define REQUEST_TIMEOUT_MS 2000

static const char *const policy_names[POLICIES]
    = { "predicted", "random", "round-robin", "least-reported" };
static const uint32_t steps_us[ENGINES] = { 10000, 20000, 40000 };

typedef struct
{
  double load;
  uint64_t warm_ms;
  uint64_t measured_ms;
} Point;

/* The load of 1.0 is measured longest, since random arrivals leave engines idle at times: for n
 * requests about 0.6 / sqrt(n) of the work, 2% for 800 requests. */
static const Point points[] = { { 0.5, 600, 1000 }, { 0.8, 600, 1400 }, { 1.0, 1300, 4500 } };

static const char *const control_settings[]
    = { "loads", "poll_ms", "250", "peers", "exchange_ms", "500", NULL };
/* An answer that its caller has abandoned must not affect the next measurement. */
static const char *const entry_settings[]
    = { "control", "poll_ms", "100", "streams", "grace_ms", "200", NULL };

/* Steps of a full engine queue; a shorter timeout would treat that as a failure. */
static const char reader[] = "[service reader]\nkind = model\nlayers = 12\nversion = 1\n"
                             "first_token_timeout_ms = 5000\ntoken_timeout_ms = 2000\n";

static double
get_capacity_per_s (void)
{
  double sum = 0.0;
  for (int i = 0; i < ENGINES; i++)
    sum += SLOTS * 1e6 / steps_us[i];
  return sum;
}

static void
measure (GgCluster *cluster, int policy, const Point *point, GRand *rand)
{
  const char *addresses[INSTANCES_PER_POLICY];
  for (int i = 0; i < INSTANCES_PER_POLICY; i++)
    addresses[i] = cluster->instances[policy * INSTANCES_PER_POLICY + i].callers;
  double capacity_per_s = get_capacity_per_s ();
  const GgLoadPlan plan = { .addresses = addresses,
                            .n_addresses = INSTANCES_PER_POLICY,
                            .n_teams = 1,
                            .rate_per_s = capacity_per_s * point->load / TOKENS,
                            .duration_ms = point->warm_ms + point->measured_ms,
                            .max_tokens = TOKENS,
                            .timeout_ms = REQUEST_TIMEOUT_MS };
  GgLoadRun *run = gg_load_finish (gg_load_start (&plan, rand));
  uint64_t tokens = gg_load_count_tokens (run, point->warm_ms * 1000, plan.duration_ms * 1000);
  double per_s = (double) tokens * 1000.0 / (double) point->measured_ms;
  printf ("policy=%s load=%.1f bound_tokens_per_s=%.0f tokens_per_s=%.0f of_bound=%.3f "
          "of_offered=%.3f",
          policy_names[policy], point->load, capacity_per_s, per_s, per_s / capacity_per_s,
          per_s / capacity_per_s / point->load);
  gg_load_print (run);
  printf ("\n");
  fflush (stdout);
  gg_load_run_destroy (run);
  gg_load_wait_idle (cluster);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  const char *policies[POLICIES][4];
  const char *const *per_instance[POLICIES * INSTANCES_PER_POLICY];
  for (int i = 0; i < POLICIES * INSTANCES_PER_POLICY; i++)
    {
      const char **settings = policies[i / INSTANCES_PER_POLICY];
      settings[0] = "routing";
      settings[1] = "policy";
      settings[2] = policy_names[i / INSTANCES_PER_POLICY];
      settings[3] = NULL;
      per_instance[i] = settings;
    }
  const GgClusterOptions options = { .n_instances = POLICIES * INSTANCES_PER_POLICY,
                                     .with_relays = TRUE,
                                     .engines_per_range = ENGINES,
                                     .steps_us = steps_us,
                                     .slots = SLOTS,
                                     .without_records = TRUE,
                                     .remote_delay_us = 1000,
                                     .one_entry_centre = TRUE,
                                     .n_teams = 1,
                                     .reader_declaration = reader,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings,
                                     .instance_entry_settings = per_instance };
  gg_load_print_machine ("throughput", seed);
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    return 1;
  GRand *rand = g_rand_new_with_seed (seed);
  for (size_t i = 0; i < G_N_ELEMENTS (points); i++)
    for (int policy = 0; policy < POLICIES; policy++)
      measure (cluster, policy, &points[i], rand);
  g_rand_free (rand);
  gg_cluster_destroy (cluster);
  return 0;
}
