/* Guards the fleet against an outage in which all entries lapse: dropping every runner at the
 * store's return would refuse all callers for two seconds, keeping one that left would send it
 * work. */
#include "core/lapse_hold.h"
#include "test_main.h"

static void
test_long_outage_holds (void)
{
  GgLapseHold h = { 0 };
  gg_lapse_hold_note_away (&h, 1000);
  gg_lapse_hold_note_away (&h, 4000);
  CU_ASSERT_FALSE (gg_lapse_hold_is_active (&h, 4500));
  gg_lapse_hold_note_back (&h, 5000);
  CU_ASSERT_TRUE (gg_lapse_hold_is_active (&h, 7000));
  CU_ASSERT_FALSE (gg_lapse_hold_is_active (&h, 7300));
  gg_lapse_hold_note_back (&h, 7300);
  CU_ASSERT_FALSE (gg_lapse_hold_is_active (&h, 7301));
}

static void
test_cut_watch_does_not_hold (void)
{
  GgLapseHold h = { 0 };
  gg_lapse_hold_note_away (&h, 1000);
  gg_lapse_hold_note_back (&h, 1500);
  CU_ASSERT_FALSE (gg_lapse_hold_is_active (&h, 1501));
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
