/** @file
 * Assigns the layers of the models to runners and orders them to load these, while this instance
 * leads. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgPlacementController GgPlacementController;

GgPlacementController *gg_placement_controller_create (GgRouter *router, GgMembership *membership);
void gg_placement_controller_destroy (GgPlacementController *self);
