/** @file
 * Conversion of text to socket addresses. */
#pragma once

#include <glib.h>

struct sockaddr_in;

/** Parses "IP:PORT"; IP must be an IPv4 address.
 * @return FALSE with @p error set if it is malformed. */
gboolean gg_address_resolve (const char *address, struct sockaddr_in *out, GError **error);
