#include "core/send_budget.h"

#include <string.h>

#define N_SLOTS 20
/* Part of the shared budget that is used: instances that restart begin with a whole part, and
 * two sliding windows may overlap one of ours. */
#define USED_PART 0.45

struct _GgSendBudget
{
  uint64_t slot_ms;
  double ratio;
  uint32_t extra;
  uint32_t n_sharers;
  uint32_t pending_sharers; /* a lower number that is not in force yet */
  uint64_t pending_since_ms;
  uint64_t slot; /* number of the latest slot */
  uint32_t requests[N_SLOTS];
  uint32_t repeats[N_SLOTS];
};

GgSendBudget *
gg_send_budget_create (uint64_t window_ms, double ratio, uint32_t extra)
{
  GgSendBudget *self = g_new0 (GgSendBudget, 1);
  self->slot_ms = MAX (window_ms / N_SLOTS, 1);
  self->ratio = ratio;
  self->extra = extra;
  self->n_sharers = 1;
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
  if (n_sharers >= self->n_sharers)
    {
      self->n_sharers = n_sharers;
      self->pending_sharers = 0;
      return;
    }
  if (self->pending_sharers != n_sharers)
    {
      self->pending_sharers = n_sharers;
      self->pending_since_ms = now_ms;
    }
  else if (now_ms - self->pending_since_ms >= self->slot_ms * N_SLOTS)
    {
      self->n_sharers = n_sharers;
      self->pending_sharers = 0;
    }
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
gg_send_budget_take (GgSendBudget *self, uint64_t now_ms)
{
  guint index = advance (self, now_ms);
  double n_requests = 0;
  double n_repeats = 0;
  for (guint i = 0; i < N_SLOTS; i++)
    {
      n_requests += self->requests[i];
      n_repeats += self->repeats[i];
    }
  double allowed = USED_PART * (self->ratio * n_requests + (double) self->extra / self->n_sharers);
  if (n_repeats + 1 > allowed)
    return FALSE;
  self->repeats[index]++;
  return TRUE;
}
