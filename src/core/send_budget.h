/** @file
 * Bounds the sends of a service beyond the first of each request, over a sliding window that all
 * instances share. Each instance takes its part, so that none has to ask another. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgSendBudget GgSendBudget;

/** @param window_ms length of the window.
 *  @param ratio repeats allowed for each request in the window.
 *  @param extra repeats allowed besides, for all instances together.
 *  @param started_ms when this process started (monotonic): what it may have spent before that is
 *  not known here. */
GgSendBudget *
gg_send_budget_create (uint64_t window_ms, double ratio, uint32_t extra, uint64_t started_ms);
void gg_send_budget_destroy (GgSendBudget *self);

/** Sets how many instances share the extra; until the first call many are assumed. A higher number
 * counts at once, a lower one after a window, since the others may have spent their part. */
void gg_send_budget_set_sharers (GgSendBudget *self, uint32_t n_sharers, uint64_t now_ms);

/** Records a caller's request. */
void gg_send_budget_note_request (GgSendBudget *self, uint64_t now_ms);

/** Why a request is sent once more. */
typedef enum
{
  GG_REPEAT_REFUSED, /**< It has not run: its caller could also be told to come back. */
  GG_REPEAT_LOST,    /**< Its answer was lost, or its stream was cut: there is no other way. */
} GgRepeatReason;

/** Takes one repeat. A part of the budget is kept for what was lost.
 * @return FALSE if this instance's part of the window is spent. */
gboolean gg_send_budget_take (GgSendBudget *self, GgRepeatReason reason, uint64_t now_ms);
