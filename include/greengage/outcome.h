/** @file
 * Outcome of a request as reported to the caller. */
#pragma once

/** What is known about the execution of a request. */
typedef enum
{
  GG_OUTCOME_COMPLETE, /**< It ran and the caller has the complete answer. */
  GG_OUTCOME_NOT_RUN,  /**< No byte reached a runner, or the runner rejected it before accepting. */
  GG_OUTCOME_UNKNOWN,  /**< It may have run. */
} GgOutcome;

/** Returns the wire form: "complete", "not-run" or "unknown". */
const char *gg_outcome_to_string (GgOutcome outcome);
