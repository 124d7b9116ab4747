/** @file
 * HTTP/1.1 client on an event loop, which reuses idle connections. A call is sent once and never
 * retried here, even if its connection fails. */
#pragma once

#include "loop/loop.h"
#include "loop/message_head.h"

#include <stddef.h>

typedef struct _GgLoopClient GgLoopClient;
typedef struct _GgLoopCall GgLoopCall;

typedef enum
{
  GG_CALL_HEAD_PART, /**< A part of the head of an answer, which may be skipped later. */
  GG_CALL_HEAD,
  GG_CALL_BODY,
  GG_CALL_END, /**< The last event of a call. */
} GgCallEventKind;

typedef enum
{
  GG_CALL_COMPLETE,    /**< The complete answer was received. */
  GG_CALL_UNREACHABLE, /**< No connection was established in time; nothing was sent. */
  GG_CALL_BROKEN,      /**< Disconnected before the end of the answer; the call may have run. */
  GG_CALL_MALFORMED,   /**< The peer sent no valid HTTP answer; the call may have run. */
} GgCallEnd;

typedef struct
{
  GgCallEventKind kind;
  union
  {
    size_t held_bytes;   /**< GG_CALL_HEAD_PART: memory that the head takes so far. */
    GgMessageHead *head; /**< GG_CALL_HEAD; owned by the receiver. */
    struct
    {
      const char *bytes;
      size_t size_bytes;
    } body; /**< GG_CALL_BODY; valid during the call. */
    GgCallEnd end;
  };
} GgCallEvent;

/** Returning FALSE for GG_CALL_HEAD skips that answer with its body and waits for the next one on
 * the same connection; the result for other events is ignored. */
typedef gboolean (*GgCallFunc) (void *data, const GgCallEvent *event);

#define GG_USED_CONNECTIONS_MAX 8

/** Connections that have carried calls for one request; zero-initialised. A peer may answer a call
 * twice, and the second answer may come late. If all calls for a request look the same to the peer,
 * only the connection tells the second answer to one call from the answer to the next. */
typedef struct
{
  uint64_t numbers[GG_USED_CONNECTIONS_MAX];
  guint n;
} GgUsedConnections;

typedef struct
{
  const char *address; /**< "IP:PORT" */
  const GgMessageHead *head;
  const void *body; /**< NULL for none; @p head must hold the matching Content-Length. */
  size_t body_bytes;
  GByteArray *body_array; /**< The array that holds @p body, which must not change any more: a large
                           * body is then sent without a copy. NULL always copies it. */
  uint64_t connect_timeout_ms;
  uint64_t max_idle_ms; /**< Don't reuse a connection that was idle for longer; 0 always opens a new
                         * one. */
  const char *foreign_field; /**< An answer with this field, a static string, is not the one to the
                              * call and is skipped; NULL for none. */
  GgUsedConnections *used;   /**< Don't reuse one of these; the connection that is used is added. If
                              * there is no space left, a new one is opened. NULL reuses any. */
} GgCallRequest;

GgLoopClient *gg_loop_client_create (GgLoop *loop);

/** Cancels all calls without further events and closes all connections. */
void gg_loop_client_destroy (GgLoopClient *self);

/** Sends a call; @p request is copied. Events come after this function has returned.
 * @return the call, owned by the client; valid until GG_CALL_END or gg_loop_call_cancel(). */
GgLoopCall *
gg_loop_client_call (GgLoopClient *self, const GgCallRequest *request, GgCallFunc func, void *data);

/** Whether no answer was received on the call's connection before the current one. On any other
 * connection an answer may be a late second answer to an earlier call. */
gboolean gg_loop_call_is_first_answer (const GgLoopCall *call);

/** Closes the idle connections to an address. */
void gg_loop_client_close_idle (GgLoopClient *self, const char *address);

/** Cancels the call by closing its connection, which also notifies the peer; no event follows. NULL
 * is allowed. */
void gg_loop_call_cancel (GgLoopCall *call);

/** Stops or resumes reading the answer, for flow control. */
void gg_loop_call_set_reading (GgLoopCall *call, gboolean is_reading);
