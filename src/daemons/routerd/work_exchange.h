/** @file
 * Tells the other instances what work this one has given to which runner, and hears theirs. */
#pragma once

#include "daemons/routerd/membership.h"

typedef struct _GgWorkExchange GgWorkExchange;

/** @return NULL with @p error set if the address can't be used. */
GgWorkExchange *gg_work_exchange_create (GgRouter *router,
                                         const GgMembership *membership,
                                         const char *address,
                                         GError **error);
void gg_work_exchange_destroy (GgWorkExchange *self);
