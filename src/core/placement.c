#include "core/placement.h"

#include <math.h>
#include <string.h>

/* Memory of a copy of the model in relation to its weights; the rest is request memory. The first
 * copy of a data centre takes the fast accelerators and ample request memory; a further one is
 * worth its memory with a smaller reserve. */
#define FIRST_COPY_ROOM 1.35
#define FURTHER_COPY_ROOM 1.12
/* Share of its memory that a reassigned runner keeps for requests. */
#define REASSIGN_ROOM 0.12
/* Exponent of an accelerator's step factor: memory is the first limit, but a slow accelerator holds
 * every request for longer. */
#define SPEED_EXPONENT 0.25
/* A data centre with less memory than this, in relation to the weights, is left unchanged. */
#define MIN_ROOM 1.05
/* Minimum gain, as a share of the zone's resistance, that justifies loading layers: for a runner
 * that holds nothing, and for one that has to unload layers that it serves. */
#define SPARE_GAIN 0.01
#define MOVE_GAIN 0.45
/* A gain lasts for about this long, until something else changes, so a change whose loading takes
 * much of this time is worth less. */
#define HORIZON_S 12.0
/* Maximum number of changes in one plan; the next plan starts from their outcome. */
#define MAX_MOVES 4
/* Added to each layer's worth, in requests, so that the resistance of a layer without any runner is
 * finite. */
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
  if (x->accelerator->step_factor != y->accelerator->step_factor)
    return x->accelerator->step_factor < y->accelerator->step_factor ? -1 : 1;
  return strcmp (x->id, y->id);
}

static uint32_t
fit_with_room (const GgEngineModel *model, const GgAccelerator *accelerator)
{
  return (uint32_t) (accelerator->memory_mb * (1 - REASSIGN_ROOM) / model->layer_mb);
}

/* Distributes one copy over members[first..first+n) in proportion to their memory, so that each
 * keeps the same share of its memory for requests. */
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

/* Returns how many members from @p first on are needed to hold a copy with @p room, the memory in
 * relation to the weights; 0 if there are too few. */
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

/* Returns the members that hold nothing as a zone. */
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
plan_from_scratch (const Zone *self)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      runner->target = (GgLayerRange){ 0, 0 };
    }
  add_copies (self);
}

/* Capacity that one runner adds to each of its layers: the requests that fit in its memory, reduced
 * for a slow accelerator, which holds each of them for longer. */
static double
get_worth (const Zone *self, const GgPlacementRunner *runner, uint32_t n_layers)
{
  const GgEngineModel *model = self->model;
  double tokens = MAX (model->typical_prompt_tokens + model->typical_answer_tokens, 1);
  double capacity = gg_engine_model_get_capacity (model, runner->accelerator, n_layers);
  return n_layers > 0
             ? capacity / n_layers / tokens / pow (runner->accelerator->step_factor, SPEED_EXPONENT)
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

/* Returns the worth of each layer, summed over all members. */
static double *
sum_worth (const Zone *self)
{
  double *worth = g_new0 (double, self->model->n_layers);
  for (guint i = 0; i < self->members->len; i++)
    add_worth (self, worth, g_ptr_array_index (self->members, i), 1);
  return worth;
}

/* The layer with the least worth limits all requests. The cube makes it dominate the sum, while
 * other layers with little worth still count. */
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
  double resistance; /* of the zone after the change */
  double gain;       /* share of the zone's resistance that it removes */
  double value;      /* gain, weighted by the time and the number of layers to load */
  gboolean is_spare; /* the runner holds nothing now */
} Move;

/* Finds the best range for one runner.
 * @param worth worth of each layer without this runner. */
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

/* Spare runners have precedence over serving ones. */
static gboolean
is_better (const Move *move, const Move *chosen)
{
  if (move->runner == NULL || move->gain < (move->is_spare ? SPARE_GAIN : MOVE_GAIN))
    return FALSE;
  if (chosen->runner == NULL || move->is_spare != chosen->is_spare)
    return chosen->runner == NULL || move->is_spare;
  return move->value > chosen->value;
}

/* Returns the number of layers of @p range that a runner that holds @p held has to load. */
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

/* Applies the change with the highest value.
 * @return FALSE if no change justifies its loading. */
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
  return count_for_copy (self, 0, MIN_ROOM) > 0;
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
  /* If no complete copy fits, other data centres serve the requests. */
  if (!can_hold_copy (self))
    return;
  if (!holds_any)
    plan_from_scratch (self);
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
