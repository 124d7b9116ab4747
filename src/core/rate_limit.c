#include "core/rate_limit.h"

#include <math.h>

/* Permits cover the requests that are expected until the answer to the next message, which is sent
 * every 150 ms. */
#define LOOKAHEAD_S 0.35
/* Below this number of expected requests a permit would mostly expire unused. */
#define MIN_EXPECTED 0.25
#define MAX_NEED 32
/* All instances know of the end of a limit long before this time after it has passed. */
#define OBSOLETE_MS 15000
#define MS_PER_S 1000.0

const GgLimitEvidence *
gg_rate_limit_get (const GgRateLimit *self)
{
  return self->own.time_ms >= self->shared.time_ms ? &self->own : &self->shared;
}

gboolean
gg_rate_limit_is_in_force (const GgRateLimit *self)
{
  return gg_rate_limit_get (self)->is_limited;
}

static gboolean
note (GgRateLimit *self, GgLimitEvidence *known, const GgLimitEvidence *evidence)
{
  GgLimitEvidence before = *gg_rate_limit_get (self);
  if (evidence->time_ms <= known->time_ms
      || (!evidence->is_limited && evidence->time_ms <= before.time_ms))
    return FALSE;
  *known = *evidence;
  const GgLimitEvidence *after = gg_rate_limit_get (self);
  if (before.is_limited && !after->is_limited)
    self->ended_ms = after->time_ms;
  if (!before.is_limited && after->is_limited)
    for (guint i = 0; i < GG_PERMIT_MAX_BATCHES; i++)
      self->batches[i] = (GgPermitBatch){ 0 };
  return before.is_limited != after->is_limited
         || (after->is_limited && before.limit_milli != after->limit_milli);
}

gboolean
gg_rate_limit_is_obsolete (const GgRateLimit *self, uint64_t now_ms)
{
  return !gg_rate_limit_is_in_force (self) && now_ms > self->ended_ms + OBSOLETE_MS;
}

gboolean
gg_rate_limit_note_own (GgRateLimit *self, const GgLimitEvidence *evidence)
{
  /* Nothing needs to be kept of the answers of a runner that never named a limit. */
  if (!evidence->is_limited && gg_rate_limit_get (self)->time_ms == 0)
    return FALSE;
  return note (self, &self->own, evidence);
}

gboolean
gg_rate_limit_note_shared (GgRateLimit *self, const GgLimitEvidence *evidence)
{
  return note (self, &self->shared, evidence);
}

static uint32_t
count_permits (const GgRateLimit *self, uint64_t now_ms)
{
  uint32_t n = 0;
  for (guint i = 0; i < GG_PERMIT_MAX_BATCHES; i++)
    if (now_ms < self->batches[i].until_ms)
      n += self->batches[i].n;
  return n;
}

gboolean
gg_rate_limit_may_send (const GgRateLimit *self, uint64_t now_ms)
{
  return !gg_rate_limit_is_in_force (self) || count_permits (self, now_ms) > 0;
}

void
gg_rate_limit_take (GgRateLimit *self, uint64_t now_ms)
{
  GgPermitBatch *first = NULL;
  for (guint i = 0; i < GG_PERMIT_MAX_BATCHES; i++)
    {
      GgPermitBatch *batch = &self->batches[i];
      if (batch->n > 0 && now_ms < batch->until_ms
          && (first == NULL || batch->until_ms < first->until_ms))
        first = batch;
    }
  if (first != NULL && gg_rate_limit_is_in_force (self))
    first->n--;
}

void
gg_rate_limit_add_permits (GgRateLimit *self, uint32_t n, uint64_t until_ms)
{
  /* Without a free place the batch that expires first is replaced: its permits expire unused. */
  GgPermitBatch *place = &self->batches[0];
  for (guint i = 1; i < GG_PERMIT_MAX_BATCHES && place->n > 0; i++)
    if (self->batches[i].n == 0 || self->batches[i].until_ms < place->until_ms)
      place = &self->batches[i];
  if (n > 0)
    *place = (GgPermitBatch){ n, until_ms };
}

static double
get_demand (const GgRateLimit *self, uint64_t now_ms)
{
  double passed_s = (double) (now_ms - MIN (self->demand_ms, now_ms)) / MS_PER_S;
  return self->demand * exp (-passed_s);
}

void
gg_rate_limit_note_demand (GgRateLimit *self, uint64_t now_ms)
{
  self->demand = get_demand (self, now_ms) + 1;
  self->demand_ms = now_ms;
}

void
gg_rate_limit_note_waiting (GgRateLimit *self, uint64_t now_ms)
{
  self->demand = MAX (get_demand (self, now_ms), 1);
  self->demand_ms = now_ms;
}

uint32_t
gg_rate_limit_get_need (const GgRateLimit *self, uint64_t now_ms)
{
  double expected = get_demand (self, now_ms) * LOOKAHEAD_S;
  if (!gg_rate_limit_is_in_force (self) || expected < MIN_EXPECTED)
    return 0;
  uint32_t wanted = (uint32_t) MIN (ceil (expected), MAX_NEED);
  uint32_t held = count_permits (self, now_ms);
  return wanted > held ? wanted - held : 0;
}
