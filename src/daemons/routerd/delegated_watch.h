/** @file
 * Delegation of the store's watches: one instance of each data centre, the delegate, watches the
 * store for the others. They poll it several times a second, and it reports changes to them at
 * once. An instance that receives no valid report from its delegate watches by itself, as every
 * instance does at its start. */
#pragma once

#include "daemons/routerd/config_watcher.h"
#include "daemons/routerd/membership.h"
#include "daemons/routerd/runner_watcher.h"

/** Components that the delegation connects; not owned. */
typedef struct
{
  GgRouter *router;
  const GgMembership *membership;
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

/** Whether the delegate of this instance's data centre is another instance and responds, whether or
 * not that one reaches the store; NULL is allowed. */
gboolean gg_delegated_watch_has_delegate (const GgDelegatedWatch *self);

/** Reports changes to the instances that rely on this one; NULL is allowed. */
void gg_delegated_watch_notify (GgDelegatedWatch *self);
