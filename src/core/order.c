#include "core/order.h"

#include "core/mutation.h"

#include <string.h>

/* Loading a version takes time, and the report that shows it is late; an order is given again
 * after this pause, which doubles up to the bound. */
#define REPEAT_BASE_MS 1000
#define REPEAT_MAX_SHIFT 5

static uint64_t
repeat_after_ms (const GgOrderState *self)
{
  uint32_t shift = self->attempts > 0 ? self->attempts - 1 : 0;
  return (uint64_t) REPEAT_BASE_MS << MIN (shift, REPEAT_MAX_SHIFT);
}

static gboolean
is_on_its_way (const GgOrderState *self, uint64_t generation, uint64_t now_ms)
{
  return self->sent_generation == generation && now_ms < self->sent_at_ms + repeat_after_ms (self);
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
      gboolean was_ordered = self->attempts > 0;
      self->attempts = 0;
      return was_ordered ? GG_ORDER_APPLIED : GG_ORDER_NONE;
    }
  if (is_on_its_way (self, generation, now_ms)
      || (GG_IS_MUTATED ("order-once") && self->sent_generation == generation))
    return GG_ORDER_NONE;
  if (self->sent_generation != generation)
    self->attempts = 0;
  self->sent_generation = generation;
  self->sent_at_ms = now_ms;
  self->attempts++;
  return GG_ORDER_SEND;
}
