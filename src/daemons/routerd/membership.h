/** @file
 * The registered instances and the leader among them, which alone sends orders to runners. A
 * registered instance has a key in the store under a lease of its process; a few in each data
 * centre register (see core/roster.h), the others get them from their source. */
#pragma once

#include "core/roster.h"
#include "daemons/routerd/router.h"

typedef struct _GgMembership GgMembership;

/** What this instance is to the others. */
typedef enum
{
  GG_ROLE_UNKNOWN,    /**< The store was not read yet. */
  GG_ROLE_MEMBER,     /**< Not registered; relies on registered ones. */
  GG_ROLE_REGISTERED, /**< Registered, or about to be. */
} GgRole;

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

/** Resigns from leading if a peer knows a position of a later era of the store than this instance.
 */
void gg_membership_note_position (GgMembership *self, uint64_t position);

/** Resigns from leading, since a runner has seen a higher fencing token. */
void gg_membership_resign (GgMembership *self);

/** Resigns from leading and deletes the key of the leader, so that another instance leads: this one
 * can't reach the runners. It leads again only once its links are up. */
void gg_membership_hand_over_leading (GgMembership *self);

/** Whether this instance is registered under a lease that has not expired. */
gboolean gg_membership_has_lease (const GgMembership *self);

/** Whether this instance is being stopped. */
gboolean gg_membership_is_leaving (const GgMembership *self);

/** Returns the address at which this instance receives datagrams of its peers. */
const char *gg_membership_get_address (const GgMembership *self);

GgRole gg_membership_get_role (const GgMembership *self);

/** Whether this instance is registered and ranks first in its data centre, so that it is to watch
 * the store for the others. */
gboolean gg_membership_is_first (const GgMembership *self);

/** Returns the known registered instances: all for a registered instance; those of its data centre
 * and the first one of each other data centre for a member. */
const GgRoster *gg_membership_get_roster (const GgMembership *self);

/** Returns the store's revision up to which the roster is known; 0 while it is not known. */
uint64_t gg_membership_get_roster_revision (const GgMembership *self);

/** Applies a roster that a registered instance has sent.
 * @param peers GgPeer, copied. */
void gg_membership_apply_roster (GgMembership *self, uint64_t revision, const GPtrArray *peers);

/** Reads the registered instances from the store again, since those that a member knows don't
 * respond; called as often as wanted. */
void gg_membership_refresh (GgMembership *self);
