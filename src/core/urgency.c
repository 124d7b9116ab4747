#include "core/urgency.h"

#include <math.h>

/* Time constant of the counts. */
#define DECAY_MS 5000.0
/* A priority that fewer of the recent requests have gets no reserve. */
#define MIN_SHARE 0.05
/* Part of the memory that may be reserved at all; the rest covers answers that are longer than
 * expected and requests that peers have sent since their latest reports. */
#define USABLE_MEMORY 0.95
/* Reserved for each more urgent rank: some four requests of the fifty that a runner holds. */
#define RESERVE 0.08
/* The most patient requests keep this part, so that they are served as well. */
#define MIN_USABLE_MEMORY 0.7

static guint
get_index (uint32_t priority)
{
  return MIN (priority, GG_URGENCY_MAX_PRIORITIES - 1);
}

void
gg_urgency_note (GgUrgency *self, uint32_t priority, uint64_t now_ms)
{
  double factor = exp (-(double) (now_ms - self->decayed_ms) / DECAY_MS);
  for (guint i = 0; i < GG_URGENCY_MAX_PRIORITIES; i++)
    self->counts[i] *= factor;
  self->decayed_ms = now_ms;
  self->counts[get_index (priority)] += 1;
}

/* Counts the priorities below @p end that a notable part of the recent requests has. */
static guint
count_notable (const GgUrgency *self, guint end)
{
  double sum = 0;
  guint n = 0;
  for (guint i = 0; i < GG_URGENCY_MAX_PRIORITIES; i++)
    sum += self->counts[i];
  for (guint i = 0; i < end; i++)
    n += sum > 0 && self->counts[i] >= MIN_SHARE * sum;
  return n;
}

guint
gg_urgency_get_rank (const GgUrgency *self, uint32_t priority)
{
  return count_notable (self, get_index (priority));
}

guint
gg_urgency_count_ranks (const GgUrgency *self)
{
  return MAX (count_notable (self, GG_URGENCY_MAX_PRIORITIES), 1);
}

double
gg_urgency_get_usable_memory (guint rank)
{
  return MAX (USABLE_MEMORY - RESERVE * rank, MIN_USABLE_MEMORY);
}
