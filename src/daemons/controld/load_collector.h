/** @file
 * Polls the load of the runners for which this instance has rank 0, and of others while their
 * collectors fail. */
#pragma once

#include "daemons/controld/control_state.h"

typedef struct _GgLoadCollector GgLoadCollector;

GgLoadCollector *gg_load_collector_create (GgControlState *state, const GgSettings *settings);

/** Joins the threads; call after gg_control_state_stop(). */
void gg_load_collector_destroy (GgLoadCollector *self);
