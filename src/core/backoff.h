/** @file
 * Exponential backoff with full jitter. */
#pragma once

#include <stdint.h>

typedef struct
{
  uint32_t base_ms;
  uint32_t max_ms;
  uint32_t failures;
} GgBackoff;

#define GG_BACKOFF_INIT(base, max)                                                                 \
  {                                                                                                \
    .base_ms = (base), .max_ms = (max), .failures = 0                                              \
  }

/** Returns the next delay in milliseconds, uniform in [1, min (max, base * 2^failures)] and drawn
 * from the random bits @p random; then counts one more failure. */
uint64_t gg_backoff_next_ms (GgBackoff *self, uint64_t random);

void gg_backoff_reset (GgBackoff *self);
