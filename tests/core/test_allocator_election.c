/* Guards against two instances that allocate the permits of the same runners at the same time, and
 * against runners without an allocator: instances that know different lists of registered
 * instances, as while the store rejects the calls of some, with datagrams that are lost, late or
 * repeated, instances that stop, restart and are suspended. */
#include "core/allocator_election.h"
#include "seeds.h"
#include "test_main.h"

#include <string.h>

#define N_INSTANCES 6
#define TICK_MS 10
#define UPDATE_MS 150
#define LEASE_MS 3000
/* Leases count as expired at their holders this long before they do at the store. */
#define LEASE_MARGIN_MS 500
#define STARTED_MS 4000
/* The instance that ranks first is added then. */
#define ADDED_MS 8000
#define DURATION_MS 60000
#define MAX_DELAY_MS 40
#define N_SEEDS 200
/* Time without an allocator after a candidate was stopped or suspended: its lease ends, and its
 * successor waits. */
#define MAX_GAP_MS (LEASE_MS + GG_ALLOCATOR_TAKEOVER_MS + 2000)
#define ADDRESS_BYTES 24

/* What a run leaves out, to show that the check detects its absence. */
typedef enum
{
  WITHOUT_NOTHING,
  WITHOUT_VIEWS,  /* instances don't exchange views */
  WITHOUT_CLAIMS, /* an allocator cedes only when it does not respond */
} Omission;

typedef struct
{
  GgAllocatorElection *election; /* NULL while it is stopped */
  char address[ADDRESS_BYTES];
  gboolean is_served;  /* by the store */
  uint64_t lease_ms;   /* end of its lease at the store */
  uint8_t roster;      /* set of registered instances, as it knows it */
  uint64_t revision;   /* of that */
  uint64_t next_ms;    /* of its next update */
  uint64_t resumes_ms; /* it is suspended until then */
  uint64_t excused_ms; /* it was stopped or suspended last; 0: never */
} Instance;

typedef struct
{
  guint sender;
  guint receiver;
  uint64_t due_ms;
  GgAllocatorView view;
  char address[ADDRESS_BYTES];
  gboolean is_poll;
  gboolean is_claim;
} Datagram;

typedef struct
{
  GRand *rand;
  Omission omission;
  gboolean has_stops; /* instances are stopped and suspended */
  gboolean has_losses;
  Instance instances[N_INSTANCES];
  GPtrArray *datagrams; /* Datagram */
  uint8_t registered;   /* at the store */
  uint64_t revision;
  uint64_t now_ms;
  uint64_t allocated_ms; /* when there was an allocator last */
} Fleet;

static guint
find_first (uint8_t roster)
{
  guint i = 0;
  while (i < N_INSTANCES && (roster & 1U << i) == 0)
    i++;
  return i;
}

static void
post (Fleet *f, guint sender, guint receiver, gboolean is_poll)
{
  const GgAllocatorElection *election = f->instances[sender].election;
  if (sender == receiver || f->omission == WITHOUT_VIEWS)
    return;
  for (guint n = f->has_losses && seeds_chance (f->rand, 3) ? 2 : 1; n > 0; n--)
    {
      if (f->has_losses && seeds_chance (f->rand, 5))
        continue;
      Datagram *datagram = g_new0 (Datagram, 1);
      datagram->sender = sender;
      datagram->receiver = receiver;
      datagram->due_ms = f->now_ms + (uint64_t) g_rand_int_range (f->rand, 1, MAX_DELAY_MS);
      datagram->view = gg_allocator_election_get_view (election);
      g_strlcpy (datagram->address, datagram->view.address != NULL ? datagram->view.address : "",
                 sizeof datagram->address);
      datagram->view.address = datagram->address;
      datagram->is_poll = is_poll;
      datagram->is_claim = is_poll && f->omission != WITHOUT_CLAIMS
                           && gg_allocator_election_is_claiming (election);
      g_ptr_array_add (f->datagrams, datagram);
    }
}

static guint
find_address (const Fleet *f, const char *address)
{
  guint i = 0;
  while (i < N_INSTANCES && g_strcmp0 (f->instances[i].address, address) != 0)
    i++;
  return i;
}

static void
post_to (Fleet *f, guint sender, const char *address)
{
  guint receiver = find_address (f, address);
  if (receiver < N_INSTANCES)
    post (f, sender, receiver, TRUE);
}

static void
receive (Fleet *f, const Datagram *datagram)
{
  const Instance *instance = &f->instances[datagram->receiver];
  const char *sender = f->instances[datagram->sender].address;
  if (instance->election == NULL)
    return;
  gg_allocator_election_note_view (instance->election, sender,
                                   (instance->roster & 1U << datagram->sender) != 0,
                                   &datagram->view, f->now_ms);
  if (datagram->is_claim)
    gg_allocator_election_note_claim (instance->election, sender, f->now_ms);
  if (datagram->is_poll)
    post (f, datagram->receiver, datagram->sender, FALSE);
}

static void
poll (Fleet *f, guint i)
{
  GgAllocatorElection *election = f->instances[i].election;
  switch (gg_allocator_election_get_poll (election, f->now_ms))
    {
    case GG_ALLOCATOR_POLL_NONE:
      break;
    case GG_ALLOCATOR_POLL_ALLOCATOR:
      post_to (f, i, gg_allocator_election_get_allocator (election));
      break;
    case GG_ALLOCATOR_POLL_ONE:
      post (f, i, (guint) g_rand_int_range (f->rand, 0, N_INSTANCES), TRUE);
      break;
    case GG_ALLOCATOR_POLL_ALL:
      for (guint k = 0; k < N_INSTANCES; k++)
        if ((f->instances[i].roster & 1U << k) != 0)
          post (f, i, k, TRUE);
      post_to (f, i, gg_allocator_election_get_allocator (election));
      post_to (f, i, gg_allocator_election_get_former_candidate (election));
      break;
    }
}

static guint
count_others (const Fleet *f, guint i)
{
  guint n = 0;
  for (guint k = 0; k < N_INSTANCES; k++)
    n += k != i && (f->instances[i].roster & 1U << k) != 0;
  return n;
}

static void
update (Fleet *f, guint i)
{
  Instance *instance = &f->instances[i];
  if (instance->is_served)
    {
      if ((f->registered & 1U << i) == 0)
        {
          f->registered |= (uint8_t) (1U << i);
          f->revision++;
        }
      instance->lease_ms = f->now_ms + LEASE_MS;
      instance->roster = f->registered;
      instance->revision = f->revision;
    }
  guint first = find_first (instance->roster);
  GgElectionMembership membership
      = { .candidate = first < N_INSTANCES ? f->instances[first].address : NULL,
          .roster_revision = instance->revision,
          .n_registered = count_others (f, i) + 1,
          .has_lease = f->now_ms + LEASE_MARGIN_MS < instance->lease_ms };
  gg_allocator_election_update (instance->election, &membership, f->now_ms);
  /* Each instance requests permits all the time. */
  const char *allocator = gg_allocator_election_get_allocator (instance->election);
  gg_allocator_election_note_request (instance->election, f->now_ms);
  post_to (f, i, allocator);
  poll (f, i);
}

static void
start (Fleet *f, guint i)
{
  Instance *instance = &f->instances[i];
  instance->election = gg_allocator_election_create (instance->address, f->now_ms);
  instance->roster = 0;
  instance->revision = 0;
  instance->lease_ms = 0;
  instance->next_ms = f->now_ms + (uint64_t) g_rand_int_range (f->rand, 0, UPDATE_MS);
}

static void
stop (Fleet *f, guint i)
{
  g_clear_pointer (&f->instances[i].election, gg_allocator_election_destroy);
}

/* The store rejects up to a third of the instances from now on; some stop or are suspended. */
static void
disturb (Fleet *f)
{
  if (!seeds_chance (f->rand, 40))
    return;
  for (guint i = 0; i < N_INSTANCES; i++)
    f->instances[i].is_served = TRUE;
  for (gint n = g_rand_int_range (f->rand, 0, N_INSTANCES / 3 + 1); n > 0; n--)
    f->instances[g_rand_int_range (f->rand, 0, N_INSTANCES)].is_served = FALSE;
  if (!f->has_stops || !seeds_chance (f->rand, 30))
    return;
  guint i = (guint) g_rand_int_range (f->rand, 0, N_INSTANCES);
  Instance *instance = &f->instances[i];
  instance->excused_ms = f->now_ms;
  if (instance->election == NULL || f->now_ms < instance->resumes_ms)
    return;
  if (seeds_chance (f->rand, 50))
    {
      stop (f, i);
      instance->resumes_ms = f->now_ms + (uint64_t) g_rand_int_range (f->rand, 500, 4000);
    }
  else
    instance->resumes_ms = f->now_ms + (uint64_t) g_rand_int_range (f->rand, 1600, 4000);
}

static void
expire_leases (Fleet *f)
{
  for (guint i = 0; i < N_INSTANCES; i++)
    if ((f->registered & 1U << i) != 0 && f->now_ms >= f->instances[i].lease_ms)
      {
        f->registered &= (uint8_t) ~(1U << i);
        f->revision++;
      }
}

static void
step (Fleet *f)
{
  expire_leases (f);
  for (guint k = f->datagrams->len; k-- > 0;)
    {
      const Datagram *datagram = g_ptr_array_index (f->datagrams, k);
      if (f->now_ms < datagram->due_ms || f->now_ms < f->instances[datagram->receiver].resumes_ms)
        continue;
      receive (f, datagram);
      g_ptr_array_remove_index_fast (f->datagrams, k);
    }
  for (guint i = 0; i < N_INSTANCES; i++)
    {
      Instance *instance = &f->instances[i];
      if (f->now_ms < instance->resumes_ms)
        {
          if (instance->excused_ms > 0)
            instance->excused_ms = f->now_ms;
          continue;
        }
      if (instance->election == NULL)
        start (f, i);
      if (f->now_ms >= instance->next_ms)
        {
          update (f, i);
          instance->next_ms = f->now_ms + (uint64_t) g_rand_int_range (f->rand, 120, 180);
        }
    }
}

/* @return a description of what is broken now, or NULL. */
static char *
check_now (Fleet *f)
{
  guint n = 0;
  for (guint i = 0; i < N_INSTANCES; i++)
    n += f->instances[i].election != NULL && f->now_ms >= f->instances[i].resumes_ms
         && gg_allocator_election_is_allocating (f->instances[i].election, f->now_ms);
  if (n > 0)
    f->allocated_ms = f->now_ms;
  uint64_t excused_ms = 0;
  for (guint i = 0; i < N_INSTANCES; i++)
    excused_ms = MAX (excused_ms, f->instances[i].excused_ms);
  if (n > 1)
    return g_strdup_printf ("%u allocators at %" G_GUINT64_FORMAT " ms", n, (guint64) f->now_ms);
  /* Without stops an allocator cedes, and its successor begins within the delay of datagrams.
   */
  uint64_t max_gap_ms = f->has_stops ? MAX_GAP_MS : 10 * MAX_DELAY_MS;
  if (f->now_ms > MAX (f->allocated_ms, MAX (excused_ms, STARTED_MS)) + max_gap_ms)
    return g_strdup_printf ("no allocator since %" G_GUINT64_FORMAT " ms at %" G_GUINT64_FORMAT,
                            (guint64) f->allocated_ms, (guint64) f->now_ms);
  return NULL;
}

static char *
run (GRand *rand, gboolean has_stops, gboolean has_losses, Omission omission)
{
  Fleet f = { .rand = rand,
              .omission = omission,
              .has_stops = has_stops,
              .has_losses = has_losses,
              .datagrams = g_ptr_array_new_with_free_func (g_free),
              .revision = 1 };
  char *failure = NULL;
  f.now_ms = 1000;
  for (guint i = 0; i < N_INSTANCES; i++)
    {
      g_snprintf (f.instances[i].address, ADDRESS_BYTES, "10.0.0.%u:7100", i + 1);
      f.instances[i].is_served = TRUE;
      if (i == 0)
        f.instances[i].resumes_ms = ADDED_MS;
      else
        start (&f, i);
    }
  for (; f.now_ms < DURATION_MS && failure == NULL; f.now_ms += TICK_MS)
    {
      step (&f);
      if (f.now_ms > STARTED_MS + 1000 && f.now_ms % 1000 == 0)
        disturb (&f);
      failure = check_now (&f);
    }
  for (guint i = 0; i < N_INSTANCES; i++)
    if (f.instances[i].election != NULL)
      stop (&f, i);
  g_ptr_array_unref (f.datagrams);
  return failure;
}

static char *
check_rejected (GRand *rand)
{
  return run (rand, FALSE, FALSE, WITHOUT_NOTHING);
}

static char *
check_stops (GRand *rand)
{
  return run (rand, TRUE, FALSE, WITHOUT_NOTHING);
}

static char *
check_losses (GRand *rand)
{
  return run (rand, TRUE, TRUE, WITHOUT_NOTHING);
}

static void
test_rejected (void)
{
  seeds_run (check_rejected, N_SEEDS);
}

static void
test_stops (void)
{
  seeds_run (check_stops, N_SEEDS);
}

static void
test_losses (void)
{
  seeds_run (check_losses, N_SEEDS);
}

/* @return whether the check detects the omission with one of the seeds. */
static gboolean
is_detected (Omission omission)
{
  gboolean is_found = FALSE;
  for (guint32 seed = 1; seed <= N_SEEDS && !is_found; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      char *failure = run (rand, FALSE, FALSE, omission);
      is_found = failure != NULL;
      g_free (failure);
      g_rand_free (rand);
    }
  return is_found;
}

static void
test_omissions (void)
{
  CU_ASSERT_TRUE (is_detected (WITHOUT_VIEWS));
  CU_ASSERT_TRUE (is_detected (WITHOUT_CLAIMS));
}

#define OWN "10.0.0.1:7100"
#define PEER "10.0.0.2:7100"
#define THIRD "10.0.0.3:7100"

/* Creates the election of an instance that is alone or the first of several.
 * @return one that allocates at @p now_ms. */
static GgAllocatorElection *
create_allocating (uint32_t n_registered, uint64_t now_ms)
{
  GgAllocatorElection *election
      = gg_allocator_election_create (OWN, now_ms - GG_ALLOCATOR_TAKEOVER_MS - 1000);
  GgElectionMembership membership = {
    .candidate = OWN, .roster_revision = 100, .n_registered = n_registered, .has_lease = TRUE
  };
  for (uint64_t ms = now_ms - GG_ALLOCATOR_TAKEOVER_MS - 1000; ms <= now_ms; ms += 100)
    gg_allocator_election_update (election, &membership, ms);
  return election;
}

static void
lose_lease (GgAllocatorElection *election, uint32_t n_registered, uint64_t now_ms)
{
  GgElectionMembership membership
      = { .candidate = OWN, .roster_revision = 100, .n_registered = n_registered };
  gg_allocator_election_update (election, &membership, now_ms);
}

/* Guards against an allocator that goes on without a lease although few others follow it. */
static void
test_confirmations (void)
{
  GgAllocatorElection *election = create_allocating (6, 10000);
  GgAllocatorView view = gg_allocator_election_get_view (election);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10000));
  lose_lease (election, 6, 10100);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10100));
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10100);
  /* The same instance twice, and one that is not registered. */
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10110);
  gg_allocator_election_note_view (election, THIRD, FALSE, &view, 10110);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10120));
  gg_allocator_election_note_view (election, THIRD, TRUE, &view, 10120);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10130));
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 11000));
  gg_allocator_election_destroy (election);
}

/* Guards against an instance that takes a request of an older build, whose sender goes by its own
 * list, for the statement that this instance was elected. */
static void
test_old_requests (void)
{
  GgAllocatorElection *election = gg_allocator_election_create (OWN, 10000);
  GgAllocatorView view = { .term = 150, .address = PEER };
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10010);
  gg_allocator_election_note_confirmation (election, THIRD, TRUE, 10020);
  CU_ASSERT_STRING_EQUAL (gg_allocator_election_get_allocator (election), PEER);
  gg_allocator_election_destroy (election);

  election = create_allocating (3, 10000);
  lose_lease (election, 3, 10100);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10100));
  gg_allocator_election_note_confirmation (election, THIRD, TRUE, 10110);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10120));
  gg_allocator_election_destroy (election);
}

/* Guards against an allocator that cedes to a claimant that its own list does not rank first, or
 * that goes on beside one of a later term. */
static void
test_claims (void)
{
  GgAllocatorElection *election = create_allocating (3, 10000);
  gg_allocator_election_note_claim (election, PEER, 10000);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10000));
  GgElectionMembership membership
      = { .candidate = PEER, .roster_revision = 101, .n_registered = 3, .has_lease = TRUE };
  GgAllocatorView view = gg_allocator_election_get_view (election);
  gg_allocator_election_update (election, &membership, 10100);
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10100);
  gg_allocator_election_note_claim (election, PEER, 10100);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10100));
  view = gg_allocator_election_get_view (election);
  CU_ASSERT_STRING_EQUAL (view.address, PEER);
  CU_ASSERT_TRUE (view.is_ceded);
  CU_ASSERT_EQUAL (view.term, 101);
  gg_allocator_election_destroy (election);

  election = create_allocating (1, 10000);
  GgAllocatorView later = { .term = 200, .address = PEER };
  gg_allocator_election_note_view (election, THIRD, TRUE, &later, 10000);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10000));
  CU_ASSERT_STRING_EQUAL (gg_allocator_election_get_allocator (election), PEER);
  gg_allocator_election_destroy (election);
}

/* Guards against an instance that begins while permits of its predecessor are valid, since a third
 * one names it; and against a pause after its predecessor has ceded to it. */
static void
test_cession (void)
{
  GgAllocatorElection *election = gg_allocator_election_create (OWN, 10000);
  GgElectionMembership membership
      = { .candidate = OWN, .roster_revision = 100, .n_registered = 3, .has_lease = TRUE };
  GgAllocatorView view = { .term = 150, .address = OWN };
  gg_allocator_election_update (election, &membership, 10000);
  gg_allocator_election_note_view (election, THIRD, TRUE, &view, 10010);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 10020));
  view.is_ceded = TRUE;
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10030);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10040));
  gg_allocator_election_destroy (election);
}

/* Guards against an allocator that grants permits right after a suspension: datagrams that arrived
 * meanwhile are handled before its timers. */
static void
test_suspension (void)
{
  GgAllocatorElection *election = create_allocating (3, 10000);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 13000));
  GgElectionMembership membership
      = { .candidate = OWN, .roster_revision = 100, .n_registered = 3, .has_lease = TRUE };
  gg_allocator_election_update (election, &membership, 13000);
  CU_ASSERT_FALSE (gg_allocator_election_is_allocating (election, 13000));
  gg_allocator_election_update (election, &membership, 14200);
  gg_allocator_election_update (election, &membership, 13000 + GG_ALLOCATOR_TAKEOVER_MS);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 13000 + GG_ALLOCATOR_TAKEOVER_MS));
  gg_allocator_election_destroy (election);
}

/* Guards against a term that no other term can follow. */
static void
test_last_term (void)
{
  GgAllocatorElection *election = create_allocating (1, 10000);
  GgAllocatorView view = { .term = G_MAXUINT64, .address = PEER };
  gg_allocator_election_note_view (election, PEER, TRUE, &view, 10000);
  CU_ASSERT_TRUE (gg_allocator_election_is_allocating (election, 10000));
  gg_allocator_election_destroy (election);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "rejected by store", test_rejected },
    { "stops", test_stops },
    { "losses", test_losses },
    { "omissions are detected", test_omissions },
    { "confirmations", test_confirmations },
    { "old requests", test_old_requests },
    { "claims", test_claims },
    { "cession", test_cession },
    { "suspension", test_suspension },
    { "last term", test_last_term },
  };
  seeds_init (argc, argv);
  return gg_test_run ("allocator election", cases, G_N_ELEMENTS (cases));
}
