/** @file
 * Digests that control processes exchange: built from the state and merged into it. */
#pragma once

#include "adapters/rpc/control_client.h"
#include "daemons/controld/control_state.h"

/** Builds the digest for a peer in @p data_centre (NULL if unknown): load records within a data
 * centre, sums per service between data centres. Free with gg_control_digest_free(). */
void gg_control_digest_build (GgControlState *state,
                              const char *data_centre,
                              uint64_t now_ms,
                              gg_rpc_digest *digest_out);

/** Merges what a peer knows.
 * @param address where the peer serves, to fetch a newer configuration from; NULL to look it
 *   up. */
void gg_control_digest_merge (GgControlState *state,
                              const gg_rpc_digest *digest,
                              const char *address,
                              uint64_t now_ms);

/** Replaces the use per team at @p sender. */
void gg_control_put_use (GgControlState *state,
                         const char *sender,
                         const gg_rpc_team_use *use,
                         u_int n_use,
                         uint64_t now_ms);

/** Load of a runner for routing: its own record, else the mean of its service's sum.
 * Call with the state locked. */
gboolean gg_control_get_load (GgControlState *state,
                              const GgMember *runner,
                              uint64_t now_ms,
                              GgLoadRecord *load_out);
