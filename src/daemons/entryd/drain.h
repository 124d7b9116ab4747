/** @file
 * Graceful stop of the entry process. */
#pragma once

#include "daemons/entryd/caller_http.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  uint64_t balancer_settle_ms; /**< Time for which new requests are still accepted. */
  uint64_t timeout_ms;         /**< Maximum time to finish work in flight. */
} GgDrainLimits;

/** Fails the readiness check, notifies the control process, accepts new requests until the balancer
 * has had time to notice, then waits for all work in flight to finish, for callers to resume
 * streams whose end they have not received, and for records to be settled.
 * @return number of requests and answers that were still in flight at the timeout. */
uint32_t gg_drain_run (GgEntry *entry, GgCallerHttp *http, const GgDrainLimits *limits);
