/** @file
 * Non-idempotent calls with an idempotency key. Drives the at-most-once state machine of
 * core/ledger.h on the stored records. */
#pragma once

#include "core/ledger.h"
#include "daemons/entryd/plain_call.h"

/** Reply to the caller of a keyed call; owns its strings. */
typedef struct
{
  GgLedgerReplyType type;
  uint32_t status;
  char *content_type;
  char *body;
} GgKeyedReply;

void gg_keyed_reply_clear (GgKeyedReply *self);

/** Runs the call. Returns by its deadline plus the timeout of one call to the store. A record
 * that is not settled by then is settled in the background.
 * @param fingerprint hash of method, path and body.
 * @param reply_out cleared by the caller with gg_keyed_reply_clear(). */
void gg_keyed_call_run (GgPlainCall *call,
                        const char *team,
                        const char *idempotency_key,
                        const char *fingerprint,
                        GgKeyedReply *reply_out);
