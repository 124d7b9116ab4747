/** @file
 * Live instances, and which of them is the one that gives orders. Both are keys in the store
 * under a lease of this process. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgMembership GgMembership;

/** @param peer_address where others tell this instance their work. */
GgMembership *gg_membership_create (GgRouter *router, const char *peer_address);
void gg_membership_destroy (GgMembership *self);

/** Ends the lease, so that others take over without waiting for it to run out. */
void gg_membership_leave (GgMembership *self);

/** Whether this instance is the one that orders, and still can know it: its lease, counted from
 * the sending of its last renewal and through suspensions, has not run out. */
gboolean gg_membership_is_leader (const GgMembership *self);

/** Number that grows with each change of the leader. */
uint64_t gg_membership_get_fence (const GgMembership *self);

/** Gives up leading because a runner has seen a higher fence. */
void gg_membership_resign (GgMembership *self);

/** Another live instance. */
typedef struct
{
  char *address; /**< Where it hears its peers. */
  char *data_centre;
} GgPeer;

/** Returns where this instance hears its peers. */
const char *gg_membership_get_address (const GgMembership *self);

/** Returns the address of the instance that is to watch the store for this one's data centre, its
 * own included; NULL while no instance is known. Instances that know the same peers agree. */
const char *gg_membership_find_source (const GgMembership *self);

/** The instances that watch the store for the other data centres: GgPeer, valid until the next
 * change. */
const GPtrArray *gg_membership_get_far_sources (const GgMembership *self);

/** The other live instances: GgPeer, valid until the next change. */
const GPtrArray *gg_membership_get_peers (const GgMembership *self);
