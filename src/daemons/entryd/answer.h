/** @file
 * Generation of one answer by a pipeline of runners, on a thread of its own. */
#pragma once

#include "core/config.h"
#include "core/stream.h"
#include "daemons/entryd/entry_context.h"

typedef struct
{
  GgConfig *config; /**< Keeps service and team alive; a reference is taken. */
  const GgService *service;
  const GgTeam *team;
  const char *prompt;
  const char *traceparent; /**< NULL for none. */
  uint32_t max_tokens;
  uint64_t prefix_hash;
  uint64_t deadline_ms;
} GgAnswerParams;

/** Starts an answer that writes to @p stream.
 * @param plan the runners to begin with; taken over. */
void
gg_answer_start (GgEntry *entry, const GgAnswerParams *params, GgRoutePlan *plan, GgStream *stream);
