/** @file
 * Keeps the router's configuration in step with the key in the store, and records at what time it
 * was last proven to be the newest one. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgConfigWatcher GgConfigWatcher;

GgConfigWatcher *gg_config_watcher_create (GgRouter *router);
void gg_config_watcher_destroy (GgConfigWatcher *self);

/** Sets whether a delegate watches the configuration for this instance. */
void gg_config_watcher_set_delegated (GgConfigWatcher *self, gboolean is_delegated);

/** Whether this instance learns of changes in time, so that others may rely on it: its call is not
 * overdue, and calls to the store have not failed for longer than a short grace period. */
gboolean gg_config_watcher_is_healthy (const GgConfigWatcher *self);

/** Returns the known revision of the configuration's key; 0 for none. */
uint64_t gg_config_watcher_get_revision (const GgConfigWatcher *self);

/** Notes a source's report that @p revision was the newest one at @p proven_boot_ms (CLOCK_BOOTTIME
 * of this instance; 0 for never). If that shows the end of an outage, a registered instance reads
 * the configuration from the store at once. */
void
gg_config_watcher_note_proof (GgConfigWatcher *self, uint64_t revision, uint64_t proven_boot_ms);

/** Notes a source's report that there is a configuration of @p revision. If it is newer than the
 * known one, it is read from the source, or from the store if that fails; ignored unless the watch
 * is delegated.
 * @param source address of the source. */
void gg_config_watcher_note_revision (GgConfigWatcher *self, uint64_t revision, const char *source);

/** Returns the configuration as a document for other instances, owned by the caller; NULL if none
 * is known. */
GByteArray *gg_config_watcher_build_document (const GgConfigWatcher *self);
