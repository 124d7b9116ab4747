/* Guards the load reports between instances: a report with the most entries fits into a datagram,
 * and bytes that are damaged or come from elsewhere cause neither a crash nor a leak. */
#include "adapters/rpc/load_report.h"
#include "test_main.h"

#include <string.h>

static void
fill (GgLoadReport *report, guint n)
{
  gg_load_report_init (report);
  report->instance = strdup ("front-karongi-1");
  report->data_centre = strdup ("karongi");
  report->is_sum = TRUE;
  report->incarnation = 17;
  report->number = 4;
  for (guint i = 0; i < n; i++)
    {
      GgLoadReportEntry entry
          = { .runner_hash = i,
              .load = { .n_requests = i + 1, .n_first_hop = 1, .token_layers = 1ULL << 30 },
              .assigned_range = { 10, 20 } };
      g_array_append_val (report->entries, entry);
    }
}

static void
test_round_trip (void)
{
  char bytes[GG_LOAD_REPORT_MAX_BYTES];
  GgLoadReport sent;
  GgLoadReport got;
  fill (&sent, GG_LOAD_REPORT_MAX_ENTRIES);
  size_t n = gg_load_report_encode (&sent, bytes, sizeof bytes);
  CU_ASSERT_TRUE_FATAL (n > 0);
  CU_ASSERT_TRUE_FATAL (gg_load_report_decode (bytes, n, &got));
  CU_ASSERT_STRING_EQUAL (got.instance, "front-karongi-1");
  CU_ASSERT_STRING_EQUAL (got.data_centre, "karongi");
  CU_ASSERT_TRUE (got.is_sum);
  CU_ASSERT_EQUAL (got.entries->len, GG_LOAD_REPORT_MAX_ENTRIES);
  const GgLoadReportEntry *last
      = &g_array_index (got.entries, GgLoadReportEntry, got.entries->len - 1);
  CU_ASSERT_EQUAL (last->load.n_requests, GG_LOAD_REPORT_MAX_ENTRIES);
  CU_ASSERT_EQUAL (last->load.token_layers, 1ULL << 30);
  CU_ASSERT_EQUAL (last->assigned_range.end_layer, 20);
  gg_load_report_clear (&sent);
  gg_load_report_clear (&got);
}

static void
test_damaged_bytes (void)
{
  char valid[GG_LOAD_REPORT_MAX_BYTES];
  GgLoadReport sent;
  fill (&sent, 5);
  size_t n = gg_load_report_encode (&sent, valid, sizeof valid);
  for (guint32 seed = 1; seed <= 3000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      char bytes[GG_LOAD_REPORT_MAX_BYTES];
      memcpy (bytes, valid, n);
      for (int i = 0; i < 3; i++)
        bytes[g_rand_int_range (rand, 0, (gint32) n)] = (char) g_rand_int_range (rand, 0, 256);
      GgLoadReport got;
      gg_load_report_decode (bytes, (size_t) g_rand_int_range (rand, 0, (gint32) n + 1), &got);
      gg_load_report_clear (&got);
      g_rand_free (rand);
    }
  gg_load_report_clear (&sent);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "round trip", test_round_trip },
    { "damaged bytes", test_damaged_bytes },
  };
  return gg_test_run ("load report", cases, G_N_ELEMENTS (cases));
}
