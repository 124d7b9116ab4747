/** @file
 * Log of recent changes in the list of runners, in order of the store's revision, for instances
 * that know an earlier revision of the list. */
#pragma once

#include "core/fleet.h"

/** One change. */
typedef struct
{
  uint64_t revision;   /**< Revision of the store. */
  gboolean is_removed; /**< The entry was removed; only the id of the record is set. */
  GgRunnerRecord record;
} GgRunnerChange;

void gg_runner_change_clear (GgRunnerChange *self);

typedef struct _GgRunnerChanges GgRunnerChanges;

GgRunnerChanges *gg_runner_changes_create (void);
void gg_runner_changes_destroy (GgRunnerChanges *self);

/** Discards all changes; changes after @p revision are kept from now on. */
void gg_runner_changes_reset (GgRunnerChanges *self, uint64_t revision);

/** Records that a runner is listed with @p record, which is copied.
 * @param is_changed whether the record differs from the one that this process had; if not, the call
 *   has no effect. An entry that is back after its removal is recorded in any case: this process
 *   may have kept the runner in use (see outage_grace.h) while others dropped it. */
void gg_runner_changes_put (GgRunnerChanges *self,
                            uint64_t revision,
                            const GgRunnerRecord *record,
                            gboolean is_changed,
                            uint64_t now_ms);

/** Records that the entry of a runner was removed. */
void gg_runner_changes_remove (GgRunnerChanges *self,
                               uint64_t revision,
                               const char *id,
                               uint64_t now_ms);

/** Finds the changes after @p revision.
 * @param first_out set to the position of the first one.
 * @return their number, or -1 if some of them are no longer kept. */
int gg_runner_changes_find (const GgRunnerChanges *self, uint64_t revision, guint *first_out);

/** Returns a change by its position; valid until the next call that is not const. */
const GgRunnerChange *gg_runner_changes_get (const GgRunnerChanges *self, guint i);
