#include "core/placement.h"

#include <math.h>
#include <string.h>

/* Memory of a copy against its weights: what is over holds requests. The first copy of a data
 * centre takes the fast accelerators and enough room; a further one is worth its memory from
 * a smaller reserve on. */
#define FIRST_COPY_ROOM 1.35
#define FURTHER_COPY_ROOM 1.12
/* A runner that fills a gap keeps this part of its memory for requests. */
#define GAP_ROOM 0.12

typedef struct
{
  const GgEngineModel *model;
  GPtrArray *members; /* GgPlacementRunner of one data centre, fast ones first */
} Zone;

static gboolean
is_empty (const GgLayerRange *range)
{
  return range->end_layer <= range->first_layer;
}

static gint
compare_runners (gconstpointer a, gconstpointer b)
{
  const GgPlacementRunner *x = *(GgPlacementRunner *const *) a;
  const GgPlacementRunner *y = *(GgPlacementRunner *const *) b;
  if (x->accelerator->pace != y->accelerator->pace)
    return x->accelerator->pace < y->accelerator->pace ? -1 : 1;
  return strcmp (x->id, y->id);
}

/* Marks the layers that the members' targets hold. */
static gboolean *
mark_held (const Zone *self)
{
  gboolean *is_held = g_new0 (gboolean, self->model->n_layers + 1);
  for (guint i = 0; i < self->members->len; i++)
    {
      const GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      for (uint32_t l = runner->target.first_layer;
           l < MIN (runner->target.end_layer, self->model->n_layers); l++)
        is_held[l] = TRUE;
    }
  return is_held;
}

static uint32_t
fit_with_room (const GgEngineModel *model, const GgAccelerator *accelerator)
{
  return (uint32_t) (accelerator->memory_mb * (1 - GAP_ROOM) / model->layer_mb);
}

/* Gives the layers that nobody holds to members that hold nothing.
 * @return FALSE if some layer is still held by nobody; targets may have changed. */
static gboolean
fill_gaps (const Zone *self)
{
  gboolean *is_held = mark_held (self);
  uint32_t at = 0;
  guint next = 0;
  while (at < self->model->n_layers)
    {
      if (is_held[at])
        {
          at++;
          continue;
        }
      GgPlacementRunner *spare = NULL;
      while (next < self->members->len && spare == NULL)
        {
          GgPlacementRunner *runner = g_ptr_array_index (self->members, next++);
          if (is_empty (&runner->target))
            spare = runner;
        }
      if (spare == NULL)
        break;
      uint32_t end = at;
      uint32_t fit = fit_with_room (self->model, spare->accelerator);
      while (end < self->model->n_layers && !is_held[end] && end - at < fit)
        end++;
      spare->target = (GgLayerRange){ at, end };
      at = end;
    }
  g_free (is_held);
  return at >= self->model->n_layers;
}

/* Lays one copy over members[first..first+n) in proportion to their memory, so that each has the
 * same part of it left for requests. */
static void
lay_out (const Zone *self, guint first, guint n)
{
  double total_mb = 0;
  for (guint i = 0; i < n; i++)
    {
      const GgPlacementRunner *runner = g_ptr_array_index (self->members, first + i);
      total_mb += runner->accelerator->memory_mb;
    }
  uint32_t at = 0;
  double sum_mb = 0;
  for (guint i = 0; i < n; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, first + i);
      sum_mb += runner->accelerator->memory_mb;
      uint32_t end = (uint32_t) lround (self->model->n_layers * sum_mb / total_mb);
      uint32_t fit = gg_engine_model_fit_layers (self->model, runner->accelerator);
      if (i + 1 == n)
        end = self->model->n_layers;
      runner->target = (GgLayerRange){ at, MIN (end, at + fit) };
      at = runner->target.end_layer;
    }
}

/* Returns how many members from @p first on hold a copy with @p room, or 0. */
static guint
count_for_copy (const Zone *self, guint first, double room)
{
  double wanted_mb = self->model->n_layers * self->model->layer_mb * room;
  double sum_mb = 0;
  for (guint i = first; i < self->members->len; i++)
    {
      const GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      sum_mb += runner->accelerator->memory_mb;
      if (sum_mb >= wanted_mb)
        return i + 1 - first;
    }
  return 0;
}

/* Members that hold nothing, as a zone of their own. */
static Zone
list_empty (const Zone *self)
{
  Zone spares = { .model = self->model, .members = g_ptr_array_new () };
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      if (is_empty (&runner->target))
        g_ptr_array_add (spares.members, runner);
    }
  return spares;
}

static void
add_copies (const Zone *self)
{
  Zone spares = list_empty (self);
  guint first = 0;
  for (;;)
    {
      guint n = count_for_copy (&spares, first, FIRST_COPY_ROOM);
      if (n == 0)
        n = count_for_copy (&spares, first, FURTHER_COPY_ROOM);
      if (n == 0)
        break;
      lay_out (&spares, first, n);
      first += n;
    }
  g_ptr_array_unref (spares.members);
}

static void
keep_current (const Zone *self)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      runner->target = runner->current;
    }
}

static void
plan_anew (const Zone *self)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      runner->target = (GgLayerRange){ 0, 0 };
    }
  add_copies (self);
}

static void
plan_zone (const Zone *self)
{
  keep_current (self);
  gboolean *is_held = mark_held (self);
  guint n_held = 0;
  for (uint32_t l = 0; l < self->model->n_layers; l++)
    n_held += is_held[l] ? 1 : 0;
  g_free (is_held);

  if (n_held == 0)
    {
      plan_anew (self);
      return;
    }
  if (n_held < self->model->n_layers && !fill_gaps (self))
    {
      /* Too little is left for a whole copy: keep what there is, other data centres serve. */
      if (count_for_copy (self, 0, FURTHER_COPY_ROOM) > 0)
        plan_anew (self);
      else
        keep_current (self);
      return;
    }
  add_copies (self);
}

void
gg_placement_plan (const GgEngineModel *model, GgPlacementRunner *runners, guint n_runners)
{
  for (guint i = 0; i < n_runners; i++)
    runners[i].target = runners[i].current;
  for (guint i = 0; i < n_runners; i++)
    {
      gboolean is_first = TRUE;
      for (guint j = 0; j < i; j++)
        if (strcmp (runners[j].data_centre, runners[i].data_centre) == 0)
          is_first = FALSE;
      if (!is_first)
        continue;
      Zone zone = { .model = model, .members = g_ptr_array_new () };
      for (guint j = i; j < n_runners; j++)
        if (runners[j].is_usable && runners[j].accelerator != NULL
            && strcmp (runners[j].data_centre, runners[i].data_centre) == 0)
          g_ptr_array_add (zone.members, &runners[j]);
      g_ptr_array_sort (zone.members, compare_runners);
      plan_zone (&zone);
      g_ptr_array_unref (zone.members);
    }
}
