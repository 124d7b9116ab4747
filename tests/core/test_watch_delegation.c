/* Guards the delegation of the watch of the store: a revoked API key must be refused and a new
 * configuration must take effect in time, also if the delegate crashes, is suspended, loses the
 * store or answers late. */
#include "core/watch_delegation.h"
#include "test_main.h"

/* A configuration must take effect within 2 s, which leaves this much to detect an unresponsive
 * delegate. */
#define DETECT_MS 1000
#define PERIOD_MS 300

static const GgWatchStatus valid = { .is_delegate = TRUE, .age_ms = 900 };
static const GgWatchStatus unready = { .is_delegate = FALSE };

static GgWatchDelegation
make_active (uint64_t *now_ms)
{
  GgWatchDelegation d = { 0 };
  for (int i = 0; i < 5; i++)
    gg_watch_delegation_note_status (&d, &valid, *now_ms += PERIOD_MS);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&d, *now_ms));
  return d;
}

/* When all instances start, the first valid report saves calls to the store. After a failure, one
 * report is not enough, or instances would flap with each lost datagram. */
static void
test_first_report_and_recovery (void)
{
  GgWatchDelegation d = { 0 };
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, 1000));
  gg_watch_delegation_note_status (&d, &unready, 1000);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, 1000));
  gg_watch_delegation_note_status (&d, &valid, 1300);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&d, 1300));
  gg_watch_delegation_note_status (&d, &unready, 1600);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, 1600));
  gg_watch_delegation_note_status (&d, &valid, 1900);
  gg_watch_delegation_note_status (&d, &valid, 2200);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, 2200));
  gg_watch_delegation_note_status (&d, &valid, 2500);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&d, 2500));
}

/* While the store is unavailable, the delegate's status shows when it is available again, so that
 * not every instance has to poll the store several times a second. */
static void
test_delegate_that_has_lost_the_store (void)
{
  GgWatchDelegation d = { 0 };
  CU_ASSERT_FALSE (gg_watch_delegation_has_delegate (&d, 1000));
  gg_watch_delegation_note_status (&d, &unready, 1000);
  CU_ASSERT_TRUE (gg_watch_delegation_has_delegate (&d, 1300));
  CU_ASSERT_FALSE (gg_watch_delegation_has_delegate (&d, 1000 + DETECT_MS));
}

/* A source whose watch of the runners hangs is as bad as one without the configuration: those that
 * rely on it would send requests to runners that have left. */
static void
test_old_view_of_the_runners (void)
{
  const GgWatchStatus recent = { .is_delegate = TRUE, .age_ms = 900, .runners_age_ms = 2500 };
  const GgWatchStatus old = { .is_delegate = TRUE, .age_ms = 900, .runners_age_ms = 3000 };
  uint64_t now_ms = 1000;
  GgWatchDelegation d = make_active (&now_ms);
  gg_watch_delegation_note_status (&d, &recent, now_ms);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&d, now_ms));
  gg_watch_delegation_note_status (&d, &old, now_ms);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, now_ms));
}

static void
test_missing_reports (void)
{
  uint64_t now_ms = 1000;
  GgWatchDelegation d = make_active (&now_ms);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&d, now_ms + 2 * PERIOD_MS));
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, now_ms + DETECT_MS));
  gg_watch_delegation_note_status (&d, &valid, now_ms + DETECT_MS);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, now_ms + DETECT_MS));
}

static void
test_invalid_reports (void)
{
  const GgWatchStatus invalid[]
      = { { .is_delegate = FALSE, .age_ms = 0 }, { .is_delegate = TRUE, .age_ms = 3000 } };
  for (guint i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      uint64_t now_ms = 1000;
      GgWatchDelegation d = make_active (&now_ms);
      gg_watch_delegation_note_status (&d, &invalid[i], now_ms);
      CU_ASSERT_FALSE (gg_watch_delegation_is_active (&d, now_ms));
    }
}

/* With any delays and suspensions, the proven time is not later than the time at which the delegate
 * knew the configuration to be the newest one. */
static void
test_proven_time_is_never_too_late (void)
{
  for (guint32 seed = 1; seed <= 5000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      uint64_t known_ms = (uint64_t) g_rand_int_range (rand, 1, 10000);
      uint64_t requested_ms = (uint64_t) g_rand_int_range (rand, 1, 12000);
      /* Actual time at which the delegate computes the age, not before it received the request. */
      uint64_t counted_ms
          = MAX (requested_ms, known_ms) + (uint64_t) g_rand_int_range (rand, 0, 4000);
      GgWatchStatus status = { .is_delegate = TRUE, .age_ms = counted_ms - known_ms };
      CU_ASSERT_TRUE (gg_watch_status_get_proven_ms (&status, requested_ms) <= known_ms);
      g_rand_free (rand);
    }
  const GgWatchStatus other = { .is_delegate = FALSE, .age_ms = 0 };
  CU_ASSERT_EQUAL (gg_watch_status_get_proven_ms (&other, 1000), 0);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "first report and recovery", test_first_report_and_recovery },
    { "delegate that has lost the store", test_delegate_that_has_lost_the_store },
    { "missing reports", test_missing_reports },
    { "invalid reports", test_invalid_reports },
    { "old view of the runners", test_old_view_of_the_runners },
    { "proven time is never too late", test_proven_time_is_never_too_late },
  };
  return gg_test_run ("watch delegation", cases, G_N_ELEMENTS (cases));
}
