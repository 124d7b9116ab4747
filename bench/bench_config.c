/* Time from the start of greengage-publish until the configuration is in force at all instances,
 * and calls to the platform per second without changes, by number of instances. */
#include "base/clock.h"
#include "cluster.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PUBLISHES 20
#define IDLE_MS 9000
#define IN_FORCE_TIMEOUT_MS 10000

static const char *const control_settings[]
    = { "loads",    "poll_ms",      "250",  "peers",    "exchange_ms",    "500",
        "platform", "watch_ms",     "3000", "platform", "backoff_max_ms", "5000",
        "platform", "list_poll_ms", "500",  "account",  "save_ms",        "1000",
        NULL };
static const char *const entry_settings[] = { "control", "poll_ms", "100", NULL };

static double
read_generation (const GgClusterInstance *instance)
{
  static const char name[] = "greengage_config_generation ";
  char *text = gg_test_get (instance->callers, "/metrics");
  const char *line = text ? strstr (text, name) : NULL;
  /* The first match may be the help text. */
  while (line && line != text && line[-1] != '\n')
    line = strstr (line + 1, name);
  double value = line ? g_ascii_strtod (line + strlen (name), NULL) : 0.0;
  g_free (text);
  return value;
}

static double
read_stat (const GgCluster *cluster, const char *name)
{
  char *text = gg_test_get (cluster->kv, "/stats");
  char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = text ? strstr (text, key) : NULL;
  double value = at ? g_ascii_strtod (at + strlen (key), NULL) : 0.0;
  g_free (key);
  g_free (text);
  return value;
}

#define N_KINDS 4

static const char *const kinds[N_KINDS] = { "reads", "watches", "writes", "session_calls" };

/* Prints the calls to the platform per second while nothing changes. */
static void
print_idle_calls (const GgCluster *cluster)
{
  double before[N_KINDS];
  for (int i = 0; i < N_KINDS; i++)
    before[i] = read_stat (cluster, kinds[i]);
  g_usleep (IDLE_MS * 1000);
  printf ("instances=%u", cluster->n_instances);
  for (int i = 0; i < N_KINDS; i++)
    printf (" %s_per_s=%.2f", kinds[i],
            (read_stat (cluster, kinds[i]) - before[i]) * 1000.0 / IDLE_MS);
  printf ("\n");
}

static gboolean
wait_in_force (GgCluster *cluster, double generation)
{
  uint64_t end = gg_clock_now_ms () + IN_FORCE_TIMEOUT_MS;
  uint32_t i = 0;
  while (i < cluster->n_instances && gg_clock_now_ms () < end)
    if (read_generation (&cluster->instances[i]) >= generation)
      i++;
    else
      g_usleep (2000);
  return i == cluster->n_instances;
}

static void
measure (uint32_t n_instances)
{
  const GgClusterOptions options = { .n_instances = n_instances,
                                     .engines_per_range = 1,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    exit (1);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray *publishing = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  double generation = read_generation (&cluster->instances[0]);
  uint32_t failed = 0;
  (void) wait_in_force (cluster, generation);
  print_idle_calls (cluster);
  for (int i = 0; i < PUBLISHES; i++)
    {
      char *text = g_strdup_printf ("[service extra]\nkind = plain\ntimeout_ms = %d\n", 1000 + i);
      gg_cluster_write_declaration (cluster, "extra.ini", text);
      uint64_t started = gg_clock_now_us ();
      failed += gg_cluster_publish_config (cluster, NULL) != 0;
      uint64_t published = gg_clock_now_us () - started;
      failed += !wait_in_force (cluster, ++generation);
      uint64_t took = gg_clock_now_us () - started;
      g_array_append_val (times, took);
      g_array_append_val (publishing, published);
      g_free (text);
    }
  printf ("instances=%u publishes=%d failed=%u publish_p50_ms=%.1f in_force_p50_ms=%.1f "
          "in_force_p99_ms=%.1f\n",
          n_instances, PUBLISHES, failed, (double) gg_load_quantile (publishing, 0.5) / 1000.0,
          (double) gg_load_quantile (times, 0.5) / 1000.0,
          (double) gg_load_quantile (times, 0.99) / 1000.0);
  fflush (stdout);
  g_array_unref (times);
  g_array_unref (publishing);
  gg_cluster_destroy (cluster);
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  gg_load_print_machine ("config", seed);
  measure (2);
  measure (4);
  measure (8);
  return 0;
}
