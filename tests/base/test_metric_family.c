/* Metric families: cumulative buckets, and the limit on label values, which callers or runners may
 * choose freely and which would otherwise use unlimited memory. */
#include "base/metric_family.h"
#include "test_main.h"

#include <string.h>

static void
test_histogram (void)
{
  static GgMetricFamily f = GG_HISTOGRAM_FAMILY ("t_ms", "Test", "kind");
  gg_metric_family_observe (&f, "a", 15);
  gg_metric_family_observe (&f, "a", 700);
  gg_metric_family_observe (&f, "a", 99999);
  GString *text = g_string_new (NULL);
  gg_metric_families_expose (text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "# TYPE t_ms histogram\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "t_ms_bucket{kind=\"a\",le=\"10\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "t_ms_bucket{kind=\"a\",le=\"20\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "t_ms_bucket{kind=\"a\",le=\"20000\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "t_ms_bucket{kind=\"a\",le=\"+Inf\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "t_ms_sum{kind=\"a\"} 100714\n"));
  g_string_free (text, TRUE);
}

static void
test_label_values_are_limited (void)
{
  static GgMetricFamily f = GG_COUNTER_FAMILY ("t_total", "Test", "route");
  for (guint i = 0; i < 1000; i++)
    {
      char *label = g_strdup_printf ("r%u", i);
      gg_metric_family_add (&f, label, 1);
      g_free (label);
    }
  CU_ASSERT_EQUAL (gg_metric_family_get (&f, "r0"), 1);
  CU_ASSERT_EQUAL (gg_metric_family_get (&f, "r999"), 0);
  CU_ASSERT_EQUAL (gg_metric_family_get (&f, "other"), 1000 - GG_METRIC_MAX_LABELS);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "histogram", test_histogram },
    { "label values are limited", test_label_values_are_limited },
  };
  return gg_test_run ("metric family", cases, G_N_ELEMENTS (cases));
}
