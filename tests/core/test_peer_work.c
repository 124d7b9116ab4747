/* Guards the shared picture of the runners' load: late datagrams must not bring old work back, a
 * peer that restarts or falls silent must not weigh on runners for good. */
#include "core/peer_work.h"
#include "test_main.h"

#define HOLD_MS 2000

static void
say (GgPeerWork *w,
     const char *peer,
     uint64_t incarnation,
     uint64_t number,
     uint64_t now_ms,
     uint32_t runner,
     uint32_t n)
{
  GgRunnerWork work = { .n_requests = n, .token_layers = n * 1000 };
  if (gg_peer_work_begin (w, peer, incarnation, number, now_ms))
    gg_peer_work_add (w, runner, &work);
}

static uint32_t
get (const GgPeerWork *w, uint32_t runner)
{
  return gg_peer_work_get (w, runner).n_requests;
}

static void
test_sum (void)
{
  GgPeerWork *w = gg_peer_work_create (HOLD_MS);
  say (w, "a", 1, 1, 1000, 7, 3);
  say (w, "b", 1, 1, 1000, 7, 4);
  say (w, "b", 1, 2, 1000, 8, 5);
  CU_ASSERT_EQUAL (get (w, 7), 7);
  CU_ASSERT_EQUAL (get (w, 8), 5);
  CU_ASSERT_EQUAL (gg_peer_work_get (w, 7).token_layers, 7000);
  say (w, "a", 1, 2, 1000, 7, 0);
  CU_ASSERT_EQUAL (get (w, 7), 4);
  gg_peer_work_destroy (w);
}

static void
test_late_word_is_ignored (void)
{
  GgPeerWork *w = gg_peer_work_create (HOLD_MS);
  say (w, "a", 1, 5, 1000, 7, 1);
  say (w, "a", 1, 4, 1001, 7, 9);
  CU_ASSERT_EQUAL (get (w, 7), 1);
  gg_peer_work_destroy (w);
}

static void
test_restarted_peer_begins_anew (void)
{
  GgPeerWork *w = gg_peer_work_create (HOLD_MS);
  say (w, "a", 1, 50, 1000, 7, 9);
  say (w, "a", 2, 1, 1001, 8, 1);
  CU_ASSERT_EQUAL (get (w, 7), 0);
  CU_ASSERT_EQUAL (get (w, 8), 1);
  gg_peer_work_destroy (w);
}

static void
test_silence_expires (void)
{
  GgPeerWork *w = gg_peer_work_create (HOLD_MS);
  say (w, "a", 1, 1, 1000, 7, 9);
  say (w, "a", 1, 2, 2500, 8, 2);
  gg_peer_work_expire (w, 1000 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (w, 7), 0);
  CU_ASSERT_EQUAL (get (w, 8), 2);
  gg_peer_work_expire (w, 2500 + HOLD_MS + 1);
  CU_ASSERT_EQUAL (get (w, 8), 0);
  gg_peer_work_destroy (w);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "sum", test_sum },
    { "late word is ignored", test_late_word_is_ignored },
    { "restarted peer begins anew", test_restarted_peer_begins_anew },
    { "silence expires", test_silence_expires },
  };
  return gg_test_run ("peer work", cases, G_N_ELEMENTS (cases));
}
