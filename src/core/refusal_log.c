#include "core/refusal_log.h"

#define MS_PER_S 1000.0
/* Enough to see which clients are refused, and why: 25 lines of 0.3 KB a second are 0.6 GB a day.
 */
#define LINES_PER_S 20
#define BURST_LINES 20
/* A kind without a line for so long has one in any case: a flood of one kind must not hide the
 * others. */
#define KIND_INTERVAL_MS 1000

static void
refill (GgRefusalLog *self, uint64_t now_ms)
{
  double n_new = (double) (now_ms - self->filled_ms) * LINES_PER_S / MS_PER_S;
  self->n_used = MAX (self->n_used - n_new, 0);
  self->filled_ms = now_ms;
}

gboolean
gg_refusal_log_admit (GgRefusalLog *self, GgRefusalKind kind, uint64_t now_ms)
{
  if (kind == GG_REFUSAL_NONE)
    return TRUE;
  refill (self, now_ms);
  gboolean is_first = !self->is_seen[kind] || now_ms - self->logged_ms[kind] >= KIND_INTERVAL_MS;
  if (!is_first && self->n_used + 1 > BURST_LINES)
    {
      self->n_left_out++;
      return FALSE;
    }
  /* The first lines of kinds may exceed the bucket, but are no debt. */
  self->n_used = MIN (self->n_used + 1, BURST_LINES);
  self->is_seen[kind] = TRUE;
  self->logged_ms[kind] = now_ms;
  return TRUE;
}

uint64_t
gg_refusal_log_take_left_out (GgRefusalLog *self)
{
  uint64_t n = self->n_left_out;
  self->n_left_out = 0;
  return n;
}
