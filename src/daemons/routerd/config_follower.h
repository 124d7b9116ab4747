/** @file
 * Keeps the router's configuration the one that the operators wrote last, and knows how old that
 * knowledge is. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgConfigFollower GgConfigFollower;

GgConfigFollower *gg_config_follower_create (GgRouter *router);
void gg_config_follower_destroy (GgConfigFollower *self);
