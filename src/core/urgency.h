/** @file
 * Ranks of the priorities that requests of a service have, and the part of the runners' memory that
 * each rank may use. A part of the memory is reserved for more urgent requests (trunk reservation):
 * when a service is full, patient requests wait or are refused first, at all instances alike, since
 * each of them sees the same use of memory. While there is room, or if all requests have one
 * priority, nothing is reserved. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Priorities from this one on have the same rank. */
#define GG_URGENCY_MAX_PRIORITIES 8

/** Recent requests of one service by priority; zero-initialised. */
typedef struct
{
  double counts[GG_URGENCY_MAX_PRIORITIES]; /**< Decaying. */
  uint64_t decayed_ms;                      /**< Monotonic. */
} GgUrgency;

/** Counts a request.
 * @param priority 0 is the highest. */
void gg_urgency_note (GgUrgency *self, uint32_t priority, uint64_t now_ms);

/** Returns how many more urgent priorities a notable part of the recent requests has. */
guint gg_urgency_get_rank (const GgUrgency *self, uint32_t priority);

/** Returns how many ranks the recent requests have, 1 at least. */
guint gg_urgency_count_ranks (const GgUrgency *self);

/** Returns the part of a runner's request memory up to which requests of a rank are accepted, 0 to
 * 1. */
double gg_urgency_get_usable_memory (guint rank);
