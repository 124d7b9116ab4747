#include "core/backoff.h"

#define GG_BACKOFF_MAX_SHIFT 20

uint64_t
gg_backoff_next_ms (GgBackoff *self, uint64_t random)
{
  uint32_t shift = self->failures < GG_BACKOFF_MAX_SHIFT ? self->failures : GG_BACKOFF_MAX_SHIFT;
  uint64_t bound = (uint64_t) self->base_ms << shift;
  if (bound > self->max_ms)
    bound = self->max_ms;
  if (bound == 0)
    bound = 1;
  self->failures++;
  return 1 + random % bound;
}

void
gg_backoff_reset (GgBackoff *self)
{
  self->failures = 0;
}
