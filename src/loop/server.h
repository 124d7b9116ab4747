/** @file
 * HTTP/1.1 server on an event loop. A connection handles one request at a time; the owner answers
 * it with a complete body or in parts. The next request is received when the answer has been handed
 * to the kernel, so that a caller that does not read can't pile up answers. */
#pragma once

#include "loop/buffer_account.h"
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
  uint64_t head_timeout_ms; /**< Time to receive a request, from the first byte of its head to the
                             * last byte of its body. */
  uint64_t idle_timeout_ms; /**< Time without a request on a connection, before the first one and
                             * after an answer was handed to the kernel; then the connection is
                             * closed. Also the time without progress of pending output; then it is
                             * reset. */
} GgServerLimits;

/** Why the server itself has ended a request or a connection. */
typedef enum
{
  GG_SERVER_GAVE_WAY_MEMORY,      /**< The buffers of all connections took too much memory. */
  GG_SERVER_GAVE_WAY_CONNECTIONS, /**< There were too many connections. */
} GgServerGaveWay;

typedef enum
{
  GG_SERVER_REQUEST,      /**< A complete request was received. */
  GG_SERVER_REJECTED,     /**< Malformed, too large or too slow; the owner sends the answer. */
  GG_SERVER_DISCONNECTED, /**< The connection ended while its request was open. */
  GG_SERVER_DRAINED,      /**< All output of an unfinished answer was handed to the kernel. */
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
    uint32_t status;     /**< GG_SERVER_REJECTED: 400, 408, 413 or 431; 503 if the request gave way
                          * to others. */
    gboolean is_stalled; /**< GG_SERVER_DISCONNECTED: the client accepted no output in time, or it
                          * gave way to others, instead of closing. */
  };
} GgServerEvent;

/** Reports an event. After GG_SERVER_DISCONNECTED the connection must not be used. */
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

/** Replaces the limits. max_body_bytes applies immediately, also to a request that is being
 * received; the timeouts apply to waits that start later; max_head_bytes applies to new connections
 * only. */
void gg_loop_server_set_limits (GgLoopServer *self, const GgServerLimits *limits);

/** Called for each connection that gives way, before its request is rejected or it is closed. */
typedef void (*GgServerGaveWayFunc) (void *data, GgServerGaveWay cause);

/** Bounds what all connections of the server take together; without a call nothing is bounded.
 * @param buffers account of the process, which outlives the server.
 * @param max_connections a connection beyond them replaces the one that has waited longest for a
 *   request, or else for the rest of one, or else one whose client has not accepted all of a
 *   complete answer within head_timeout_ms; if all are being answered, it waits to be accepted. */
void gg_loop_server_set_capacity (GgLoopServer *self,
                                  GgBufferAccount *buffers,
                                  guint max_connections,
                                  GgServerGaveWayFunc func,
                                  void *data);

/** Makes every answer that starts later announce "Connection: close" and close its connection. */
void gg_loop_server_set_closing (GgLoopServer *self);

/** Stops accepting connections. */
void gg_loop_server_stop_listening (GgLoopServer *self);

/** Closes connections that have neither an open request, nor unsent output, nor unread input. */
void gg_loop_server_close_idle (GgLoopServer *self);

/** Returns the number of connections with a request that is being received or answered, with unsent
 * output or unread input, or that are closing after an answer. */
guint gg_loop_server_count_busy (const GgLoopServer *self);

/** Calls a function with the owner's data of each open request. It may answer the request. */
void gg_loop_server_foreach_open (GgLoopServer *self, void (*func) (void *data));

/** Attaches data of the owner to the open request; reset to NULL when its answer ends. */
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

/** Records how much of the answer the owner holds in memory beside what it has written, so that it
 * counts as held for this client. */
void gg_server_connection_set_answer_bytes (GgServerConnection *self, size_t size_bytes);

/** Aborts the answer by resetting the connection, so that the client can't take it as
 * complete. No event follows. */
void gg_server_connection_abort (GgServerConnection *self);

/** Returns the number of output bytes that the kernel has not accepted yet. */
size_t gg_server_connection_get_pending (const GgServerConnection *self);
