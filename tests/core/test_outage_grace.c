/* Guards the fleet against an outage in which all entries lapse: dropping every runner at the
 * store's return would refuse all callers for two seconds, keeping one that left would send it
 * work. */
#include "core/outage_grace.h"
#include "test_main.h"

static void
test_long_outage_holds (void)
{
  GgOutageGrace h = { 0 };
  gg_outage_grace_note_outage (&h, 1000);
  gg_outage_grace_note_outage (&h, 4000);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&h, 4500));
  gg_outage_grace_note_recovery (&h, 5000);
  CU_ASSERT_TRUE (gg_outage_grace_is_active (&h, 7000));
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&h, 7300));
  gg_outage_grace_note_recovery (&h, 7300);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&h, 7301));
}

static void
test_cut_watch_does_not_hold (void)
{
  GgOutageGrace h = { 0 };
  gg_outage_grace_note_outage (&h, 1000);
  gg_outage_grace_note_recovery (&h, 1500);
  CU_ASSERT_FALSE (gg_outage_grace_is_active (&h, 1501));
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "long outage holds", test_long_outage_holds },
    { "cut watch does not hold", test_cut_watch_does_not_hold },
  };
  return gg_test_run ("lapse hold", cases, G_N_ELEMENTS (cases));
}
