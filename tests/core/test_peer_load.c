/* Guards the load that instances report to each other: late datagrams must not restore old load,
 * and the load of a peer that restarts or stops reporting must not count for ever. */
#include "core/peer_load.h"
#include "test_main.h"

#define HOLD_MS 2000

static void
report (GgPeerLoad *p,
        const char *peer,
        uint64_t incarnation,
        uint64_t number,
        uint64_t now_ms,
        uint32_t runner,
        uint32_t n)
{
  GgRunnerLoad load = { .n_requests = n, .token_layers = n * 1000 };
  if (gg_peer_load_begin_report (p, peer, incarnation, number, now_ms))
    gg_peer_load_add (p, runner, &load);
}

static uint32_t
get (const GgPeerLoad *p, uint32_t runner)
{
  return gg_peer_load_get (p, runner).n_requests;
}

static void
test_sum (void)
{
  GgPeerLoad *p = gg_peer_load_create (HOLD_MS, 0);
  report (p, "a", 1, 1, 1000, 7, 3);
  report (p, "b", 1, 1, 1000, 7, 4);
  report (p, "b", 1, 2, 1000, 8, 5);
  CU_ASSERT_EQUAL (get (p, 7), 7);
  CU_ASSERT_EQUAL (get (p, 8), 5);
  CU_ASSERT_EQUAL (gg_peer_load_get (p, 7).token_layers, 7000);
  report (p, "a", 1, 2, 1000, 7, 0);
  CU_ASSERT_EQUAL (get (p, 7), 4);
  gg_peer_load_destroy (p);
}

static void
test_late_report_is_ignored (void)
{
  GgPeerLoad *p = gg_peer_load_create (HOLD_MS, 0);
  report (p, "a", 1, 5, 1000, 7, 1);
  report (p, "a", 1, 4, 1001, 7, 9);
  CU_ASSERT_EQUAL (get (p, 7), 1);
  gg_peer_load_destroy (p);
}

static void
test_restarted_peer_replaces_its_load (void)
{
  GgPeerLoad *p = gg_peer_load_create (HOLD_MS, 0);
  report (p, "a", 1, 50, 1000, 7, 9);
  report (p, "a", 2, 1, 1001, 8, 1);
  CU_ASSERT_EQUAL (get (p, 7), 0);
  CU_ASSERT_EQUAL (get (p, 8), 1);
  gg_peer_load_destroy (p);
}

static void
test_unrepeated_load_expires (void)
{
  GgPeerLoad *p = gg_peer_load_create (HOLD_MS, 0);
  report (p, "a", 1, 1, 1000, 7, 9);
  report (p, "a", 1, 2, 2500, 8, 2);
  gg_peer_load_expire (p, 1000 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (p, 7), 0);
  CU_ASSERT_EQUAL (get (p, 8), 2);
  gg_peer_load_expire (p, 2500 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (p, 8), 0);
  gg_peer_load_destroy (p);
}

/* An instance of the simulated deployment. */
typedef struct
{
  GgPeerLoad *near;
  GgPeerLoad *far;
  uint32_t own;
} Instance;

enum
{
  N_CENTRES = 3,
  N_INSTANCES = 4, /* in each data centre; number 0 is its delegate */
  RUNNER = 7
};

static void
send_report (
    GgPeerLoad *p, const char *name, uint64_t number, uint64_t now_ms, uint32_t n, gboolean is_lost)
{
  if (!is_lost)
    report (p, name, 1, number, now_ms, RUNNER, n);
}

/* One round: each instance reports to its data centre; the delegates send sums to each other and
 * forward those that they receive. */
static void
run_round (Instance (*all)[N_INSTANCES], uint64_t number, GRand *rand, double loss)
{
  uint64_t now_ms = number * 100;
  for (int c = 0; c < N_CENTRES; c++)
    for (int i = 0; i < N_INSTANCES; i++)
      for (int to = 0; to < N_INSTANCES; to++)
        {
          char name[] = { (char) ('a' + i), 0 };
          if (to != i)
            send_report (all[c][to].near, name, number, now_ms, all[c][i].own,
                         g_rand_double (rand) < loss);
        }
  for (int c = 0; c < N_CENTRES; c++)
    for (int other = 0; other < N_CENTRES; other++)
      {
        char name[] = { (char) ('A' + c), 0 };
        uint32_t sum = all[c][0].own + get (all[c][0].near, RUNNER);
        gboolean is_lost = other == c || g_rand_double (rand) < loss;
        for (int to = 0; to < N_INSTANCES; to++)
          send_report (all[other][to].far, name, number, now_ms, sum,
                       is_lost || (to > 0 && g_rand_double (rand) < loss));
      }
}

/* With many instances, only sums are sent between data centres: once no datagrams are lost, each
 * instance counts the load of all others once, whatever was lost before. */
static void
test_sums_of_data_centres (void)
{
  for (guint32 seed = 1; seed <= 300; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      Instance all[N_CENTRES][N_INSTANCES];
      uint32_t total = 0;
      for (int c = 0; c < N_CENTRES; c++)
        for (int i = 0; i < N_INSTANCES; i++)
          all[c][i] = (Instance){ .near = gg_peer_load_create (HOLD_MS, 0),
                                  .far = gg_peer_load_create (HOLD_MS, 0) };
      for (uint64_t number = 1; number <= 10; number++)
        {
          for (int c = 0; c < N_CENTRES; c++)
            for (int i = 0; i < N_INSTANCES; i++)
              all[c][i].own = (uint32_t) g_rand_int_range (rand, 0, 9);
          run_round (all, number, rand, 0.3);
        }
      run_round (all, 11, rand, 0);
      for (int c = 0; c < N_CENTRES; c++)
        for (int i = 0; i < N_INSTANCES; i++)
          total += all[c][i].own;
      for (int c = 0; c < N_CENTRES; c++)
        for (int i = 0; i < N_INSTANCES; i++)
          {
            Instance *at = &all[c][i];
            CU_ASSERT_EQUAL (at->own + get (at->near, RUNNER) + get (at->far, RUNNER), total);
            gg_peer_load_destroy (at->near);
            gg_peer_load_destroy (at->far);
          }
      g_rand_free (rand);
    }
}

/* Two instances compute the sum of one data centre for a moment, each in several datagrams: one of
 * them counts until it has sent none for a while, so that no part of the other replaces its. */
static void
test_two_senders_of_one_sum (void)
{
  GgPeerLoad *p = gg_peer_load_create (HOLD_MS, 500);
  report (p, "sum/north", 1, 1, 1000, 7, 3);
  report (p, "sum/north", 1, 2, 1000, 8, 4);
  report (p, "sum/north", 2, 1, 1100, 7, 9);
  CU_ASSERT_EQUAL (get (p, 7), 3);
  CU_ASSERT_EQUAL (get (p, 8), 4);
  report (p, "sum/north", 2, 2, 1600, 7, 5);
  CU_ASSERT_EQUAL (get (p, 7), 5);
  CU_ASSERT_EQUAL (get (p, 8), 0);
  gg_peer_load_destroy (p);
}

enum
{
  N_PEERS = 8,
  N_RUNNERS = 12,
  N_EVENTS = 400
};

/* In any order of reports, repetitions, restarts and expiry, the total of each runner is the sum of
 * what counts of each peer. */
static void
test_totals_match_parts (void)
{
  static const char *const names[N_PEERS] = { "a", "b", "c", "d", "e", "f", "g", "h" };
  for (guint32 seed = 1; seed <= 300; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      GgPeerLoad *p = gg_peer_load_create (HOLD_MS, seed % 2 == 0 ? 300 : 0);
      uint64_t now_ms = 5000;
      for (int i = 0; i < N_EVENTS; i++)
        {
          const char *peer = names[g_rand_int_range (rand, 0, N_PEERS)];
          now_ms += (uint64_t) g_rand_int_range (rand, 0, 40);
          report (p, peer, (uint64_t) g_rand_int_range (rand, 1, 3),
                  (uint64_t) i + (uint64_t) g_rand_int_range (rand, 0, 30), now_ms,
                  (uint32_t) g_rand_int_range (rand, 0, N_RUNNERS),
                  (uint32_t) g_rand_int_range (rand, 0, 4));
          if (g_rand_int_range (rand, 0, 5) == 0)
            gg_peer_load_expire (p, now_ms);
          for (uint32_t runner = 0; runner < N_RUNNERS; runner++)
            {
              GgRunnerLoad sum = { 0 };
              for (int k = 0; k < N_PEERS; k++)
                {
                  GgRunnerLoad part = gg_peer_load_get_of (p, runner, names[k]);
                  gg_runner_load_add (&sum, &part);
                }
              GgRunnerLoad total = gg_peer_load_get (p, runner);
              CU_ASSERT_TRUE (sum.n_requests == total.n_requests
                              && sum.token_layers == total.token_layers);
            }
        }
      gg_peer_load_expire (p, now_ms + HOLD_MS + 1);
      CU_ASSERT_EQUAL (gg_peer_load_count_peers (p), 0);
      CU_ASSERT_EQUAL (get (p, 1), 0);
      gg_peer_load_destroy (p);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "sum", test_sum },
    { "late report is ignored", test_late_report_is_ignored },
    { "restarted peer replaces its load", test_restarted_peer_replaces_its_load },
    { "unrepeated load expires", test_unrepeated_load_expires },
    { "sums of data centres", test_sums_of_data_centres },
    { "two senders of one sum", test_two_senders_of_one_sum },
    { "totals match parts", test_totals_match_parts },
  };
  return gg_test_run ("peer load", cases, G_N_ELEMENTS (cases));
}
