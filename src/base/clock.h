/** @file
 * Monotonic and wall clock readings. */
#pragma once

#include <stdint.h>

/** Milliseconds of CLOCK_MONOTONIC; the time base of every deadline. */
uint64_t gg_clock_now_ms (void);

/** Microseconds of CLOCK_MONOTONIC. */
uint64_t gg_clock_now_us (void);

/** Milliseconds of CLOCK_BOOTTIME, which also counts while the instance is suspended; the time base
 * of leases and of the age of data received from the platform. */
uint64_t gg_clock_boot_ms (void);

/** Milliseconds since the Unix epoch; only for timestamps that people or other machines read. */
uint64_t gg_clock_wall_ms (void);
