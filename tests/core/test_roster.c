/* Guards who is registered: the cost of membership at the store must not grow with the number of
 * instances, yet each data centre must always have instances that can take over. */
#include "core/roster.h"
#include "test_main.h"

#include <stdio.h>

#define SMALL 120
#define LARGE 500

static GgRoster *
make (const char *name, uint32_t capacity)
{
  GgPeer *own = gg_peer_create (name, "10.0.0.1:7000", "north", capacity);
  GgRoster *r = gg_roster_create (own);
  gg_peer_destroy (own);
  return r;
}

static void
put (GgRoster *r, const char *name, const char *data_centre, uint32_t capacity)
{
  char *address = g_strdup_printf ("%s:7000", name);
  gg_roster_put (r, gg_peer_create (name, address, data_centre, capacity));
  g_free (address);
}

static const char *
name_at (const GPtrArray *peers, guint i)
{
  return ((const GgPeer *) g_ptr_array_index (peers, i))->name;
}

static void
test_large_instances_rank_first (void)
{
  GgRoster *r = make ("d", SMALL);
  put (r, "b", "north", SMALL);
  put (r, "a", "north", SMALL);
  put (r, "z", "north", LARGE);
  put (r, "d", "north", SMALL);
  put (r, "s", "south", SMALL);
  put (r, "t", "south", LARGE);
  const GPtrArray *ranked = gg_roster_get_ranked (r, "north");
  CU_ASSERT_STRING_EQUAL (name_at (ranked, 0), "z");
  CU_ASSERT_STRING_EQUAL (name_at (ranked, 1), "a");
  CU_ASSERT_EQUAL (gg_roster_get_rank (r), 3);
  CU_ASSERT_FALSE (gg_roster_is_first (r));
  put (r, "d", "north", LARGE);
  CU_ASSERT_TRUE (gg_roster_is_first (r));
  put (r, "d", "north", SMALL);
  const GPtrArray *sources = gg_roster_get_sources (r);
  CU_ASSERT_EQUAL_FATAL (sources->len, 4);
  CU_ASSERT_STRING_EQUAL (name_at (sources, 0), "z");
  CU_ASSERT_STRING_EQUAL (name_at (sources, 3), "t");
  CU_ASSERT_TRUE (gg_roster_has_address (r, "t:7000"));
  CU_ASSERT_FALSE (gg_roster_has_address (r, "d:7000"));
  gg_roster_destroy (r);
}

static void
test_few_register (void)
{
  GgRoster *small = make ("m", SMALL);
  GgRoster *large = make ("m", LARGE);
  CU_ASSERT_TRUE (gg_roster_is_needed (small));
  for (int i = 0; i < GG_ROSTER_TARGET; i++)
    {
      char name[] = { (char) ('x' + i), 0 };
      put (small, name, "north", SMALL);
      put (large, name, "north", SMALL);
    }
  CU_ASSERT_FALSE (gg_roster_is_needed (small));
  CU_ASSERT_TRUE (gg_roster_is_needed (large));
  /* Once the large one is registered, the last of the small ones is surplus. */
  GgRoster *last = make ("z", SMALL);
  put (last, "x", "north", SMALL);
  put (last, "y", "north", SMALL);
  put (last, "z", "north", SMALL);
  CU_ASSERT_FALSE (gg_roster_is_surplus (last));
  put (last, "m", "north", LARGE);
  CU_ASSERT_TRUE (gg_roster_is_surplus (last));
  gg_roster_remove (last, "z");
  CU_ASSERT_FALSE (gg_roster_is_surplus (last));
  gg_roster_destroy (small);
  gg_roster_destroy (large);
  gg_roster_destroy (last);
}

enum
{
  N_INSTANCES = 60,
  N_STEPS = 400
};

/* Instances are killed and started in any order; each acts on the roster at different times. Then
 * nothing changes any more: the largest GG_ROSTER_TARGET ones are left, or all if there are fewer.
 */
static void
test_settles_after_any_kills (void)
{
  for (guint32 seed = 1; seed <= 100; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      gboolean is_alive[N_INSTANCES] = { FALSE };
      GgRoster *rosters[N_INSTANCES];
      gboolean is_registered[N_INSTANCES] = { FALSE };
      char names[N_INSTANCES][8];
      guint n_settled = 0;
      for (int i = 0; i < N_INSTANCES; i++)
        {
          snprintf (names[i], sizeof names[i], "i%02d", i);
          rosters[i] = make (names[i], i % 20 == 0 ? LARGE : SMALL);
        }
      for (int step = 0; step < N_STEPS + 4 * N_INSTANCES * N_INSTANCES; step++)
        {
          int i = step < N_STEPS ? g_rand_int_range (rand, 0, N_INSTANCES) : step % N_INSTANCES;
          if (step < N_STEPS && g_rand_int_range (rand, 0, 3) == 0)
            {
              is_alive[i] = !is_alive[i];
              is_registered[i] = FALSE;
            }
          /* The list that an instance reads is that of the store. */
          gg_roster_clear (rosters[i]);
          for (int k = 0; k < N_INSTANCES; k++)
            if (is_registered[k])
              put (rosters[i], names[k], "north", k % 20 == 0 ? LARGE : SMALL);
          if (is_alive[i] && !is_registered[i])
            is_registered[i] = gg_roster_is_needed (rosters[i]);
          else if (is_alive[i] && gg_roster_is_surplus (rosters[i]))
            is_registered[i] = FALSE;
        }
      guint n_alive = 0;
      guint n_large = 0;
      guint n_large_registered = 0;
      for (int i = 0; i < N_INSTANCES; i++)
        {
          n_alive += is_alive[i];
          n_settled += is_registered[i];
          n_large += is_alive[i] && i % 20 == 0;
          n_large_registered += is_registered[i] && i % 20 == 0;
          gg_roster_destroy (rosters[i]);
        }
      CU_ASSERT_EQUAL (n_settled, MIN (n_alive, GG_ROSTER_TARGET));
      CU_ASSERT_EQUAL (n_large_registered, MIN (n_large, GG_ROSTER_TARGET));
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "large instances rank first", test_large_instances_rank_first },
    { "few register", test_few_register },
    { "settles after any kills", test_settles_after_any_kills },
  };
  return gg_test_run ("roster", cases, G_N_ELEMENTS (cases));
}
