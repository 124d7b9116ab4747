/** @file
 * HTTP server for callers. */
#pragma once

#include "daemons/entryd/entry_context.h"

#include <glib.h>

typedef struct _GgCallerHttp GgCallerHttp;

/** Listens on @p address, "IP:PORT".
 * @return NULL with @p error set if the address can't be bound. */
GgCallerHttp *gg_caller_http_create (GgEntry *entry,
                                     const char *address,
                                     uint32_t max_connections,
                                     GError **error);

/** Closes the listening socket; open connections stay open. */
void gg_caller_http_stop_accepting (GgCallerHttp *self);

/** Closes all connections. */
void gg_caller_http_destroy (GgCallerHttp *self);
