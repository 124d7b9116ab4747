/** @file
 * Finds the allocator of each data centre's runners (core/allocator_election.h): keeps an election
 * for each data centre, polls other instances and handles what they state. */
#pragma once

#include "adapters/rpc/limit_message.h"
#include "daemons/routerd/membership.h"

typedef struct _GgAllocatorExchange GgAllocatorExchange;

/** Reports that a data centre has another allocator.
 * @param is_own whether it is this instance. */
typedef void (*GgAllocatorChangedFunc) (void *data, const char *data_centre, gboolean is_own);

GgAllocatorExchange *gg_allocator_exchange_create (GgRouter *router,
                                                   const GgMembership *membership,
                                                   GgAllocatorChangedFunc func,
                                                   void *data);
void gg_allocator_exchange_destroy (GgAllocatorExchange *self);

/** Updates the membership and sends the polls that are due; to be called several times a second.
 */
void gg_allocator_exchange_update (GgAllocatorExchange *self, uint64_t now_ms);

/** Returns the address of the allocator of a data centre's runners, valid until the next call; NULL
 * if none is known. */
const char *gg_allocator_exchange_find (GgAllocatorExchange *self, const char *data_centre);

/** Whether this instance hands out the permits of a data centre's runners. */
gboolean gg_allocator_exchange_is_allocating (GgAllocatorExchange *self,
                                              const char *data_centre,
                                              uint64_t now_ms);

/** Records that permits are requested from an instance. */
void gg_allocator_exchange_note_request (GgAllocatorExchange *self,
                                         const char *address,
                                         uint64_t now_ms);

/** Records the reply of an instance, which has no views if its build is older. */
void gg_allocator_exchange_note_reply (GgAllocatorExchange *self, const char *sender);

/** Records a request without views, of an older build: its sender takes this instance for the
 * allocator. */
void gg_allocator_exchange_note_old_request (GgAllocatorExchange *self,
                                             const char *sender,
                                             const char *data_centre,
                                             uint64_t now_ms);

/** Adds the views of the data centres with this allocator to a message. */
void gg_allocator_exchange_add_views (GgAllocatorExchange *self,
                                      const char *address,
                                      GgLimitMessage *message);

/** Handles the views of a message, and replaces them by those of this instance.
 * @return whether this instance knows a later allocator than the sender. */
gboolean gg_allocator_exchange_receive (GgAllocatorExchange *self,
                                        const char *sender,
                                        GgLimitMessage *message,
                                        uint64_t now_ms);
