#include "core/send_budget.h"

#include <string.h>

#define N_SLOTS 20
/* Share of the total budget that is used. The rest covers instances that restart, possibly all at
 * once: a restarted process does not know what was spent before, so it starts with a small share
 * until a window has passed. */
#define USED_SHARE 0.75
#define FRESH_SHARE 0.25
/* Part of an instance's share that may be spent on retries after refusals. */
#define REFUSED_SHARE 0.6
/* Assumed number of instances until it is known. More than in any deployment: after a restart of
 * all at once, none knows how many they are, and together they must not spend the budget many
 * times. */
#define UNKNOWN_INSTANCES 1000

struct _GgSendBudget
{
  uint64_t slot_ms;
  double ratio;
  double extra;
  uint32_t n_instances;       /* 0: not known */
  uint32_t pending_instances; /* a lower number that is not in force yet */
  uint64_t pending_since_ms;
  uint64_t started_ms;
  uint64_t slot; /* number of the latest slot */
  uint32_t requests[N_SLOTS];
  uint32_t retries[N_SLOTS];
};

GgSendBudget *
gg_send_budget_create (uint64_t window_ms, double ratio, double extra, uint64_t started_ms)
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
gg_send_budget_set_instances (GgSendBudget *self, uint32_t n_instances, uint64_t now_ms)
{
  n_instances = MAX (n_instances, 1);
  if (self->n_instances == 0 || n_instances >= self->n_instances)
    {
      self->n_instances = n_instances;
      self->pending_instances = 0;
    }
  else if (self->pending_instances != n_instances)
    {
      self->pending_instances = n_instances;
      self->pending_since_ms = now_ms;
    }
}

/* Returns the number of instances that share the budget now. A lower number applies once the
 * retries of the instances that are gone have left the window. */
static uint32_t
get_instances (GgSendBudget *self, uint64_t now_ms)
{
  if (self->pending_instances > 0 && now_ms - self->pending_since_ms >= self->slot_ms * N_SLOTS)
    {
      self->n_instances = self->pending_instances;
      self->pending_instances = 0;
    }
  return self->n_instances > 0 ? self->n_instances : UNKNOWN_INSTANCES;
}

/* Clears the slots that have left the window.
 * @return the index of the current slot. */
static guint
advance (GgSendBudget *self, uint64_t now_ms)
{
  uint64_t slot = now_ms / self->slot_ms;
  uint64_t n_passed = slot > self->slot ? MIN (slot - self->slot, N_SLOTS) : 0;
  for (uint64_t i = 0; i < n_passed; i++)
    {
      guint index = (guint) ((slot - i) % N_SLOTS);
      self->requests[index] = 0;
      self->retries[index] = 0;
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
gg_send_budget_may_withdraw (GgSendBudget *self, GgRetryReason reason, uint64_t now_ms)
{
  advance (self, now_ms);
  double n_requests = 0;
  double n_retries = 0;
  for (guint i = 0; i < N_SLOTS; i++)
    {
      n_requests += self->requests[i];
      n_retries += self->retries[i];
    }
  gboolean is_fresh = now_ms - self->started_ms < self->slot_ms * N_SLOTS;
  double share = self->ratio * n_requests + self->extra / get_instances (self, now_ms);
  double allowed = share * (is_fresh ? FRESH_SHARE : USED_SHARE);
  if (reason == GG_RETRY_REASON_REFUSED)
    allowed *= REFUSED_SHARE;
  return n_retries + 1 <= allowed;
}

gboolean
gg_send_budget_withdraw (GgSendBudget *self, GgRetryReason reason, uint64_t now_ms)
{
  if (!gg_send_budget_may_withdraw (self, reason, now_ms))
    return FALSE;
  self->retries[advance (self, now_ms)]++;
  return TRUE;
}
