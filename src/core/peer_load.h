/** @file
 * Sums the load that peers (other instances) report for each runner. */
#pragma once

#include "core/fleet.h"

typedef struct _GgPeerLoad GgPeerLoad;

/** @param hold_ms how long a reported load counts if it is not reported again. */
GgPeerLoad *gg_peer_load_create (uint64_t hold_ms);
void gg_peer_load_destroy (GgPeerLoad *self);

/** Begins a peer's report; its entries replace the peer's earlier ones for the same runners. A new
 * @p incarnation discards all earlier entries of the peer.
 * @param number sequence number of the report.
 * @return FALSE if the report must be ignored, since it is not newer than the latest one of the
 *   same incarnation. */
gboolean gg_peer_load_begin_report (
    GgPeerLoad *self, const char *peer, uint64_t incarnation, uint64_t number, uint64_t now_ms);

/** Adds one runner to the latest report for which gg_peer_load_begin_report() returned TRUE.
 * @param runner_hash hash of the runner's id and start time, equal at all instances. */
void gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *load);

/** Discards entries that were not reported again within the hold time. */
void gg_peer_load_expire (GgPeerLoad *self, uint64_t now_ms);

/** Returns the load of one runner, summed over all peers. */
GgRunnerLoad gg_peer_load_get (const GgPeerLoad *self, uint32_t runner_hash);
