/** @file
 * Keeps to the rate limits that runners name: permits are requested from the allocator of each
 * runner's data centre (allocator_exchange.h) and handed out by it (core/limit_allocator.h). What
 * an answer states of a limit reaches all instances through the allocator. */
#pragma once

#include "daemons/routerd/membership.h"
#include "ports/relay_wire.h"

GgLimitExchange *gg_limit_exchange_create (GgRouter *router, const GgMembership *membership);
void gg_limit_exchange_destroy (GgLimitExchange *self);

/** Records what the head of a runner's answer states of its limit.
 * @param sent_boot_ms when the request was sent (CLOCK_BOOTTIME). */
void gg_limit_exchange_note_answer (GgLimitExchange *self,
                                    GgFleetRunner *runner,
                                    const GgRunnerAnswerFields *fields,
                                    uint64_t sent_boot_ms);

/** Counts a request of a service that was sent to a data centre for the limited runners there and
 * in the data centre of this instance. */
void
gg_limit_exchange_note_demand (GgLimitExchange *self, const char *service, const char *data_centre);

/** Requests a permit of one of a service's limited runners for a request that waits: permits of
 * several would expire unused.
 * @param random chooses the runner. */
void gg_limit_exchange_note_waiting (GgLimitExchange *self, const char *service, uint32_t random);

/** Returns how long a request of a service waits for a permit on average, in milliseconds, if rate
 * limits are in force at all runners to which it could be sent; 0 if some runner has none. */
uint64_t gg_limit_exchange_get_wait_ms (const GgLimitExchange *self, const char *service);

/** Handles a datagram of a peer.
 * @return FALSE if it is no message about limits. */
gboolean gg_limit_exchange_receive (GgLimitExchange *self, char *bytes, size_t size_bytes);
