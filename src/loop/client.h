/** @file
 * HTTP/1.1 calls on an event loop, over kept connections. A call is sent once: it is never
 * repeated here, whatever happens to its connection. */
#pragma once

#include "loop/loop.h"
#include "loop/message_head.h"

#include <stddef.h>

typedef struct _GgLoopClient GgLoopClient;
typedef struct _GgLoopCall GgLoopCall;

typedef enum
{
  GG_CALL_HEAD,
  GG_CALL_BODY,
  GG_CALL_END, /**< The last event of a call. */
} GgCallEventKind;

typedef enum
{
  GG_CALL_COMPLETE,    /**< The whole answer came. */
  GG_CALL_UNREACHABLE, /**< No connection stood in time; nothing was sent. */
  GG_CALL_BROKEN,      /**< The connection ended or the answer was cut; the call may have run. */
  GG_CALL_MALFORMED,   /**< The peer sent bytes that are no answer; the call may have run. */
} GgCallEnd;

typedef struct
{
  GgCallEventKind kind;
  union
  {
    GgMessageHead *head; /**< GG_CALL_HEAD; owned by the receiver. */
    struct
    {
      const char *bytes;
      size_t size_bytes;
    } body; /**< GG_CALL_BODY; valid during the call. */
    GgCallEnd end;
  };
} GgCallEvent;

/** Returning FALSE for a head skips that whole answer and waits for the next one on the same
 * connection; the result for other events is ignored. */
typedef gboolean (*GgCallFunc) (void *data, const GgCallEvent *event);

typedef struct
{
  const char *address; /**< "IP:PORT" */
  const GgMessageHead *head;
  const void *body; /**< Sent with a length; NULL for none. */
  size_t body_bytes;
  uint64_t connect_timeout_ms;
  uint64_t max_idle_ms; /**< A kept connection that was idle for longer is not used; 0: always
                         * open a new one. */
} GgCallRequest;

GgLoopClient *gg_loop_client_create (GgLoop *loop);

/** Ends all calls without events and closes all connections. */
void gg_loop_client_destroy (GgLoopClient *self);

/** Sends a call. Events come after this function has returned.
 * @return the call, owned by the client; valid until GG_CALL_END or gg_loop_call_cancel(). */
GgLoopCall *
gg_loop_client_call (GgLoopClient *self, const GgCallRequest *request, GgCallFunc func, void *data);

/** Gives the call up and closes its connection, which tells the peer; no event follows. */
void gg_loop_call_cancel (GgLoopCall *call);

/** Stops or resumes reading the answer, for flow control. */
void gg_loop_call_set_reading (GgLoopCall *call, gboolean is_reading);
