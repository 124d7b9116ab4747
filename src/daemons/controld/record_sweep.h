/** @file
 * Background thread that looks for bookings whose entry process was lost during the call. No other
 * code finds them unless the caller repeats the call. They are recorded in the account for an
 * operator to resolve. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Starts the thread. It is never joined; @p state and @p kv must stay valid until the process
 * exits. */
void gg_record_sweep_start (GgControlState *state, GgKv *kv, const GgSettings *settings);
