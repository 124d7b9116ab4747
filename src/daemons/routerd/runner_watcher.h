/** @file
 * Keeps the fleet what the runners' entries in the store say. */
#pragma once

#include "core/runner_changes.h"
#include "daemons/routerd/router.h"

typedef struct _GgRunnerWatcher GgRunnerWatcher;

GgRunnerWatcher *gg_runner_watcher_create (GgRouter *router);
void gg_runner_watcher_destroy (GgRunnerWatcher *self);

/** Tells whether another instance watches the entries for this one. */
void gg_runner_watcher_set_delegated (GgRunnerWatcher *self, gboolean is_fed);

/** Returns the revision of the store up to which the entries are known. */
uint64_t gg_runner_watcher_get_revision (const GgRunnerWatcher *self);

/** Returns the latest changes, borrowed; NULL while the entries are being listed. */
const GgRunnerChanges *gg_runner_watcher_get_changes (const GgRunnerWatcher *self);

/** While fed: applies changes (GgRunnerChange) up to @p revision; known ones are left out. */
void
gg_runner_watcher_take_changes (GgRunnerWatcher *self, const GArray *changes, uint64_t revision);

/** While fed: lists all entries, since changes were missed. */
void gg_runner_watcher_list (GgRunnerWatcher *self);
