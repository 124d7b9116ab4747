/** @file
 * Socket addresses from "IP:PORT" texts. */
#pragma once

#include <sys/socket.h>

/** Fills @p storage from @p text.
 * @return the length of the address, or 0 if @p text is malformed. */
socklen_t gg_rpc_address_parse (const char *text, struct sockaddr_storage *storage);
