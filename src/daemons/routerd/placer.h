/** @file
 * Gives the layers of the models to runners, while this instance leads. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgPlacer GgPlacer;

GgPlacer *gg_placer_create (GgRouter *router, GgMembership *membership);
void gg_placer_destroy (GgPlacer *self);
