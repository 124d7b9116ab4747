/** @file
 * Probes runners that have failed before the placement replaces them (core/runner_loss.h). Without
 * such failures it causes no traffic. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgLossProber GgLossProber;

GgLossProber *gg_loss_prober_create (GgRouter *router);
void gg_loss_prober_destroy (GgLossProber *self);

/** Returns whether a model runner is lost, and probes it if that is to be found out. */
gboolean gg_loss_prober_is_lost (GgLossProber *self, GgFleetRunner *runner);
