/** @file
 * Decides whether an instance may rely on the delegate of its data centre, the instance that
 * watches the store for the others, instead of watching the store itself. Times are CLOCK_BOOTTIME,
 * so that a suspension of this machine counts as time without a report. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct
{
  uint32_t n_valid_reports; /**< Consecutive valid reports. */
  uint64_t last_valid_ms;   /**< When the request for the latest valid report was sent. */
  uint64_t last_status_ms;  /**< When the request for the latest report was sent, valid or not. */
  gboolean has_failed;      /**< Valid reports were received, then one was missing or invalid. */
} GgWatchDelegation;

/** State of an instance's own watch of the store. */
typedef struct
{
  gboolean is_delegate;    /**< It considers itself the delegate, and it reaches the store. */
  uint64_t age_ms;         /**< Upper bound of the time since its configuration was last known to be
                            * the newest one. */
  uint64_t runners_age_ms; /**< Upper bound of the time since its list of runners was last known to
                            * be complete. */
} GgWatchStatus;

/** Records a status that was requested at @p requested_ms. One that is not valid (not a delegate,
 * or a view that is too old) ends the delegation at once. */
void gg_watch_delegation_note_status (GgWatchDelegation *self,
                                      const GgWatchStatus *status,
                                      uint64_t requested_ms);

/** Returns whether the delegate still responds, so that its status will show when the store is
 * available again. */
gboolean gg_watch_delegation_has_delegate (const GgWatchDelegation *self, uint64_t now_ms);

/** Resets the state: this instance is the only candidate for the delegate. */
void gg_watch_delegation_reset (GgWatchDelegation *self);

/** Returns whether to rely on the delegate now. */
gboolean gg_watch_delegation_is_active (const GgWatchDelegation *self, uint64_t now_ms);

/** Returns the latest time at which the configuration is proven to have been the newest one, 0 if
 * the status proves nothing. The delegate computed the age some time after the request was sent, so
 * the time of the request less the age is a safe bound. */
uint64_t gg_watch_status_get_proven_ms (const GgWatchStatus *self, uint64_t requested_ms);

/** The same for the list of runners. */
uint64_t gg_watch_status_get_runners_proven_ms (const GgWatchStatus *self, uint64_t requested_ms);
