/** @file
 * Keeps the fleet in step with the runners' entries in the store. */
#pragma once

#include "core/runner_changes.h"
#include "daemons/routerd/router.h"

typedef struct _GgRunnerWatcher GgRunnerWatcher;

GgRunnerWatcher *gg_runner_watcher_create (GgRouter *router);
void gg_runner_watcher_destroy (GgRunnerWatcher *self);

/** Sets whether a delegate watches the entries for this instance. */
void gg_runner_watcher_set_delegated (GgRunnerWatcher *self, gboolean is_delegated);

/** Returns the revision of the store up to which the entries are known. */
uint64_t gg_runner_watcher_get_revision (const GgRunnerWatcher *self);

/** Notes a source's report that no change after @p revision was known at @p proven_boot_ms
 * (CLOCK_BOOTTIME of this instance; 0 for never). */
void
gg_runner_watcher_note_proof (GgRunnerWatcher *self, uint64_t revision, uint64_t proven_boot_ms);

/** Returns the latest changes, borrowed; NULL while the entries are being listed. */
const GgRunnerChanges *gg_runner_watcher_get_changes (const GgRunnerWatcher *self);

/** Applies changes (GgRunnerChange) up to @p revision; those that are known already are skipped.
 * Ignored unless the watch is delegated. */
void
gg_runner_watcher_apply_changes (GgRunnerWatcher *self, const GArray *changes, uint64_t revision);

/** Reads all entries again, since changes were missed: from the source, or from the store if that
 * fails. Ignored unless the watch is delegated.
 * @param source address of the source. */
void gg_runner_watcher_relist (GgRunnerWatcher *self, const char *source);

/** Returns the list of runners as a document for other instances, owned by the caller; NULL while
 * it is not known, or if it is too large for a document. */
GByteArray *gg_runner_watcher_build_document (const GgRunnerWatcher *self);
