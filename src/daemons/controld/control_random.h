/** @file
 * Random numbers for jitter and for the choice of peers. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Returns 64 random bits. Thread-safe. */
static inline uint64_t
gg_control_random (void)
{
  return (uint64_t) g_random_int () << 32 | g_random_int ();
}
