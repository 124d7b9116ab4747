/** @file
 * Hands out permits for runners that have named a rate limit (see rate_limit.h). One instance
 * allocates the permits of a runner for all others (see allocator_election.h), at the rate of the
 * limit; whoever takes its place begins without any. So the sum over all instances keeps to the
 * limit however many they are and whatever they know of each other. Times are CLOCK_BOOTTIME. */
#pragma once

#include "core/rate_limit.h"

typedef struct _GgLimitAllocator GgLimitAllocator;

typedef struct
{
  uint32_t runner_hash;
  GgLimitEvidence evidence;
} GgAllocatedLimit;

GgLimitAllocator *gg_limit_allocator_create (void);
void gg_limit_allocator_destroy (GgLimitAllocator *self);

/** Records what an instance reports.
 * @param is_first_hand whether the instance had it from an answer of the runner; otherwise it
 *   counts only if nothing is known of the runner, as after a restart of the allocator.
 * @return whether the limit has changed. */
gboolean gg_limit_allocator_note (GgLimitAllocator *self,
                                  uint32_t runner_hash,
                                  const GgLimitEvidence *evidence,
                                  gboolean is_first_hand,
                                  uint64_t now_ms);

/** Returns what is known of a runner; a time of 0 if that is nothing. */
GgLimitEvidence gg_limit_allocator_get (const GgLimitAllocator *self, uint32_t runner_hash);

/** Hands out permits. What is available is divided among the requesters by their needs.
 * @param requester identifies the instance.
 * @return their number, 0 to @p need. */
uint32_t gg_limit_allocator_grant (GgLimitAllocator *self,
                                   uint32_t runner_hash,
                                   uint32_t requester,
                                   uint32_t need,
                                   uint64_t now_ms);

/** Discards the permits that have accumulated, as this instance was not the allocator for a
 * while. */
void gg_limit_allocator_empty (GgLimitAllocator *self, uint64_t now_ms);

/** Drops runners without requests, and limits that have ended, after a while. */
void gg_limit_allocator_expire (GgLimitAllocator *self, uint64_t now_ms);

/** Whether no runner with a limit is known. */
gboolean gg_limit_allocator_is_empty (const GgLimitAllocator *self);

/** Appends a GgAllocatedLimit for each known runner, limits that have just ended included. */
void gg_limit_allocator_list (const GgLimitAllocator *self, GArray *out);
