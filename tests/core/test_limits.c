/* Guards admission, retry budget, backoff and runner health against unfair shares, unbounded
 * retries, synchronized reconnects, and ejection because of a single broken connection. */
#include "core/admission.h"
#include "core/backoff.h"
#include "core/retry_budget.h"
#include "core/runner_health.h"
#include "test_main.h"

#define COST 10

static GgAdmissionResult
decide (GgAdmission *a, const char *team, uint64_t wait_ms, uint64_t now)
{
  uint64_t retry_after_ms = 0;
  GgAdmissionQuery q = { .team = team,
                         .weight = 1.0,
                         .cost_tokens = COST,
                         .predicted_wait_ms = wait_ms,
                         .deadline_ms = now + 2000 };
  GgAdmissionResult result = gg_admission_decide (a, &q, now, &retry_after_ms);
  CU_ASSERT_TRUE (result == GG_ADMISSION_ADMITTED || retry_after_ms > 0);
  return result;
}

static void
test_deadline (void)
{
  GgAdmission *a = gg_admission_create (500);
  CU_ASSERT_EQUAL (decide (a, "t", 2001, 1000), GG_ADMISSION_DEADLINE);
  CU_ASSERT_EQUAL (decide (a, "t", 0, 1000), GG_ADMISSION_ADMITTED);
  gg_admission_destroy (a);
}

/* One of ten teams sends half of all requests while the runners are full; the capacity is modelled
 * as a fixed number of requests in flight. Each team must get at least 0.9 of its fair share. */
static void
test_fair_shares (void)
{
  enum
  {
    TEAMS = 10,
    CAPACITY = 100,
    ROUNDS = 400
  };
  GgAdmission *a = gg_admission_create (500);
  char names[TEAMS][4];
  uint32_t served[TEAMS] = { 0 };
  GQueue in_flight = G_QUEUE_INIT;
  GRand *rand = g_rand_new_with_seed (3);
  for (int i = 0; i < TEAMS; i++)
    g_snprintf (names[i], sizeof names[i], "t%d", i);

  for (uint64_t now = 1000; now < 1000 + ROUNDS * 10; now += 10)
    {
      /* The demand is twice the number of requests that finish per round. */
      for (int i = 0; i < 20; i++)
        {
          int team = g_rand_boolean (rand) ? 0 : g_rand_int_range (rand, 1, TEAMS);
          uint64_t wait_ms = in_flight.length > CAPACITY ? (in_flight.length - CAPACITY) * 50 : 0;
          if (decide (a, names[team], wait_ms, now) == GG_ADMISSION_ADMITTED)
            g_queue_push_tail (&in_flight, GINT_TO_POINTER (team));
        }
      for (int i = 0; i < 10 && in_flight.length > 0; i++)
        {
          guint nth = (guint) g_rand_int_range (rand, 0, (gint32) in_flight.length);
          int team = GPOINTER_TO_INT (g_queue_pop_nth (&in_flight, nth));
          served[team]++;
        }
    }
  uint32_t total = 0;
  for (int i = 0; i < TEAMS; i++)
    total += served[i];
  for (int i = 0; i < TEAMS; i++)
    CU_ASSERT_TRUE (served[i] >= 0.9 * total / TEAMS);
  g_queue_clear (&in_flight);
  g_rand_free (rand);
  gg_admission_destroy (a);
}

/* Instances that know each other's request rates must together stay near the team's limit. */
static void
test_shared_limit (void)
{
  enum
  {
    INSTANCES = 4,
    LIMIT = 40,
    SECONDS = 20
  };
  GgAdmission *a[INSTANCES];
  uint32_t admitted = 0;
  for (int i = 0; i < INSTANCES; i++)
    a[i] = gg_admission_create (500);
  for (uint64_t now = 1000; now < 1000 + SECONDS * 1000; now += 10)
    {
      for (int i = 0; i < INSTANCES; i++)
        {
          uint64_t retry_after_ms = 0;
          GgAdmissionQuery q
              = { .team = "t", .weight = 1, .requests_per_s = LIMIT, .deadline_ms = now + 1000 };
          GgAdmissionResult result = gg_admission_decide (a[i], &q, now, &retry_after_ms);
          admitted += result == GG_ADMISSION_ADMITTED && now >= 6000;
        }
      if (now % 500 != 0)
        continue;
      double use[INSTANCES];
      double sum = 0;
      for (int i = 0; i < INSTANCES; i++)
        sum += use[i] = gg_admission_get_local_use (a[i], "t", now);
      for (int i = 0; i < INSTANCES; i++)
        gg_admission_set_remote_use (a[i], "t", sum - use[i], now);
    }
  double rate = admitted / (SECONDS - 5.0);
  CU_ASSERT_TRUE (rate >= 0.9 * LIMIT && rate <= 1.1 * LIMIT);
  for (int i = 0; i < INSTANCES; i++)
    gg_admission_destroy (a[i]);
}

static void
test_retry_budget (void)
{
  GgRetryBudget *budget = gg_retry_budget_create (10, 2);
  uint32_t retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      gg_retry_budget_deposit (budget);
      retries += gg_retry_budget_withdraw (budget, 0, 1) ? 1 : 0;
    }
  CU_ASSERT_TRUE (retries >= 100 && retries <= 102);
  for (int i = 0; i < 20; i++)
    gg_retry_budget_deposit (budget);
  CU_ASSERT_FALSE (gg_retry_budget_withdraw (budget, 5, 5));
  gg_retry_budget_destroy (budget);
}

static void
test_backoff (void)
{
  GgBackoff backoff = GG_BACKOFF_INIT (100, 5000);
  uint64_t bound = 100;
  uint64_t distinct = 0;
  uint64_t previous = 0;
  GRand *rand = g_rand_new_with_seed (1);
  for (int i = 0; i < 40; i++)
    {
      uint64_t wait = gg_backoff_next_ms (&backoff, g_rand_int (rand));
      CU_ASSERT_TRUE (wait >= 1 && wait <= MIN (bound, 5000));
      distinct += wait != previous;
      previous = wait;
      bound *= bound < 100000 ? 2 : 1;
    }
  CU_ASSERT_TRUE (distinct > 30);
  gg_backoff_reset (&backoff);
  CU_ASSERT_TRUE (gg_backoff_next_ms (&backoff, 99) <= 100);
  g_rand_free (rand);
}

static void
test_health (void)
{
  GgRunner *r = gg_runner_create ("r", 1, "127.0.0.1:1", "dc", "m", 0, 4);
  CU_ASSERT_TRUE (gg_runner_health_apply (r, GG_RUNNER_EVENT_FAILED_REUSED, 1000));
  /* After the failure of one reused connection a probe is due at once and restores the runner. */
  CU_ASSERT_TRUE (gg_runner_health_needs_probe (r, 1000));
  CU_ASSERT_TRUE (gg_runner_health_apply (r, GG_RUNNER_EVENT_PROBE_OK, 1000));
  CU_ASSERT_FALSE (gg_runner_health_is_ejected (r));

  uint64_t now = 2000;
  uint64_t last_wait = 0;
  for (int i = 0; i < 10; i++)
    {
      gg_runner_health_apply (r, GG_RUNNER_EVENT_FAILED_FRESH, now);
      CU_ASSERT_FALSE (gg_runner_health_needs_probe (r, now));
      uint64_t wait = atomic_load (&r->ejected_until_ms) - now;
      CU_ASSERT_TRUE (wait >= last_wait && wait <= 10000);
      last_wait = wait;
      now += wait;
    }
  CU_ASSERT_TRUE (gg_runner_health_apply (r, GG_RUNNER_EVENT_SUCCESS, now));
  CU_ASSERT_EQUAL (atomic_load (&r->failures), 0);
  CU_ASSERT_TRUE (gg_runner_health_apply (r, GG_RUNNER_EVENT_LEAVING, now));
  CU_ASSERT_FALSE (gg_runner_health_apply (r, GG_RUNNER_EVENT_LEAVING, now));
  gg_runner_unref (r);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "deadline", test_deadline },
    { "fair shares", test_fair_shares },
    { "limit shared between instances", test_shared_limit },
    { "retry budget", test_retry_budget },
    { "backoff", test_backoff },
    { "runner health", test_health },
  };
  return gg_test_run ("limits", cases, G_N_ELEMENTS (cases));
}
