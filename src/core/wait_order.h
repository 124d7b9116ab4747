/** @file
 * Order and length of a queue of requests that wait for room. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** One request that waits. */
typedef struct
{
  uint32_t priority; /**< 0 is the highest. */
  uint64_t begun_ms; /**< When it came (monotonic). */
  uint64_t goal_ms;  /**< Its latency objective. */
} GgWaiter;

/** Whether @p a goes before @p b at @p now_ms: what can still meet its objective goes before what
 * can't, then priority, then arrival. */
gboolean gg_wait_order_is_before (const GgWaiter *a, const GgWaiter *b, uint64_t now_ms);

/** Whether a request that would wait behind @p n_waiting others should wait at all.
 * @param n_per_s requests that have found room lately, per second. */
gboolean gg_wait_order_may_enter (guint n_waiting, double n_per_s);

/** Longest wait in milliseconds; callers leave soon after. */
uint64_t gg_wait_order_get_limit_ms (void);
