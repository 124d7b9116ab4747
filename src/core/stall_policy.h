/** @file
 * What to do about a stream that brings no events. A slow stream must not be cut while its runner
 * works on it, and one whose runner has stopped must not hold its caller until its time limit, even
 * if single bytes still arrive. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** State of one stream. */
typedef struct
{
  gboolean has_events;       /**< Its first event was forwarded. */
  gboolean is_resumable;     /**< Another run may continue after the last complete event. */
  uint64_t last_activity_ms; /**< Last bytes received, or sent or rerouted since. */
  uint64_t last_event_ms;    /**< Last complete event, or sent or rerouted since. */
} GgStallState;

typedef enum
{
  GG_STALL_NONE,
  GG_STALL_QUERY,   /**< Query the first runner of the path whether the request is stalled. */
  GG_STALL_ABANDON, /**< End this run; the stream is resumed elsewhere. */
} GgStallAction;

GgStallAction gg_stall_policy_decide (const GgStallState *state, uint64_t now_ms);
