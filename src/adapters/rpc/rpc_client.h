/** @file
 * ONC RPC clients on explicit addresses, with a connect and a reply timeout; rpcbind is not
 * needed. */
#pragma once

#include <glib.h>
#include <rpc/rpc.h>
#include <stdint.h>

typedef enum
{
  GG_RPC_TCP,
  GG_RPC_UDP, /**< Retransmits; only for idempotent procedures. */
} GgRpcTransport;

/** Connects to "IP:PORT" within @p timeout_ms, which also bounds each call.
 * @return NULL if the peer could not be reached. The caller owns it: gg_rpc_client_destroy(). */
CLIENT *gg_rpc_client_create (const char *address,
                              rpcprog_t program,
                              rpcvers_t version,
                              GgRpcTransport transport,
                              uint64_t timeout_ms);
void gg_rpc_client_destroy (CLIENT *client);
