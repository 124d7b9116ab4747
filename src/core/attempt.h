/** @file
 * Retry decision for one request after a send to a runner has ended: deliver the answer, send the
 * request again, or report to the caller whether it may have been executed. */
#pragma once

#include "core/routing_config.h"

/** Result of one send to a runner. */
typedef enum
{
  GG_SEND_COMPLETE, /**< The complete answer was received. */
  GG_SEND_FAILED,   /**< The runner executed the request and answered with an error. */
  GG_SEND_UNSENT,   /**< Nothing can have reached the runner. */
  GG_SEND_REFUSED,  /**< The runner answered that it has not executed the request and will not. */
  GG_SEND_LOST,     /**< The request may have been executed; there is no usable answer. */
  GG_SEND_UNCONFIRMED, /**< The answer has a status that means "not executed" to callers, but
                        * lacks the runner's statement. The request may have been executed. */
} GgSendResult;

/** Whether an answer that came on a connection is the one to the send that waits there. */
typedef enum
{
  GG_ANSWER_OWN,
  GG_ANSWER_FOREIGN,      /**< It answers another request, or none; the own answer may follow. */
  GG_ANSWER_UNIDENTIFIED, /**< It came in the place of the own answer and names no request. */
} GgAnswerOwner;

/** State of one caller attempt over all its sends. */
typedef struct
{
  GgRequestKind kind;
  gboolean is_resumable;
  uint32_t max_attempts;       /**< Upper limit of n_possible_runs, from the route. */
  uint32_t n_possible_runs;    /**< Sends whose request may have been executed. */
  uint32_t n_not_run;          /**< Sends whose request was certainly not executed. */
  gboolean has_answer_started; /**< The caller has received part of the answer. */
  gboolean is_past_deadline;   /**< No time is left for another send. */
} GgAttempt;

/** What to do after a send. */
typedef enum
{
  GG_ATTEMPT_DELIVER, /**< Forward the runner's answer unchanged. */
  GG_ATTEMPT_RETRY,   /**< Send again, to another runner if there is one. */
  GG_ATTEMPT_REJECT,  /**< Report to the caller that the request was not executed. */
  GG_ATTEMPT_FAIL,    /**< Report to the caller that the request may have been executed. */
  GG_ATTEMPT_ABORT,   /**< Abort the partly delivered answer, so that it can't look complete. */
} GgAttemptAction;

/** Decides whose answer has come on a connection. A runner names the attempt in all its answers,
 * but may send bytes that belong to no request, also in the place of an answer.
 * @param answered_id the attempt that the answer names; NULL for none.
 * @param is_first_answer on its connection. */
GgAnswerOwner
gg_attempt_find_owner (const char *attempt_id, const char *answered_id, gboolean is_first_answer);

/** Returns whether the caller may receive an answer whose status means that the request was not
 * executed, although it may have been. A caller sends such a request again, so this is limited to
 * those that may be executed again. */
gboolean gg_attempt_may_deliver_unconfirmed (const GgAttempt *self);

/** Counts a finished send by its result. Call it before a decision about that send. */
void gg_attempt_note_send (GgAttempt *self, GgSendResult result);

/** Decides what to do after a send that was counted by gg_attempt_note_send(). GG_ATTEMPT_RETRY is
 * subject to the retry budget; if that is exhausted, use gg_attempt_decide_without_retry() instead.
 */
GgAttemptAction gg_attempt_decide (const GgAttempt *self, GgSendResult result);

/** Returns whether a hedge may be sent: a second send while one is in progress, which counts as a
 * possible run as well. It is subject to the retry budget. */
gboolean gg_attempt_may_hedge (const GgAttempt *self);

/** Returns whether a hedge in progress may be dropped for another one. */
gboolean gg_attempt_may_replace_hedge (const GgAttempt *self);

/** Decides what to do if the request must not be sent again. */
GgAttemptAction gg_attempt_decide_without_retry (const GgAttempt *self, GgSendResult result);
