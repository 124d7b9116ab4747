/** @file
 * Thread that exchanges digests with random peers, fetches a newer configuration from them and
 * starts from them while the platform does not answer. */
#pragma once

#include "daemons/controld/control_state.h"

typedef struct _GgPeerExchange GgPeerExchange;

GgPeerExchange *gg_peer_exchange_create (GgControlState *state, const GgSettings *settings);

/** Joins the thread; call after gg_control_state_stop(). */
void gg_peer_exchange_destroy (GgPeerExchange *self);

/** Sends the digest to several peers at once, bounded to about a second; for a stop. */
void gg_peer_exchange_announce (GgControlState *state);
