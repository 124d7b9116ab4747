/** @file
 * Suspicion and ejection of runners.
 *
 * A failure on a reused connection may be a fault of that connection only, so it merely makes
 * the runner suspect: it receives no new work until a probe on a fresh connection succeeds. A
 * failure on a fresh connection ejects it for a time that doubles with each one. Ejection never
 * leaves a layer range without candidates: gg_route_choose() falls back to ejected runners. */
#pragma once

#include "core/route.h"

typedef enum
{
  GG_RUNNER_EVENT_SUCCESS,       /**< A step or call was answered. */
  GG_RUNNER_EVENT_PROBE_OK,      /**< A probe on a fresh connection was answered. */
  GG_RUNNER_EVENT_FAILED_REUSED, /**< Failure on a connection that had been used before. */
  GG_RUNNER_EVENT_FAILED_FRESH,  /**< Failure on a new connection. */
  GG_RUNNER_EVENT_LEAVING,       /**< The runner refused a request because it is leaving. */
} GgRunnerEvent;

/** Applies one event; thread-safe.
 * @return TRUE if the runner's state changed (ejected, restored or leaving). */
gboolean gg_runner_health_apply (GgRunner *runner, GgRunnerEvent event, uint64_t now_ms);

/** Returns whether the runner should receive no new work while others can. */
gboolean gg_runner_health_is_ejected (const GgRunner *runner);

/** Returns whether a probe is due. */
gboolean gg_runner_health_needs_probe (const GgRunner *runner, uint64_t now_ms);
