/** @file
 * Tells the other instances what work this one has given to which runner, and hears theirs. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgLoadExchange GgLoadExchange;

GgLoadExchange *gg_load_exchange_create (GgRouter *router, const GgMembership *membership);
void gg_load_exchange_destroy (GgLoadExchange *self);

/** Takes a datagram of a peer; others are ignored. */
void gg_load_exchange_receive (GgLoadExchange *self, char *bytes, size_t size_bytes);
