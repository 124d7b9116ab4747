/** @file
 * Socket addresses from text. */
#pragma once

#include <glib.h>

struct sockaddr_in;

/** Parses "IP:PORT" of IPv4.
 * @return FALSE with @p error set if it is of another form. */
gboolean gg_address_resolve (const char *address, struct sockaddr_in *out, GError **error);
