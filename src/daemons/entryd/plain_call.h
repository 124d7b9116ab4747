/** @file
 * Calls of plain services: chooses a runner and retries where that is allowed. */
#pragma once

#include "core/config.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  GgEntry *entry;
  const GgService *service;
  GgServiceCall call; /**< All sends use the same attempt id. */
  uint64_t deadline_ms;
} GgPlainCall;

/** Sends the call. If the call certainly did not run, it is retried within the retry budget, on
 * another runner if possible; if that is in doubt, it is retried only if the call is idempotent.
 * @param reply_out cleared by the caller with gg_service_reply_clear(). */
GgServiceResult gg_plain_call_send (GgPlainCall *self, GgServiceReply *reply_out);
