/* Memory and processor use of each program, idle and with open streams. */
#include "cluster.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>

#define INSTANCES 2
#define STREAMS 100
#define MEASURED_MS 5000
#define SETTLE_MS 2000
#define STEP_US 100000
#define SLOTS 400
#define MAX_TOKENS 4000

static const char *const control_settings[]
    = { "loads", "poll_ms",  "250",          "peers", "exchange_ms",
        "500",   "platform", "list_poll_ms", "500",   NULL };
/* Admission must not refuse any of the long answers that keep the streams open. */
static const char *const entry_settings[]
    = { "control",  "poll_ms",        "100",     "requests", "max_wait_ms", "3600000",
        "requests", "target_wait_ms", "3600000", "requests", "deadline_ms", "3600000",
        "streams",  "grace_ms",       "200",     NULL };
static const char reader[] = "[service reader]\nkind = model\nlayers = 12\nversion = 1\n"
                             "first_token_timeout_ms = 5000\ntoken_timeout_ms = 2000\n";

typedef struct
{
  const char *name;
  double memory_kib;
  double core_percent;
} Use;

static void
read_use (GgCluster *cluster, Use *uses)
{
  for (int k = 0; k < 2; k++)
    uses[k] = (Use){ .name = k == 0 ? "greengage-entryd" : "greengage-controld" };
  double before[2] = { 0.0, 0.0 };
  for (int pass = 0; pass < 2; pass++)
    {
      for (uint32_t i = 0; i < INSTANCES; i++)
        for (int k = 0; k < 2; k++)
          {
            int id = gg_process_get_id (k == 0 ? cluster->instances[i].entry
                                               : cluster->instances[i].control);
            double spent_s = gg_load_read_processor_s (id);
            if (pass == 0)
              before[k] += spent_s;
            else
              uses[k].core_percent += spent_s;
            uses[k].memory_kib += pass ? (double) gg_load_read_memory_kib (id) / INSTANCES : 0.0;
          }
      if (pass == 0)
        g_usleep (MEASURED_MS * 1000);
    }
  for (int k = 0; k < 2; k++)
    uses[k].core_percent = (uses[k].core_percent - before[k]) * 100000.0 / MEASURED_MS / INSTANCES;
}

static void
print_use (const Use *uses, uint32_t streams, double tokens_per_s)
{
  for (int k = 0; k < 2; k++)
    printf ("program=%s streams_per_instance=%u tokens_per_s_per_instance=%.0f memory_kib=%.0f "
            "core_percent=%.2f\n",
            uses[k].name, streams, tokens_per_s, uses[k].memory_kib, uses[k].core_percent);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  const GgClusterOptions options = { .n_instances = INSTANCES,
                                     .step_us = STEP_US,
                                     .slots = SLOTS,
                                     .without_records = TRUE,
                                     .n_teams = 1,
                                     .reader_declaration = reader,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  gg_load_print_machine ("idle", seed);
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    return 1;
  Use idle[2];
  Use loaded[2];
  g_usleep (SETTLE_MS * 1000);
  read_use (cluster, idle);
  print_use (idle, 0, 0.0);
  const char *addresses[] = { cluster->instances[0].callers, cluster->instances[1].callers };
  GRand *rand = g_rand_new_with_seed (seed);
  for (uint32_t streams = STREAMS; streams <= 2 * STREAMS; streams += STREAMS)
    {
      const GgLoadPlan plan = { .addresses = addresses,
                                .n_addresses = INSTANCES,
                                .n_teams = 1,
                                .rate_per_s = streams * INSTANCES,
                                .duration_ms = 1000,
                                .max_tokens = MAX_TOKENS,
                                .timeout_ms = SETTLE_MS * 2 + MEASURED_MS + 1000 };
      GgLoad *load = gg_load_start (&plan, rand);
      g_usleep (SETTLE_MS * 2 * 1000);
      read_use (cluster, loaded);
      GgLoadRun *run = gg_load_finish (load);
      double tokens = (double) gg_load_count_tokens (run, SETTLE_MS * 2000,
                                                     (SETTLE_MS * 2 + MEASURED_MS) * 1000)
                      * 1000.0 / MEASURED_MS / INSTANCES;
      print_use (loaded, streams, tokens);
      printf ("refused=%u failed=%u\n", gg_load_count (run, GG_LOAD_REFUSED),
              gg_load_count (run, GG_LOAD_FAILED));
      gg_load_run_destroy (run);
      gg_load_wait_idle (cluster);
    }
  g_rand_free (rand);
  gg_cluster_destroy (cluster);
  return 0;
}
