/** @file
 * The runners known to this process: their published records, their load and their recent
 * failures. */
#pragma once

#include "core/rate_limit.h"
#include "core/retry_after.h"
#include "core/runner_loss.h"

#include <glib.h>
#include <stdint.h>

/** Half-open range of layers. */
typedef struct
{
  uint32_t first_layer;
  uint32_t end_layer;
} GgLayerRange;

/** Longest text in a record: instances pass no longer one to each other. */
#define GG_RUNNER_RECORD_MAX_TEXT_BYTES 256

/** A runner's published entry. Strings are owned by the record. */
typedef struct
{
  char *id;
  char *address; /**< "IP:PORT" */
  char *service;
  char *data_centre;
  char *accelerator;   /**< NULL for a plain service. */
  uint64_t started_ms; /**< Wall-clock start time; a different one means that it restarted. */
  uint32_t slots;
  gboolean is_leaving;
  GgLayerRange range; /**< Layers that it has loaded; empty for none. */
} GgRunnerRecord;

void gg_runner_record_copy (GgRunnerRecord *dest, const GgRunnerRecord *source);
void gg_runner_record_clear (GgRunnerRecord *self);

/** Returns whether a text may stand in a record. An empty one may not, since in messages between
 * instances it stands for a missing text, nor one with control characters, since ids and addresses
 * are sent in header fields. */
gboolean gg_runner_record_is_text_valid (const char *text);

/** Load of a runner: requests in progress and recent misses. */
typedef struct
{
  uint32_t n_requests;   /**< Requests whose path includes it. */
  uint32_t n_first_hop;  /**< Of these, requests whose path starts at it. */
  uint64_t token_layers; /**< Request memory, in tokens x layers. */
  uint32_t n_misses; /**< Recent sends that it refused for a reason other than lack of memory, or
                      * that brought no answer. Only set in load reports between instances; this
                      * process counts its own in GgFleetRunner. */
} GgRunnerLoad;

/** Adds @p more to a sum. */
void gg_runner_load_add (GgRunnerLoad *self, const GgRunnerLoad *more);

/** Removes from a sum what was added to it before. */
void gg_runner_load_subtract (GgRunnerLoad *self, const GgRunnerLoad *less);

typedef struct _GgFleetRunner GgFleetRunner;

/** One runner; reference counted, since a request may outlive the runner's entry. */
struct _GgFleetRunner
{
  int refs;
  GgRunnerRecord record;
  GgRunnerLoad own;            /**< Load from this process. */
  GgRunnerLoad peers;          /**< Load from other instances, by their latest reports. */
  GgLayerRange assigned_range; /**< Range that it was ordered to load and that its entry may not
                                * show yet; empty for none. */
  uint64_t assigned_until_ms;  /**< The assignment is valid until then (monotonic). */
  gboolean is_listed;          /**< FALSE once its entry is removed. */
  uint32_t failures;           /**< Consecutive failures. */
  uint64_t suspended_until_ms; /**< After a failure, no new work before then (monotonic). */
  uint32_t refusals;           /**< Consecutive refusals for any reason. */
  uint64_t last_refusal_ms;    /**< Time of the latest refusal (monotonic). */
  uint32_t misses;             /**< Consecutive failures and refusals, without refusals for lack of
                                * memory. */
  uint64_t last_miss_ms;       /**< Time of the latest miss (monotonic). */
  uint32_t peer_misses;        /**< Recent misses that other instances report. */
  uint64_t avoided_until_ms;   /**< Due to peer_misses, no new work before then (monotonic). */
  uint64_t paused_until_ms;    /**< After a refusal, no new work before then (monotonic). */
  GgRetryAfter retry_after;    /**< In the runner's refusals. */
  GgRateLimit *limit;          /**< NULL if the runner has never named one. */

  uint32_t silent_failures;   /**< Of the failures, those for silence. */
  uint64_t silent_until_ms;   /**< As it is silent, no new work before then (monotonic). */
  uint64_t silent_ms;         /**< When it was last known to be silent (monotonic). */
  uint64_t silent_counted_ms; /**< When this was last counted as a failure (monotonic). */

  GgRunnerLoss loss; /**< Whether its failures mean that it is lost. */
};

GgFleetRunner *gg_fleet_runner_ref (GgFleetRunner *self);
void gg_fleet_runner_unref (GgFleetRunner *self);

/** Consecutive failures after which a runner may be lost although its entry still exists: a runner
 * that crashed restarts without layers. It is probed then (core/runner_loss.h). */
#define GG_FLEET_LOST_FAILURES 2

/** Returns whether the runner may receive new work. */
gboolean gg_fleet_runner_is_usable (const GgFleetRunner *self, uint64_t now_ms);

/** Returns whether the runner's rate limit allows a send now (CLOCK_BOOTTIME). */
gboolean gg_fleet_runner_has_permit (const GgFleetRunner *self, uint64_t boot_ms);

/** Takes a permit for a send, if the runner has a rate limit. */
void gg_fleet_runner_take_permit (GgFleetRunner *self, uint64_t boot_ms);

/** Records the range that the runner was ordered to load. Layers that it is to unload receive no
 * new work from then on, even while its entry still shows them. */
void gg_fleet_runner_assign_range (GgFleetRunner *self, const GgLayerRange *range, uint64_t now_ms);

/** Returns the layers for which the runner may receive new work: those that it has loaded and is
 * to keep. */
GgLayerRange gg_fleet_runner_get_range (const GgFleetRunner *self, uint64_t now_ms);

/** Counts a failure and suspends the runner for a time that doubles with each consecutive one. */
void gg_fleet_runner_note_failure (GgFleetRunner *self, uint64_t now_ms);

/** Records that the runner did not answer a query, or that another one reports it as unresponsive.
 * During one silence it counts as a failure once a second: a runner may be silent for that long and
 * go on, and two failures make the placement replace it.
 * @param until_ms when the next query will have ended; no new work before then.
 * @return whether it was counted. */
gboolean gg_fleet_runner_note_silent (GgFleetRunner *self, uint64_t until_ms, uint64_t now_ms);

/** Records an answered query, or other bytes from the runner: its silence no longer counts. */
void gg_fleet_runner_note_heard (GgFleetRunner *self);

/** Records a successful answer to a request that was sent at @p sent_ms. A later refusal still
 * counts, since a runner that is leaving completes the requests that it has. */
void gg_fleet_runner_note_success (GgFleetRunner *self, uint64_t sent_ms);

/** Counts a refusal and pauses the runner for a time that doubles with each consecutive one. The
 * first refusals mean that the runner is full for a moment; one that keeps refusing is leaving or
 * short of memory for longer.
 * @param is_full whether the runner's memory is nearly used up, which explains the refusal: it is
 *   then not counted as a miss. */
void gg_fleet_runner_note_refusal (GgFleetRunner *self, gboolean is_full, uint64_t now_ms);

/** Returns the consecutive misses of this process to report to other instances; 0 if the latest
 * one is more than about a second old. */
uint32_t gg_fleet_runner_get_misses (const GgFleetRunner *self, uint64_t now_ms);

/** Records the number of recent misses at other instances. If it rises, the runner is avoided for a
 * while, so that not every instance has to find out by itself that it is lost or leaving. */
void gg_fleet_runner_note_peer_misses (GgFleetRunner *self, uint32_t n_misses, uint64_t now_ms);

typedef struct _GgFleet GgFleet;

/** Clears the failures, silences and misses that this process has counted against the runners of a
 * service, or against all for NULL: a partition of this instance was their cause. */
void gg_fleet_clear_failures (GgFleet *self, const char *service);

/** Returns the time until the first of a service's runners takes requests again, in milliseconds,
 * if all of them have named a Retry-After; 0 otherwise. Model runners count that can be the first
 * on a path. */
uint64_t gg_fleet_get_retry_after_ms (const GgFleet *self, const char *service, uint64_t now_ms);

GgFleet *gg_fleet_create (void);
void gg_fleet_destroy (GgFleet *self);

/** Adds or updates a runner; takes ownership of the contents of @p record. One that was leaving
 * stays so until it starts again.
 * @return TRUE if anything changed. */
gboolean gg_fleet_put (GgFleet *self, GgRunnerRecord *record);

/** Marks a process of a runner as leaving, if its entry is known. */
void gg_fleet_set_leaving (GgFleet *self, const char *id, uint64_t started_ms);

/** Removes a runner; requests in progress at it continue.
 * @return TRUE if it was known. */
gboolean gg_fleet_remove (GgFleet *self, const char *id);

/** The look-ups return a borrowed runner, or NULL. */
GgFleetRunner *gg_fleet_find (const GgFleet *self, const char *id);
GgFleetRunner *gg_fleet_find_address (const GgFleet *self, const char *address);
guint gg_fleet_get_size (const GgFleet *self);

/** Returns whether a runner that started later has the id or the address of @p record. An earlier
 * start proves nothing: the store may be restored from a copy, and the entry of a runner that ended
 * may remain for a while. */
gboolean gg_fleet_is_replaced (const GgFleet *self, const GgRunnerRecord *record);

/** Returns the runner at position @p i in order of id, borrowed; valid until the next change. */
GgFleetRunner *gg_fleet_get (const GgFleet *self, guint i);

/** Returns a number that grows with each change of a record. */
uint64_t gg_fleet_get_revision (const GgFleet *self);
