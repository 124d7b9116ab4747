/* Guards the choice of the instance that watches the store: when one such instance fails, or all
 * are slow at once, those that rely on it must not turn to the store together. */
#include "core/source_choice.h"
#include "test_main.h"

#define PERIOD_MS 300
#define SEARCH_MS 80
#define SEARCH_TIMEOUT_MS 1000

static const GgWatchStatus valid = { .is_delegate = TRUE, .age_ms = 900 };
static const GgWatchStatus unready = { .is_delegate = FALSE };

static GgSourceChoice *
make (uint64_t now_ms)
{
  GgSourceChoice *c = gg_source_choice_create (now_ms);
  GPtrArray *addresses = g_ptr_array_new ();
  g_ptr_array_add (addresses, (char *) "a");
  g_ptr_array_add (addresses, (char *) "b");
  g_ptr_array_add (addresses, (char *) "c");
  gg_source_choice_set_sources (c, addresses);
  g_ptr_array_unref (addresses);
  return c;
}

/* Polls as the daemon does. @p is_valid: which of a, b and c answer.
 * @return whether the instance relied on sources until the end. */
static gboolean
run (GgSourceChoice *c, uint64_t *now_ms, uint64_t duration_ms, const gboolean is_valid[3])
{
  uint64_t end_ms = *now_ms + duration_ms;
  gboolean is_delegated = TRUE;
  while (*now_ms < end_ms)
    {
      const char *polled[GG_SOURCE_CHOICE_MAX_POLLS];
      is_delegated = gg_source_choice_update (c, *now_ms, SEARCH_TIMEOUT_MS) && is_delegated;
      guint n = gg_source_choice_get_polls (c, polled);
      for (guint i = 0; i < n; i++)
        if (is_valid[polled[i][0] - 'a'])
          gg_source_choice_note_status (c, polled[i], &valid, *now_ms, *now_ms);
      *now_ms += gg_source_choice_get_source (c) != NULL ? PERIOD_MS : SEARCH_MS;
    }
  return is_delegated;
}

static void
test_another_source_takes_over (void)
{
  uint64_t now_ms = 1000;
  GgSourceChoice *c = make (now_ms);
  CU_ASSERT_TRUE (run (c, &now_ms, 3000, (const gboolean[3]){ TRUE, TRUE, TRUE }));
  CU_ASSERT_STRING_EQUAL (gg_source_choice_get_source (c), "a");
  CU_ASSERT_TRUE (run (c, &now_ms, 3000, (const gboolean[3]){ FALSE, TRUE, TRUE }));
  CU_ASSERT_STRING_EQUAL (gg_source_choice_get_source (c), "b");
  /* The preferred one is used again once it has answered several times. */
  CU_ASSERT_TRUE (run (c, &now_ms, 4000, (const gboolean[3]){ TRUE, TRUE, TRUE }));
  CU_ASSERT_STRING_EQUAL (gg_source_choice_get_source (c), "a");
  gg_source_choice_destroy (c);
}

/* A pause of all sources that is shorter than the timeout, as while each of them applies a large
 * configuration, sends nobody to the store; a longer one does. */
static void
test_pause_of_all_sources (void)
{
  for (uint64_t pause_ms = 200; pause_ms <= 3000; pause_ms += 100)
    {
      uint64_t now_ms = 1000;
      GgSourceChoice *c = make (now_ms);
      CU_ASSERT_TRUE (run (c, &now_ms, 3000, (const gboolean[3]){ TRUE, TRUE, TRUE }));
      gboolean is_delegated = run (c, &now_ms, pause_ms, (const gboolean[3]){ FALSE });
      if (pause_ms < SEARCH_TIMEOUT_MS - PERIOD_MS)
        CU_ASSERT_TRUE (is_delegated);
      if (pause_ms > SEARCH_TIMEOUT_MS + 2 * PERIOD_MS)
        CU_ASSERT_FALSE (is_delegated);
      gg_source_choice_destroy (c);
    }
}

/* All sources have lost the store and report that: they still count as responding. */
static void
test_sources_without_the_store (void)
{
  uint64_t now_ms = 1000;
  GgSourceChoice *c = make (now_ms);
  CU_ASSERT_FALSE (gg_source_choice_has_responding (c, now_ms));
  gg_source_choice_note_status (c, "b", &unready, now_ms, now_ms);
  CU_ASSERT_TRUE (gg_source_choice_has_responding (c, now_ms + PERIOD_MS));
  CU_ASSERT_PTR_NULL (gg_source_choice_get_source (c));
  CU_ASSERT_FALSE (gg_source_choice_update (c, now_ms + SEARCH_TIMEOUT_MS, SEARCH_TIMEOUT_MS));
  gg_source_choice_destroy (c);
}

static void
test_source_leaves (void)
{
  uint64_t now_ms = 1000;
  GgSourceChoice *c = make (now_ms);
  CU_ASSERT_TRUE (run (c, &now_ms, 2000, (const gboolean[3]){ TRUE, TRUE, TRUE }));
  GPtrArray *addresses = g_ptr_array_new ();
  g_ptr_array_add (addresses, (char *) "b");
  gg_source_choice_set_sources (c, addresses);
  g_ptr_array_unref (addresses);
  CU_ASSERT_PTR_NULL (gg_source_choice_get_source (c));
  gg_source_choice_note_status (c, "a", &valid, now_ms, now_ms);
  CU_ASSERT_TRUE (gg_source_choice_update (c, now_ms, SEARCH_TIMEOUT_MS));
  CU_ASSERT_PTR_NULL (gg_source_choice_get_source (c));
  gg_source_choice_note_status (c, "b", &valid, now_ms, now_ms);
  CU_ASSERT_TRUE (gg_source_choice_update (c, now_ms, SEARCH_TIMEOUT_MS));
  CU_ASSERT_STRING_EQUAL (gg_source_choice_get_source (c), "b");
  gg_source_choice_destroy (c);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "another source takes over", test_another_source_takes_over },
    { "pause of all sources", test_pause_of_all_sources },
    { "sources without the store", test_sources_without_the_store },
    { "source leaves", test_source_leaves },
  };
  return gg_test_run ("source choice", cases, G_N_ELEMENTS (cases));
}
