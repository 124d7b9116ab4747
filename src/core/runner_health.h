/** @file
 * Suspicion and ejection of runners.
 *
 * A failure on a kept connection says nothing about the runner; only failures on fresh
 * connections count. Ejection never leaves a layer range without candidates: gg_route_choose()
 * falls back to ejected runners, least recently ejected first. */
#pragma once

#include "core/route.h"

typedef enum
{
  GG_RUNNER_EVENT_SUCCESS,
  GG_RUNNER_EVENT_FAILED_KEPT,  /**< Failure on a connection that had been used before. */
  GG_RUNNER_EVENT_FAILED_FRESH, /**< Failure on a new connection. */
  GG_RUNNER_EVENT_LEAVING,      /**< The runner refused because it is leaving. */
} GgRunnerEvent;

/** Applies one event; thread-safe.
 * @return TRUE if the runner's state changed (ejected, restored or leaving). */
gboolean gg_runner_health_apply (GgRunner *runner, GgRunnerEvent event, uint64_t now_ms);

gboolean gg_runner_health_is_ejected (const GgRunner *runner, uint64_t now_ms);
