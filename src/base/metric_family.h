/** @file
 * Counters and histograms whose labels are known at run time, with text exposition. The number of
 * label values is limited; further values are counted under "other". Not thread-safe.
 *
 * A family is a static object that registers itself on first use:
 * @code
 * static GgMetricFamily ended = GG_COUNTER_FAMILY ("greengage_x_total", "Ended", "reason");
 * gg_metric_family_add (&ended, "busy", 1);
 * @endcode */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Maximum number of label values per family before further ones fall under "other". */
#define GG_METRIC_MAX_LABELS 200

typedef enum
{
  GG_METRIC_COUNTER,
  GG_METRIC_HISTOGRAM, /**< Of milliseconds. */
} GgMetricType;

typedef struct _GgMetricFamily GgMetricFamily;

struct _GgMetricFamily
{
  const char *name;
  const char *help;
  const char *label; /**< Name of the label. */
  GgMetricType type;
  GHashTable *series; /* label value -> Series; NULL before the first use */
  GgMetricFamily *next;
};

#define GG_COUNTER_FAMILY(n, h, l)                                                                 \
  {                                                                                                \
    .name = (n), .help = (h), .label = (l), .type = GG_METRIC_COUNTER                              \
  }
#define GG_HISTOGRAM_FAMILY(n, h, l)                                                               \
  {                                                                                                \
    .name = (n), .help = (h), .label = (l), .type = GG_METRIC_HISTOGRAM                            \
  }

void gg_metric_family_add (GgMetricFamily *self, const char *label_value, uint64_t delta);

/** Counts one value in the histogram. */
void gg_metric_family_observe (GgMetricFamily *self, const char *label_value, uint64_t value_ms);

/** Returns the count of one label value; 0 if it has none. */
uint64_t gg_metric_family_get (const GgMetricFamily *self, const char *label_value);

/** Appends all families that have been used, in the text exposition format. */
void gg_metric_families_expose (GString *text_out);
