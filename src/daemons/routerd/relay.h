/** @file
 * One request of a caller: from its arrival through its sends to runners to the answer. */
#pragma once

#include "daemons/routerd/router.h"
#include "ports/relay_wire.h"

typedef struct _GgRelay GgRelay;

/** Handles events of the callers' server; @p data is the GgRouter. */
void
gg_relay_on_server_event (void *data, GgServerConnection *connection, const GgServerEvent *event);

/** Serves a request that a peer has handed over to this instance; takes ownership of the head and
 * the body. Further events of the connection go to gg_relay_on_server_event(). */
void gg_relay_take_over (GgRouter *router,
                         GgServerConnection *connection,
                         const GgServerEvent *event,
                         const GgHandoverFields *fields);

/** What became of a queued request that was tried again. */
typedef enum
{
  GG_RETRY_FULL,  /**< There is still no capacity: it waits on. */
  GG_RETRY_SENT,  /**< It was sent to runners. */
  GG_RETRY_ENDED, /**< It was refused, since waiting is of no use. */
} GgRetryResult;

/** Tries again to find runners for a queued request, and sends it to them. */
GgRetryResult gg_relay_retry_dispatch (GgRelay *self);

/** Time at which the request was received (monotonic), since when its caller has been waiting for
 * an event, its latency target, and its priority: 0 is the highest. */
uint64_t gg_relay_get_received_ms (const GgRelay *self);
uint64_t gg_relay_get_waiting_since_ms (const GgRelay *self);
uint64_t gg_relay_get_latency_target_ms (const GgRelay *self);
uint32_t gg_relay_get_priority (const GgRelay *self);

/** Name of its service, and the part of the runners' request memory that it may use, 0 to 1. */
const char *gg_relay_get_service_name (const GgRelay *self);
double gg_relay_get_usable_memory (const GgRelay *self);

/** Ends a request because the process stops: it is answered that the request has not run or may
 * have run, unless its caller has a part of the answer. @p data is the GgRelay. */
void gg_relay_end_for_stop (void *data);

/** Ends a queued request for which no capacity became free in time. */
void gg_relay_reject_queued (GgRelay *self);
