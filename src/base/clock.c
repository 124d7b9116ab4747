#include "base/clock.h"

#include <time.h>

static uint64_t
read_clock_us (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (uint64_t) ts.tv_sec * 1000000 + (uint64_t) ts.tv_nsec / 1000;
}

uint64_t
gg_clock_now_ms (void)
{
  return read_clock_us (CLOCK_MONOTONIC) / 1000;
}

uint64_t
gg_clock_now_us (void)
{
  return read_clock_us (CLOCK_MONOTONIC);
}

uint64_t
gg_clock_boot_ms (void)
{
  return read_clock_us (CLOCK_BOOTTIME) / 1000;
}

uint64_t
gg_clock_wall_ms (void)
{
  return read_clock_us (CLOCK_REALTIME) / 1000;
}
