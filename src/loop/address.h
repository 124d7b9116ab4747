/** @file
 * Conversion of text to socket addresses. */
#pragma once

#include <glib.h>

struct sockaddr_in;

/** Parses "IP:PORT" of IPv4.
 * @return FALSE with @p error set if it is malformed. */
gboolean gg_address_resolve (const char *address, struct sockaddr_in *out, GError **error);
