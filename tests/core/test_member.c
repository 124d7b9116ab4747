/* Guards the member table with random histories: a leaving incarnation that becomes live again
 * would receive new work while it stops, and a list that is truncated by mistake would empty the
 * table at once. */
#include "core/member.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOLD_MS 100
#define N_IDS 12
#define N_HISTORIES 3000
#define N_STEPS 60
#define MAX_INCARNATION 8

static guint32 first_seed = 1;

static GgMember
make_member (int i, uint64_t incarnation, GgMemberState state)
{
  static char ids[N_IDS][8];
  static char addresses[N_IDS][24];
  g_snprintf (ids[i], sizeof ids[i], "m%02d", i);
  g_snprintf (addresses[i], sizeof addresses[i], "127.0.0.1:%d", 9000 + i);
  return (GgMember){ .id = ids[i],
                     .incarnation = incarnation,
                     .role = i % 2 ? GG_MEMBER_RUNNER : GG_MEMBER_ENTRY,
                     .state = state,
                     .address = addresses[i],
                     .data_centre = i % 3 ? "a" : "b" };
}

/* Facts of the history so far, as a reference for the table. */
typedef struct
{
  GgMemberTable *table;
  GRand *rand;
  uint64_t now_ms;
  uint64_t newest[N_IDS]; /* Incarnation that the platform started last. */
  gboolean left[N_IDS][MAX_INCARNATION + 1];
  uint64_t last_listed_ms[N_IDS];
  uint64_t last_confirmed_ms[N_IDS];
} History;

static void
read_list (History *h)
{
  GgMember listed[N_IDS];
  size_t n = 0;
  int listed_percent = g_rand_boolean (h->rand) ? 95 : g_rand_int_range (h->rand, 0, 100);
  for (int i = 0; i < N_IDS; i++)
    {
      if (g_rand_int_range (h->rand, 0, 100) >= listed_percent)
        continue;
      /* A stale list contains an older incarnation, or a leaving one as live. */
      uint64_t incarnation = h->newest[i];
      if (incarnation > 1 && g_rand_int_range (h->rand, 0, 10) == 0)
        incarnation--;
      gboolean leaving = g_rand_int_range (h->rand, 0, 20) == 0;
      listed[n++] = make_member (i, incarnation, leaving ? GG_MEMBER_LEAVING : GG_MEMBER_LIVE);
      h->left[i][incarnation] |= leaving;
      h->last_listed_ms[i] = h->now_ms;
    }
  gg_member_table_apply_list (h->table, listed, n, h->now_ms);
}

static void
mark (History *h)
{
  static const GgMemberSource sources[]
      = { GG_MEMBER_SOURCE_SELF, GG_MEMBER_SOURCE_OPERATOR, GG_MEMBER_SOURCE_PEER };
  int i = g_rand_int_range (h->rand, 0, N_IDS);
  uint64_t incarnation = 1 + g_rand_int (h->rand) % h->newest[i];
  GgMember member = make_member (i, incarnation, GG_MEMBER_LIVE);
  gg_member_table_mark_leaving (h->table, member.id, incarnation,
                                sources[g_rand_int_range (h->rand, 0, 3)], h->now_ms);
  h->left[i][incarnation] = TRUE;
}

static void
confirm (History *h)
{
  int i = g_rand_int_range (h->rand, 0, N_IDS);
  GgMember member = make_member (i, 1, GG_MEMBER_LIVE);
  if (gg_member_table_find (h->table, member.id) == NULL)
    return;
  gg_member_table_confirm (h->table, member.id, h->now_ms);
  h->last_confirmed_ms[i] = h->now_ms;
}

static gboolean
is_table_valid (const History *h)
{
  const char *previous = "";
  for (guint j = 0; j < gg_member_table_get_size (h->table); j++)
    {
      const GgMember *m = gg_member_table_get (h->table, j);
      int i = atoi (m->id + 1);
      if (strcmp (previous, m->id) >= 0 || gg_member_table_find (h->table, m->id) != m)
        return FALSE;
      if (h->left[i][m->incarnation] && m->state == GG_MEMBER_LIVE)
        return FALSE;
      previous = m->id;
    }
  return TRUE;
}

/* No member may be removed before the hold time has passed since it was listed or answered. */
static gboolean
is_hold_time_kept (const History *h)
{
  for (int i = 0; i < N_IDS; i++)
    {
      GgMember member = make_member (i, 1, GG_MEMBER_LIVE);
      uint64_t latest = MAX (h->last_listed_ms[i], h->last_confirmed_ms[i]);
      if (latest != 0 && h->now_ms < latest + HOLD_MS
          && gg_member_table_find (h->table, member.id) == NULL)
        return FALSE;
    }
  return TRUE;
}

static void
step (History *h)
{
  h->now_ms += (uint64_t) g_rand_int_range (h->rand, 0, HOLD_MS);
  int choice = g_rand_int_range (h->rand, 0, 10);
  if (choice < 5)
    read_list (h);
  else if (choice < 7)
    mark (h);
  else if (choice < 9)
    confirm (h);
  else
    {
      int i = g_rand_int_range (h->rand, 0, N_IDS);
      h->newest[i] = MIN (h->newest[i] + 1, MAX_INCARNATION);
    }
}

static gboolean
run_history (guint32 seed)
{
  History h = { .table = gg_member_table_create (HOLD_MS),
                .rand = g_rand_new_with_seed (seed),
                .now_ms = 1000 };
  gboolean is_valid = TRUE;
  for (int i = 0; i < N_IDS; i++)
    h.newest[i] = 1;
  for (int s = 0; s < N_STEPS && is_valid; s++)
    {
      step (&h);
      is_valid = is_table_valid (&h) && is_hold_time_kept (&h);
    }
  g_rand_free (h.rand);
  gg_member_table_destroy (h.table);
  return is_valid;
}

static void
test_random_histories (void)
{
  for (guint32 i = 0; i < N_HISTORIES; i++)
    if (!run_history (first_seed + i))
      {
        printf ("failing seed: %u\n", first_seed + i);
        CU_FAIL_FATAL ("a history violated an invariant");
      }
}

static void
fill (GgMemberTable *table, uint64_t now_ms)
{
  GgMember all[N_IDS];
  for (int i = 0; i < N_IDS; i++)
    all[i] = make_member (i, 1, GG_MEMBER_LIVE);
  gg_member_table_apply_list (table, all, N_IDS, now_ms);
}

/* A list without most live members may be a fault of the platform: nothing is removed before a
 * later reading agrees, and a member that answered after it went missing stays. */
static void
test_mass_removal (void)
{
  GgMemberTable *table = gg_member_table_create (0);
  fill (table, 1000);
  CU_ASSERT_FALSE (gg_member_table_apply_list (table, NULL, 0, 2000));
  CU_ASSERT_EQUAL (gg_member_table_get_size (table), N_IDS);
  gg_member_table_confirm (table, "m03", 2500);
  CU_ASSERT_TRUE (gg_member_table_apply_list (table, NULL, 0, 2400));
  CU_ASSERT_EQUAL (gg_member_table_get_size (table), 1);
  CU_ASSERT_PTR_NOT_NULL (gg_member_table_find (table, "m03"));
  gg_member_table_destroy (table);
}

/* A process that changed its id still answers at its address, which must not keep the old id in the
 * table. */
static void
test_replaced_address (void)
{
  GgMemberTable *table = gg_member_table_create (HOLD_MS);
  fill (table, 1000);
  GgMember next[N_IDS];
  for (int i = 0; i < N_IDS; i++)
    next[i] = make_member (i, 1, GG_MEMBER_LIVE);
  next[0].id = "n00";
  gg_member_table_apply_list (table, next, N_IDS, 1100);
  gg_member_table_confirm (table, "m00", 1199);
  gg_member_table_apply_list (table, next, N_IDS, 1200);
  CU_ASSERT_PTR_NULL (gg_member_table_find (table, "m00"));
  gg_member_table_destroy (table);
}

/* A peer may report an instance as leaving before the list shows it; the instance must not become
 * live when it is listed. */
static void
test_mark_before_list (void)
{
  GgMemberTable *table = gg_member_table_create (HOLD_MS);
  CU_ASSERT_TRUE (gg_member_table_mark_leaving (table, "m00", 1, GG_MEMBER_SOURCE_PEER, 900));
  CU_ASSERT_FALSE (gg_member_table_mark_leaving (table, "m00", 1, GG_MEMBER_SOURCE_SELF, 901));
  fill (table, 1000);
  CU_ASSERT_EQUAL (gg_member_table_find (table, "m00")->state, GG_MEMBER_LEAVING);
  GgMember next = make_member (0, 2, GG_MEMBER_LIVE);
  gg_member_table_apply_list (table, &next, 1, 1001);
  CU_ASSERT_EQUAL (gg_member_table_find (table, "m00")->state, GG_MEMBER_LIVE);
  gg_member_table_destroy (table);
}

static void
test_ranks (void)
{
  GgMemberTable *table = gg_member_table_create (HOLD_MS);
  fill (table, 1000);
  int n_first[N_IDS] = { 0 };
  for (int k = 0; k < 600; k++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key-%d", k);
      unsigned seen = 0;
      for (int i = 0; i < N_IDS; i++)
        {
          GgMember member = make_member (i, 1, GG_MEMBER_LIVE);
          int rank = gg_member_table_get_rank (table, NULL, key, member.id);
          CU_ASSERT_EQUAL (rank >= 0, i % 2 == 0);
          if (rank >= 0)
            seen |= 1U << rank;
          n_first[i] += rank == 0;
        }
      CU_ASSERT_EQUAL (seen, 0x3f);
    }
  for (int i = 0; i < N_IDS; i += 2)
    CU_ASSERT_TRUE (n_first[i] > 60 && n_first[i] < 150);
  CU_ASSERT_EQUAL (gg_member_table_get_rank (table, "b", "key", "m02"), -1);
  gg_member_table_mark_leaving (table, "m00", 1, GG_MEMBER_SOURCE_SELF, 1001);
  CU_ASSERT_EQUAL (gg_member_table_get_rank (table, "b", "key", "m06"), 0);
  gg_member_table_destroy (table);
}

/* Without a new version, the load collectors of other data centres would not notice that they have
 * to poll a member that went missing. */
static void
test_missing_member (void)
{
  GgMemberTable *table = gg_member_table_create (HOLD_MS);
  GgMember all[3];
  for (int i = 0; i < 3; i++)
    all[i] = make_member (i, 1, GG_MEMBER_LIVE);
  gg_member_table_apply_list (table, all, 3, 1000);
  CU_ASSERT_FALSE (gg_member_table_is_missing (table, "m02"));
  uint64_t version = gg_member_table_get_version (table);
  gg_member_table_apply_list (table, all, 2, 1001);
  CU_ASSERT_TRUE (gg_member_table_is_missing (table, "m02"));
  CU_ASSERT_FALSE (gg_member_table_is_missing (table, "m01"));
  CU_ASSERT (gg_member_table_get_version (table) > version);
  version = gg_member_table_get_version (table);
  gg_member_table_apply_list (table, all, 2, 1002);
  CU_ASSERT_EQUAL (gg_member_table_get_version (table), version);
  gg_member_table_apply_list (table, all, 3, 1003);
  CU_ASSERT_FALSE (gg_member_table_is_missing (table, "m02"));
  CU_ASSERT (gg_member_table_get_version (table) > version);
  gg_member_table_destroy (table);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "random histories", test_random_histories },
    { "mass removal", test_mass_removal },
    { "replaced address", test_replaced_address },
    { "mark before list", test_mark_before_list },
    { "ranks", test_ranks },
    { "missing member", test_missing_member },
  };
  if (argc > 1)
    first_seed = (guint32) strtoul (argv[1], NULL, 10);
  return gg_test_run ("member", cases, G_N_ELEMENTS (cases));
}
