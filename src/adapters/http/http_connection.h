/** @file
 * One neon session, used by one thread. Internal to the HTTP adapter. */
#pragma once

#include "adapters/http/http_exchange.h"

typedef struct _GgHttpConnection GgHttpConnection;

/** @param address "IP:PORT".
 * @param timeout_s bound of connecting, and of each read unless the exchange's deadline is later.
 * @return NULL if @p address is of another form. */
GgHttpConnection *gg_http_connection_create (const char *address, uint32_t timeout_s);

/** Closes the connection. Also valid after the thread was cancelled in a dispatch. */
void gg_http_connection_destroy (GgHttpConnection *self);

gboolean gg_http_connection_is_open (const GgHttpConnection *self);

/** Performs an exchange that has begun, with cancellation enabled except while connecting.
 * @return TRUE if a whole reply was read into the exchange. */
gboolean gg_http_connection_dispatch (GgHttpConnection *self, GgHttpExchange *exchange);
