#include "core/order.h"

#include "core/mutation.h"

#include <string.h>

/* Loading a version takes time and the report of it arrives later, so an order is repeated only
 * after this delay, which doubles with each order up to the maximum shift. */
#define REPEAT_BASE_MS 1000
#define REPEAT_MAX_SHIFT 5

static uint64_t
repeat_delay_ms (const GgOrderState *self)
{
  uint32_t shift = self->attempts > 0 ? self->attempts - 1 : 0;
  return (uint64_t) REPEAT_BASE_MS << MIN (shift, REPEAT_MAX_SHIFT);
}

static gboolean
is_in_flight (const GgOrderState *self, uint64_t generation, uint64_t now_ms)
{
  return self->sent_generation == generation && now_ms < self->sent_at_ms + repeat_delay_ms (self);
}

GgOrderDecision
gg_order_decide (GgOrderState *self,
                 const char *reported,
                 const char *desired,
                 uint64_t generation,
                 uint64_t now_ms)
{
  if (reported == NULL || *reported == '\0')
    return GG_ORDER_NONE;
  if (strcmp (reported, desired) == 0)
    {
      gboolean had_orders = self->attempts > 0;
      self->attempts = 0;
      return had_orders ? GG_ORDER_APPLIED : GG_ORDER_NONE;
    }
  if (is_in_flight (self, generation, now_ms)
      || (GG_IS_MUTATED ("order-once") && self->sent_generation == generation))
    return GG_ORDER_NONE;
  if (self->sent_generation != generation)
    self->attempts = 0;
  self->sent_generation = generation;
  self->sent_at_ms = now_ms;
  self->attempts++;
  return GG_ORDER_SEND;
}
