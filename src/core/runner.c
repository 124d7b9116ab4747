#include "core/route.h"

/* Weight of a new observation in the moving average of the step time: 1/8. */
#define STEP_TIME_SHIFT 3
/* Time constant with which the floor rises to longer step times: longer than a load peak, which
 * admission must see as queueing, but short enough to follow a runner that has become permanently
 * slower. */
#define FLOOR_RISE_MS 30000

GgRunner *
gg_runner_create (const char *id,
                  uint64_t incarnation,
                  const char *address,
                  const char *data_centre,
                  const char *service,
                  uint32_t first_layer,
                  uint32_t end_layer)
{
  GgRunner *self = g_new0 (GgRunner, 1);
  atomic_init (&self->refs, 1);
  self->id = g_strdup (id);
  self->id_hash = g_str_hash (id);
  self->incarnation = incarnation;
  self->address = g_strdup (address);
  self->data_centre = g_strdup (data_centre);
  self->service = g_strdup (service);
  self->first_layer = first_layer;
  self->end_layer = end_layer;
  return self;
}

GgRunner *
gg_runner_ref (GgRunner *self)
{
  atomic_fetch_add (&self->refs, 1);
  return self;
}

void
gg_runner_unref (GgRunner *self)
{
  if (self == NULL || atomic_fetch_sub (&self->refs, 1) != 1)
    return;
  g_free (self->id);
  g_free (self->address);
  g_free (self->data_centre);
  g_free (self->service);
  g_free (self);
}

void
gg_runner_begin_work (GgRunner *self)
{
  atomic_fetch_add_explicit (&self->outstanding_tokens, 1, memory_order_relaxed);
}

void
gg_runner_end_work (GgRunner *self)
{
  atomic_fetch_sub_explicit (&self->outstanding_tokens, 1, memory_order_relaxed);
}

void
gg_runner_add_replay (GgRunner *self, int32_t n_inputs)
{
  atomic_fetch_add_explicit (&self->outstanding_tokens, (uint32_t) n_inputs, memory_order_relaxed);
}

static void
update_floor (GgRunner *self, uint32_t sample, uint64_t now_ms)
{
  uint64_t seen_ms = atomic_load_explicit (&self->step_seen_ms, memory_order_relaxed);
  uint32_t floor = atomic_load_explicit (&self->step_floor_us, memory_order_relaxed);
  if (floor == 0 || sample <= floor)
    floor = sample;
  else if (now_ms > seen_ms)
    floor += (uint32_t) ((sample - floor) * MIN (now_ms - seen_ms, FLOOR_RISE_MS) / FLOOR_RISE_MS);
  atomic_store_explicit (&self->step_floor_us, floor, memory_order_relaxed);
  atomic_store_explicit (&self->step_seen_ms, now_ms, memory_order_relaxed);
}

void
gg_runner_observe_step (GgRunner *self, uint64_t elapsed_us, uint64_t now_ms)
{
  uint32_t sample = (uint32_t) MIN (elapsed_us, G_MAXINT32);
  uint32_t old = atomic_load_explicit (&self->step_time_us, memory_order_relaxed);
  uint32_t updated
      = old == 0 ? sample
                 : (uint32_t) ((int64_t) old
                               + ((int64_t) sample - (int64_t) old) / (1 << STEP_TIME_SHIFT));
  update_floor (self, sample, now_ms);
  /* If two threads race, one sample of the average is lost. */
  atomic_store_explicit (&self->step_time_us, updated, memory_order_relaxed);
}

uint64_t
gg_runner_estimate_queue_us (const GgRunner *self)
{
  uint32_t per_s = atomic_load_explicit (&self->tokens_per_s, memory_order_relaxed);
  uint64_t floor_us = atomic_load_explicit (&self->step_floor_us, memory_order_relaxed);
  uint64_t outstanding = atomic_load_explicit (&self->outstanding_tokens, memory_order_relaxed);
  outstanding += atomic_load_explicit (&self->remote_tokens, memory_order_relaxed);
  if (per_s == 0)
    return 0;
  uint64_t interval_us = outstanding * 1000000 / per_s;
  return interval_us > floor_us ? interval_us - floor_us : 0;
}
