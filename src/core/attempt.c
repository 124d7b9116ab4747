#include "core/attempt.h"

/* Sends that no runner ran are free of the operators' bound, but each costs time. */
#define MAX_MISSES 8

void
gg_attempt_note (GgAttempt *self, GgSendEnd end)
{
  switch (end)
    {
    case GG_SEND_COMPLETE:
    case GG_SEND_FAILED:
    case GG_SEND_LOST:
      self->n_runs++;
      break;
    case GG_SEND_UNSENT:
    case GG_SEND_REFUSED:
      self->n_misses++;
      break;
    }
}

/* Whether a request that may have run may run again. */
static gboolean
may_run_again (const GgAttempt *self)
{
  switch (self->kind)
    {
    case GG_REQUEST_IDEMPOTENT:
      return !self->has_begun;
    case GG_REQUEST_NON_IDEMPOTENT:
      return FALSE;
    case GG_REQUEST_STREAMING:
      return self->is_resumable;
    }
  return FALSE;
}

GgNext
gg_attempt_give_up (const GgAttempt *self, GgSendEnd end)
{
  if (self->has_begun)
    return GG_NEXT_BREAK;
  if (end == GG_SEND_FAILED)
    return GG_NEXT_DELIVER;
  return self->n_runs > 0 ? GG_NEXT_FAIL : GG_NEXT_REJECT;
}

GgNext
gg_attempt_decide (const GgAttempt *self, GgSendEnd end)
{
  gboolean may_repeat = FALSE;
  switch (end)
    {
    case GG_SEND_COMPLETE:
      return GG_NEXT_DELIVER;
    case GG_SEND_UNSENT:
    case GG_SEND_REFUSED:
      may_repeat = self->n_misses < MAX_MISSES;
      break;
    case GG_SEND_FAILED:
    case GG_SEND_LOST:
      may_repeat = may_run_again (self) && self->n_runs < self->max_attempts;
      break;
    }
  return may_repeat && !self->is_overdue ? GG_NEXT_REPEAT : gg_attempt_give_up (self, end);
}
