/* Guards the fleet against an outage of the store in which all entries expire: if every runner were
 * dropped at the recovery, all requests would be rejected for two seconds; if runners that left
 * were kept, they would be sent requests. */
#include "core/outage_grace.h"
#include "test_main.h"

static void
test_long_outage_has_a_grace_period (void)
{
  GgOutageGrace g = { 0 };
  gg_outage_grace_note_outage (&g, 1000);
  gg_outage_grace_note_outage (&g, 4000);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&g, 4500));
  gg_outage_grace_note_recovery (&g, 5000, 5000);
  CU_ASSERT_TRUE (gg_outage_grace_is_active (&g, 7000));
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&g, 7300));
  gg_outage_grace_note_recovery (&g, 7300, 7300);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&g, 7301));
}

static void
test_short_interruption_has_none (void)
{
  GgOutageGrace g = { 0 };
  gg_outage_grace_note_outage (&g, 1000);
  gg_outage_grace_note_recovery (&g, 1500, 1500);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&g, 1501));
}

/* Guards against an outage that seems shorter than it is: the reply to a call that was sent before
 * it is no sign of its end, and the entries that expire in it would be dropped. */
static void
test_reply_to_an_earlier_call_is_no_recovery (void)
{
  GgOutageGrace g = { 0 };
  gg_outage_grace_note_outage (&g, 1000);
  gg_outage_grace_note_recovery (&g, 900, 2900);
  gg_outage_grace_note_outage (&g, 3000);
  gg_outage_grace_note_recovery (&g, 4000, 4001);
  CU_ASSERT_TRUE (gg_outage_grace_is_active (&g, 5000));
}

/* Guards against runners that are dropped since their entries are missing from a restored store,
 * and against a runner that leaves just then and is kept. */
static void
test_restore_covers_lists_only (void)
{
  GgOutageGrace g = { 0 };
  gg_outage_grace_note_restored (&g, 1000);
  CU_ASSERT (gg_outage_grace_get_list_end_ms (&g) > 3000);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&g, 1001));
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "long outage has a grace period", test_long_outage_has_a_grace_period },
    { "short interruption has none", test_short_interruption_has_none },
    { "restore covers lists only", test_restore_covers_lists_only },
    { "reply to an earlier call is no recovery", test_reply_to_an_earlier_call_is_no_recovery },
  };
  return gg_test_run ("outage grace", cases, G_N_ELEMENTS (cases));
}
