/** @file
 * Runners that have announced in an answer that they are leaving: they get no new work until they
 * start again, whatever their entries state. The instance that received the answer notifies the
 * others. */
#pragma once

#include "daemons/routerd/membership.h"
#include "ports/relay_wire.h"

GgLeavingExchange *gg_leaving_exchange_create (GgRouter *router, const GgMembership *membership);
void gg_leaving_exchange_destroy (GgLeavingExchange *self);

/** Records what the head of a runner's answer to this instance states. */
void gg_leaving_exchange_note_answer (GgLeavingExchange *self,
                                      const GgFleetRunner *runner,
                                      const GgRunnerAnswerFields *fields);

/** Whether the process that an entry names has announced that it is leaving. */
gboolean gg_leaving_exchange_is_leaving (const GgLeavingExchange *self,
                                         const GgRunnerRecord *record);

/** Handles a datagram of a peer.
 * @return FALSE if it is no message about leaving runners. */
gboolean gg_leaving_exchange_receive (GgLeavingExchange *self, char *bytes, size_t size_bytes);
