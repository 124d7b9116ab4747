#include "core/allocator_election.h"

#include <string.h>

/* After a pause of this length another instance may have succeeded this one. */
#define SUSPENDED_MS 1500
/* An allocator stops this long after it was last confirmed by enough instances, so that its last
 * permits have expired when a candidate that can't reach it takes over. */
#define CONFIRMED_MS 700
/* A new candidate polls for this long at least before it takes over. */
#define PROBE_MS 1000
/* Interval of the polls. */
#define POLL_MS 250
/* An allocator without an answer for this long is sought at other instances. */
#define UNANSWERED_MS 600
/* An allocator that its own list no longer ranks first cedes without a claim after this time: the
 * first one may run a build that does not claim, and allocates from 2.3 s after it became first. */
#define UNCLAIMED_MS 1500
/* Higher terms are not accepted, so that a term can always be followed by another. */
#define MAX_TERM (1ULL << 62)

struct _GgAllocatorElection
{
  char *own_address;
  char *candidate;
  char *former_candidate;
  uint64_t roster_revision;
  uint32_t n_registered;
  gboolean has_lease;
  gboolean is_leaving;

  uint64_t term; /* of the latest known allocator; 0: none */
  char *address; /* of that allocator */
  uint64_t ceded_term;
  uint64_t last_confirmed_ms;   /* when it last confirmed that it allocates */
  uint64_t unanswered_since_ms; /* of the first request that it has not answered; 0 for none */
  uint64_t wait_until_ms;       /* if it is this instance: it does not allocate before this time */
  gboolean
      is_cession_pending; /* others name this instance; its predecessor has not ceded to it yet */
  gboolean is_announced;  /* if it is this instance: the others were polled since */
  GHashTable *confirmed;  /* address -> uint64_t *, when that instance confirmed this one */

  uint64_t candidate_since_ms;
  uint64_t resumed_ms; /* this process has run without a longer pause since then */
  uint64_t updated_ms;
  uint64_t polled_ms;
};

GgAllocatorElection *
gg_allocator_election_create (const char *own_address, uint64_t now_ms)
{
  GgAllocatorElection *self = g_new0 (GgAllocatorElection, 1);
  self->own_address = g_strdup (own_address);
  self->confirmed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->last_confirmed_ms = now_ms;
  self->candidate_since_ms = now_ms;
  self->resumed_ms = now_ms;
  self->updated_ms = now_ms;
  return self;
}

void
gg_allocator_election_destroy (GgAllocatorElection *self)
{
  g_hash_table_unref (self->confirmed);
  g_free (self->own_address);
  g_free (self->candidate);
  g_free (self->former_candidate);
  g_free (self->address);
  g_free (self);
}

static gboolean
is_own (const GgAllocatorElection *self, const char *address)
{
  return g_strcmp0 (self->own_address, address) == 0;
}

static gboolean
is_elected (const GgAllocatorElection *self)
{
  return self->term > 0 && is_own (self, self->address);
}

/* Whether the store shows that this instance is the first one. */
static gboolean
is_first (const GgAllocatorElection *self)
{
  return self->has_lease && !self->is_leaving && is_own (self, self->candidate);
}

static gboolean
is_confirmed (const GgAllocatorElection *self, uint64_t now_ms)
{
  uint32_t n = 1;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->confirmed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += now_ms <= *(const uint64_t *) value + CONFIRMED_MS;
  return 2 * n >= self->n_registered;
}

static void
set_allocator (GgAllocatorElection *self, uint64_t term, const char *address, uint64_t now_ms)
{
  char *copy = g_strdup (address);
  g_free (self->address);
  self->address = copy;
  self->term = term;
  self->last_confirmed_ms = now_ms;
  self->unanswered_since_ms = 0;
  self->is_cession_pending = FALSE;
  self->is_announced = FALSE;
  g_hash_table_remove_all (self->confirmed);
}

static void
set_candidate (GgAllocatorElection *self, const char *candidate, uint64_t now_ms)
{
  if (g_strcmp0 (self->candidate, candidate) == 0)
    return;
  if (self->candidate != NULL)
    {
      g_free (self->former_candidate);
      self->former_candidate = self->candidate;
    }
  self->candidate = g_strdup (candidate);
  self->candidate_since_ms = now_ms;
  if (self->term == 0)
    g_hash_table_remove_all (self->confirmed);
}

static void
note_suspension (GgAllocatorElection *self, uint64_t now_ms)
{
  self->resumed_ms = now_ms;
  self->wait_until_ms = now_ms + GG_ALLOCATOR_TAKEOVER_MS;
  self->last_confirmed_ms = now_ms;
  self->unanswered_since_ms = 0;
  self->is_cession_pending = FALSE;
  g_hash_table_remove_all (self->confirmed);
}

/* Whether this instance, which is not the allocator, is to succeed it now. */
static gboolean
is_election_due (const GgAllocatorElection *self, uint64_t now_ms)
{
  if (!is_own (self, self->candidate) || self->is_leaving
      || now_ms < self->resumed_ms + GG_ALLOCATOR_TAKEOVER_MS)
    return FALSE;
  if (self->term == 0)
    return now_ms >= self->candidate_since_ms + GG_ALLOCATOR_TAKEOVER_MS
           && (self->has_lease || is_confirmed (self, now_ms));
  return self->has_lease && now_ms >= self->last_confirmed_ms + GG_ALLOCATOR_TAKEOVER_MS
         && now_ms >= self->candidate_since_ms + PROBE_MS;
}

void
gg_allocator_election_update (GgAllocatorElection *self,
                              const GgElectionMembership *membership,
                              uint64_t now_ms)
{
  if (now_ms > self->updated_ms + SUSPENDED_MS)
    note_suspension (self, now_ms);
  self->updated_ms = now_ms;
  self->roster_revision = membership->roster_revision;
  self->n_registered = membership->n_registered;
  self->has_lease = membership->has_lease;
  self->is_leaving = membership->is_leaving;
  set_candidate (self, membership->candidate, now_ms);
  if (is_elected (self))
    {
      if (self->has_lease && self->candidate != NULL && !is_own (self, self->candidate)
          && now_ms >= self->candidate_since_ms + UNCLAIMED_MS)
        set_allocator (self, self->term + 1, self->candidate, now_ms);
    }
  else if (is_election_due (self, now_ms))
    {
      set_allocator (self, MAX (self->term + 1, self->roster_revision), self->own_address, now_ms);
      self->wait_until_ms = now_ms;
    }
}

/* Of two instances that were elected for the same term, the lower address prevails. */
static gboolean
is_later (const GgAllocatorElection *self, const GgAllocatorView *view)
{
  return view->term > self->term
         || (view->term == self->term && view->term > 0
             && strcmp (view->address, self->address) < 0);
}

static gboolean
is_same (const GgAllocatorView *a, const GgAllocatorView *b)
{
  return a->term == b->term && g_strcmp0 (a->address, b->address) == 0;
}

void
gg_allocator_election_note_view (GgAllocatorElection *self,
                                 const char *sender,
                                 gboolean is_registered,
                                 const GgAllocatorView *view,
                                 uint64_t now_ms)
{
  if (view->address == NULL || view->term > MAX_TERM)
    return;
  if (is_later (self, view))
    {
      set_allocator (self, view->term, view->address, now_ms);
      self->wait_until_ms = now_ms + GG_ALLOCATOR_TAKEOVER_MS;
      self->is_cession_pending = is_own (self, view->address);
    }
  GgAllocatorView own = gg_allocator_election_get_view (self);
  if (!is_same (view, &own))
    return;
  if (is_own (self, view->address))
    {
      if (self->is_cession_pending && view->is_ceded)
        {
          self->is_cession_pending = FALSE;
          self->wait_until_ms = now_ms;
        }
      gg_allocator_election_note_confirmation (self, sender, is_registered, now_ms);
    }
  else if (strcmp (sender, view->address) == 0)
    {
      self->last_confirmed_ms = now_ms;
      self->unanswered_since_ms = 0;
    }
}

void
gg_allocator_election_note_confirmation (GgAllocatorElection *self,
                                         const char *sender,
                                         gboolean is_registered,
                                         uint64_t now_ms)
{
  if (is_registered && is_own (self, gg_allocator_election_get_allocator (self)))
    g_hash_table_replace (self->confirmed, g_strdup (sender), g_memdup2 (&now_ms, sizeof now_ms));
}

void
gg_allocator_election_note_claim (GgAllocatorElection *self, const char *claimant, uint64_t now_ms)
{
  if (is_own (self, claimant) || !gg_allocator_election_is_allocating (self, now_ms)
      || (!self->is_leaving && g_strcmp0 (self->candidate, claimant) != 0))
    return;
  set_allocator (self, self->term + 1, claimant, now_ms);
  self->ceded_term = self->term;
}

void
gg_allocator_election_note_request (GgAllocatorElection *self, uint64_t now_ms)
{
  if (self->unanswered_since_ms == 0)
    self->unanswered_since_ms = now_ms;
}

void
gg_allocator_election_note_reply (GgAllocatorElection *self, const char *sender)
{
  if (g_strcmp0 (sender, gg_allocator_election_get_allocator (self)) == 0)
    self->unanswered_since_ms = 0;
}

const char *
gg_allocator_election_get_allocator (const GgAllocatorElection *self)
{
  return self->term > 0 ? self->address : self->candidate;
}

const char *
gg_allocator_election_get_former_candidate (const GgAllocatorElection *self)
{
  return self->former_candidate;
}

gboolean
gg_allocator_election_is_allocating (const GgAllocatorElection *self, uint64_t now_ms)
{
  return is_elected (self) && now_ms >= self->wait_until_ms
         && now_ms <= self->updated_ms + SUSPENDED_MS
         && (is_first (self) || is_confirmed (self, now_ms));
}

gboolean
gg_allocator_election_is_claiming (const GgAllocatorElection *self)
{
  return is_first (self) && !is_elected (self);
}

GgAllocatorView
gg_allocator_election_get_view (const GgAllocatorElection *self)
{
  return (GgAllocatorView){ .term = self->term,
                            .address = gg_allocator_election_get_allocator (self),
                            .is_ceded = self->term > 0 && self->term == self->ceded_term };
}

static GgAllocatorPoll
choose_poll (const GgAllocatorElection *self, uint64_t now_ms)
{
  if (is_elected (self))
    return is_first (self) && self->is_announced && now_ms >= self->wait_until_ms
               ? GG_ALLOCATOR_POLL_NONE
               : GG_ALLOCATOR_POLL_ALL;
  if (is_own (self, self->candidate) && !self->is_leaving && self->term == 0)
    return GG_ALLOCATOR_POLL_ALL;
  if (is_first (self))
    return now_ms > self->last_confirmed_ms + UNANSWERED_MS ? GG_ALLOCATOR_POLL_ALL
                                                            : GG_ALLOCATOR_POLL_ALLOCATOR;
  return self->unanswered_since_ms != 0 && now_ms > self->unanswered_since_ms + UNANSWERED_MS
             ? GG_ALLOCATOR_POLL_ONE
             : GG_ALLOCATOR_POLL_NONE;
}

GgAllocatorPoll
gg_allocator_election_get_poll (GgAllocatorElection *self, uint64_t now_ms)
{
  GgAllocatorPoll poll = choose_poll (self, now_ms);
  if (poll == GG_ALLOCATOR_POLL_NONE || now_ms < self->polled_ms + POLL_MS)
    return GG_ALLOCATOR_POLL_NONE;
  self->polled_ms = now_ms;
  self->is_announced = self->is_announced || poll == GG_ALLOCATOR_POLL_ALL;
  return poll;
}
