/** @file
 * One request of a caller: from its arrival over its sends to runners to the answer. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgRelay GgRelay;

/** Handles events of the callers' server; @p data is the GgRouter. */
void
gg_relay_on_server_event (void *data, GgServerConnection *connection, const GgServerEvent *event);

/** Tries again to find runners for a request that waits for room.
 * @return FALSE if there is still no room. */
gboolean gg_relay_try_again (GgRelay *self);

/** When the request came (monotonic), and its rank: 0 goes first. */
uint64_t gg_relay_get_begun_ms (const GgRelay *self);
uint32_t gg_relay_get_priority (const GgRelay *self);

/** Ends a request that waits: no room came in time. */
void gg_relay_reject_waiting (GgRelay *self);
