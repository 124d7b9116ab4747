/** @file
 * Offers of peers to take over requests for services that this instance does not reach. An offer
 * that is not renewed expires. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Offer of a peer. */
typedef struct
{
  const char *name;
  const char *address; /**< "IP:PORT" (TCP). */
  const char *data_centre;
  uint64_t token;         /**< To be sent with each request that is handed over. */
  uint32_t room;          /**< Requests that the peer would still take over. */
  uint32_t load_permille; /**< Part of its room that is in use. */
} GgPeerOffer;

/** Age of the latest answer up to which a peer is known to reach a service's runners. */
#define GG_HANDOVER_MAX_RECEIVED_AGE_MS 1000

typedef struct _GgHandoverOffers GgHandoverOffers;

/** @param data_centre of this instance. */
GgHandoverOffers *gg_handover_offers_create (const char *data_centre);
void gg_handover_offers_destroy (GgHandoverOffers *self);

/** Adds or renews an offer, which is copied. What is known of the services that the peer has
 * reached is kept.
 * @param is_relayed another instance has passed the offer on. */
void gg_handover_offers_put (GgHandoverOffers *self,
                             const GgPeerOffer *offer,
                             gboolean is_relayed,
                             uint64_t now_ms);

/** Records that a peer with an offer has reached a service's runners.
 * @param received_age_ms how long ago at the most. */
void gg_handover_offers_put_service (GgHandoverOffers *self,
                                     const char *name,
                                     uint32_t service_hash,
                                     uint64_t received_age_ms,
                                     uint64_t now_ms);

/** Excludes a peer until a time; one without an offer is ignored. */
void gg_handover_offers_avoid (GgHandoverOffers *self, const char *name, uint64_t until_ms);

/** Chooses a peer that reaches the service and has room, and counts one request as handed over to
 * it: the less loaded one of two at random in this data centre, or in the others if those of this
 * one have clearly more load.
 * @param excluded names, NULL-terminated; NULL for none.
 * @return valid until the next change; NULL if there is none. */
const GgPeerOffer *gg_handover_offers_choose (GgHandoverOffers *self,
                                              uint32_t service_hash,
                                              const char *const *excluded,
                                              uint32_t random,
                                              uint64_t now_ms);

/** Returns when a peer with room has last shown that it reaches some service; 0 for never. */
uint64_t gg_handover_offers_get_last_room_ms (const GgHandoverOffers *self);

/** Removes expired offers. */
void gg_handover_offers_expire (GgHandoverOffers *self, uint64_t now_ms);

/** Calls @p func with each valid offer that was not relayed. */
void gg_handover_offers_foreach_direct (const GgHandoverOffers *self,
                                        uint64_t now_ms,
                                        void (*func) (void *data, const GgPeerOffer *offer),
                                        void *data);

/** Calls @p func with each service that a peer has reached, and how long ago. */
void gg_handover_offers_foreach_service (const GgHandoverOffers *self,
                                         const char *name,
                                         uint64_t now_ms,
                                         void (*func) (void *data,
                                                       uint32_t service_hash,
                                                       uint64_t received_age_ms),
                                         void *data);
