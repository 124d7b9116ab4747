/* Guards the shared retry budget: instances that do not coordinate and that restart must together
 * stay within ratio x requests + extra in every window. */
#include "core/send_budget.h"
#include "test_main.h"

#define WINDOW_MS 10000
#define RATIO 0.2
#define EXTRA 200

static void
test_window_slides (void)
{
  GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 1000);
  guint n = 0;
  gg_send_budget_set_instances (b, 1, 0);
  while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 1000))
    n++;
  CU_ASSERT_TRUE (n > 0 && n <= EXTRA);
  CU_ASSERT_FALSE (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 1000 + WINDOW_MS - 1000));
  CU_ASSERT_TRUE (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 1000 + 2 * WINDOW_MS));
  gg_send_budget_destroy (b);
}

static void
test_fewer_instances_count_after_a_window (void)
{
  GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 0);
  gg_send_budget_set_instances (b, 10, 0);
  gg_send_budget_set_instances (b, 1, 100);
  guint n = 0;
  while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 200))
    n++;
  CU_ASSERT_TRUE (n <= EXTRA / 10);
  gg_send_budget_set_instances (b, 1, 100 + WINDOW_MS);
  while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 200 + WINDOW_MS))
    n++;
  CU_ASSERT_TRUE (n > EXTRA / 10);
  gg_send_budget_destroy (b);
}

#define N_INSTANCES 9
#define REQUESTS_PER_S 8 /* at each instance */
#define SECONDS 60

/* Nine instances retry as often as they can.
 * @param restart_s when each instance restarts and loses the record of what it has spent.
 * @return the maximum number of retries in ten seconds, as a share of the allowed number. */
static double
simulate (const guint *restart_s)
{
  GgSendBudget *budgets[N_INSTANCES];
  guint retries[SECONDS] = { 0 };
  double most = 0;
  for (guint i = 0; i < N_INSTANCES; i++)
    {
      budgets[i] = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 0);
      gg_send_budget_set_instances (budgets[i], N_INSTANCES, 0);
    }
  for (guint s = 0; s < SECONDS; s++)
    for (guint i = 0; i < N_INSTANCES; i++)
      {
        uint64_t now_ms = (uint64_t) s * 1000 + 500;
        if (restart_s[i] == s)
          {
            gg_send_budget_destroy (budgets[i]);
            budgets[i] = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, now_ms);
            gg_send_budget_set_instances (budgets[i], N_INSTANCES, now_ms);
          }
        for (guint r = 0; r < REQUESTS_PER_S; r++)
          gg_send_budget_note_request (budgets[i], now_ms);
        while (gg_send_budget_withdraw (budgets[i], GG_RETRY_REASON_LOST, now_ms))
          retries[s]++;
      }
  for (guint s = 0; s + 10 <= SECONDS; s++)
    {
      guint sum = 0;
      for (guint k = 0; k < 10; k++)
        sum += retries[s + k];
      most = MAX (most, sum / (RATIO * 10 * REQUESTS_PER_S * N_INSTANCES + EXTRA));
    }
  for (guint i = 0; i < N_INSTANCES; i++)
    gg_send_budget_destroy (budgets[i]);
  return most;
}

static void
test_restarting_instances_stay_within_budget (void)
{
  for (guint32 seed = 1; seed <= 50; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      guint restart_s[N_INSTANCES];
      for (guint i = 0; i < N_INSTANCES; i++)
        restart_s[i] = (guint) g_rand_int_range (rand, 1, SECONDS);
      double used = simulate (restart_s);
      if (used > 1)
        {
          fprintf (stderr, "seed %u: %.2f of the shared budget\n", seed, used);
          CU_FAIL ("over the shared budget");
        }
      g_rand_free (rand);
    }
}

/* All instances are killed at once, just after they have spent all that they could. */
static void
test_all_restart_at_once (void)
{
  for (guint at = 1; at < SECONDS; at++)
    {
      guint restart_s[N_INSTANCES];
      for (guint i = 0; i < N_INSTANCES; i++)
        restart_s[i] = at;
      double used = simulate (restart_s);
      if (used > 1)
        fprintf (stderr, "restart at %u s: %.2f of the shared budget\n", at, used);
      CU_ASSERT_TRUE (used <= 1);
    }
}

/* A budget that can't be spent does not help callers whose runner was lost. */
static void
test_most_of_the_budget_can_be_used (void)
{
  guint never[N_INSTANCES];
  for (guint i = 0; i < N_INSTANCES; i++)
    never[i] = SECONDS;
  CU_ASSERT_TRUE (simulate (never) >= 0.7);
}

/* While layers are being loaded, many requests are refused; a stream that is cut then must still be
 * resumed. */
static void
test_refusals_leave_retries_for_losses (void)
{
  GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 0);
  guint n_refused = 0;
  guint n_lost = 0;
  gg_send_budget_set_instances (b, 1, 0);
  while (gg_send_budget_withdraw (b, GG_RETRY_REASON_REFUSED, 1000))
    n_refused++;
  while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, 1000))
    n_lost++;
  CU_ASSERT_TRUE (n_refused > 0);
  CU_ASSERT_TRUE (n_lost >= n_refused / 2);
  gg_send_budget_destroy (b);
}

/* What an earlier process of this instance has spent leaves the window one window after the start,
 * whether or not requests have arrived since. */
static void
test_full_share_after_an_idle_window (void)
{
  guint n[2] = { 0 };
  for (guint i = 0; i < 2; i++)
    {
      uint64_t first_ms = i == 0 ? WINDOW_MS - 1 : WINDOW_MS;
      GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 0);
      gg_send_budget_set_instances (b, 1, first_ms);
      gg_send_budget_note_request (b, first_ms);
      while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, first_ms))
        n[i]++;
      gg_send_budget_destroy (b);
    }
  CU_ASSERT_TRUE (n[0] <= EXTRA / 2);
  CU_ASSERT_TRUE (n[1] > EXTRA / 2);
}

/* All instances of a large deployment restart at once; none knows yet how many they are, and each
 * retries as often as it may. */
static void
test_unknown_number_of_instances (void)
{
  guint n_retries = 0;
  for (guint i = 0; i < 400; i++)
    {
      GgSendBudget *b = gg_send_budget_create (WINDOW_MS, RATIO, EXTRA, 0);
      while (gg_send_budget_withdraw (b, GG_RETRY_REASON_LOST, WINDOW_MS))
        n_retries++;
      gg_send_budget_destroy (b);
    }
  CU_ASSERT_TRUE (n_retries <= EXTRA);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "window slides", test_window_slides },
    { "fewer instances count after a window", test_fewer_instances_count_after_a_window },
    { "restarting instances stay within the budget", test_restarting_instances_stay_within_budget },
    { "refusals leave retries for losses", test_refusals_leave_retries_for_losses },
    { "full share after an idle window", test_full_share_after_an_idle_window },
    { "all restart at once", test_all_restart_at_once },
    { "unknown number of instances", test_unknown_number_of_instances },
    { "most of the budget can be used", test_most_of_the_budget_can_be_used },
  };
  return gg_test_run ("send budget", cases, G_N_ELEMENTS (cases));
}
