/** @file
 * The active instances and the leader among them, which alone sends orders to runners. Both are
 * keys in the store under a lease of this process. */
#pragma once

#include "daemons/routerd/router.h"

typedef struct _GgMembership GgMembership;

/** @param peer_address address at which this instance receives datagrams of its peers. */
GgMembership *gg_membership_create (GgRouter *router, const char *peer_address);
void gg_membership_destroy (GgMembership *self);

/** Ends the lease, so that others take over without waiting for it to expire. */
void gg_membership_leave (GgMembership *self);

/** Whether this instance is the leader and can be sure of it: its lease, counted from the sending
 * of its last renewal and through suspensions, has not expired. */
gboolean gg_membership_is_leader (const GgMembership *self);

/** Returns the fencing token of this leader, which grows with each change of the leader; 0 if this
 * instance does not lead. */
uint64_t gg_membership_get_fencing_number (const GgMembership *self);

/** Resigns from leading, since a runner has seen a higher fencing token. */
void gg_membership_resign (GgMembership *self);

/** Another active instance. */
typedef struct
{
  char *address; /**< At which it receives datagrams of its peers. */
  char *data_centre;
} GgPeer;

/** Returns the address at which this instance receives datagrams of its peers. */
const char *gg_membership_get_address (const GgMembership *self);

/** Returns the address of the delegate that is to watch the store for this instance's data centre,
 * which may be its own; NULL while no instance is known. Instances that know the same peers find
 * the same one. */
const char *gg_membership_find_delegate (const GgMembership *self);

/** The delegates of the other data centres: GgPeer, valid until the next change. */
const GPtrArray *gg_membership_get_remote_delegates (const GgMembership *self);

/** The other active instances: GgPeer, valid until the next change. */
const GPtrArray *gg_membership_get_peers (const GgMembership *self);
