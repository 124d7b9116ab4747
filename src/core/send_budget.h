/** @file
 * Bounds a service's retries (sends after the first one of a request) over a sliding window, for
 * all instances together. Each instance uses its own share of the budget, so that no coordination
 * is needed. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgSendBudget GgSendBudget;

/** @param window_ms length of the window.
 *  @param ratio retries allowed per request in the window.
 *  @param extra additional retries allowed per window, for all instances together.
 *  @param started_ms when this process started (monotonic); what an earlier process of this
 *    instance has spent is not known. */
GgSendBudget *
gg_send_budget_create (uint64_t window_ms, double ratio, double extra, uint64_t started_ms);
void gg_send_budget_destroy (GgSendBudget *self);

/** Sets how many instances share the additional retries; before the first call many are assumed. A
 * higher number applies at once, a lower one after a full window, since the instances that are gone
 * may have spent their shares. */
void gg_send_budget_set_instances (GgSendBudget *self, uint32_t n_instances, uint64_t now_ms);

/** Records a caller's request. */
void gg_send_budget_note_request (GgSendBudget *self, uint64_t now_ms);

/** Why a request is sent again. */
typedef enum
{
  GG_RETRY_REASON_REFUSED, /**< Not executed; its caller could also be told to retry later. */
  GG_RETRY_REASON_LOST,    /**< Its answer was lost or its stream was cut; only a retry can help. */
} GgRetryReason;

/** Returns whether gg_send_budget_withdraw() would succeed now. */
gboolean gg_send_budget_may_withdraw (GgSendBudget *self, GgRetryReason reason, uint64_t now_ms);

/** Takes one retry from this instance's share. Part of the budget is reserved for
 * GG_RETRY_REASON_LOST.
 * @return FALSE if this instance's share of the window is spent. */
gboolean gg_send_budget_withdraw (GgSendBudget *self, GgRetryReason reason, uint64_t now_ms);
