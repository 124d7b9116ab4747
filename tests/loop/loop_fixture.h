/** @file
 * Runs an event loop in a test until a condition holds. */
#pragma once

#include "loop/loop.h"

typedef struct
{
  GgLoop *loop;
  GgLoopTimer *tick;
  GgLoopTimer *limit;
  gboolean *done;
  gboolean is_timed_out;
} LoopFixture;

static inline void
loop_fixture_on_tick (void *data)
{
  LoopFixture *f = data;
  if (*f->done)
    gg_loop_stop (f->loop);
  else
    gg_loop_timer_start (f->tick, 1);
}

static inline void
loop_fixture_on_limit (void *data)
{
  LoopFixture *f = data;
  f->is_timed_out = TRUE;
  gg_loop_stop (f->loop);
}

/** Runs @p loop until @p done is TRUE. A loop can be run only once.
 * @return FALSE if that took longer than @p limit_ms. */
static inline gboolean
loop_fixture_run (GgLoop *loop, gboolean *done, uint64_t limit_ms)
{
  LoopFixture f = { .loop = loop, .done = done };
  f.tick = gg_loop_timer_create (loop, loop_fixture_on_tick, &f);
  f.limit = gg_loop_timer_create (loop, loop_fixture_on_limit, &f);
  gg_loop_timer_start (f.tick, 1);
  gg_loop_timer_start (f.limit, limit_ms);
  gg_loop_run (loop);
  gg_loop_timer_destroy (f.tick);
  gg_loop_timer_destroy (f.limit);
  return !f.is_timed_out;
}
