/** @file
 * Keeps the fleet what the runners' entries in the store say. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgRunnerFollower GgRunnerFollower;

GgRunnerFollower *gg_runner_follower_create (GgRouter *router);
void gg_runner_follower_destroy (GgRunnerFollower *self);
