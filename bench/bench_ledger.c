/* Writes to the platform per booking and the time of a booking, by rate and storage layout. */
#include "base/clock.h"
#include "cluster.h"
#include "load.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 2
#define MEASURED_MS 4000
#define TEAMS 1
#define IDLE_MS 300

typedef struct
{
  GgCluster *cluster;
  uint64_t due_us;
  uint64_t took_us;
  unsigned status;
  uint32_t number;
} Booking;

static const uint32_t rates_per_s[] = { 5, 50, 200 };
static uint32_t first_number;

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

static void
book (gpointer data, gpointer user_data)
{
  Booking *booking = data;
  char *bearer = g_strdup_printf (GG_CLUSTER_TEAM_BEARER, 0);
  char *key = g_strdup_printf ("\"berth-%u\"", booking->number);
  char *path = g_strdup_printf ("/services/moorings/berths/%u", booking->number);
  const char *headers[] = {
    "Authorization", bearer, "Content-Type", "application/json", "Idempotency-Key", key, NULL
  };
  GgHttpReply reply;
  const char *address = booking->cluster->instances[booking->number % INSTANCES].callers;
  gg_test_call ("POST", address, path, headers, "{\"barge\":\"Inanga\"}", &reply);
  booking->status = reply.status;
  booking->took_us = gg_clock_now_us () - booking->due_us;
  gg_http_reply_clear (&reply);
  g_free (path);
  g_free (key);
  g_free (bearer);
}

/* Open loop with exponential gaps between bookings. */
static void
measure (
    GgCluster *cluster, const char *layout, const char *shards, uint32_t rate_per_s, GRand *rand)
{
  uint32_t n = rate_per_s * MEASURED_MS / 1000;
  Booking *bookings = g_new0 (Booking, n);
  GThreadPool *workers = g_thread_pool_new (book, NULL, -1, FALSE, NULL);
  GArray *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  double writes = read_stat (cluster, "writes");
  double conflicts = read_stat (cluster, "conflicts");
  uint64_t due_us = gg_clock_now_us ();
  uint32_t done = 0;
  for (uint32_t i = 0; i < n; i++)
    {
      due_us += (uint64_t) (-log (1.0 - g_rand_double (rand)) * 1e6 / rate_per_s);
      uint64_t now = gg_clock_now_us ();
      if (due_us > now)
        g_usleep ((gulong) (due_us - now));
      bookings[i] = (Booking){ .cluster = cluster, .due_us = due_us, .number = first_number++ };
      g_thread_pool_push (workers, &bookings[i], NULL);
    }
  g_thread_pool_free (workers, FALSE, TRUE);
  g_usleep (IDLE_MS * 1000);
  for (uint32_t i = 0; i < n; i++)
    {
      done += bookings[i].status == 200;
      g_array_append_val (times, bookings[i].took_us);
    }
  writes = read_stat (cluster, "writes") - writes;
  conflicts = read_stat (cluster, "conflicts") - conflicts;
  printf ("layout=%s shards=%s rate_per_s=%u bookings=%u done=%u writes_per_booking=%.2f "
          "conflicts_per_booking=%.3f p50_ms=%.1f p99_ms=%.1f\n",
          layout, shards, rate_per_s, n, done, writes / n, conflicts / n,
          (double) gg_load_quantile (times, 0.5) / 1000.0,
          (double) gg_load_quantile (times, 0.99) / 1000.0);
  fflush (stdout);
  g_array_unref (times);
  g_free (bookings);
}

static gboolean
measure_layout (const char *layout, const char *shards, GRand *rand)
{
  const char *const entry_settings[] = { "control", "poll_ms", "100",    "ledger", "layout",
                                         layout,    "ledger",  "shards", shards,   NULL };
  /* The account is stored in the same service; a long interval excludes its writes. */
  static const char *const control_settings[] = { "account", "save_ms", "60000", NULL };
  const GgClusterOptions options = { .n_instances = INSTANCES,
                                     .engines_per_range = 1,
                                     .n_teams = TEAMS,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  GgCluster *cluster = gg_cluster_create (&options);
  if (!cluster)
    return FALSE;
  g_assert (gg_test_send ("POST", cluster->kv, "/control", "{\"delay_ms\":3}"));
  for (size_t i = 0; i < G_N_ELEMENTS (rates_per_s); i++)
    measure (cluster, layout, shards, rates_per_s[i], rand);
  gg_cluster_destroy (cluster);
  return TRUE;
}

int
main (int argc, char **argv)
{
  uint32_t seed = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  gg_load_print_machine ("ledger", seed);
  GRand *rand = g_rand_new_with_seed (seed);
  gboolean done = measure_layout ("record", "16", rand) && measure_layout ("sharded", "16", rand)
                  && measure_layout ("sharded", "1", rand);
  g_rand_free (rand);
  return done ? 0 : 1;
}
