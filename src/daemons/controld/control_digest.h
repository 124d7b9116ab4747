/** @file
 * Builds the digests that control processes exchange from the local state, and merges received
 * ones into it. */
#pragma once

#include "adapters/rpc/control_client.h"
#include "daemons/controld/control_state.h"

/** Builds the digest for a peer in @p data_centre (NULL if unknown). It contains load records for
 * peers of the same data centre, and sums per service for others. Free with
 * gg_control_digest_free(). */
void gg_control_digest_build (GgControlState *state,
                              const char *data_centre,
                              uint64_t now_ms,
                              gg_rpc_digest *digest_out);

/** Merges the digest of a peer.
 * @param address control address of the peer, from which a newer configuration can be fetched;
 *   NULL to look it up in the members. */
void gg_control_digest_merge (GgControlState *state,
                              const gg_rpc_digest *digest,
                              const char *address,
                              uint64_t now_ms);

/** Replaces the request rates per team that the entry instance @p sender has reported. */
void gg_control_put_use (GgControlState *state,
                         const char *sender,
                         const gg_rpc_team_use *use,
                         u_int n_use,
                         uint64_t now_ms);

/** Gets the load of a runner for routing: its own record, or else the mean over its service in its
 * data centre. Call with the state locked.
 * @return FALSE if neither is known. */
gboolean gg_control_get_load (GgControlState *state,
                              const GgMember *runner,
                              uint64_t now_ms,
                              GgLoadRecord *load_out);
