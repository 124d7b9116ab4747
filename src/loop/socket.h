/** @file
 * TCP connection on an event loop. Input goes to the owner immediately; only output that the kernel
 * has not accepted yet is buffered. */
#pragma once

#include "loop/loop.h"

#include <stddef.h>

typedef struct _GgLoopSocket GgLoopSocket;

typedef enum
{
  GG_SOCKET_CONNECTED, /**< An outgoing connection was established. */
  GG_SOCKET_DATA,
  GG_SOCKET_DRAINED, /**< All output was handed to the kernel. */
  GG_SOCKET_EOF,     /**< The peer closed its side; all its data was delivered. */
  GG_SOCKET_RESET,   /**< Refused, reset or timed out by the kernel. */
} GgSocketEventKind;

typedef struct
{
  GgSocketEventKind kind;
  const char *bytes; /**< GG_SOCKET_DATA only; valid during the call. */
  size_t size_bytes;
  gboolean is_refused; /**< GG_SOCKET_RESET only: nothing listens at the address. */
  int error;           /**< GG_SOCKET_RESET only: the errno value; ETIMEDOUT if the peer
                        * accepted no output in time. */
} GgSocketEvent;

typedef void (*GgSocketFunc) (void *data, const GgSocketEvent *event);

/** Starts to connect to "IP:PORT"; the result is reported by GG_SOCKET_CONNECTED or
 * GG_SOCKET_RESET.
 * @return NULL if the address is malformed or no file descriptor is available. */
GgLoopSocket *
gg_loop_socket_connect (GgLoop *loop, const char *address, GgSocketFunc func, void *data);

/** Takes ownership of an accepted file descriptor, which must be non-blocking. */
GgLoopSocket *gg_loop_socket_adopt (GgLoop *loop, int fd, GgSocketFunc func, void *data);

/** Closes the file descriptor; no callback follows. Unsent output is dropped. NULL is allowed.
 * @param is_abort resets the connection, so that the peer can't take the data as complete. */
void gg_loop_socket_destroy (GgLoopSocket *self, gboolean is_abort);

/** Queues output; the output of one loop iteration is sent together. */
void gg_loop_socket_write (GgLoopSocket *self, const void *bytes, size_t size_bytes);

/** As gg_loop_socket_write(), without a copy; takes a reference. */
void gg_loop_socket_write_array (GgLoopSocket *self, GByteArray *bytes);

/** Limits the time for which output may be pending without the kernel accepting any of it; then the
 * connection fails with ETIMEDOUT. Applies to waits that start later; 0, the default, is no limit.
 */
void gg_loop_socket_set_output_timeout (GgLoopSocket *self, uint64_t timeout_ms);

/** Returns the number of output bytes that the kernel has not accepted yet. */
size_t gg_loop_socket_get_pending (const GgLoopSocket *self);

/** Returns the number of bytes that the kernel has accepted and the peer has not acknowledged yet;
 * 0 if that is not known. */
size_t gg_loop_socket_get_unacknowledged (const GgLoopSocket *self);

/** Returns whether input is waiting that was not delivered yet, or its end. */
gboolean gg_loop_socket_has_input (const GgLoopSocket *self);

/** Shuts down the sending side; call it after GG_SOCKET_DRAINED. */
void gg_loop_socket_shutdown (GgLoopSocket *self);

/** Stops or resumes reading, for flow control; ignored while connecting. */
void gg_loop_socket_set_reading (GgLoopSocket *self, gboolean is_reading);

/** Opens a listening socket on "IP:PORT"; port 0 picks a free one.
 * @return -1 with @p error set on failure. */
int gg_loop_socket_listen (const char *address, GError **error);
