/** @file
 * One instance of each data centre watches the store for the others: they ask it several times a
 * second, and it tells them at once when something changes. An instance that hears nothing good
 * from it watches by itself, as every instance does at its start. */
#pragma once

#include "daemons/routerd/config_follower.h"
#include "daemons/routerd/membership.h"
#include "daemons/routerd/runner_follower.h"

/** Parts that the feed connects; not owned. */
typedef struct
{
  GgRouter *router;
  const GgMembership *membership;
  GgConfigFollower *config_follower;
  GgRunnerFollower *runner_follower;
} GgStoreFeedParams;

/** Pause before a process watches by itself for the first time: those that start together know each
 * other after their second look at the list of instances, and then the source speaks. */
#define GG_STORE_FEED_FIRST_PAUSE_MS 900

GgStoreFeed *gg_store_feed_create (const GgStoreFeedParams *params);
void gg_store_feed_destroy (GgStoreFeed *self);

/** Takes a datagram of a peer.
 * @return FALSE if it is not for the feed. */
gboolean gg_store_feed_take (GgStoreFeed *self, char *bytes, size_t size_bytes);

/** Whether another instance watches the store for this one's data centre and answers, whether or
 * not it reaches the store; NULL is allowed. */
gboolean gg_store_feed_has_source (const GgStoreFeed *self);

/** Tells those that rely on this instance what changed; NULL is allowed. */
void gg_store_feed_tell (GgStoreFeed *self);
