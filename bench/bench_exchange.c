/* Bytes per second that a control process sends to its peers: the encoded size of a digest times
 * the rate of exchanges in a running cluster. */
#include "adapters/rpc/control_client.h"
#include "cluster.h"
#include "core/load_record.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 8
#define MEASURED_MS 6000
/* RPC call header with empty credentials, IP and UDP headers; a reply is 16 bytes shorter. */
#define CALL_OVERHEAD_BYTES (40 + 28)
#define REPLY_OVERHEAD_BYTES (24 + 28)
#define MODELS 5
#define TARGET_BYTES_PER_S 3000.0
/* How long a team's request rate is sent after a single request: it starts at 1 request/s, decays
 * by a factor of e per second and is sent while above 0.05 requests/s. */
#define USE_VISIBLE_S 3.0

static const char *const two_peers[]
    = { "loads", "poll_ms", "250", "peers", "exchange_ms", "500", NULL };
/* Default of a fleet of more than 32 instances. */
static const char *const one_peer[]
    = { "loads", "poll_ms", "250", "peers", "exchange_ms", "500", "peers", "fanout", "1", NULL };

static uint64_t
measure_digest (uint32_t runners, uint32_t teams, uint32_t models)
{
  gg_rpc_digest digest = { .sender = "entry-rubavu-000", .data_centre = "rubavu" };
  uint8_t *records = g_malloc0 ((runners + 1) * GG_LOAD_RECORD_SIZE_BYTES);
  gg_rpc_team_share *use = g_new0 (gg_rpc_team_share, teams + 1);
  gg_rpc_model_sum *sums = g_new0 (gg_rpc_model_sum, models + 1);
  for (uint32_t i = 0; i < runners; i++)
    {
      GgLoadRecord load = { .runner_hash = i, .outstanding_tokens = i, .tokens_per_s = 1500 };
      gg_load_record_encode (&load, records + i * GG_LOAD_RECORD_SIZE_BYTES);
    }
  for (uint32_t i = 0; i < teams; i++)
    use[i] = (gg_rpc_team_share){ i, 1000 };
  for (uint32_t i = 0; i < models; i++)
    sums[i] = (gg_rpc_model_sum){ "reader-large", 30, 1000, 40000 };
  digest.loads.loads_len = runners * GG_LOAD_RECORD_SIZE_BYTES;
  digest.loads.loads_val = (char *) records;
  digest.use.use_len = teams;
  digest.use.use_val = use;
  digest.sums.sums_len = models;
  digest.sums.sums_val = sums;
  uint64_t size = xdr_sizeof ((xdrproc_t) xdr_gg_rpc_digest, &digest);
  g_free (records);
  g_free (use);
  g_free (sums);
  return size;
}

static double
count_exchanges (GgCluster *cluster)
{
  static const char name[] = "greengage_exchanges_total{result=\"ok\"} ";
  double sum = 0.0;
  for (uint32_t i = 0; i < cluster->n_instances; i++)
    {
      char *text = gg_test_get (cluster->instances[i].control_http, "/metrics");
      const char *line = text ? strstr (text, name) : NULL;
      sum += line ? g_ascii_strtod (line + strlen (name), NULL) : 0.0;
      g_free (text);
    }
  return sum;
}

/* Returns the exchanges started per second and node. */
static double
measure_rate (uint32_t n_instances, const char *const *control_settings)
{
  const GgClusterOptions options = { .n_instances = n_instances,
                                     .engines_per_range = 1,
                                     .control_settings = control_settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    exit (1);
  double before = count_exchanges (cluster);
  g_usleep (MEASURED_MS * 1000);
  double rate = (count_exchanges (cluster) - before) * 1000.0 / MEASURED_MS / n_instances;
  gg_cluster_destroy (cluster);
  printf ("instances=%u exchanges_started_per_s_and_node=%.2f\n", n_instances, rate);
  fflush (stdout);
  return rate;
}

typedef struct
{
  uint32_t runners;
  uint32_t nodes;
  uint32_t centres;
  uint32_t teams;
  double requests_per_s;
} Fleet;

/* Each node sends the calls that it starts and, on average, as many replies. */
static void
print_extrapolation (double rate, const Fleet *fleet)
{
  uint32_t local = fleet->runners / fleet->centres;
  double requests_per_s = fleet->requests_per_s / fleet->nodes;
  uint32_t teams = (uint32_t) MIN (fleet->teams, requests_per_s * USE_VISIBLE_S);
  double same = 1.0 / fleet->centres;
  double detail = (double) measure_digest (local, teams, 0);
  double sums = (double) measure_digest (0, teams, MODELS);
  double mean = same * detail + (1.0 - same) * sums;
  double sent = rate * (2.0 * mean + CALL_OVERHEAD_BYTES + REPLY_OVERHEAD_BYTES);
  printf ("runners=%u nodes=%u data_centres=%u active_teams_per_node=%u detail_bytes=%.0f "
          "sums_bytes=%.0f sent_bytes_per_s=%.0f received_bytes_per_s=%.0f of_target=%.2f\n",
          fleet->runners, fleet->nodes, fleet->centres, teams, detail, sums, sent, sent,
          sent / TARGET_BYTES_PER_S);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  gg_load_print_machine ("exchange", seed);
  (void) measure_rate (2, two_peers);
  double rate = measure_rate (INSTANCES, two_peers);
  double large_rate = measure_rate (INSTANCES, one_peer);
  for (uint32_t runners = 0; runners <= 810; runners += 162)
    printf ("runners=%u digest_bytes=%" G_GUINT64_FORMAT "\n", runners,
            (guint64) measure_digest (runners, 0, 0));
  printf ("bytes_per_runner=%.1f bytes_per_team=%.1f bytes_per_model_sum=%.1f fixed_bytes=%.0f\n",
          (double) (measure_digest (162, 0, 0) - measure_digest (0, 0, 0)) / 162,
          (double) (measure_digest (0, 100, 0) - measure_digest (0, 0, 0)) / 100,
          (double) (measure_digest (0, 0, 10) - measure_digest (0, 0, 0)) / 10,
          (double) measure_digest (0, 0, 0));
  print_extrapolation (rate, &(Fleet){ 30, 8, 3, 10, 100.0 });
  print_extrapolation (large_rate, &(Fleet){ 810, 400, 5, 360, 2700.0 });
  return 0;
}
