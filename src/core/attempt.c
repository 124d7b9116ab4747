#include "core/attempt.h"

#include <string.h>

/* Sends whose request was not executed don't count against the route's max_attempts, but each costs
 * time. */
#define MAX_UNEXECUTED_SENDS 8

GgAnswerOwner
gg_attempt_find_owner (const char *attempt_id, const char *answered_id, gboolean is_first_answer)
{
  if (answered_id != NULL)
    return strcmp (answered_id, attempt_id) == 0 ? GG_ANSWER_OWN : GG_ANSWER_FOREIGN;
  return is_first_answer ? GG_ANSWER_UNIDENTIFIED : GG_ANSWER_FOREIGN;
}

void
gg_attempt_note_send (GgAttempt *self, GgSendResult result)
{
  switch (result)
    {
    case GG_SEND_COMPLETE:
    case GG_SEND_FAILED:
    case GG_SEND_LOST:
    case GG_SEND_UNCONFIRMED:
      self->n_possible_runs++;
      break;
    case GG_SEND_UNSENT:
    case GG_SEND_REFUSED:
      self->n_not_run++;
      break;
    }
}

/* Returns whether a request that may have been executed may be executed again. */
static gboolean
may_run_again (const GgAttempt *self)
{
  switch (self->kind)
    {
    case GG_REQUEST_IDEMPOTENT:
      return !self->has_answer_started;
    case GG_REQUEST_NON_IDEMPOTENT:
      return FALSE;
    case GG_REQUEST_STREAMING:
      return self->is_resumable;
    }
  return FALSE;
}

gboolean
gg_attempt_may_deliver_unconfirmed (const GgAttempt *self)
{
  return may_run_again (self);
}

gboolean
gg_attempt_may_hedge (const GgAttempt *self)
{
  return may_run_again (self) && !self->is_past_deadline && self->n_not_run < MAX_UNEXECUTED_SENDS
         && self->n_possible_runs + 1 < self->max_attempts;
}

gboolean
gg_attempt_may_replace_hedge (const GgAttempt *self)
{
  GgAttempt dropped = *self;
  gg_attempt_note_send (&dropped, GG_SEND_LOST);
  return gg_attempt_may_hedge (&dropped);
}

GgAttemptAction
gg_attempt_decide_without_retry (const GgAttempt *self, GgSendResult result)
{
  if (self->has_answer_started)
    return GG_ATTEMPT_ABORT;
  if (result == GG_SEND_FAILED)
    return GG_ATTEMPT_DELIVER;
  return self->n_possible_runs > 0 ? GG_ATTEMPT_FAIL : GG_ATTEMPT_REJECT;
}

GgAttemptAction
gg_attempt_decide (const GgAttempt *self, GgSendResult result)
{
  gboolean may_retry = FALSE;
  switch (result)
    {
    case GG_SEND_COMPLETE:
      return GG_ATTEMPT_DELIVER;
    case GG_SEND_UNSENT:
    case GG_SEND_REFUSED:
      may_retry = self->n_not_run < MAX_UNEXECUTED_SENDS;
      break;
    case GG_SEND_FAILED:
    case GG_SEND_LOST:
    case GG_SEND_UNCONFIRMED:
      may_retry = may_run_again (self) && self->n_possible_runs < self->max_attempts;
      break;
    }
  return may_retry && !self->is_past_deadline ? GG_ATTEMPT_RETRY
                                              : gg_attempt_decide_without_retry (self, result);
}
