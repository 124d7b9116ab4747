/** @file
 * One instance of each data centre watches the store for the others: they ask it several times a
 * second, and it tells them at once when something changes. An instance that hears nothing good
 * from it watches by itself, as every instance does at its start. */
#pragma once

#include "daemons/routerd/config_watcher.h"
#include "daemons/routerd/membership.h"
#include "daemons/routerd/runner_watcher.h"

/** Parts that the feed connects; not owned. */
typedef struct
{
  GgRouter *router;
  const GgMembership *membership;
  GgConfigWatcher *config_follower;
  GgRunnerWatcher *runner_follower;
} GgDelegatedWatchParams;

/** Pause before a process watches by itself for the first time: those that start together know each
 * other after their second look at the list of instances, and then the source speaks. */
#define GG_DELEGATED_WATCH_START_DELAY_MS 900

GgDelegatedWatch *gg_delegated_watch_create (const GgDelegatedWatchParams *params);
void gg_delegated_watch_destroy (GgDelegatedWatch *self);

/** Takes a datagram of a peer.
 * @return FALSE if it is not for the feed. */
gboolean gg_delegated_watch_receive (GgDelegatedWatch *self, char *bytes, size_t size_bytes);

/** Whether another instance watches the store for this one's data centre and answers, whether or
 * not it reaches the store; NULL is allowed. */
gboolean gg_delegated_watch_has_delegate (const GgDelegatedWatch *self);

/** Tells those that rely on this instance what changed; NULL is allowed. */
void gg_delegated_watch_notify (GgDelegatedWatch *self);
