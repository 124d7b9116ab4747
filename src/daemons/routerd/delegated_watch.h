/** @file
 * Delegation of the store's watches: one registered instance of each data centre, the first in rank
 * that reaches the store, watches it for the others. They poll it several times a second, and it
 * reports changes to them at once. If it fails, another registered instance takes its place. An
 * instance that finds no such source watches by itself. */
#pragma once

#include "daemons/routerd/config_watcher.h"
#include "daemons/routerd/membership.h"
#include "daemons/routerd/runner_watcher.h"

/** Components that the delegation connects; not owned. */
typedef struct
{
  GgRouter *router;
  GgMembership *membership;
  GgConfigWatcher *config_watcher;
  GgRunnerWatcher *runner_watcher;
} GgDelegatedWatchParams;

/** Delay before a process watches by itself for the first time: processes that start together know
 * each other after reading the list of instances twice, and the delegate responds by then. */
#define GG_DELEGATED_WATCH_START_DELAY_MS 900

GgDelegatedWatch *gg_delegated_watch_create (const GgDelegatedWatchParams *params);
void gg_delegated_watch_destroy (GgDelegatedWatch *self);

/** Handles a datagram of a peer.
 * @return FALSE if it is no watch message. */
gboolean gg_delegated_watch_receive (GgDelegatedWatch *self, char *bytes, size_t size_bytes);

/** Whether another instance is to watch for this one and responds, whether or not it reaches the
 * store; NULL is allowed. */
gboolean gg_delegated_watch_has_delegate (const GgDelegatedWatch *self);

/** Whether this instance watches the store by itself and others may rely on it. */
gboolean gg_delegated_watch_is_source (const GgDelegatedWatch *self);

/** Reports changes to the instances that rely on this one; NULL is allowed. */
void gg_delegated_watch_notify (GgDelegatedWatch *self);

/** Calls @p func with the address of each instance that relies on this one and is not
 * registered. */
void gg_delegated_watch_foreach_member (const GgDelegatedWatch *self,
                                        void (*func) (void *data, const char *address),
                                        void *data);
