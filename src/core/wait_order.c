#include "core/wait_order.h"

/* Callers give a stream up after two seconds without an event; what waits longer than this would
 * hardly have its first one by then. */
#define MAX_WAIT_MS 1300
/* From room to the first event, as measured on loaded days. */
#define START_MS 150
/* May wait even if nothing has found room lately. */
#define MIN_WAITING 6
#define MS_PER_S 1000.0

static gboolean
is_in_time (const GgWaiter *waiter, uint64_t now_ms)
{
  return now_ms + START_MS <= waiter->begun_ms + waiter->goal_ms;
}

gboolean
gg_wait_order_is_before (const GgWaiter *a, const GgWaiter *b, uint64_t now_ms)
{
  gboolean a_in_time = is_in_time (a, now_ms);
  gboolean b_in_time = is_in_time (b, now_ms);
  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->begun_ms < b->begun_ms;
}

gboolean
gg_wait_order_may_enter (guint n_waiting, double n_per_s)
{
  return n_waiting < MIN_WAITING || n_waiting < n_per_s * MAX_WAIT_MS / MS_PER_S;
}

uint64_t
gg_wait_order_get_limit_ms (void)
{
  return MAX_WAIT_MS;
}
