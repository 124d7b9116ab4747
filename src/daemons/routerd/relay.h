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

/** When the request came (monotonic), its latency objective, and its rank: 0 goes first. */
uint64_t gg_relay_get_begun_ms (const GgRelay *self);
uint64_t gg_relay_get_goal_ms (const GgRelay *self);
uint32_t gg_relay_get_priority (const GgRelay *self);

/** Ends a request that waits: no room came in time. */
void gg_relay_reject_waiting (GgRelay *self);

/** For a request that is at a model's runners: when something of it was heard last (monotonic),
 * and whether its first event has come. */
uint64_t gg_relay_get_heard_ms (const GgRelay *self);
gboolean gg_relay_has_events (const GgRelay *self);

/** First runner of its path, borrowed. */
GgFleetRunner *gg_relay_get_runner (const GgRelay *self);
const char *gg_relay_get_attempt_id (const GgRelay *self);

/** Moves the request to a path behind the same first runner, without the runners that are
 * suspended now. If there is none for some time, the present send is given up and the request goes
 * on elsewhere, as far as it may. */
void gg_relay_move (GgRelay *self);

/** Gives the present send up as if its connection had been lost. */
void gg_relay_give_up_send (GgRelay *self);
