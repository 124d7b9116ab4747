#include "core/retry_after.h"

/* A wrong value must not keep a runner out of use for long: a period above the first bound is cut
 * to its half, so that at most two requests are sent in it, and to the second bound. */
#define FULL_PERIOD_MS (60 * 1000)
#define MAX_PERIOD_MS (30 * 60 * 1000)
/* The instances return at different times within this fraction of the period. */
#define SPREAD_FRACTION 4
#define SPREAD_MAX_MS 1000
/* Requests that one success allows: the load doubles with each round. */
#define ALLOWED_PER_SUCCESS 2
#define RETURN_SUCCESSES 8
/* Without a success, one request is sent this often. */
#define RETRY_MS 1000

static uint64_t
limit_period_ms (uint64_t period_ms)
{
  if (period_ms <= FULL_PERIOD_MS)
    return period_ms;
  return MIN (MAX (period_ms / 2, FULL_PERIOD_MS), MAX_PERIOD_MS);
}

void
gg_retry_after_note (GgRetryAfter *self, uint64_t period_ms, uint32_t random, uint64_t now_ms)
{
  uint64_t spread_ms = MIN (period_ms / SPREAD_FRACTION, SPREAD_MAX_MS);
  uint64_t until_ms = now_ms + limit_period_ms (period_ms) + random % (spread_ms + 1);
  if (period_ms == 0 || until_ms <= self->until_ms)
    return;
  *self = (GgRetryAfter){ .until_ms = until_ms, .is_returning = TRUE, .n_allowed = 1 };
}

gboolean
gg_retry_after_is_active (const GgRetryAfter *self, uint64_t now_ms)
{
  return now_ms < self->until_ms;
}

gboolean
gg_retry_after_may_send (const GgRetryAfter *self, uint64_t now_ms)
{
  if (gg_retry_after_is_active (self, now_ms))
    return FALSE;
  return !self->is_returning || self->n_allowed > 0 || now_ms >= self->sent_ms + RETRY_MS;
}

void
gg_retry_after_note_sent (GgRetryAfter *self, uint64_t now_ms)
{
  self->n_allowed -= MIN (self->n_allowed, 1);
  self->sent_ms = now_ms;
}

void
gg_retry_after_note_success (GgRetryAfter *self, uint64_t sent_ms)
{
  if (!self->is_returning || sent_ms < self->until_ms)
    return;
  self->n_allowed += ALLOWED_PER_SUCCESS;
  if (++self->n_successes >= RETURN_SUCCESSES)
    *self = (GgRetryAfter){ 0 };
}
