/* Guards the shared picture of the runners' load: late datagrams must not bring old work back, a
 * peer that restarts or falls silent must not weigh on runners for good. */
#include "core/peer_load.h"
#include "test_main.h"

#define HOLD_MS 2000

static void
say (GgPeerLoad *w,
     const char *peer,
     uint64_t incarnation,
     uint64_t number,
     uint64_t now_ms,
     uint32_t runner,
     uint32_t n)
{
  GgRunnerLoad work = { .n_requests = n, .token_layers = n * 1000 };
  if (gg_peer_load_begin_report (w, peer, incarnation, number, now_ms))
    gg_peer_load_add (w, runner, &work);
}

static uint32_t
get (const GgPeerLoad *w, uint32_t runner)
{
  return gg_peer_load_get (w, runner).n_requests;
}

static void
test_sum (void)
{
  GgPeerLoad *w = gg_peer_load_create (HOLD_MS);
  say (w, "a", 1, 1, 1000, 7, 3);
  say (w, "b", 1, 1, 1000, 7, 4);
  say (w, "b", 1, 2, 1000, 8, 5);
  CU_ASSERT_EQUAL (get (w, 7), 7);
  CU_ASSERT_EQUAL (get (w, 8), 5);
  CU_ASSERT_EQUAL (gg_peer_load_get (w, 7).token_layers, 7000);
  say (w, "a", 1, 2, 1000, 7, 0);
  CU_ASSERT_EQUAL (get (w, 7), 4);
  gg_peer_load_destroy (w);
}

static void
test_late_word_is_ignored (void)
{
  GgPeerLoad *w = gg_peer_load_create (HOLD_MS);
  say (w, "a", 1, 5, 1000, 7, 1);
  say (w, "a", 1, 4, 1001, 7, 9);
  CU_ASSERT_EQUAL (get (w, 7), 1);
  gg_peer_load_destroy (w);
}

static void
test_restarted_peer_begins_anew (void)
{
  GgPeerLoad *w = gg_peer_load_create (HOLD_MS);
  say (w, "a", 1, 50, 1000, 7, 9);
  say (w, "a", 2, 1, 1001, 8, 1);
  CU_ASSERT_EQUAL (get (w, 7), 0);
  CU_ASSERT_EQUAL (get (w, 8), 1);
  gg_peer_load_destroy (w);
}

static void
test_silence_expires (void)
{
  GgPeerLoad *w = gg_peer_load_create (HOLD_MS);
  say (w, "a", 1, 1, 1000, 7, 9);
  say (w, "a", 1, 2, 2500, 8, 2);
  gg_peer_load_expire (w, 1000 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (w, 7), 0);
  CU_ASSERT_EQUAL (get (w, 8), 2);
  gg_peer_load_expire (w, 2500 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (w, 8), 0);
  gg_peer_load_destroy (w);
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
  N_INSTANCES = 4, /* in each data centre; number 0 is its source */
  RUNNER = 7
};

static void
tell (
    GgPeerLoad *w, const char *name, uint64_t number, uint64_t now_ms, uint32_t n, gboolean is_lost)
{
  if (!is_lost)
    say (w, name, 1, number, now_ms, RUNNER, n);
}

/* One round: each tells its data centre, the sources tell each other sums, which they pass on. */
static void
play_round (Instance (*all)[N_INSTANCES], uint64_t number, GRand *rand, double loss)
{
  uint64_t now_ms = number * 100;
  for (int c = 0; c < N_CENTRES; c++)
    for (int i = 0; i < N_INSTANCES; i++)
      for (int to = 0; to < N_INSTANCES; to++)
        {
          char name[] = { (char) ('a' + i), 0 };
          if (to != i)
            tell (all[c][to].near, name, number, now_ms, all[c][i].own,
                  g_rand_double (rand) < loss);
        }
  for (int c = 0; c < N_CENTRES; c++)
    for (int other = 0; other < N_CENTRES; other++)
      {
        char name[] = { (char) ('A' + c), 0 };
        uint32_t sum = all[c][0].own + get (all[c][0].near, RUNNER);
        gboolean is_lost = other == c || g_rand_double (rand) < loss;
        for (int to = 0; to < N_INSTANCES; to++)
          tell (all[other][to].far, name, number, now_ms, sum,
                is_lost || (to > 0 && g_rand_double (rand) < loss));
      }
}

/* With many instances only sums cross between data centres: whatever datagrams were lost, each
 * instance then counts the work of all others once. */
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
          all[c][i] = (Instance){ .near = gg_peer_load_create (HOLD_MS),
                                  .far = gg_peer_load_create (HOLD_MS) };
      for (uint64_t number = 1; number <= 10; number++)
        {
          for (int c = 0; c < N_CENTRES; c++)
            for (int i = 0; i < N_INSTANCES; i++)
              all[c][i].own = (uint32_t) g_rand_int_range (rand, 0, 9);
          play_round (all, number, rand, 0.3);
        }
      play_round (all, 11, rand, 0);
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

int
main (void)
{
  static const GgTestCase cases[] = {
    { "sum", test_sum },
    { "late word is ignored", test_late_word_is_ignored },
    { "restarted peer begins anew", test_restarted_peer_begins_anew },
    { "silence expires", test_silence_expires },
    { "sums of data centres", test_sums_of_data_centres },
  };
  return gg_test_run ("peer work", cases, G_N_ELEMENTS (cases));
}
