/** @file
 * HTTP connection: one neon session, used by one thread. Internal to the HTTP adapter. */
#pragma once

#include "adapters/http/http_exchange.h"

typedef struct _GgHttpConnection GgHttpConnection;

/** @param address "IP:PORT".
 * @param timeout_s limit for connecting, and for each read unless the exchange's deadline is later.
 * @return NULL if @p address is malformed. */
GgHttpConnection *gg_http_connection_create (const char *address, uint32_t timeout_s);

/** Closes and frees the connection, also after its thread was cancelled during a dispatch. */
void gg_http_connection_destroy (GgHttpConnection *self);

gboolean gg_http_connection_is_open (const GgHttpConnection *self);

/** Performs an exchange after gg_http_exchange_begin(). Thread cancellation is enabled except while
 * connecting.
 * @return TRUE if a complete reply was read into the exchange. */
gboolean gg_http_connection_dispatch (GgHttpConnection *self, GgHttpExchange *exchange);
