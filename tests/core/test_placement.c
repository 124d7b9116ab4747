/* Guards the placement: never more layers than an accelerator holds, complete copies in each data
 * centre, repairs that reassign few runners, and plans that are stable once they are executed. */
#include "core/placement.h"
#include "model_fixture.h"
#include "test_main.h"

#include <string.h>

#define MAX_RUNNERS 40

typedef struct
{
  GgEngineModel *model;
  GgPlacementRunner runners[MAX_RUNNERS];
  char ids[MAX_RUNNERS][32];
  guint n;
} Fixture;

static void
add (Fixture *f, const char *data_centre, const char *accelerator, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_snprintf (f->ids[f->n], sizeof f->ids[f->n], "%s-%s-%u", data_centre, accelerator, i);
      f->runners[f->n] = (GgPlacementRunner){ .id = f->ids[f->n],
                                              .data_centre = data_centre,
                                              .is_usable = TRUE };
      f->runners[f->n].accelerator = gg_engine_model_find_accelerator (f->model, accelerator);
      f->n++;
    }
}

/* The users' fleet: three data centres with three types of accelerators. */
static void
init_site (Fixture *f)
{
  *f = (Fixture){ .model = fixture_create_model () };
  add (f, "rubavu", "a100", 1);
  add (f, "rubavu", "l40s", 3);
  add (f, "rubavu", "l4", 8);
  add (f, "karongi", "a100", 1);
  add (f, "karongi", "l40s", 6);
  add (f, "karongi", "l4", 5);
  add (f, "rusizi", "a100", 2);
  add (f, "rusizi", "l40s", 2);
  add (f, "rusizi", "l4", 5);
}

/* Makes one plan.
 * @return the number of runners whose target changes. */
static guint
plan (Fixture *f)
{
  guint n = 0;
  gg_placement_plan (f->model, f->runners, f->n);
  for (guint i = 0; i < f->n; i++)
    {
      GgPlacementRunner *r = &f->runners[i];
      r->is_moving = FALSE;
      n += memcmp (&r->target, &r->current, sizeof (GgLayerRange)) != 0 ? 1 : 0;
    }
  return n;
}

/* Makes and executes plans until nothing changes any more.
 * @return the number of changes, or G_MAXUINT if there is no end to them. */
static guint
settle (Fixture *f)
{
  guint n_all = 0;
  for (guint round = 0; round < 100; round++)
    {
      guint n = plan (f);
      if (n == 0)
        return n_all;
      n_all += n;
      for (guint i = 0; i < f->n; i++)
        f->runners[i].current = f->runners[i].target;
    }
  return G_MAXUINT;
}

/* Returns the number of copies of the layer with the fewest copies in a data centre. */
static guint
count_copies (const Fixture *f, const char *data_centre)
{
  guint least = G_MAXUINT;
  for (uint32_t l = 0; l < FIXTURE_LAYERS; l++)
    {
      guint n = 0;
      for (guint i = 0; i < f->n; i++)
        if (f->runners[i].is_usable && strcmp (f->runners[i].data_centre, data_centre) == 0
            && l >= f->runners[i].target.first_layer && l < f->runners[i].target.end_layer)
          n++;
      least = MIN (least, n);
    }
  return least;
}

static void
check_sizes (const Fixture *f)
{
  for (guint i = 0; i < f->n; i++)
    {
      const GgPlacementRunner *r = &f->runners[i];
      uint32_t n = r->target.end_layer - r->target.first_layer;
      CU_ASSERT_TRUE (n * f->model->layer_mb <= r->accelerator->memory_mb);
    }
}

static void
test_empty_fleet_gets_complete_copies (void)
{
  Fixture f;
  init_site (&f);
  plan (&f);
  CU_ASSERT_TRUE (count_copies (&f, "rubavu") >= 2);
  settle (&f);
  check_sizes (&f);
  CU_ASSERT_TRUE (count_copies (&f, "rubavu") >= 2);
  CU_ASSERT_TRUE (count_copies (&f, "karongi") >= 2);
  CU_ASSERT_TRUE (count_copies (&f, "rusizi") >= 1);
  CU_ASSERT_EQUAL (plan (&f), 0);
  gg_engine_model_destroy (f.model);
}

/* A range is lost that no other runner holds: few runners are reassigned. */
static void
test_few_runners_fill_a_gap (void)
{
  Fixture f;
  init_site (&f);
  settle (&f);
  for (guint i = 0; i < f.n; i++)
    if (strcmp (f.runners[i].id, "rusizi-a100-1") == 0)
      {
        f.runners[i].is_usable = FALSE;
        f.runners[i].current = (GgLayerRange){ 0, 0 };
      }
  guint n = settle (&f);
  CU_ASSERT_TRUE (n > 0 && n <= 6);
  CU_ASSERT_TRUE (count_copies (&f, "rusizi") >= 1);
  check_sizes (&f);
  gg_engine_model_destroy (f.model);
}

/* Returns the number of requests that fit into the layer with the least room in a data centre; each
 * has 974 tokens, the typical prompt and answer of the model. */
static double
get_room (const Fixture *f, const char *data_centre)
{
  double least = G_MAXDOUBLE;
  for (uint32_t l = 0; l < FIXTURE_LAYERS; l++)
    {
      double sum = 0;
      for (guint i = 0; i < f->n; i++)
        {
          const GgPlacementRunner *r = &f->runners[i];
          uint32_t n = r->target.end_layer - r->target.first_layer;
          if (r->is_usable && strcmp (r->data_centre, data_centre) == 0
              && l >= r->target.first_layer && l < r->target.end_layer)
            sum += gg_engine_model_get_capacity (f->model, r->accelerator, n) / n / 974;
        }
      least = MIN (least, sum);
    }
  return least;
}

/* A fast accelerator is lost, and slow ones hold the other copy of its range. They alone would
 * limit the data centre, so runners of layers with ample room are reassigned to the range. */
static void
test_lost_fast_range_is_repaired (void)
{
  Fixture f;
  init_site (&f);
  settle (&f);
  double before = get_room (&f, "rubavu");
  for (guint i = 0; i < f.n; i++)
    if (strcmp (f.runners[i].id, "rubavu-l40s-1") == 0)
      {
        f.runners[i].is_usable = FALSE;
        f.runners[i].current = (GgLayerRange){ 0, 0 };
      }
  plan (&f);
  double broken = get_room (&f, "rubavu");
  settle (&f);
  double after = get_room (&f, "rubavu");
  fprintf (stderr, "room of the smallest layer: %.0f before, %.0f after loss, %.0f after repair\n",
           before, broken, after);
  /* 43 of 374 GB are lost, 94 GB were free: about half of the room can stay. */
  CU_ASSERT_TRUE (after >= before * 0.45);
  gg_engine_model_destroy (f.model);
}

static void
test_any_single_loss_is_repaired (void)
{
  Fixture f;
  init_site (&f);
  settle (&f);
  Fixture intact = f;
  for (guint i = 0; i < intact.n; i++)
    {
      f = intact;
      f.runners[i].is_usable = FALSE;
      f.runners[i].current = (GgLayerRange){ 0, 0 };
      settle (&f);
      check_sizes (&f);
      CU_ASSERT_TRUE (count_copies (&f, "rubavu") >= 1);
      CU_ASSERT_TRUE (count_copies (&f, "karongi") >= 1);
      CU_ASSERT_TRUE (count_copies (&f, "rusizi") >= 1);
    }
  gg_engine_model_destroy (intact.model);
}

/* With any set of runners and ranges, no accelerator is overfilled, and a plan that was executed is
 * not changed again. */
static void
test_random_fleets_settle (void)
{
  static const char *const kinds[] = { "a100", "l40s", "l4" };
  for (guint32 seed = 1; seed <= 2000; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      Fixture f = { .model = fixture_create_model () };
      guint n = (guint) g_rand_int_range (rand, 0, MAX_RUNNERS);
      for (guint i = 0; i < n; i++)
        {
          add (&f, g_rand_boolean (rand) ? "north" : "south",
               kinds[g_rand_int_range (rand, 0, G_N_ELEMENTS (kinds))], 1);
          GgPlacementRunner *r = &f.runners[f.n - 1];
          g_snprintf (f.ids[f.n - 1], sizeof f.ids[0], "r%u", i);
          uint32_t fit = gg_engine_model_fit_layers (f.model, r->accelerator);
          uint32_t first = (uint32_t) g_rand_int_range (rand, 0, FIXTURE_LAYERS);
          if (g_rand_boolean (rand))
            r->current = (GgLayerRange){ first, MIN (first + fit, FIXTURE_LAYERS) };
        }
      guint n_changes = settle (&f);
      check_sizes (&f);
      if (n_changes == G_MAXUINT)
        {
          fprintf (stderr, "seed %u: the plan does not settle\n", seed);
          CU_FAIL ("the plan does not settle");
        }
      gg_engine_model_destroy (f.model);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "empty fleet gets complete copies", test_empty_fleet_gets_complete_copies },
    { "few runners fill a gap", test_few_runners_fill_a_gap },
    { "lost fast range is repaired", test_lost_fast_range_is_repaired },
    { "any single loss is repaired", test_any_single_loss_is_repaired },
    { "random fleets settle", test_random_fleets_settle },
  };
  return gg_test_run ("placement", cases, G_N_ELEMENTS (cases));
}
