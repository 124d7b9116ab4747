/** @file
 * Shares with the other instances which parts of prompts and which requests crash runners
 * (core/crash_quarantine.h), and keeps those in quarantine in the store, so that they are known
 * after a restart of all. */
#pragma once

#include "core/crash_quarantine.h"
#include "core/request_suspects.h"
#include "daemons/routerd/membership.h"

GgQuarantineExchange *gg_quarantine_exchange_create (GgRouter *router, GgMembership *membership);
void gg_quarantine_exchange_destroy (GgQuarantineExchange *self);

/** Whether there are requests under suspicion. Otherwise digests may be left 0 in all calls but
 * gg_quarantine_exchange_note_broken(). */
gboolean gg_quarantine_exchange_has_requests (const GgQuarantineExchange *self);

/** Whether a request under suspicion has this prefix in its digest. The digests of others may be
 * left 0, too. */
gboolean gg_quarantine_exchange_has_prefix (const GgQuarantineExchange *self, uint16_t prefix);

/** Records that an answer has got well under way, which clears its suspects.
 * @param suspects those that it clears. */
void gg_quarantine_exchange_note_served (GgQuarantineExchange *self,
                                         const GgRequestSuspects *suspects);

/** Records that a runner closed the connection while it was beginning to run a request. */
void gg_quarantine_exchange_note_broken (GgQuarantineExchange *self,
                                         const GgRequestSuspects *suspects,
                                         const GgRunnerRecord *runner);

/** Decides whether a request may be sent to a runner.
 * @param kind_out set to what keeps it from the runners unless it is allowed. */
GgQuarantineVerdict gg_quarantine_exchange_judge (GgQuarantineExchange *self,
                                                  const GgRequestSuspects *suspects,
                                                  GgSuspectKind *kind_out);

/** Records that a request for which a trial was due is sent. */
void gg_quarantine_exchange_begin_trial (GgQuarantineExchange *self,
                                         const GgRequestSuspects *suspects);

/** Records that a trial of this instance reached no runner. */
void gg_quarantine_exchange_withdraw_trial (GgQuarantineExchange *self,
                                            const GgRequestSuspects *suspects);

/** Handles a datagram of a peer.
 * @return FALSE if it is no report of suspects. */
gboolean
gg_quarantine_exchange_receive (GgQuarantineExchange *self, char *bytes, size_t size_bytes);

/** Returns the key of the store under which what is in quarantine is kept, in the folder of the
 * router's keys that registered instances watch. */
const char *gg_quarantine_exchange_get_key (void);

/** Forgets what the store holds, since it was restored from a copy: the leader writes again what is
 * missing there. */
void gg_quarantine_exchange_note_restored (GgQuarantineExchange *self);

/** Applies that key as read from the store. One that is removed releases
 * all. */
void gg_quarantine_exchange_apply_item (GgQuarantineExchange *self, const GgStoreItem *item);
