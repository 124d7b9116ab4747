/** @file
 * Runners as this process knows them, with the work that it and its peers have given them. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Half-open range of layers. */
typedef struct
{
  uint32_t first_layer;
  uint32_t end_layer;
} GgLayerRange;

/** What a runner says of itself. Strings are owned by the record. */
typedef struct
{
  char *id;
  char *address; /**< "IP:PORT" */
  char *service;
  char *data_centre;
  char *accelerator; /**< NULL for a plain service. */
  uint64_t born_ms;  /**< Wall-clock start; a new one means that the runner began anew. */
  uint32_t slots;
  gboolean is_leaving;
  GgLayerRange range; /**< Layers that it holds; empty for none. */
} GgRunnerRecord;

void gg_runner_record_copy (GgRunnerRecord *dest, const GgRunnerRecord *source);
void gg_runner_record_clear (GgRunnerRecord *self);

/** Work in progress at a runner. */
typedef struct
{
  uint32_t n_requests;   /**< Requests that pass through it. */
  uint32_t n_first;      /**< Of these, those that it takes as the first runner. */
  uint64_t token_layers; /**< Request memory, in tokens x layers. */
  uint32_t n_misses; /**< Sends of late that it refused for another reason than want of memory, or
                      * that brought no answer. Set in what instances tell each other only; the
                      * own ones are counted by GgFleetRunner. */
} GgRunnerLoad;

/** Adds @p more to a sum. */
void gg_runner_load_add (GgRunnerLoad *self, const GgRunnerLoad *more);

typedef struct _GgFleetRunner GgFleetRunner;

/** One runner; reference counted, so that a request may outlast its entry. */
struct _GgFleetRunner
{
  int refs;
  GgRunnerRecord record;
  GgRunnerLoad own;            /**< Given by this process. */
  GgRunnerLoad peers;          /**< Given by other instances, as they said last. */
  GgLayerRange pledged;        /**< What it was ordered to hold, as long as its entry shows another
                                * range; empty for none. */
  uint64_t pledged_until_ms;   /**< The pledge counts until then (monotonic). */
  gboolean is_listed;          /**< FALSE once its entry is gone. */
  uint32_t failures;           /**< In a row. */
  uint64_t suspended_until_ms; /**< Receives no new work before (monotonic). */
  uint32_t refusals;           /**< In a row. */
  uint64_t refused_ms;         /**< When the latest one came (monotonic). */
  uint32_t misses;             /**< In a row, other than for want of memory. */
  uint64_t missed_ms;          /**< When the latest one came (monotonic). */
  uint32_t heard_misses;       /**< Misses of late at other instances. */
  uint64_t doubted_until_ms;   /**< Because of these it receives none before (monotonic). */
  uint64_t full_until_ms;      /**< Refused work; receives none before (monotonic). */
};

GgFleetRunner *gg_fleet_runner_ref (GgFleetRunner *self);
void gg_fleet_runner_unref (GgFleetRunner *self);

/** Failures in a row after which a runner counts as lost, although its entry still stands: one that
 * crashes comes back empty. */
#define GG_FLEET_LOST_FAILURES 2

/** Whether new work may go to it. */
gboolean gg_fleet_runner_is_usable (const GgFleetRunner *self, uint64_t now_ms);

/** Notes what the runner was ordered to hold: layers that it gives up take no new work from then
 * on, before its entry shows that they are gone. */
void gg_fleet_runner_assign_range (GgFleetRunner *self, const GgLayerRange *range, uint64_t now_ms);

/** Returns the layers for which it takes new work: those that it holds and is to go on holding. */
GgLayerRange gg_fleet_runner_get_range (const GgFleetRunner *self, uint64_t now_ms);

/** Counts a failure and suspends the runner for a time that doubles with each one in a row. */
void gg_fleet_runner_fail (GgFleetRunner *self, uint64_t now_ms);

/** Notes a good answer to a request that was sent at @p sent_ms. A refusal that came after that
 * still counts: a runner that is leaving goes on answering what it has. */
void gg_fleet_runner_succeed (GgFleetRunner *self, uint64_t sent_ms);

/** Counts a refusal. The first ones mean that the runner is full for a moment; one that goes on
 * refusing is leaving, or lacks memory for longer, and is left alone for longer.
 * @param is_full whether its memory is nearly taken, which explains the refusal. */
void gg_fleet_runner_refuse (GgFleetRunner *self, gboolean is_full, uint64_t now_ms);

/** Returns the misses of this process that others should know of: those in a row, for about a
 * second after the latest. */
uint32_t gg_fleet_runner_get_misses (const GgFleetRunner *self, uint64_t now_ms);

/** Takes the number of misses of late at other instances. A runner that is lost or leaving fails
 * each of them, so that each need not find out by itself. */
void gg_fleet_runner_note_peer_misses (GgFleetRunner *self, uint32_t n_misses, uint64_t now_ms);

typedef struct _GgFleet GgFleet;

GgFleet *gg_fleet_create (void);
void gg_fleet_destroy (GgFleet *self);

/** Adds or updates a runner; takes the contents of @p record.
 * @return TRUE if more than nothing changed. */
gboolean gg_fleet_put (GgFleet *self, GgRunnerRecord *record);

/** Takes a runner out of use; work in progress goes on.
 * @return TRUE if it was known. */
gboolean gg_fleet_remove (GgFleet *self, const char *id);

GgFleetRunner *gg_fleet_find (const GgFleet *self, const char *id);
GgFleetRunner *gg_fleet_find_address (const GgFleet *self, const char *address);
guint gg_fleet_get_size (const GgFleet *self);

/** Runners in order of id; valid until the next change. */
GgFleetRunner *gg_fleet_get (const GgFleet *self, guint i);

/** Grows with each change of a record. */
uint64_t gg_fleet_get_revision (const GgFleet *self);
