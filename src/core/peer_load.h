/** @file
 * Sums the work that peers say they have given to runners. */
#pragma once

#include "core/fleet.h"

typedef struct _GgPeerLoad GgPeerLoad;

/** @param hold_ms how long the word of a peer counts. */
GgPeerLoad *gg_peer_load_create (uint64_t hold_ms);
void gg_peer_load_destroy (GgPeerLoad *self);

/** Begins a peer's next word, which replaces what it said of the same runners before. A word that
 * is older than the known one, of the same incarnation, is ignored.
 * @return FALSE if it is to be ignored. */
gboolean gg_peer_load_begin_report (
    GgPeerLoad *self, const char *peer, uint64_t incarnation, uint64_t number, uint64_t now_ms);

/** Adds one runner to the word that was begun last. */
void gg_peer_load_add (GgPeerLoad *self, uint32_t runner_hash, const GgRunnerLoad *work);

/** Forgets what was not said again for too long. */
void gg_peer_load_expire (GgPeerLoad *self, uint64_t now_ms);

/** Returns the sum over all peers for one runner. */
GgRunnerLoad gg_peer_load_get (const GgPeerLoad *self, uint32_t runner_hash);
