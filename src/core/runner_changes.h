/** @file
 * The latest changes in the list of runners, in order of the store's revision, kept for instances
 * that know an earlier state of it. */
#pragma once

#include "core/fleet.h"

/** One change. */
typedef struct
{
  uint64_t revision; /**< Of the store. */
  gboolean is_gone;  /**< The entry went; of the record, only the id is set. */
  GgRunnerRecord record;
} GgRunnerChange;

void gg_runner_change_clear (GgRunnerChange *self);

typedef struct _GgRunnerChanges GgRunnerChanges;

GgRunnerChanges *gg_runner_changes_create (void);
void gg_runner_changes_destroy (GgRunnerChanges *self);

/** Forgets everything: from now on, changes after @p revision are kept. */
void gg_runner_changes_reset (GgRunnerChanges *self, uint64_t revision);

/** Notes that a runner is listed as @p record says; copied.
 * @param is_changed whether that is news to this process. An entry that is back after it went is
 * kept in any case: it may have been held in use here and dropped elsewhere. */
void gg_runner_changes_put (GgRunnerChanges *self,
                            uint64_t revision,
                            const GgRunnerRecord *record,
                            gboolean is_changed,
                            uint64_t now_ms);

void gg_runner_changes_remove (GgRunnerChanges *self,
                               uint64_t revision,
                               const char *id,
                               uint64_t now_ms);

/** Returns the number of changes after @p revision, with the first one at @p first_out.
 * @return -1 if some of them are forgotten. */
int gg_runner_changes_find (const GgRunnerChanges *self, uint64_t revision, guint *first_out);

/** Returns a change by its position; valid until the next call that is not const. */
const GgRunnerChange *gg_runner_changes_get (const GgRunnerChanges *self, guint i);
