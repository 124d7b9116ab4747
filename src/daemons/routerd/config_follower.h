/** @file
 * Keeps the router's configuration the one that the operators wrote last, and knows how old that
 * knowledge is. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgConfigFollower GgConfigFollower;

GgConfigFollower *gg_config_follower_create (GgRouter *router);
void gg_config_follower_destroy (GgConfigFollower *self);

/** Tells whether another instance watches the configuration for this one. */
void gg_config_follower_set_fed (GgConfigFollower *self, gboolean is_fed);

/** Whether this instance hears of changes in time, so that others may rely on it: its call is not
 * overdue, and the store has not refused it for more than a moment. */
gboolean gg_config_follower_is_well (const GgConfigFollower *self);

/** Returns the revision of the configuration's key as it is known here; 0 for none. */
uint64_t gg_config_follower_get_revision (const GgConfigFollower *self);

/** Takes the word of another instance that @p revision was the newest one at @p proven_boot_ms
 * (CLOCK_BOOTTIME of this instance; 0 for never). */
void
gg_config_follower_take_proof (GgConfigFollower *self, uint64_t revision, uint64_t proven_boot_ms);

/** Takes the word that there is a configuration of @p revision: while this instance does not watch,
 * it reads one that is newer than its own. */
void gg_config_follower_take_revision (GgConfigFollower *self, uint64_t revision);
