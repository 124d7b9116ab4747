/** @file
 * One send of a request to a runner, or to the runners of a path: from the choice of the runner to
 * the end of its answer. */
#pragma once

#include "core/stall_policy.h"
#include "daemons/routerd/router.h"

typedef struct _GgSend GgSend;

/** What became of a hedge. */
typedef enum
{
  GG_HEDGE_OPEN,    /**< There is one. */
  GG_HEDGE_NO_ROOM, /**< No runner has room for it now. */
  GG_HEDGE_DENIED,  /**< The attempts, the retry budget or a quarantine does not allow one now. */
} GgHedgeResult;

/** Returns the progress of a send to a model's runners. */
GgStallState gg_send_get_stall_state (const GgSend *self);

/** First runner of its path, borrowed; NULL if the request was handed over to a peer. */
GgFleetRunner *gg_send_get_runner (const GgSend *self);
const char *gg_send_get_attempt_id (const GgSend *self);

/** Returns whether the first runner of the path answers no query and a later start of a runner has
 * its id or address, so that the run has ended. */
gboolean gg_send_is_runner_replaced (const GgSend *self);

/** Sets whether the run is in doubt; reset by the next bytes of the answer. */
void gg_send_set_suspected (GgSend *self, gboolean is_suspected);

/** Sends a hedge for the request to another runner, if its kind, its attempts and the retry budget
 * allow it and a runner has room. The run of this send goes on; the first of both that brings an
 * event is kept. If this send is the hedge, it is dropped for another one where the attempts allow
 * that. */
GgHedgeResult gg_send_hedge (GgSend *self);

/** Reroutes the request to a path with the same first runner but without the runners that are
 * suspended now. If there is none, the run is suspected. */
void gg_send_reroute (GgSend *self);

/** Ends the send as if its connection had been lost: on evidence that its run has ended, or a hedge
 * that is replaced.
 * @param cause for the log. */
void gg_send_abandon (GgSend *self, const char *cause);
