#include "core/stall_policy.h"

/* Without bytes of the answer for this long, a request counts as stalled. Events of a stream come
 * every 30 to 100 ms; the first event may be delayed by long prompts of other requests. */
#define EVENT_IDLE_LIMIT_MS 250
#define FIRST_EVENT_IDLE_LIMIT_MS 500
/* Without a complete event for this long although bytes arrive, a stream is resumed elsewhere. It
 * is longer than callers wait for an event, so no stream that still serves one is given up. */
#define PARTIAL_EVENT_LIMIT_MS 3000

GgStallAction
gg_stall_policy_decide (const GgStallState *state, uint64_t now_ms)
{
  uint64_t limit_ms = state->has_events ? EVENT_IDLE_LIMIT_MS : FIRST_EVENT_IDLE_LIMIT_MS;
  if (now_ms - state->last_activity_ms >= limit_ms)
    return GG_STALL_QUERY;
  if (state->has_events && state->is_resumable
      && now_ms - state->last_event_ms >= PARTIAL_EVENT_LIMIT_MS)
    return GG_STALL_ABANDON;
  return GG_STALL_NONE;
}
