/** @file
 * Outcome of a request as it is told to the caller. */
#pragma once

/** What is known of a request's execution. */
typedef enum
{
  GG_OUTCOME_COMPLETE, /**< It ran and the caller has the whole answer. */
  GG_OUTCOME_NOT_RUN,  /**< No byte reached a runner, or the runner refused it before accepting. */
  GG_OUTCOME_UNKNOWN,  /**< It may have run. */
} GgOutcome;

/** Returns the wire form: "complete", "not-run" or "unknown". */
const char *gg_outcome_to_string (GgOutcome outcome);
