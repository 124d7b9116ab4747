/* Guards instances that follow the store through others against changes that they drop, since the
 * store gives out revisions again after it was restored from a copy: simulated deployments of 9, 72
 * and 295 instances, in which few or many changes follow the restore, reports are lost, and a
 * source notices the restore late. */
#include "core/store_position.h"
#include "core/runner_changes.h"
#include "seeds.h"
#include "test_main.h"

#define N_RUNNERS 12
#define MAX_MEMBERS 295
#define N_SEEDS 40
#define N_STEPS 400
/* Steps without changes at the end, in which all must learn the last ones. */
#define N_QUIET_STEPS 60
#define COPY_STEP 120
#define RESTORE_STEP 160

/* State of the store: a version, and for each runner whether it leaves. */
typedef struct
{
  uint64_t revision;
  uint64_t version;
  uint64_t version_revision;
  gboolean leaving[N_RUNNERS];
} State;

/* What an instance knows. */
typedef struct
{
  uint64_t position;
  uint64_t version;
  uint64_t version_position;
  GgFleet *fleet;
} View;

typedef struct
{
  GRand *rand;
  gboolean has_eras; /* FALSE: positions are bare revisions */
  guint n_members;
  State store;
  State copy;
  uint64_t era;
  uint64_t known_era; /* of the source */
  View source;
  GgRunnerChanges *changes;
  View members[MAX_MEMBERS];
} Deployment;

static uint64_t
get_position (const Deployment *d, uint64_t revision)
{
  return d->has_eras ? gg_store_position_make (d->known_era, revision) : revision;
}

static void
put (View *view, const State *state, guint i)
{
  char id[8];
  g_snprintf (id, sizeof id, "r%02u", i);
  GgRunnerRecord record = { .id = g_strdup (id),
                            .address = g_strdup ("10.0.0.1:80"),
                            .service = g_strdup ("desk"),
                            .data_centre = g_strdup ("north"),
                            .started_ms = 1,
                            .is_leaving = state->leaving[i] };
  gg_fleet_put (view->fleet, &record);
}

/* The source reads the store: all of it after a restore that it has noticed, and what a watch from
 * its position shows otherwise. */
static void
read_store (Deployment *d, uint64_t now_ms)
{
  const State *store = &d->store;
  gboolean is_restored = d->has_eras && d->known_era != d->era;
  d->known_era = d->era;
  uint64_t position = get_position (d, store->revision);
  if (!is_restored && position <= d->source.position)
    return;
  for (guint i = 0; i < N_RUNNERS; i++)
    {
      const GgRunnerRecord *record = &gg_fleet_get (d->source.fleet, i)->record;
      gboolean was_leaving = record->is_leaving;
      put (&d->source, store, i);
      record = &gg_fleet_get (d->source.fleet, i)->record;
      gg_runner_changes_put (d->changes, position, record, record->is_leaving != was_leaving,
                             now_ms);
    }
  uint64_t version_position = get_position (d, store->version_revision);
  if (version_position > d->source.version_position)
    {
      d->source.version = MAX (d->source.version, store->version);
      d->source.version_position = version_position;
    }
  d->source.position = position;
}

/* A member applies a report of the source, as a delegated watch does. */
static void
report_to (Deployment *d, View *member)
{
  guint first = 0;
  int n = gg_runner_changes_find (d->changes, member->position, &first);
  if (d->source.version_position > member->version_position)
    {
      member->version = d->source.version;
      member->version_position = d->source.version_position;
    }
  if (member->position > d->source.position)
    return;
  for (guint i = 0; n < 0 && i < N_RUNNERS; i++)
    {
      State state = { 0 };
      state.leaving[i] = gg_fleet_get (d->source.fleet, i)->record.is_leaving;
      put (member, &state, i);
    }
  for (int i = 0; i < n; i++)
    {
      const GgRunnerChange *change = gg_runner_changes_get (d->changes, first + (guint) i);
      GgRunnerRecord record;
      gg_runner_record_copy (&record, &change->record);
      gg_fleet_put (member->fleet, &record);
    }
  member->position = d->source.position;
}

static void
write_store (Deployment *d)
{
  State *store = &d->store;
  store->revision++;
  if (seeds_chance (d->rand, 30))
    {
      store->version += (uint64_t) g_rand_int_range (d->rand, 1, 4);
      store->version_revision = store->revision;
    }
  else if (seeds_chance (d->rand, 20))
    store->leaving[g_rand_int_range (d->rand, 0, N_RUNNERS)] = TRUE;
}

static void
restore (Deployment *d)
{
  uint64_t version = d->store.version;
  gboolean leaving[N_RUNNERS];
  for (guint i = 0; i < N_RUNNERS; i++)
    leaving[i] = d->store.leaving[i];
  d->store = d->copy;
  d->era++;
  /* What the operator and the runners wrote is written again. */
  if (version > d->store.version)
    {
      d->store.revision++;
      d->store.version = version;
      d->store.version_revision = d->store.revision;
    }
  for (guint i = 0; i < N_RUNNERS; i++)
    if (leaving[i] && !d->store.leaving[i])
      {
        d->store.revision++;
        d->store.leaving[i] = TRUE;
      }
}

static void
init_view (View *view)
{
  static const State empty;
  view->fleet = gg_fleet_create ();
  for (guint i = 0; i < N_RUNNERS; i++)
    put (view, &empty, i);
}

static void
step (Deployment *d, guint i, int write_percent)
{
  guint share = i > RESTORE_STEP ? (guint) write_percent : 60;
  if (i < N_STEPS - N_QUIET_STEPS && seeds_chance (d->rand, (int) share))
    write_store (d);
  if (i == COPY_STEP)
    d->copy = d->store;
  if (i == RESTORE_STEP)
    restore (d);
  if (seeds_chance (d->rand, 70))
    read_store (d, i * 50);
  for (guint k = 0; k < d->n_members; k++)
    if (seeds_chance (d->rand, 30))
      report_to (d, &d->members[k]);
}

static gboolean
is_up_to_date (const Deployment *d, const View *view)
{
  for (guint i = 0; i < N_RUNNERS; i++)
    if (d->store.leaving[i] != gg_fleet_get (view->fleet, i)->record.is_leaving)
      return FALSE;
  return view->version == d->store.version;
}

/* @return how many instances do not know the state of the store in the end. */
static guint
run (GRand *rand, guint n_members, gboolean has_eras)
{
  Deployment *d = g_new0 (Deployment, 1);
  *d = (Deployment){ .rand = rand, .has_eras = has_eras, .n_members = n_members };
  d->era = d->known_era = 1;
  d->store.revision = 10;
  d->changes = gg_runner_changes_create ();
  init_view (&d->source);
  for (guint k = 0; k < n_members; k++)
    init_view (&d->members[k]);
  int write_percent = g_rand_int_range (rand, 2, 60);
  for (guint i = 0; i < N_STEPS; i++)
    step (d, i, write_percent);
  guint n_outdated = !is_up_to_date (d, &d->source);
  for (guint k = 0; k < n_members; k++)
    {
      n_outdated += !is_up_to_date (d, &d->members[k]);
      gg_fleet_destroy (d->members[k].fleet);
    }
  gg_fleet_destroy (d->source.fleet);
  gg_runner_changes_destroy (d->changes);
  g_free (d);
  return n_outdated;
}

static char *
check (GRand *rand, guint n_members)
{
  guint n = run (rand, n_members, TRUE);
  return n > 0 ? g_strdup_printf ("%u of %u instances are not up to date", n, n_members + 1) : NULL;
}

static char *
check_9 (GRand *rand)
{
  return check (rand, 8);
}

static char *
check_72 (GRand *rand)
{
  return check (rand, 71);
}

static char *
check_295 (GRand *rand)
{
  return check (rand, 294);
}

static void
test_all_learn_what_follows_a_restore (void)
{
  seeds_run (check_9, N_SEEDS);
  seeds_run (check_72, N_SEEDS);
  seeds_run (check_295, N_SEEDS);
}

/* Guards the check above: it must detect instances that compare bare revisions. */
static void
test_bare_revisions_lose_changes (void)
{
  guint n_broken = 0;
  for (guint32 seed = 1; seed <= N_SEEDS; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      n_broken += run (rand, 8, FALSE) > 0;
      g_rand_free (rand);
    }
  CU_ASSERT (n_broken > 0);
}

/* Guards against two leaders with one fencing token, and one that is lower than that of an earlier
 * leader: each is the position of a write of the leader's key. */
static void
test_positions_grow_over_a_restore (void)
{
  uint64_t before = gg_store_position_make (1, 89);
  CU_ASSERT (gg_store_position_make (2, 89) > before);
  CU_ASSERT (gg_store_position_make (2, 1) > gg_store_position_make (1, GG_STORE_REVISION_MAX));
  CU_ASSERT_EQUAL (gg_store_position_get_era (before), 1);
  CU_ASSERT_EQUAL (gg_store_position_get_revision (before), 89);
  CU_ASSERT_EQUAL (gg_store_position_make (0, 89), 89);
}

int
main (int argc, char **argv)
{
  seeds_init (argc, argv);
  static const GgTestCase cases[] = {
    { "all learn what follows a restore", test_all_learn_what_follows_a_restore },
    { "bare revisions lose changes", test_bare_revisions_lose_changes },
    { "positions grow over a restore", test_positions_grow_over_a_restore },
  };
  return gg_test_run ("store position", cases, G_N_ELEMENTS (cases));
}
