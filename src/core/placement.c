#include "core/placement.h"

#include <math.h>
#include <string.h>

/* Memory of a copy of the model in relation to its weights; the rest is request memory. The first
 * copy of a data centre gets the fast accelerators and ample request memory; a further copy is
 * useful with a smaller reserve. */
#define FIRST_COPY_MEMORY_RATIO 1.35
#define FURTHER_COPY_MEMORY_RATIO 1.12
/* Share of its memory that a runner keeps for requests when it is assigned a new range. */
#define REASSIGN_REQUEST_SHARE 0.12
/* Exponent of an accelerator's step factor: memory is the first limit, but a slow accelerator holds
 * every request for longer. */
#define SPEED_EXPONENT 0.25
/* A data centre with less memory than this, in relation to the weights, is left unchanged. */
#define MIN_MEMORY_RATIO 1.05
/* Minimum gain, as a share of the zone's cost (see get_layer_cost()), that justifies loading
 * layers: for an idle runner, which holds no layers, and for one that has to unload layers that it
 * serves. */
#define IDLE_GAIN 0.01
#define REASSIGN_GAIN 0.45
/* A gain lasts for about this long, until something else changes, so a change whose loading takes
 * much of this time is worth less. */
#define HORIZON_S 12.0
/* Maximum number of changes in one plan; the next plan starts from their outcome. */
#define MAX_CHANGES 4
/* Added to each layer's capacity, in requests, so that the cost of a layer without any runner is
 * finite. */
#define CAPACITY_OFFSET 0.5

/* Runners that are planned together. */
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
fit_with_reserve (const GgEngineModel *model, const GgAccelerator *accelerator)
{
  return (uint32_t) (accelerator->memory_mb * (1 - REASSIGN_REQUEST_SHARE) / model->layer_mb);
}

/* Distributes one copy over members[first..first+n) in proportion to their memory, so that each
 * keeps the same share of its memory for requests. */
static void
distribute_copy (const Zone *self, guint first, guint n)
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

/* Returns how many members from @p first on are needed to hold a copy; 0 if there are too few.
 * @param memory_ratio memory of the copy in relation to its weights. */
static guint
count_for_copy (const Zone *self, guint first, double memory_ratio)
{
  double wanted_mb = self->model->n_layers * self->model->layer_mb * memory_ratio;
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
list_idle (const Zone *self)
{
  Zone idle = { .model = self->model, .members = g_ptr_array_new () };
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      if (is_empty (&runner->target))
        g_ptr_array_add (idle.members, runner);
    }
  return idle;
}

static void
add_copies (const Zone *self)
{
  Zone idle = list_idle (self);
  guint first = 0;
  for (;;)
    {
      guint n = count_for_copy (&idle, first, FIRST_COPY_MEMORY_RATIO);
      if (n == 0)
        n = count_for_copy (&idle, first, FURTHER_COPY_MEMORY_RATIO);
      if (n == 0)
        break;
      distribute_copy (&idle, first, n);
      first += n;
    }
  g_ptr_array_unref (idle.members);
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

/* Returns the capacity that one runner adds to each of its layers: the requests that fit in its
 * memory, reduced for a slow accelerator, which holds each of them for longer. */
static double
get_layer_capacity (const Zone *self, const GgPlacementRunner *runner, uint32_t n_layers)
{
  const GgEngineModel *model = self->model;
  double tokens = MAX (model->typical_prompt_tokens + model->typical_answer_tokens, 1);
  double token_layers = gg_engine_model_get_capacity (model, runner->accelerator, n_layers);
  return n_layers > 0 ? token_layers / n_layers / tokens
                            / pow (runner->accelerator->step_factor, SPEED_EXPONENT)
                      : 0;
}

static void
add_layer_capacity (const Zone *self,
                    double *capacities,
                    const GgPlacementRunner *runner,
                    double sign)
{
  const GgLayerRange *range = &runner->target;
  double value = sign * get_layer_capacity (self, runner, range->end_layer - range->first_layer);
  for (uint32_t l = range->first_layer; l < MIN (range->end_layer, self->model->n_layers); l++)
    capacities[l] += value;
}

/* Returns the capacity of each layer, summed over all members. */
static double *
sum_layer_capacity (const Zone *self)
{
  double *capacities = g_new0 (double, self->model->n_layers);
  for (guint i = 0; i < self->members->len; i++)
    add_layer_capacity (self, capacities, g_ptr_array_index (self->members, i), 1);
  return capacities;
}

/* Returns the cost of a layer, which is high if its capacity is low. The layer with the least
 * capacity limits all requests: the cube makes it dominate the sum of the costs, while other layers
 * with little capacity still count. */
static double
get_layer_cost (double capacity)
{
  double c = MAX (capacity, 0) + CAPACITY_OFFSET;
  return 1 / (c * c * c);
}

typedef struct
{
  GgPlacementRunner *runner;
  GgLayerRange range;
  double cost;      /* of the zone after the change */
  double gain;      /* share of the zone's cost that it removes */
  double value;     /* gain, weighted by the time and the number of layers to load */
  gboolean is_idle; /* the runner holds nothing now */
} Change;

/* Finds the best range for one runner.
 * @param capacities capacity of each layer without this runner. */
static void
find_range (const Zone *self, GgPlacementRunner *runner, const double *capacities, Change *best)
{
  uint32_t n_layers = self->model->n_layers;
  uint32_t fit = fit_with_reserve (self->model, runner->accelerator);
  double base_cost = 0;
  for (uint32_t l = 0; l < n_layers; l++)
    base_cost += get_layer_cost (capacities[l]);
  for (uint32_t n = 1; n <= MIN (fit, n_layers); n++)
    {
      double added = get_layer_capacity (self, runner, n);
      double cost = base_cost;
      for (uint32_t end = 1; end <= n_layers; end++)
        {
          double capacity = capacities[end - 1];
          cost += get_layer_cost (capacity + added) - get_layer_cost (capacity);
          if (end > n)
            {
              capacity = capacities[end - 1 - n];
              cost -= get_layer_cost (capacity + added) - get_layer_cost (capacity);
            }
          if (end >= n && cost < best->cost)
            {
              best->runner = runner;
              best->range = (GgLayerRange){ end - n, end };
              best->cost = cost;
            }
        }
    }
}

/* Idle runners have precedence over serving ones. */
static gboolean
is_better (const Change *change, const Change *chosen)
{
  if (change->runner == NULL || change->gain < (change->is_idle ? IDLE_GAIN : REASSIGN_GAIN))
    return FALSE;
  if (chosen->runner == NULL || change->is_idle != chosen->is_idle)
    return chosen->runner == NULL || change->is_idle;
  return change->value > chosen->value;
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
get_value (const Zone *self, const Change *change)
{
  uint32_t n_loads = count_loads (&change->range, &change->runner->target);
  double load_s = self->model->load_s * n_loads / self->model->n_layers;
  return change->gain * MAX (HORIZON_S - load_s, 0) / (n_loads + 1);
}

/* Applies the best change.
 * @return FALSE if no change justifies its loading. */
static gboolean
apply_best_change (const Zone *self)
{
  double *capacities = sum_layer_capacity (self);
  double current_cost = 0;
  for (uint32_t l = 0; l < self->model->n_layers; l++)
    current_cost += get_layer_cost (capacities[l]);
  Change chosen = { 0 };
  for (guint i = 0; i < self->members->len; i++)
    {
      GgPlacementRunner *runner = g_ptr_array_index (self->members, i);
      if (runner->is_moving)
        continue;
      Change change = { .cost = current_cost, .is_idle = is_empty (&runner->target) };
      add_layer_capacity (self, capacities, runner, -1);
      find_range (self, runner, capacities, &change);
      add_layer_capacity (self, capacities, runner, 1);
      change.gain = 1 - change.cost / current_cost;
      change.value = change.runner != NULL ? get_value (self, &change) : 0;
      if (is_better (&change, &chosen))
        chosen = change;
    }
  g_free (capacities);
  if (chosen.runner == NULL)
    return FALSE;
  chosen.runner->target = chosen.range;
  chosen.runner->is_moving = TRUE;
  return TRUE;
}

static gboolean
can_hold_copy (const Zone *self)
{
  return count_for_copy (self, 0, MIN_MEMORY_RATIO) > 0;
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
  guint n_changes = 0;
  while (n_changes < MAX_CHANGES && apply_best_change (self))
    n_changes++;
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
