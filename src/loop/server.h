/** @file
 * HTTP/1.1 server on an event loop. A connection handles one request at a time; the owner answers
 * it with a complete body or in parts. */
#pragma once

#include "loop/loop.h"
#include "loop/message_head.h"

#include <stddef.h>

typedef struct _GgLoopServer GgLoopServer;
typedef struct _GgServerConnection GgServerConnection;

/** Size and time limits of requests. */
typedef struct
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  uint64_t head_timeout_ms; /**< From the first byte of a request to its last, body included. */
  uint64_t idle_timeout_ms; /**< Between two requests of one connection. */
} GgServerLimits;

typedef enum
{
  GG_SERVER_REQUEST,      /**< A complete request was received. */
  GG_SERVER_REJECTED,     /**< Malformed or over a limit; the owner sends the answer. */
  GG_SERVER_DISCONNECTED, /**< The client closed while its request was open. */
  GG_SERVER_DRAINED,      /**< All output was handed to the kernel. */
} GgServerEventKind;

typedef struct
{
  GgServerEventKind kind;
  union
  {
    struct
    {
      GgMessageHead *head; /**< Owned by the receiver. */
      GByteArray *body;    /**< Owned by the receiver; NULL for an empty one. */
    } request;
    uint32_t status; /**< GG_SERVER_REJECTED: 400, 408, 413 or 431. */
  };
} GgServerEvent;

/** GG_SERVER_DISCONNECTED is the last event of a connection, which must not be used afterwards. */
typedef void (*GgServerFunc) (void *data,
                              GgServerConnection *connection,
                              const GgServerEvent *event);

/** Serves "IP:PORT".
 * @return NULL with @p error set if the address can't be used. */
GgLoopServer *gg_loop_server_create (GgLoop *loop,
                                     const char *address,
                                     const GgServerLimits *limits,
                                     GgServerFunc func,
                                     void *data,
                                     GError **error);

/** Closes the listener and all connections, with GG_SERVER_DISCONNECTED for each open request. */
void gg_loop_server_destroy (GgLoopServer *self);

/** Sets the limits of later requests; max_head_bytes applies to new connections only. */
void gg_loop_server_set_limits (GgLoopServer *self, const GgServerLimits *limits);

/** Makes every later answer close its connection (Connection: close). */
void gg_loop_server_set_closing (GgLoopServer *self);

/** Stops accepting connections. */
void gg_loop_server_stop_listening (GgLoopServer *self);

/** Closes connections that have neither an open request nor unsent output. */
void gg_loop_server_close_idle (GgLoopServer *self);

/** Returns the number of connections with an open request or unsent output, or closing. */
guint gg_loop_server_count_busy (const GgLoopServer *self);

void gg_server_connection_set_data (GgServerConnection *self, void *data);
void *gg_server_connection_get_data (const GgServerConnection *self);

/** Answers the open request with a complete body. Adds the framing fields. */
void gg_server_connection_reply (GgServerConnection *self,
                                 const GgMessageHead *head,
                                 const void *body,
                                 size_t size_bytes);

/** Starts an answer of unknown length; to be followed by write, then end or abort. */
void gg_server_connection_begin (GgServerConnection *self, const GgMessageHead *head);
void gg_server_connection_write (GgServerConnection *self, const void *bytes, size_t size_bytes);
void gg_server_connection_end (GgServerConnection *self);

/** Aborts the answer by resetting the connection, so that the client can't take it as complete. */
void gg_server_connection_abort (GgServerConnection *self);

/** Returns the number of output bytes that the kernel has not accepted yet. */
size_t gg_server_connection_get_pending (const GgServerConnection *self);
