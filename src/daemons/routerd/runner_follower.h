/** @file
 * Keeps the fleet what the runners' entries in the store say. */
#pragma once

#include "core/runner_changes.h"
#include "daemons/routerd/router.h"

typedef struct _GgRunnerFollower GgRunnerFollower;

GgRunnerFollower *gg_runner_follower_create (GgRouter *router);
void gg_runner_follower_destroy (GgRunnerFollower *self);

/** Tells whether another instance watches the entries for this one. */
void gg_runner_follower_set_fed (GgRunnerFollower *self, gboolean is_fed);

/** Returns the revision of the store up to which the entries are known. */
uint64_t gg_runner_follower_get_revision (const GgRunnerFollower *self);

/** Returns the latest changes, borrowed; NULL while the entries are being listed. */
const GgRunnerChanges *gg_runner_follower_get_changes (const GgRunnerFollower *self);

/** While fed: applies changes (GgRunnerChange) up to @p revision; known ones are left out. */
void
gg_runner_follower_take_changes (GgRunnerFollower *self, const GArray *changes, uint64_t revision);

/** While fed: lists all entries, since changes were missed. */
void gg_runner_follower_list (GgRunnerFollower *self);
