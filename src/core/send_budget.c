#include "core/send_budget.h"

#include <string.h>

#define N_SLOTS 20
/* Part of the shared budget that is used. What is left covers instances that restart: they forget
 * what they have spent, so they begin with a small part until a window has passed, and all of them
 * may restart at once. */
#define USED_PART 0.75
#define FRESH_PART 0.25
/* Of the own part, what requests may use that were only refused. */
#define REFUSED_PART 0.6
/* Instances that share, until they are known. */
#define UNKNOWN_SHARERS 16

struct _GgSendBudget
{
  uint64_t slot_ms;
  double ratio;
  uint32_t extra;
  uint32_t n_sharers;       /* 0: not known */
  uint32_t pending_sharers; /* a lower number that is not in force yet */
  uint64_t pending_since_ms;
  uint64_t started_ms;
  uint64_t slot; /* number of the latest slot */
  uint32_t requests[N_SLOTS];
  uint32_t repeats[N_SLOTS];
};

GgSendBudget *
gg_send_budget_create (uint64_t window_ms, double ratio, uint32_t extra, uint64_t started_ms)
{
  GgSendBudget *self = g_new0 (GgSendBudget, 1);
  self->slot_ms = MAX (window_ms / N_SLOTS, 1);
  self->ratio = ratio;
  self->extra = extra;
  self->started_ms = started_ms;
  return self;
}

void
gg_send_budget_destroy (GgSendBudget *self)
{
  g_free (self);
}

void
gg_send_budget_set_sharers (GgSendBudget *self, uint32_t n_sharers, uint64_t now_ms)
{
  n_sharers = MAX (n_sharers, 1);
  if (self->n_sharers == 0 || n_sharers >= self->n_sharers)
    {
      self->n_sharers = n_sharers;
      self->pending_sharers = 0;
    }
  else if (self->pending_sharers != n_sharers)
    {
      self->pending_sharers = n_sharers;
      self->pending_since_ms = now_ms;
    }
}

/* Instances that share now: a lower number counts once what the others spent has left the window.
 */
static uint32_t
get_sharers (GgSendBudget *self, uint64_t now_ms)
{
  if (self->pending_sharers > 0 && now_ms - self->pending_since_ms >= self->slot_ms * N_SLOTS)
    {
      self->n_sharers = self->pending_sharers;
      self->pending_sharers = 0;
    }
  return self->n_sharers > 0 ? self->n_sharers : UNKNOWN_SHARERS;
}

/* Empties the slots that have left the window. */
static guint
advance (GgSendBudget *self, uint64_t now_ms)
{
  uint64_t slot = now_ms / self->slot_ms;
  uint64_t n_passed = slot > self->slot ? MIN (slot - self->slot, N_SLOTS) : 0;
  for (uint64_t i = 0; i < n_passed; i++)
    {
      guint index = (guint) ((slot - i) % N_SLOTS);
      self->requests[index] = 0;
      self->repeats[index] = 0;
    }
  self->slot = MAX (slot, self->slot);
  return (guint) (self->slot % N_SLOTS);
}

void
gg_send_budget_note_request (GgSendBudget *self, uint64_t now_ms)
{
  self->requests[advance (self, now_ms)]++;
}

gboolean
gg_send_budget_take (GgSendBudget *self, GgRepeatReason reason, uint64_t now_ms)
{
  guint index = advance (self, now_ms);
  double n_requests = 0;
  double n_repeats = 0;
  for (guint i = 0; i < N_SLOTS; i++)
    {
      n_requests += self->requests[i];
      n_repeats += self->repeats[i];
    }
  gboolean is_fresh = now_ms - self->started_ms < self->slot_ms * N_SLOTS;
  double share = self->ratio * n_requests + (double) self->extra / get_sharers (self, now_ms);
  double allowed = share * (is_fresh ? FRESH_PART : USED_PART);
  if (reason == GG_REPEAT_REFUSED)
    allowed *= REFUSED_PART;
  if (n_repeats + 1 > allowed)
    return FALSE;
  self->repeats[index]++;
  return TRUE;
}
