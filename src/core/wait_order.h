/** @file
 * Order and length of the queue of requests that wait for free capacity. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** One queued request. */
typedef struct
{
  const char *service;       /**< Whose capacity it waits for. */
  double usable_memory;      /**< Part of the runners' request memory it may use, 0 to 1. */
  uint32_t priority;         /**< 0 is the highest. */
  uint64_t received_ms;      /**< Arrival time (monotonic). */
  uint64_t waiting_since_ms; /**< When its caller began to wait: its arrival, or the last event of a
                              * stream that is to be resumed (monotonic). */
  uint64_t latency_target_ms; /**< Latency target of its route. */
} GgQueuedRequest;

/** Returns whether @p a precedes @p b at @p now_ms: requests that can still meet their latency
 * target precede those that can't; then by priority, then by arrival. */
gboolean
gg_wait_order_is_before (const GgQueuedRequest *a, const GgQueuedRequest *b, uint64_t now_ms);

/** One pass over the queue, in which requests are tried in their order. One that finds no capacity
 * blocks the later ones of its service, except those that may use more of the runners' memory. */
typedef struct _GgWaitPass GgWaitPass;

GgWaitPass *gg_wait_pass_create (void);
void gg_wait_pass_destroy (GgWaitPass *self);

/** Records that a request found no capacity; its service name must outlive the pass. */
void gg_wait_pass_note_full (GgWaitPass *self, const GgQueuedRequest *request);

/** Returns whether a request need not be tried in this pass. */
gboolean gg_wait_pass_is_blocked (const GgWaitPass *self, const GgQueuedRequest *request);

/** Returns whether a request may be queued behind @p n_waiting others of its service.
 * @param n_per_s recent rate at which queued requests of the service were sent, per second. */
gboolean gg_wait_order_may_queue (guint n_waiting, double n_per_s);

/** Returns whether its caller has waited for so long that it is likely to leave before the request
 * is served. */
gboolean gg_wait_order_is_expired (const GgQueuedRequest *request, uint64_t now_ms);

/** Returns the maximum time in the queue in milliseconds; callers disconnect soon after it. */
uint64_t gg_wait_order_get_max_wait_ms (void);
