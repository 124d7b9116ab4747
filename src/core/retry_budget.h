/** @file
 * Retry budget: limits retries to a percentage of first attempts. Thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgRetryBudget GgRetryBudget;

/** @param percent retries allowed per hundred first attempts.
 *  @param reserve retries allowed before any first attempt, so that an idle process can retry. */
GgRetryBudget *gg_retry_budget_create (uint32_t percent, uint32_t reserve);
void gg_retry_budget_destroy (GgRetryBudget *self);

/** Records a first attempt. */
void gg_retry_budget_deposit (GgRetryBudget *self);

/** Takes one retry.
 * @return FALSE if the budget is exhausted or @p deadline_ms has passed. */
gboolean gg_retry_budget_withdraw (GgRetryBudget *self, uint64_t now_ms, uint64_t deadline_ms);
