#include "core/stall_policy.h"

/* Without bytes of the answer for this long, a request counts as stalled. Events of a stream come
 * every 30 to 100 ms; the first event may be delayed by long prompts of other requests. */
#define EVENT_IDLE_LIMIT_MS 250
#define FIRST_EVENT_IDLE_LIMIT_MS 500
/* A hedge is sent after this silence of a suspected runner. Callers wait 2 s for an event, and the
 * new run has to read the prompt first. */
#define HEDGE_AFTER_MS 650
/* Without a complete event for this long although bytes arrive, a hedge is sent. It is longer than
 * callers wait for an event, so that it costs nothing for a stream that still serves one. */
#define PARTIAL_EVENT_LIMIT_MS 3000

GgStallAction
gg_stall_policy_decide (const GgStallState *state, uint64_t now_ms)
{
  uint64_t limit_ms = state->has_events ? EVENT_IDLE_LIMIT_MS : FIRST_EVENT_IDLE_LIMIT_MS;
  uint64_t silent_ms = now_ms - state->last_activity_ms;
  if (state->is_paused)
    return GG_STALL_NONE;
  if (silent_ms >= limit_ms)
    return state->is_suspected && silent_ms >= HEDGE_AFTER_MS ? GG_STALL_HEDGE : GG_STALL_QUERY;
  if (state->has_events && state->is_resumable
      && now_ms - state->last_event_ms >= PARTIAL_EVENT_LIMIT_MS)
    return GG_STALL_HEDGE;
  return GG_STALL_NONE;
}
