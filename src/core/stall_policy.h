/** @file
 * What to do about a stream that brings no events. A silence is no proof that a runner has stopped,
 * so no run is ended because of it: a hedge is sent, and the first of both runs that brings an
 * event goes on. So a slow stream is not cut while its runner works on it, and a runner that has
 * stopped is replaced before its caller leaves, even if single bytes still arrive. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** State of one stream. */
typedef struct
{
  gboolean has_events;       /**< Its first event was forwarded. */
  gboolean is_resumable;     /**< Another run may continue after the last complete event. */
  gboolean is_suspected;     /**< Its runner does not answer, or its path can't be repaired. */
  gboolean is_paused;        /**< This process does not read, as the caller is slow. */
  uint64_t last_activity_ms; /**< Last bytes received, or sent or rerouted since. */
  uint64_t last_event_ms;    /**< Last complete event, or sent or rerouted since. */
} GgStallState;

typedef enum
{
  GG_STALL_NONE,
  GG_STALL_QUERY, /**< Query the first runner of the path whether the request is stalled. */
  GG_STALL_HEDGE, /**< Send a hedge to another runner as well, beside the query. */
} GgStallAction;

GgStallAction gg_stall_policy_decide (const GgStallState *state, uint64_t now_ms);
