/* Guards orders to runners: whatever the sequence of reports, restarts of issuers and late orders
 * of a paused issuer, a runner ends with the version of the newest generation, even if it ignores
 * fencing tokens; and orders are not repeated without a delay. */
#include "core/order.h"
#include "test_main.h"

#include <stdlib.h>

#define N_SEEDS 3000
#define N_ISSUERS 3

typedef struct
{
  gboolean checks_fencing;
  uint64_t fencing;
  uint64_t version; /* equals the generation that it belongs to */
} Runner;

static void
receive_order (Runner *runner, uint64_t generation)
{
  if (runner->checks_fencing && generation < runner->fencing)
    return;
  runner->fencing = MAX (runner->fencing, generation);
  runner->version = generation;
}

static gboolean
decide_on_report (GgOrderState *state, const Runner *runner, uint64_t generation, uint64_t now)
{
  char reported[24];
  char desired[24];
  g_snprintf (reported, sizeof reported, "%u", (guint) runner->version);
  g_snprintf (desired, sizeof desired, "%u", (guint) generation);
  return gg_order_decide (state, reported, desired, generation, now) == GG_ORDER_SEND;
}

/* Issuers learn of new generations at different times; orders may be delayed. */
static gboolean
check_seed (uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  Runner runner = { .checks_fencing = g_rand_boolean (rand), .version = 1 };
  GgOrderState states[N_ISSUERS] = { 0 };
  uint64_t known[N_ISSUERS] = { 1, 1, 1 };
  uint64_t delayed[N_ISSUERS] = { 0 };
  uint64_t newest = 1;
  uint64_t now = 0;
  for (int step = 0; step < 60; step++)
    {
      int i = g_rand_int_range (rand, 0, N_ISSUERS);
      now += (uint64_t) g_rand_int_range (rand, 0, 500);
      switch (g_rand_int_range (rand, 0, 5))
        {
        case 0:
          newest++;
          break;
        case 1:
          known[i] = newest;
          break;
        case 2:
          if (decide_on_report (&states[i], &runner, known[i], now))
            delayed[i] = known[i];
          break;
        case 3:
          if (delayed[i] != 0)
            receive_order (&runner, delayed[i]);
          delayed[i] = 0;
          break;
        default:
          states[i] = (GgOrderState){ 0 }; /* the issuer restarts */
        }
    }
  /* All delayed orders arrive, then one issuer with the newest generation remains. */
  for (int i = 0; i < N_ISSUERS; i++)
    if (delayed[i] != 0)
      receive_order (&runner, delayed[i]);
  for (int i = 0; i < 10 && runner.version != newest; i++, now += 40000)
    if (decide_on_report (&states[0], &runner, newest, now))
      receive_order (&runner, newest);
  g_rand_free (rand);
  return runner.version == newest;
}

static uint32_t first_seed = 1;
static uint32_t n_seeds = N_SEEDS;

static void
test_converges (void)
{
  for (uint32_t seed = first_seed; seed < first_seed + n_seeds; seed++)
    if (!check_seed (seed))
      {
        printf ("order: failed with seed %u\n", seed);
        CU_FAIL ("the runner did not end with the newest version");
      }
}

static void
test_pause (void)
{
  GgOrderState state = { 0 };
  uint32_t sent = 0;
  for (uint64_t now = 0; now < 10000; now += 100)
    sent += gg_order_decide (&state, "1", "2", 5, now) == GG_ORDER_SEND;
  CU_ASSERT_EQUAL (sent, 4); /* at 0, 1, 3 and 7 s */
  CU_ASSERT_EQUAL (gg_order_decide (&state, "1", "2", 6, 10001), GG_ORDER_SEND);
  CU_ASSERT_EQUAL (gg_order_decide (&state, "2", "2", 6, 10002), GG_ORDER_APPLIED);
  CU_ASSERT_EQUAL (gg_order_decide (&state, "2", "2", 6, 10003), GG_ORDER_NONE);
  CU_ASSERT_EQUAL (gg_order_decide (&state, "", "2", 7, 20000), GG_ORDER_NONE);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "converges", test_converges },
    { "pause between orders", test_pause },
  };
  if (argc > 1)
    {
      first_seed = (uint32_t) strtoul (argv[1], NULL, 10);
      n_seeds = 1;
    }
  return gg_test_run ("order", cases, G_N_ELEMENTS (cases));
}
