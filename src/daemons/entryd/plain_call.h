/** @file
 * Calls of plain services: choice of a runner and retries of what may be repeated. */
#pragma once

#include "core/config.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  GgEntry *entry;
  const GgService *service;
  GgServiceCall call; /**< Its attempt id is kept by all sends that are proven not run. */
  uint64_t deadline_ms;
} GgPlainCall;

/** Sends the call. A send that is proven not run is repeated on another runner within the
 * retry budget; one in doubt only if the call is idempotent.
 * @param reply_out cleared by the caller with gg_service_reply_clear(). */
GgServiceResult gg_plain_call_send (GgPlainCall *self, GgServiceReply *reply_out);
