/** @file
 * Keeps the router's configuration the one that the operators wrote last, and knows how old that
 * knowledge is. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgConfigWatcher GgConfigWatcher;

GgConfigWatcher *gg_config_watcher_create (GgRouter *router);
void gg_config_watcher_destroy (GgConfigWatcher *self);

/** Tells whether another instance watches the configuration for this one. */
void gg_config_watcher_set_delegated (GgConfigWatcher *self, gboolean is_fed);

/** Whether this instance hears of changes in time, so that others may rely on it: its call is not
 * overdue, and the store has not refused it for more than a moment. */
gboolean gg_config_watcher_is_healthy (const GgConfigWatcher *self);

/** Returns the revision of the configuration's key as it is known here; 0 for none. */
uint64_t gg_config_watcher_get_revision (const GgConfigWatcher *self);

/** Takes the word of another instance that @p revision was the newest one at @p proven_boot_ms
 * (CLOCK_BOOTTIME of this instance; 0 for never). */
void
gg_config_watcher_take_proof (GgConfigWatcher *self, uint64_t revision, uint64_t proven_boot_ms);

/** Takes the word that there is a configuration of @p revision: while this instance does not watch,
 * it reads one that is newer than its own. */
void gg_config_watcher_take_revision (GgConfigWatcher *self, uint64_t revision);
