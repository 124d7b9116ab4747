/** @file
 * Decides which instance allocates the permits for the runners of a data centre (see
 * limit_allocator.h). Instances may know different lists of registered instances for a long time,
 * as while the store serves some of them only, so the list alone decides nothing. Each allocator is
 * elected for a term, each message states the latest term that its sender knows, and an allocator
 * that others can reach stays until it cedes:
 * - The candidate, the registered instance that ranks first, claims the office from the allocator
 *   of the latest term. An allocator whose own list also ranks the claimant first cedes at once;
 *   one whose list does not, since the store rejects its calls, goes on.
 * - A candidate with a lease succeeds an allocator that does not respond.
 * - An allocator without a lease, or that its own list does not rank first, allocates only while
 *   at least half of the registered instances that it knows confirm it.
 * Terms are those of Raft (Ongaro and Ousterhout, 2014). Unlike there no majority elects: the
 * store's list names the candidate, so that a few instances that the store serves can go on without
 * the rest. Times are CLOCK_BOOTTIME, so that a suspension of this machine counts as time without
 * contact. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** An instance to which its predecessor has not ceded waits this long after the last message of
 * that one, whose permits and confirmations have expired by then. */
#define GG_ALLOCATOR_TAKEOVER_MS 2300

typedef struct _GgAllocatorElection GgAllocatorElection;

/** What this instance knows of the registered instances. */
typedef struct
{
  const char *candidate;    /**< Address of the one that ranks first; NULL for none. */
  uint64_t roster_revision; /**< Position in the store up to which they are known. */
  uint32_t n_registered;    /**< Their number, this instance included. */
  gboolean has_lease;       /**< This instance is registered under a valid lease. */
  gboolean is_leaving;      /**< This instance is being stopped. */
} GgElectionMembership;

/** The allocator as an instance knows it. */
typedef struct
{
  uint64_t term;       /**< Grows with each change; 0: none was elected. */
  const char *address; /**< "IP:PORT"; for the term 0 that of the candidate. NULL for none. */
  gboolean is_ceded;   /**< The sender of this view was the allocator and has ceded to it. */
} GgAllocatorView;

/** Which instances to request views from. */
typedef enum
{
  GG_ALLOCATOR_POLL_NONE,
  GG_ALLOCATOR_POLL_ALLOCATOR, /**< The allocator. */
  GG_ALLOCATOR_POLL_ONE,       /**< One of the registered instances, in turn. */
  GG_ALLOCATOR_POLL_ALL,       /**< All of them, the allocator and the former candidate. */
} GgAllocatorPoll;

GgAllocatorElection *gg_allocator_election_create (const char *own_address, uint64_t now_ms);
void gg_allocator_election_destroy (GgAllocatorElection *self);

/** Updates the membership, and elects this instance if it is due. To be called several times a
 * second. */
void gg_allocator_election_update (GgAllocatorElection *self,
                                   const GgElectionMembership *membership,
                                   uint64_t now_ms);

/** Records what another instance states.
 * @param is_registered whether this instance knows the sender as registered. */
void gg_allocator_election_note_view (GgAllocatorElection *self,
                                      const char *sender,
                                      gboolean is_registered,
                                      const GgAllocatorView *view,
                                      uint64_t now_ms);

/** Records that another instance takes this one for the allocator, as a request of a build that
 * states no view shows.
 * @param is_registered as above. */
void gg_allocator_election_note_confirmation (GgAllocatorElection *self,
                                              const char *sender,
                                              gboolean is_registered,
                                              uint64_t now_ms);

/** Handles the claim of a candidate: this instance cedes to it if it is the allocator and either
 * leaves or ranks the claimant first too. */
void
gg_allocator_election_note_claim (GgAllocatorElection *self, const char *claimant, uint64_t now_ms);

/** Records that permits were requested from the allocator, or that it has answered. */
void gg_allocator_election_note_request (GgAllocatorElection *self, uint64_t now_ms);
void gg_allocator_election_note_reply (GgAllocatorElection *self, const char *sender);

/** Returns the address of the instance to request permits from, valid until the next change; NULL
 * if none is known. */
const char *gg_allocator_election_get_allocator (const GgAllocatorElection *self);

/** Returns the address of the candidate before the present one; NULL if there was none. */
const char *gg_allocator_election_get_former_candidate (const GgAllocatorElection *self);

/** Whether this instance may hand out permits now. */
gboolean gg_allocator_election_is_allocating (const GgAllocatorElection *self, uint64_t now_ms);

/** Whether this instance claims to become the allocator. */
gboolean gg_allocator_election_is_claiming (const GgAllocatorElection *self);

/** Returns the view of this instance; its address is valid until the next change. */
GgAllocatorView gg_allocator_election_get_view (const GgAllocatorElection *self);

/** Returns which instances the caller is to poll now. */
GgAllocatorPoll gg_allocator_election_get_poll (GgAllocatorElection *self, uint64_t now_ms);
