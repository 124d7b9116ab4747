/** @file
 * The period that a runner names in Retry-After as it refuses a request of this instance: it gets
 * no request until the end of the period, then one, and two more for each that succeeds. Times are
 * monotonic. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Zero-initialised: the runner has named no period. */
typedef struct
{
  uint64_t until_ms;     /**< No request before then. */
  gboolean is_returning; /**< Requests are counted, from until_ms on. */
  uint32_t n_allowed;    /**< Requests that may be sent before another one succeeds. */
  uint32_t n_successes;  /**< Since until_ms. */
  uint64_t sent_ms;      /**< Of the latest request since until_ms. */
} GgRetryAfter;

/** Records a period that the runner has named.
 * @param random spreads the return of the instances over some time. */
void gg_retry_after_note (GgRetryAfter *self, uint64_t period_ms, uint32_t random, uint64_t now_ms);

/** Whether a period is under way. */
gboolean gg_retry_after_is_active (const GgRetryAfter *self, uint64_t now_ms);

/** Whether a request may be sent to the runner now. */
gboolean gg_retry_after_may_send (const GgRetryAfter *self, uint64_t now_ms);

/** Records a request that is sent to the runner. */
void gg_retry_after_note_sent (GgRetryAfter *self, uint64_t now_ms);

/** Records that a request which was sent at @p sent_ms succeeded. */
void gg_retry_after_note_success (GgRetryAfter *self, uint64_t sent_ms);
