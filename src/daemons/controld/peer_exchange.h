/** @file
 * Background thread that exchanges digests with random peers and fetches newer configurations from
 * them. At the start it also gets the members and the configuration from peers, so that the process
 * becomes ready during an outage of the platform. */
#pragma once

#include "daemons/controld/control_state.h"

typedef struct _GgPeerExchange GgPeerExchange;

GgPeerExchange *gg_peer_exchange_create (GgControlState *state, const GgSettings *settings);

/** Joins the thread; call after gg_control_state_stop(). */
void gg_peer_exchange_destroy (GgPeerExchange *self);

/** Exchanges digests with several peers without delay, for at most about a second. Called before
 * the process stops. */
void gg_peer_exchange_announce (GgControlState *state);
