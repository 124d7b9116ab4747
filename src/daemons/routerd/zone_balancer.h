/** @file
 * Shares of requests that leave this data centre, for each model service (core/zone_share). */
#pragma once

#include "daemons/routerd/router.h"

GgZoneBalancer *gg_zone_balancer_create (GgRouter *router);
void gg_zone_balancer_destroy (GgZoneBalancer *self);

/** Returns the data centre for which a request is meant, borrowed until the loop runs again; NULL
 * if nothing is known yet or the balancing is switched off.
 * @param good_enough_ms_out token time up to which a path there needs no comparison. */
const char *gg_zone_balancer_choose (const GgZoneBalancer *self,
                                     const char *service,
                                     uint32_t random,
                                     double *good_enough_ms_out);
