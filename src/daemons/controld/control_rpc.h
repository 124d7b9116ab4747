/** @file
 * RPC server for the procedures of control.x. */
#pragma once

#include "adapters/rpc/rpc_server.h"
#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Binds [listen] rpc. Only one server can exist per process, since libtirpc passes no user data
 * to procedures.
 * @return NULL with @p error set if the address can't be bound. */
GgRpcServer *
gg_control_rpc_create (GgControlState *state, GgKv *kv, const GgSettings *settings, GError **error);
