/** @file
 * Thread that looks for bookings whose entry process was lost during the call. If the caller does
 * not repeat the call, nobody else finds them; they are put into the account for a person. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Starts the thread. It is never joined; it uses @p state and @p kv until the process ends. */
void gg_record_sweep_start (GgControlState *state, GgKv *kv, const GgSettings *settings);
