/** @file
 * The rate limit that a runner names in its answers, as one instance knows it, and the permits that
 * this instance holds: while a limit is in force, each send to the runner takes a permit. Permits
 * come from one allocator for all instances (see limit_allocator.h), since a small limit can't be
 * divided into shares of many instances. Times are CLOCK_BOOTTIME, so that permits expire while
 * this machine is suspended. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** What an answer of the runner shows. */
typedef struct
{
  gboolean is_limited;
  uint32_t limit_milli; /**< Requests per 1,000 s that the runner takes from all instances. */
  uint64_t time_ms;     /**< With a limit: when the answer was received. Without: when its request
                         * was sent, so that a late answer from before the limit does not end it.
                         * 0: nothing is known. */
} GgLimitEvidence;

/** How long a permit is valid, counted from the sending of the request for it. */
#define GG_PERMIT_MS 1600
#define GG_PERMIT_MAX_BATCHES 12

typedef struct
{
  uint32_t n;
  uint64_t until_ms;
} GgPermitBatch;

typedef struct
{
  GgLimitEvidence own;    /**< From answers to this instance. */
  GgLimitEvidence shared; /**< From the allocator. */
  uint64_t ended_ms;      /**< Time of the evidence that ended the last limit; 0 for none. */
  GgPermitBatch batches[GG_PERMIT_MAX_BATCHES];
  double demand;        /**< Requests that would have used the runner, decaying over a second. */
  uint64_t demand_ms;   /**< When it was last decayed. */
  uint64_t reported_ms; /**< Time of the own evidence that was reported last. */
} GgRateLimit;

/** Returns the newest evidence. */
const GgLimitEvidence *gg_rate_limit_get (const GgRateLimit *self);

/** Whether sends need permits. */
gboolean gg_rate_limit_is_in_force (const GgRateLimit *self);

/** Whether a limit has ended so long ago that nothing needs to be kept of it. */
gboolean gg_rate_limit_is_obsolete (const GgRateLimit *self, uint64_t now_ms);

/** Records evidence from an answer to this instance, or from the allocator. Older evidence than the
 * known one is ignored.
 * @return whether the limit that is in force has changed. */
gboolean gg_rate_limit_note_own (GgRateLimit *self, const GgLimitEvidence *evidence);
gboolean gg_rate_limit_note_shared (GgRateLimit *self, const GgLimitEvidence *evidence);

/** Whether a request may be sent to the runner now. */
gboolean gg_rate_limit_may_send (const GgRateLimit *self, uint64_t now_ms);

/** Takes a permit, if one is needed. */
void gg_rate_limit_take (GgRateLimit *self, uint64_t now_ms);

/** Adds permits that are valid until @p until_ms. */
void gg_rate_limit_add_permits (GgRateLimit *self, uint32_t n, uint64_t until_ms);

/** Counts a request that would have used the runner. */
void gg_rate_limit_note_demand (GgRateLimit *self, uint64_t now_ms);

/** Records that a request waits, which may use the runner: permits for one request at least. */
void gg_rate_limit_note_waiting (GgRateLimit *self, uint64_t now_ms);

/** Returns the number of permits to request, beyond those that this instance holds. */
uint32_t gg_rate_limit_get_need (const GgRateLimit *self, uint64_t now_ms);
