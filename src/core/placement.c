#include "core/placement.h"

#include <math.h>
#include <string.h>

/* Memory of a copy against its weights: what is over holds requests. The first copy of a data
 * centre takes the fast accelerators and enough room; a further one is worth its memory from
 * a smaller reserve on. */
#define FIRST_COPY_ROOM 1.35
#define FURTHER_COPY_ROOM 1.12
/* A runner that is moved keeps this part of its memory for requests. */
#define GAP_ROOM 0.12
/* Weight of a card's pace: memory binds first, but a slow card keeps every request for longer. */
#define SLOW_WEIGHT 0.25
/* Memory without which a data centre is left as it is. */
#define SMALLEST_ROOM 1.05
/* Gain, as a part of the zone's resistance, that is worth the loads: for a runner that holds
 * nothing, and for one that gives up what it serves with. */
#define SPARE_GAIN 0.01
#define MOVE_GAIN 0.45
/* A gain counts for about this long, until something else changes: a load that takes a good part
 * of it is worth less. */
#define HORIZON_S 12.0
/* Changes in one plan; the next one goes by what has become of them. */
#define MAX_MOVES 4
/* Worth, in requests, that a layer without any runner counts as. */
#define WORTH_FLOOR 0.5

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

static uint32_t
fit_with_room (const GgEngineModel *model, const GgAccelerator *accelerator)
{
  return (uint32_t) (accelerator->memory_mb * (1 - GAP_ROOM) / model->layer_mb);
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

/* Part of the answer that a layer's requests can get from one runner: requests that fit in its
 * memory, weighed down for a slow card, on which each of them stays longer. */
static double
get_worth (const Zone *self, const GgPlacementRunner *runner, uint32_t n_layers)
{
  const GgEngineModel *model = self->model;
  double tokens = MAX (model->usual_prompt_tokens + model->usual_answer_tokens, 1);
  double capacity = gg_engine_model_get_capacity (model, runner->accelerator, n_layers);
  return n_layers > 0 ? capacity / n_layers / tokens / pow (runner->accelerator->pace, SLOW_WEIGHT)
                      : 0;
}

static void
add_worth (const Zone *self, double *worth, const GgPlacementRunner *runner, double sign)
{
  const GgLayerRange *range = &runner->target;
  double value = sign * get_worth (self, runner, range->end_layer - range->first_layer);
  for (uint32_t l = range->first_layer; l < MIN (range->end_layer, self->model->n_layers); l++)
    worth[l] += value;
}

/* Worth of each layer over all members: what the narrowest layer lets through bounds the rest. */
static double *
sum_worth (const Zone *self)
{
  double *worth = g_new0 (double, self->model->n_layers);
  for (guint i = 0; i < self->members->len; i++)
    add_worth (self, worth, g_ptr_array_index (self->members, i), 1);
  return worth;
}

/* The narrowest layer bounds all requests; the cube lets it outweigh the others in the sum, while
 * a second narrow layer still counts. */
static double
get_resistance (double worth)
{
  double w = MAX (worth, 0) + WORTH_FLOOR;
  return 1 / (w * w * w);
}

typedef struct
{
  GgPlacementRunner *runner;
  GgLayerRange range;
  double resistance; /* of the whole zone after the move */
  double gain;       /* part of the zone's resistance that it takes away */
  double value;      /* the gain by the time and the layers that it takes to load */
  gboolean is_spare; /* the runner holds nothing now */
} Move;

/* Finds the best range for one runner. @p worth is that of the zone without it. */
static void
find_range (const Zone *self, GgPlacementRunner *runner, const double *worth, Move *best)
{
  uint32_t n_layers = self->model->n_layers;
  uint32_t fit = fit_with_room (self->model, runner->accelerator);
  double without = 0;
  for (uint32_t l = 0; l < n_layers; l++)
    without += get_resistance (worth[l]);
  for (uint32_t n = 1; n <= MIN (fit, n_layers); n++)
    {
      double value = get_worth (self, runner, n);
      double resistance = without;
      for (uint32_t end = 1; end <= n_layers; end++)
        {
          double held = worth[end - 1];
          resistance += get_resistance (held + value) - get_resistance (held);
          if (end > n)
            {
              held = worth[end - 1 - n];
              resistance -= get_resistance (held + value) - get_resistance (held);
            }
          if (end >= n && resistance < best->resistance)
            {
              best->runner = runner;
              best->range = (GgLayerRange){ end - n, end };
              best->resistance = resistance;
            }
        }
    }
}

/* A spare runner goes before one that serves. */
static gboolean
is_better (const Move *move, const Move *chosen)
{
  if (move->runner == NULL || move->gain < (move->is_spare ? SPARE_GAIN : MOVE_GAIN))
    return FALSE;
  if (chosen->runner == NULL || move->is_spare != chosen->is_spare)
    return chosen->runner == NULL || move->is_spare;
  return move->value > chosen->value;
}

/* Layers of @p range that a runner with @p held has to load. */
static uint32_t
count_loads (const GgLayerRange *range, const GgLayerRange *held)
{
  uint32_t first = MAX (range->first_layer, held->first_layer);
  uint32_t end = MIN (range->end_layer, held->end_layer);
  return range->end_layer - range->first_layer - (end > first ? end - first : 0);
}

static double
get_value (const Zone *self, const Move *move)
{
  uint32_t n_loads = count_loads (&move->range, &move->runner->target);
  double load_s = self->model->load_s * n_loads / self->model->n_layers;
  return move->gain * MAX (HORIZON_S - load_s, 0) / (n_loads + 1);
}

/* Carries out the one change that lets most through.
 * @return FALSE if none is worth its loads. */
static gboolean
improve (const Zone *self)
{
  double *worth = sum_worth (self);
  double now = 0;
  for (uint32_t l = 0; l < self->model->n_layers; l++)
    now += get_resistance (worth[l]);
  Move chosen = { 0 };
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      if (runner->is_moving)
        continue;
      Move move = { .resistance = now, .is_spare = is_empty (&runner->target) };
      add_worth (self, worth, runner, -1);
      find_range (self, runner, worth, &move);
      add_worth (self, worth, runner, 1);
      move.gain = 1 - move.resistance / now;
      move.value = move.runner != NULL ? get_value (self, &move) : 0;
      if (is_better (&move, &chosen))
        chosen = move;
    }
  g_free (worth);
  if (chosen.runner == NULL)
    return FALSE;
  chosen.runner->target = chosen.range;
  chosen.runner->is_moving = TRUE;
  return TRUE;
}

static gboolean
can_hold_copy (const Zone *self)
{
  return count_for_copy (self, 0, SMALLEST_ROOM) > 0;
}

static void
plan_zone (const Zone *self)
{
  gboolean holds_any = FALSE;
  keep_current (self);
  for (guint i = 0; i < self->members->len; i++)
    {
      const GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      holds_any = holds_any || !is_empty (&runner->current);
    }
  /* Where no whole copy fits, other data centres serve. */
  if (!can_hold_copy (self))
    return;
  if (!holds_any)
    plan_anew (self);
  guint n_moves = 0;
  while (n_moves < MAX_MOVES && improve (self))
    n_moves++;
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
