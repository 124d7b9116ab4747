/** @file
 * Process-wide counters and gauges, exported in the text exposition format. Thread-safe.
 *
 * A counter is a static object that registers itself on first use:
 * @code
 * static GgCounter retries = GG_COUNTER ("greengage_retries_total", "Repeated calls");
 * gg_counter_add (&retries, 1);
 * @endcode */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

typedef struct _GgCounter GgCounter;

struct _GgCounter
{
  const char *name; /**< Metric name; may end in labels, as in "x_total{reason=\"busy\"}". */
  const char *help; /**< Description, one line. */
  gboolean is_gauge;
  _Atomic int64_t value;
  atomic_flag registered;
  GgCounter *next;
};

#define GG_COUNTER(n, h)                                                                           \
  {                                                                                                \
    .name = (n), .help = (h), .registered = ATOMIC_FLAG_INIT                                       \
  }
#define GG_GAUGE(n, h)                                                                             \
  {                                                                                                \
    .name = (n), .help = (h), .is_gauge = TRUE, .registered = ATOMIC_FLAG_INIT                     \
  }

/** Adds @p delta; for a gauge it may be negative. */
void gg_counter_add (GgCounter *self, int64_t delta);

/** Sets a gauge. */
void gg_counter_set (GgCounter *self, int64_t value);

int64_t gg_counter_get (GgCounter *self);

/** Exports a counter with value 0 before its first use. */
void gg_counter_register (GgCounter *self);

/** Appends all registered counters in the text exposition format. */
void gg_counters_expose (GString *text_out);

/** Returns the sum of registered counters whose name, without labels, is @p name. */
int64_t gg_counters_sum (const char *name);
