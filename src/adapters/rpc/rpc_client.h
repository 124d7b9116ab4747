/** @file
 * ONC RPC clients for explicit addresses, without rpcbind, with timeouts for connecting and for
 * replies. */
#pragma once

#include <glib.h>
#include <rpc/rpc.h>
#include <stdint.h>

typedef enum
{
  GG_RPC_TCP,
  GG_RPC_UDP, /**< Retransmits; only for idempotent procedures. */
} GgRpcTransport;

/** Connects to "IP:PORT".
 * @param timeout_ms limit for connecting, and for each call.
 * @return NULL if the peer could not be reached; freed by the caller with
 * gg_rpc_client_destroy(). */
CLIENT *gg_rpc_client_create (const char *address,
                              rpcprog_t program,
                              rpcvers_t version,
                              GgRpcTransport transport,
                              uint64_t timeout_ms);
void gg_rpc_client_destroy (CLIENT *client);
