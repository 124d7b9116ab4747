/* Guards the changes that a delegate reports to the instances that rely on it: none may be omitted
 * without notice, or they would keep using a runner that is removed or leaving. */
#include "core/runner_changes.h"
#include "test_main.h"

#include <string.h>

#define KEEP_MS 10000
#define MAX_CHANGES 200

static void
put (GgRunnerChanges *c,
     uint64_t revision,
     const char *id,
     gboolean is_leaving,
     gboolean is_changed,
     uint64_t now_ms)
{
  const GgRunnerRecord record
      = { .id = (char *) id, .address = (char *) "10.0.0.1:80", .is_leaving = is_leaving };
  gg_runner_changes_put (c, revision, &record, is_changed, now_ms);
}

static int
count (const GgRunnerChanges *c, uint64_t revision)
{
  guint first;
  return gg_runner_changes_find (c, revision, &first);
}

static void
test_changes_after_a_revision (void)
{
  GgRunnerChanges *c = gg_runner_changes_create ();
  guint first = 0;
  gg_runner_changes_reset (c, 100);
  put (c, 101, "a", FALSE, TRUE, 0);
  put (c, 105, "b", TRUE, TRUE, 0);
  gg_runner_changes_remove (c, 107, "a", 0);
  CU_ASSERT_EQUAL (count (c, 100), 3);
  CU_ASSERT_EQUAL (count (c, 107), 0);
  CU_ASSERT_EQUAL (count (c, 99), -1);
  CU_ASSERT_EQUAL_FATAL (gg_runner_changes_find (c, 101, &first), 2);
  CU_ASSERT_STRING_EQUAL (gg_runner_changes_get (c, first)->record.id, "b");
  CU_ASSERT_TRUE (gg_runner_changes_get (c, first)->record.is_leaving);
  CU_ASSERT_TRUE (gg_runner_changes_get (c, first + 1)->is_removed);
  gg_runner_changes_destroy (c);
}

/* A runner whose entry is missing for a moment is kept in use here, so its return changes nothing
 * here; an instance that was informed of the removal must be informed of the return. */
static void
test_return_after_a_removal (void)
{
  GgRunnerChanges *c = gg_runner_changes_create ();
  gg_runner_changes_reset (c, 100);
  put (c, 101, "a", FALSE, FALSE, 0);
  CU_ASSERT_EQUAL (count (c, 100), 0);
  gg_runner_changes_remove (c, 102, "a", 0);
  put (c, 103, "a", FALSE, FALSE, 0);
  put (c, 104, "a", FALSE, FALSE, 0);
  CU_ASSERT_EQUAL (count (c, 100), 2);
  gg_runner_changes_destroy (c);
}

static void
test_discarded_changes_are_detected (void)
{
  GgRunnerChanges *c = gg_runner_changes_create ();
  gg_runner_changes_reset (c, 100);
  put (c, 101, "a", FALSE, TRUE, 0);
  put (c, 102, "b", FALSE, TRUE, KEEP_MS + 1);
  CU_ASSERT_EQUAL (count (c, 100), -1);
  CU_ASSERT_EQUAL (count (c, 101), 1);
  for (uint64_t i = 1; i <= MAX_CHANGES; i++)
    put (c, 102 + i, "c", FALSE, TRUE, KEEP_MS + 1);
  CU_ASSERT_EQUAL (count (c, 101), -1);
  CU_ASSERT_EQUAL (count (c, 102), MAX_CHANGES);
  gg_runner_changes_destroy (c);
}

/* An instance that applies the delegate's changes has the same runners, in any order of changes and
 * reads; if changes are no longer kept, it lists the runners. */
static void
test_instances_agree (void)
{
  enum
  {
    N_IDS = 6,
    N_STEPS = 60
  };
  static const char *const ids[N_IDS] = { "a", "b", "c", "d", "e", "f" };
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      GgRunnerChanges *c = gg_runner_changes_create ();
      gboolean delegate[N_IDS] = { FALSE };
      gboolean instance[N_IDS] = { FALSE };
      uint64_t revision = 10;
      uint64_t known = 10;
      gg_runner_changes_reset (c, revision);
      for (int step = 0; step < N_STEPS; step++)
        {
          int i = g_rand_int_range (rand, 0, N_IDS);
          uint64_t now_ms = (uint64_t) step * (uint64_t) g_rand_int_range (rand, 1, 2000);
          revision += (uint64_t) g_rand_int_range (rand, 1, 3);
          if (delegate[i] && g_rand_boolean (rand))
            gg_runner_changes_remove (c, revision, ids[i], now_ms);
          else
            put (c, revision, ids[i], FALSE, !delegate[i], now_ms);
          guint first = 0;
          int n = gg_runner_changes_find (c, revision - 1, &first);
          if (n == 1)
            delegate[i] = !gg_runner_changes_get (c, first)->is_removed;
          if (g_rand_int_range (rand, 0, 4) != 0)
            continue;
          n = gg_runner_changes_find (c, known, &first);
          for (int at = 0; at < n; at++)
            {
              const GgRunnerChange *change = gg_runner_changes_get (c, first + (guint) at);
              instance[change->record.id[0] - 'a'] = !change->is_removed;
            }
          if (n < 0)
            memcpy (instance, delegate, sizeof delegate);
          known = revision;
          CU_ASSERT_FATAL (memcmp (instance, delegate, sizeof delegate) == 0);
        }
      gg_runner_changes_destroy (c);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "changes after a revision", test_changes_after_a_revision },
    { "return after a removal", test_return_after_a_removal },
    { "discarded changes are detected", test_discarded_changes_are_detected },
    { "instances agree", test_instances_agree },
  };
  return gg_test_run ("runner changes", cases, G_N_ELEMENTS (cases));
}
