/** @file
 * UDP socket on an event loop. */
#pragma once

#include "loop/loop.h"

#include <stddef.h>

typedef struct _GgDatagramSocket GgDatagramSocket;

/** Receives a datagram, truncated to 2048 bytes. @p bytes may be modified and are valid during the
 * call. */
typedef void (*GgDatagramFunc) (void *data, char *bytes, size_t size_bytes);

/** Binds "IP:PORT".
 * @return NULL with @p error set if the address can't be used. */
GgDatagramSocket *gg_datagram_socket_create (
    GgLoop *loop, const char *address, GgDatagramFunc func, void *data, GError **error);
void gg_datagram_socket_destroy (GgDatagramSocket *self);

/** Sends without blocking; a datagram that can't be sent immediately is dropped silently. */
void gg_datagram_socket_send (GgDatagramSocket *self,
                              const char *address,
                              const void *bytes,
                              size_t size_bytes);
