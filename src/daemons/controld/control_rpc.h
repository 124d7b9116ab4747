/** @file
 * Procedures of control.x. */
#pragma once

#include "adapters/rpc/rpc_server.h"
#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Binds [listen] rpc. libtirpc gives procedures no user data, so there is one per process.
 * @return NULL with @p error set if the address can't be bound. */
GgRpcServer *
gg_control_rpc_create (GgControlState *state, GgKv *kv, const GgSettings *settings, GError **error);
