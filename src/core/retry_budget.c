#include "core/retry_budget.h"

#include <stdatomic.h>

/* The balance is kept in hundredths of a retry. */
#define RETRY_COST 100
/* Largest balance, in retries; it bounds what accumulates over a period without retries. */
#define MAX_BALANCE_RETRIES 100

struct _GgRetryBudget
{
  uint32_t percent;
  _Atomic int64_t balance;
};

GgRetryBudget *
gg_retry_budget_create (uint32_t percent, uint32_t reserve)
{
  GgRetryBudget *self = g_new0 (GgRetryBudget, 1);
  self->percent = percent;
  atomic_init (&self->balance, (int64_t) reserve * RETRY_COST);
  return self;
}

void
gg_retry_budget_destroy (GgRetryBudget *self)
{
  g_free (self);
}

void
gg_retry_budget_deposit (GgRetryBudget *self)
{
  int64_t balance = atomic_load (&self->balance);
  if (balance < (int64_t) MAX_BALANCE_RETRIES * RETRY_COST)
    atomic_fetch_add (&self->balance, self->percent);
}

gboolean
gg_retry_budget_withdraw (GgRetryBudget *self, uint64_t now_ms, uint64_t deadline_ms)
{
  if (now_ms >= deadline_ms)
    return FALSE;
  int64_t balance = atomic_load (&self->balance);
  while (balance >= RETRY_COST)
    if (atomic_compare_exchange_weak (&self->balance, &balance, balance - RETRY_COST))
      return TRUE;
  return FALSE;
}
