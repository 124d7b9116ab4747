/** @file
 * Background thread that polls the platform's list of instances. */
#pragma once

#include "daemons/controld/control_state.h"

typedef struct _GgListReader GgListReader;

GgListReader *gg_list_reader_create (GgControlState *state, const GgSettings *settings);

/** Joins the thread; call after gg_control_state_stop(). */
void gg_list_reader_destroy (GgListReader *self);
