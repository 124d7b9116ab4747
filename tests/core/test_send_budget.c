/* Guards the shared budget of repeats: instances that don't speak with each other and restart must
 * together stay within ratio x requests + extra in every window. */
#include "core/send_budget.h"
#include "test_main.h"

#define WINDOW_MS 10000
#define RATIO 0.2
#define EXTRA 200

static void
test_window_slides (void)
{
  GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA);
  guint n = 0;
  while (gg_send_budget_take (b, 1000))
    n++;
  CU_ASSERT_TRUE (n > 0 && n <= EXTRA);
  CU_ASSERT_FALSE (gg_send_budget_take (b, 1000 + WINDOW_MS - 1000));
  CU_ASSERT_TRUE (gg_send_budget_take (b, 1000 + 2 * WINDOW_MS));
  gg_send_budget_destroy (b);
}

static void
test_fewer_sharers_count_after_a_window (void)
{
  GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA);
  gg_send_budget_set_sharers (b, 10, 0);
  gg_send_budget_set_sharers (b, 1, 100);
  guint n = 0;
  while (gg_send_budget_take (b, 200))
    n++;
  CU_ASSERT_TRUE (n <= EXTRA / 10);
  gg_send_budget_set_sharers (b, 1, 100 + WINDOW_MS);
  while (gg_send_budget_take (b, 200 + WINDOW_MS))
    n++;
  CU_ASSERT_TRUE (n > EXTRA / 10);
  gg_send_budget_destroy (b);
}

/* Nine instances repeat whatever they can, and each restarts once with an empty memory. */
static void
test_restarting_instances_stay_within (void)
{
  enum
  {
    N = 9,
    REQUESTS_PER_S = 8, /* at each instance */
    SECONDS = 40
  };
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      GgSendBudget *budgets[N];
      guint restart_s[N];
      guint repeats[SECONDS] = { 0 };
      for (guint i = 0; i < N; i++)
        {
          budgets[i] = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA);
          gg_send_budget_set_sharers (budgets[i], N, 0);
          restart_s[i] = (guint) g_rand_int_range (rand, 1, SECONDS);
        }
      for (guint s = 0; s < SECONDS; s++)
        for (guint i = 0; i < N; i++)
          {
            uint64_t now_ms = (uint64_t) s * 1000 + 500;
            if (restart_s[i] == s)
              {
                gg_send_budget_destroy (budgets[i]);
                budgets[i] = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA);
                gg_send_budget_set_sharers (budgets[i], N, now_ms);
              }
            for (guint r = 0; r < REQUESTS_PER_S; r++)
              gg_send_budget_note_request (budgets[i], now_ms);
            while (gg_send_budget_take (budgets[i], now_ms))
              repeats[s]++;
          }
      for (guint s = 0; s + 10 <= SECONDS; s++)
        {
          guint sum = 0;
          for (guint k = 0; k < 10; k++)
            sum += repeats[s + k];
          if (sum > RATIO * 10 * REQUESTS_PER_S * N + EXTRA)
            {
              fprintf (stderr, "seed %u: %u repeats in one window\n", seed, sum);
              CU_FAIL ("over the shared budget");
            }
        }
      for (guint i = 0; i < N; i++)
        gg_send_budget_destroy (budgets[i]);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "window slides", test_window_slides },
    { "fewer sharers count after a window", test_fewer_sharers_count_after_a_window },
    { "restarting instances stay within", test_restarting_instances_stay_within },
  };
  return gg_test_run ("send budget", cases, G_N_ELEMENTS (cases));
}
