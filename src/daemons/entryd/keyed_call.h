/** @file
 * Non-idempotent calls with an idempotency key: runs the at-most-once state machine against
 * the stored records. */
#pragma once

#include "core/ledger.h"
#include "daemons/entryd/plain_call.h"

/** Answer to the caller of a keyed call. Strings are owned by it. */
typedef struct
{
  GgLedgerReplyType type;
  uint32_t status;
  char *content_type;
  char *body;
} GgKeyedReply;

void gg_keyed_reply_clear (GgKeyedReply *self);

/** Runs the call; returns by its deadline plus the bound of one call to the store. What is
 * left to settle goes on in the background.
 * @param fingerprint hash of method, path and body. */
void gg_keyed_call_run (GgPlainCall *call,
                        const char *team,
                        const char *idempotency_key,
                        const char *fingerprint,
                        GgKeyedReply *reply_out);
