/** @file
 * Periodic callbacks on one timer thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgTimerService GgTimerService;

/** Runs on the timer thread; must not block for longer than a few milliseconds. */
typedef void (*GgTimerFunc) (void *data);

/** Starts the timer thread. */
GgTimerService *gg_timer_service_create (void);

/** Waits for a running callback to return, stops the thread and frees all subscriptions. */
void gg_timer_service_destroy (GgTimerService *self);

/** Calls @p func every @p period_ms, with up to @p jitter_ms added to each wait, until the service
 * is destroyed.
 * @param period_ms milliseconds, at least 1. */
void gg_timer_service_subscribe (
    GgTimerService *self, uint64_t period_ms, uint64_t jitter_ms, GgTimerFunc func, void *data);
