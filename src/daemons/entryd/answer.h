/** @file
 * Generates one answer with a pipeline of runners, on its own thread. */
#pragma once

#include "core/config.h"
#include "core/stream.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  GgConfig *config; /**< Owns service and team; gg_answer_start() takes a reference. */
  const GgService *service;
  const GgTeam *team;
  const char *prompt;
  const char *traceparent; /**< NULL for none. */
  uint32_t max_tokens;
  uint64_t prefix_hash;
  uint64_t deadline_ms; /**< Monotonic. */
} GgAnswerParams;

/** Starts generating an answer that is written to @p stream. If no thread can be started, the
 * stream ends with GG_OUTCOME_NOT_RUN.
 * @param plan the runners to start with; ownership is transferred. */
void
gg_answer_start (GgEntry *entry, const GgAnswerParams *params, GgRoutePlan *plan, GgStream *stream);
