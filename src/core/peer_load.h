/** @file
 * Load that other instances report to have given to runners. Reports may be lost, repeated or out
 * of order; one that is not repeated expires. */
#pragma once

#include "core/fleet.h"

typedef struct _GgPeerLoad GgPeerLoad;

/** @param hold_ms how long reported load counts without being repeated.
 *  @param takeover_ms how long a sender must have sent no report before the reports of another one
 *    under the same name replace its own; 0 for at once. Two instances that compute the same sum
 *    for a moment would otherwise replace each other's parts. */
GgPeerLoad *gg_peer_load_create (uint64_t hold_ms, uint64_t takeover_ms);
void gg_peer_load_destroy (GgPeerLoad *self);

/** Starts the report of a peer; entries follow with gg_peer_load_add().
 * @param incarnation of the sender; its earlier ones don't count any more.
 * @param number grows with each report of an incarnation.
 * @return FALSE if the report is older than a known one or must not replace the current sender's:
 *   nothing is to be added. */
gboolean gg_peer_load_begin_report (
    GgPeerLoad *self, const char *peer, uint64_t incarnation, uint64_t number, uint64_t now_ms);

/** Sets the load of one runner in the report that was started last. */
void gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *load);

/** Drops what was not repeated in time. */
void gg_peer_load_expire (GgPeerLoad *self, uint64_t now_ms);

/** Returns the load that all peers together have given to a runner. */
GgRunnerLoad gg_peer_load_get (const GgPeerLoad *self, uint32_t runner_hash);

/** Returns the load that one peer has given to a runner. */
GgRunnerLoad gg_peer_load_get_of (const GgPeerLoad *self, uint32_t runner_hash, const char *peer);

/** Returns the number of peers whose reports have not expired. */
guint gg_peer_load_count_peers (const GgPeerLoad *self);

/** Returns whether a peer has sent a report that has not expired. */
gboolean gg_peer_load_has_peer (const GgPeerLoad *self, const char *peer);
