/** @file
 * Bounds on what all clients together take of the process: memory of buffers, connections, and log
 * lines for requests without authorization. Each
 * server gets its share of the connections, so that clients at one address can't keep others, the
 * balancer or the peers out, and a part of the descriptors is left for runners, store and peers. */
#pragma once

#include "core/refusal_log.h"
#include "daemons/routerd/router.h"

GgClientLimits *gg_client_limits_create (GgLoop *loop, const GgSettings *settings);

/** Destroys the limits after all servers, and after the deferred calls of these. */
void gg_client_limits_destroy (GgClientLimits *self);

/** Raises the limit for buffers, unless it is set, to what a single request with a body of the
 * largest size needs: one that is alone must be served, unless it needs more than half of the
 * instance's memory. */
void gg_client_limits_set_max_body (GgClientLimits *self, uint64_t max_body_bytes);

/** Returns the limit for answers that are being received, in bytes: half of that for buffers, which
 * they are a part of. */
uint64_t gg_client_limits_get_answer_bytes (const GgClientLimits *self);

typedef enum
{
  GG_CLIENTS_CALLERS,
  GG_CLIENTS_PEERS,
  GG_CLIENTS_MONITORS, /**< Readiness and metrics. */
} GgClientKind;

/** Returns whether the log line of a request that was refused for @p kind is to be written. Those
 * that are not are counted, and reported together once a second. */
gboolean gg_client_limits_may_log (GgClientLimits *self, GgRefusalKind kind);

void gg_client_limits_apply (GgClientLimits *self, GgLoopServer *server, GgClientKind kind);
