/** @file
 * Asks the peers which services they reach and how many requests they would take over, and answers
 * their queries. Queries are only sent while links of this instance are in doubt or down, so that
 * healthy links cause no traffic. */
#pragma once

#include "daemons/routerd/load_exchange.h"
#include "daemons/routerd/membership.h"

/** A peer that takes over requests for a service. */
typedef struct
{
  const char *name;    /**< Of the instance. */
  const char *address; /**< At which it takes over requests (TCP, "IP:PORT"). */
  uint64_t token;      /**< Must be sent with each request that is handed over. */
} GgHandoverOffer;

/** @param load_exchange knows the instances of this data centre that are not registered. */
GgLinkExchange *gg_link_exchange_create (GgRouter *router,
                                         const GgMembership *membership,
                                         const GgLoadExchange *load_exchange);
void gg_link_exchange_destroy (GgLinkExchange *self);

/** Starts or stops the queries. Each answer is reported to the link monitor. */
void gg_link_exchange_set_querying (GgLinkExchange *self, gboolean is_querying);

/** Chooses a peer that has reached the service's runners recently and has room: one of those
 * with the least load, those of this data centre before others.
 * @param excluded names of peers not to choose, NULL-terminated; NULL for none.
 * @param offer_out valid until the next callback of the event loop.
 * @return FALSE if there is none. */
gboolean gg_link_exchange_choose_peer (GgLinkExchange *self,
                                       const char *service,
                                       const char *const *excluded,
                                       uint32_t random,
                                       GgHandoverOffer *offer_out);

/** Records that a peer could not be reached, or has refused: it is not chosen for @p for_ms. */
void gg_link_exchange_avoid_peer (GgLinkExchange *self, const char *name, uint64_t for_ms);

/** Returns whether peers have been queried for a while and none has had room for a request. */
gboolean gg_link_exchange_lacks_room (const GgLinkExchange *self);

/** Returns whether @p token is the one that this instance has given to its peers. */
gboolean gg_link_exchange_is_token_valid (const GgLinkExchange *self, uint64_t token);

/** Handles a datagram of a peer.
 * @return FALSE if it is no message of this exchange. */
gboolean gg_link_exchange_receive (GgLinkExchange *self, char *bytes, size_t size_bytes);
