/** @file
 * Tells the other instances what work this one has given to which runner, and hears theirs. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgWorkExchange GgWorkExchange;

GgWorkExchange *gg_work_exchange_create (GgRouter *router, const GgMembership *membership);
void gg_work_exchange_destroy (GgWorkExchange *self);

/** Takes a datagram of a peer; others are ignored. */
void gg_work_exchange_take (GgWorkExchange *self, char *bytes, size_t size_bytes);
