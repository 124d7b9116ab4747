/* Guards the reliance on another instance's view of the store: a key that was taken away must be
 * refused in time, and a configuration must come into force in time, also when that instance dies,
 * is frozen, loses the store or answers late. */
#include "core/watch_delegation.h"
#include "test_main.h"

/* Bounds on configurations in force (2 s) leave this much for noticing a silent source. */
#define NOTICE_MS 1000
#define PERIOD_MS 300

static const GgWatchStatus good = { .is_source = TRUE, .age_ms = 900 };
static const GgWatchStatus unready = { .is_source = FALSE };

static GgWatchDelegation
make_fed (uint64_t *now_ms)
{
  GgWatchDelegation c = { 0 };
  for (int i = 0; i < 5; i++)
    gg_watch_delegation_note_status (&c, &good, *now_ms += PERIOD_MS);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&c, *now_ms));
  return c;
}

/* At the start of all instances the first good word spares calls to the store; after a failure one
 * word is not enough, or instances would change to and fro with each lost datagram. */
static void
test_first_word_and_return (void)
{
  GgWatchDelegation c = { 0 };
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, 1000));
  gg_watch_delegation_note_status (&c, &unready, 1000);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, 1000));
  gg_watch_delegation_note_status (&c, &good, 1300);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&c, 1300));
  gg_watch_delegation_note_status (&c, &unready, 1600);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, 1600));
  gg_watch_delegation_note_status (&c, &good, 1900);
  gg_watch_delegation_note_status (&c, &good, 2200);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, 2200));
  gg_watch_delegation_note_status (&c, &good, 2500);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&c, 2500));
}

/* While the store is away, the source's word tells when it is back, so that not every instance has
 * to ask the store several times a second. */
static void
test_source_that_has_lost_the_store (void)
{
  GgWatchDelegation c = { 0 };
  CU_ASSERT_FALSE (gg_watch_delegation_has_delegate (&c, 1000));
  gg_watch_delegation_note_status (&c, &unready, 1000);
  CU_ASSERT_TRUE (gg_watch_delegation_has_delegate (&c, 1300));
  CU_ASSERT_FALSE (gg_watch_delegation_has_delegate (&c, 1000 + NOTICE_MS));
}

static void
test_silence (void)
{
  uint64_t now_ms = 1000;
  GgWatchDelegation c = make_fed (&now_ms);
  CU_ASSERT_TRUE (gg_watch_delegation_is_active (&c, now_ms + 2 * PERIOD_MS));
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, now_ms + NOTICE_MS));
  gg_watch_delegation_note_status (&c, &good, now_ms + NOTICE_MS);
  CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, now_ms + NOTICE_MS));
}

static void
test_bad_words (void)
{
  const GgWatchStatus bad[]
      = { { .is_source = FALSE, .age_ms = 0 }, { .is_source = TRUE, .age_ms = 3000 } };
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      uint64_t now_ms = 1000;
      GgWatchDelegation c = make_fed (&now_ms);
      gg_watch_delegation_note_status (&c, &bad[i], now_ms);
      CU_ASSERT_FALSE (gg_watch_delegation_is_active (&c, now_ms));
    }
}

/* Whatever delays and suspensions lie between, the time that is proven is not later than the one at
 * which the source knew the configuration to be the newest. */
static void
test_proof_is_never_too_late (void)
{
  for (guint32 seed = 1; seed <= 5000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      uint64_t known_ms = (uint64_t) g_rand_int_range (rand, 1, 10000);
      uint64_t asked_ms = (uint64_t) g_rand_int_range (rand, 1, 12000);
      /* True time at which the source counts the age; a question can't be answered before. */
      uint64_t counted_ms = MAX (asked_ms, known_ms) + (uint64_t) g_rand_int_range (rand, 0, 4000);
      GgWatchStatus word = { .is_source = TRUE, .age_ms = counted_ms - known_ms };
      CU_ASSERT_TRUE (gg_watch_status_get_proven_ms (&word, asked_ms) <= known_ms);
      g_rand_free (rand);
    }
  const GgWatchStatus other = { .is_source = FALSE, .age_ms = 0 };
  CU_ASSERT_EQUAL (gg_watch_status_get_proven_ms (&other, 1000), 0);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "first word and return", test_first_word_and_return },
    { "source that has lost the store", test_source_that_has_lost_the_store },
    { "silence", test_silence },
    { "bad words", test_bad_words },
    { "proof is never too late", test_proof_is_never_too_late },
  };
  return gg_test_run ("feed choice", cases, G_N_ELEMENTS (cases));
}
