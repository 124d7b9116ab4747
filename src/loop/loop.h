/** @file
 * Event loop of a single-threaded process: socket readiness, timers and signals. */
#pragma once

#include <glib.h>
#include <stdint.h>

struct event_base;

typedef struct _GgLoop GgLoop;
typedef struct _GgLoopTimer GgLoopTimer;

typedef void (*GgLoopFunc) (void *data);

GgLoop *gg_loop_create (void);
void gg_loop_destroy (GgLoop *self);

/** Runs until gg_loop_stop(); a loop can be run only once. */
void gg_loop_run (GgLoop *self);
void gg_loop_stop (GgLoop *self);

/** Returns the libevent base, for adapters that register their own file descriptors. */
struct event_base *gg_loop_get_base (GgLoop *self);

/** Calls @p func once at the end of the current iteration, before the loop blocks again. Used to
 * free objects that are destroyed inside their own callbacks. */
void gg_loop_defer (GgLoop *self, GgLoopFunc func, void *data);

/** Runs all deferred functions now; for shutdown, after the loop has stopped. */
void gg_loop_run_deferred (GgLoop *self);

/** Calls @p func on each arrival of a signal. */
void gg_loop_watch_signal (GgLoop *self, int signal_number, GgLoopFunc func, void *data);

/** Creates a stopped timer. */
GgLoopTimer *gg_loop_timer_create (GgLoop *self, GgLoopFunc func, void *data);

/** Stops and frees the timer; NULL is allowed. */
void gg_loop_timer_destroy (GgLoopTimer *timer);

/** Calls the timer's function once after @p delay_ms; restarts a running timer. */
void gg_loop_timer_start (GgLoopTimer *timer, uint64_t delay_ms);
void gg_loop_timer_stop (GgLoopTimer *timer);
