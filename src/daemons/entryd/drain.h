/** @file
 * Graceful stop of the entry process. */
#pragma once

#include "daemons/entryd/caller_http.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  uint64_t balancer_settle_ms; /**< New requests are still accepted for this long. */
  uint64_t timeout_ms;         /**< Bound of finishing what is in flight. */
} GgDrainLimits;

/** Fails the readiness check, tells the control process, goes on accepting for the balancer's
 * settling time, then finishes all that is in flight.
 * @return number of requests and answers that were cut at the bound. */
uint32_t gg_drain_run (GgEntry *entry, GgCallerHttp *http, const GgDrainLimits *limits);
