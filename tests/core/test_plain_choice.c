/* Guards the selection of a runner for bookings and look-ups: the nearby one with the least load,
 * and equally loaded runners equally often. */
#include "core/plain_choice.h"
#include "test_main.h"

#include <string.h>

#define NOW_MS 1000

static GgFleetRunner *
put (GgFleet *fleet, const char *id, const char *service, const char *data_centre, uint32_t n)
{
  GgRunnerRecord record = { .id = g_strdup (id),
                            .address = g_strdup ("10.0.0.1:80"),
                            .service = g_strdup (service),
                            .data_centre = g_strdup (data_centre),
                            .slots = 6 };
  gg_fleet_put (fleet, &record);
  GgFleetRunner *runner = gg_fleet_find (fleet, id);
  runner->own.n_requests = n;
  return runner;
}

static GgPlainQuery
make_query (const GgFleet *fleet, uint32_t random)
{
  return (GgPlainQuery){ .fleet = fleet,
                         .service = "desk",
                         .data_centre = "karongi",
                         .now_ms = NOW_MS,
                         .boot_ms = NOW_MS,
                         .random = random };
}

static const char *
choose (const GgPlainQuery *query)
{
  gboolean is_full = FALSE;
  GgFleetRunner *runner = gg_plain_choose_runner (query, &is_full);
  return runner != NULL ? runner->record.id : is_full ? "(full)" : "(none)";
}

static void
test_least_load_nearby (void)
{
  GgFleet *fleet = gg_fleet_create ();
  put (fleet, "a", "desk", "karongi", 1);
  put (fleet, "b", "desk", "rusizi", 0);
  put (fleet, "c", "model", "karongi", 0);
  GgPlainQuery query = make_query (fleet, 1);
  CU_ASSERT_STRING_EQUAL (choose (&query), "a");
  gg_fleet_find (fleet, "a")->peers.n_requests = 2;
  CU_ASSERT_STRING_EQUAL (choose (&query), "b");
  gg_fleet_destroy (fleet);
}

static void
test_excluded_and_full (void)
{
  GgFleet *fleet = gg_fleet_create ();
  GgFleetRunner *a = put (fleet, "a", "desk", "karongi", 0);
  GgFleetRunner *b = put (fleet, "b", "desk", "rusizi", 0);
  GgPlainQuery query = make_query (fleet, 1);
  query.excluded = a;
  CU_ASSERT_STRING_EQUAL (choose (&query), "b");
  b->suspended_until_ms = NOW_MS + 1;
  CU_ASSERT_STRING_EQUAL (choose (&query), "a");
  query.excluded = NULL;
  a->own.n_requests = 100;
  CU_ASSERT_STRING_EQUAL (choose (&query), "(full)");
  gg_fleet_destroy (fleet);
}

/* Some look-ups fail at most runners. Retries must not choose the same runners each time because of
 * where their ids lie among those of other services. */
static void
test_equal_runners_are_chosen_equally (void)
{
  enum
  {
    N_MODEL_RUNNERS = 30,
    N_CHOICES = 3000
  };
  GgFleet *fleet = gg_fleet_create ();
  guint counts[3] = { 0 };
  put (fleet, "a", "desk", "rusizi", 0);
  put (fleet, "b", "desk", "rusizi", 0);
  put (fleet, "z", "desk", "rusizi", 0);
  for (int i = 0; i < N_MODEL_RUNNERS; i++)
    {
      char *id = g_strdup_printf ("m%d", i);
      put (fleet, id, "model", "rusizi", 0);
      g_free (id);
    }
  GRand *rand = g_rand_new_with_seed (7);
  for (int i = 0; i < N_CHOICES; i++)
    {
      GgPlainQuery query = make_query (fleet, g_rand_int (rand));
      counts[strcspn ("abz", (char[]){ *choose (&query), 0 })]++;
    }
  /* One third each; three standard deviations are 80. */
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (counts[i] > N_CHOICES / 3 - 100 && counts[i] < N_CHOICES / 3 + 100);
  g_rand_free (rand);
  gg_fleet_destroy (fleet);
}

/* Guards against a look-up that is sent to a runner beyond its rate limit, also as the last resort
 * after a failure, and against one that is refused as if there were no runner. */
static void
test_rate_limit (void)
{
  GgFleet *fleet = gg_fleet_create ();
  GgFleetRunner *a = put (fleet, "a", "desk", "karongi", 0);
  put (fleet, "b", "desk", "rusizi", 3);
  GgLimitEvidence named = { .is_limited = TRUE, .limit_milli = 1000, .time_ms = NOW_MS };
  GgPlainQuery query = make_query (fleet, 1);
  a->limit = g_new0 (GgRateLimit, 1);
  gg_rate_limit_note_own (a->limit, &named);
  CU_ASSERT_STRING_EQUAL (choose (&query), "b");
  gg_fleet_remove (fleet, "b");
  CU_ASSERT_STRING_EQUAL (choose (&query), "(full)");
  query.excluded = a;
  CU_ASSERT_STRING_EQUAL (choose (&query), "(full)");
  gg_rate_limit_add_permits (a->limit, 1, NOW_MS + 1);
  CU_ASSERT_STRING_EQUAL (choose (&query), "a");
  gg_fleet_destroy (fleet);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "least load nearby", test_least_load_nearby },
    { "excluded and full", test_excluded_and_full },
    { "rate limit", test_rate_limit },
    { "equal runners are chosen equally", test_equal_runners_are_chosen_equally },
  };
  return gg_test_run ("plain choice", cases, G_N_ELEMENTS (cases));
}
