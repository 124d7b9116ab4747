/** @file
 * HTTP/1.1 server on an event loop. A connection carries one request at a time; the owner answers
 * it whole or piece by piece. */
#pragma once

#include "loop/loop.h"
#include "loop/message_head.h"

#include <stddef.h>

typedef struct _GgLoopServer GgLoopServer;
typedef struct _GgServerConnection GgServerConnection;

/** What a client may send and how long it may take. */
typedef struct
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  uint64_t head_timeout_ms; /**< From the first byte of a request to the end of its head. */
  uint64_t idle_timeout_ms; /**< Between two requests of one connection. */
} GgServerLimits;

typedef enum
{
  GG_SERVER_REQUEST,  /**< A whole request was read. */
  GG_SERVER_REJECTED, /**< The bytes break a limit or the protocol; the owner sends the answer. */
  GG_SERVER_GONE,     /**< The client closed while its request was open. */
  GG_SERVER_DRAINED,  /**< The client took all that was written. */
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

/** GG_SERVER_GONE is the last event of a connection: the owner must not use it afterwards. */
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

/** Closes the listener and all connections, with GG_SERVER_GONE for each open request. */
void gg_loop_server_destroy (GgLoopServer *self);

/** The limits hold for requests that begin later. */
void gg_loop_server_set_limits (GgLoopServer *self, const GgServerLimits *limits);

/** From now on every answer announces the end of its connection. */
void gg_loop_server_set_closing (GgLoopServer *self);

/** Takes no new connections from now on. */
void gg_loop_server_stop_listening (GgLoopServer *self);

/** Closes the connections on which no request is open and no answer on its way. */
void gg_loop_server_close_idle (GgLoopServer *self);

/** Connections with a request or an answer under way, or closing after one. */
guint gg_loop_server_count_busy (const GgLoopServer *self);

void gg_server_connection_set_data (GgServerConnection *self, void *data);
void *gg_server_connection_get_data (const GgServerConnection *self);

/** Answers the open request with a whole body. Framing fields are added here. */
void gg_server_connection_reply (GgServerConnection *self,
                                 const GgMessageHead *head,
                                 const void *body,
                                 size_t size_bytes);

/** Begins an answer of unknown length; followed by write, then end or abort. */
void gg_server_connection_begin (GgServerConnection *self, const GgMessageHead *head);
void gg_server_connection_write (GgServerConnection *self, const void *bytes, size_t size_bytes);
void gg_server_connection_end (GgServerConnection *self);

/** Breaks the answer off so that it can't look complete, and closes the connection. */
void gg_server_connection_abort (GgServerConnection *self);

/** Bytes that the client has not taken yet. */
size_t gg_server_connection_get_pending (const GgServerConnection *self);
