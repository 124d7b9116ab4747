/** @file
 * Reports to the other instances the load that this one has given to each runner, and receives
 * their reports. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgLoadExchange GgLoadExchange;

GgLoadExchange *gg_load_exchange_create (GgRouter *router, const GgMembership *membership);
void gg_load_exchange_destroy (GgLoadExchange *self);

/** Handles a datagram of a peer; other datagrams are ignored. */
void gg_load_exchange_receive (GgLoadExchange *self, char *bytes, size_t size_bytes);

/** Returns whether an instance of this data centre has reported its load recently.
 * @param address of an instance, at which it receives datagrams. */
gboolean gg_load_exchange_has_local (const GgLoadExchange *self, const char *address);

/** The same for an instance of another data centre that reports by itself. */
gboolean gg_load_exchange_has_remote (const GgLoadExchange *self, const char *address);
