#include "core/layer_path.h"

#include <math.h>
#include <string.h>

/* Share of a runner's request memory that may be reserved; the rest covers answers that are longer
 * than expected and requests that peers have sent since their latest reports. */
#define USABLE_MEMORY 0.95
/* Above this memory use a runner's cost grows, so that load spreads before memory is short. */
#define SPREAD_FROM 0.5
#define SPREAD_FACTOR 6.0
/* Time to send a token from one runner to the next inside a data centre. */
#define HOP_MS 0.2
/* Penalty of a path in another data centre than the preferred one, mostly the one that received the
 * request: the stream crosses between them once, which costs bandwidth rather than time. */
#define REMOTE_PENALTY_MS 2.0
/* Factor on the cost of a path in another data centre than the preferred one: its load is known
 * from older reports, and all instances see the same free capacity there at the same time. How much
 * is meant to leave is decided by core/zone_share. */
#define REMOTE_FACTOR 2.5
/* Factor on the cost of a runner whose rate limit is in force, as a later hop. The limit counts
 * what the instances send to the runner, which is first hops; but a runner that names one is in
 * need, so other runners are preferred. */
#define LIMITED_HOP_FACTOR 2.0
/* Random part of a runner's cost, different for each request: instances that have received the same
 * report would otherwise all choose the same runners until the next one. */
#define JITTER 0.3

typedef struct
{
  double cost_ms;
  const GgFleetRunner *runner; /* of the hop that ends here */
  uint32_t from;               /* first layer of that hop */
  gboolean is_reached;
} Node;

typedef struct
{
  GgFleetRunner *runner;
  GgLayerRange range; /* for which it may receive new work */
  const GgAccelerator *accelerator;
  double spread;       /* factor on its cost, by its memory use */
  gboolean has_permit; /* its rate limit allows that a request is sent to it */
} Candidate;

/* Returns the load of a runner, with that of peers that have not reported it yet. */
static double
add_unseen (const GgPathQuery *query, uint64_t own, uint64_t peers)
{
  return (double) own * (1 + query->unseen_peers) + (double) peers;
}

static double
get_memory_use (const GgEngineModel *model, const GgFleetRunner *runner, double taken)
{
  const GgAccelerator *accelerator
      = gg_engine_model_find_accelerator (model, runner->record.accelerator);
  if (accelerator == NULL)
    return 1;
  uint32_t n_layers = runner->record.range.end_layer - runner->record.range.first_layer;
  double capacity = gg_engine_model_get_capacity (model, accelerator, n_layers) * USABLE_MEMORY;
  return capacity > 0 ? taken / capacity : 1;
}

double
gg_layer_path_get_memory_use (const GgEngineModel *model, const GgFleetRunner *runner)
{
  return get_memory_use (model, runner,
                         (double) (runner->own.token_layers + runner->peers.token_layers));
}

static gboolean
has_room (const GgPathQuery *query, const Candidate *candidate, uint32_t n_layers)
{
  const GgRunnerRecord *record = &candidate->runner->record;
  uint32_t held = record->range.end_layer - record->range.first_layer;
  double usable = query->usable_memory > 0 ? query->usable_memory : USABLE_MEMORY;
  double capacity
      = gg_engine_model_get_capacity (query->model, candidate->accelerator, held) * usable;
  double taken = add_unseen (query, candidate->runner->own.token_layers,
                             candidate->runner->peers.token_layers);
  return taken + (double) query->tokens * n_layers <= capacity;
}

static gboolean
has_slot (const Candidate *candidate)
{
  const GgFleetRunner *runner = candidate->runner;
  return runner->own.n_first_hop + runner->peers.n_first_hop < runner->record.slots;
}

/* Returns a number from 0 to 1 that differs between requests and between runners. */
static double
get_jitter (const GgPathQuery *query, guint i)
{
  uint32_t hash = (query->random ^ (i * 2654435761U)) * 2246822519U;
  hash = (hash ^ hash >> 15) * 3266489917U;
  return (hash ^ hash >> 13) / 4294967296.0;
}

/* Collects the usable runners that hold layers, in one data centre, or in all if it is NULL. */
static guint
collect_candidates (const GgPathQuery *query, const char *data_centre, Candidate *out, guint max)
{
  guint n = 0;
  for (guint i = 0; i < gg_fleet_get_size (query->fleet) && n < max; i++)
    {
      GgFleetRunner *runner = gg_fleet_get (query->fleet, i);
      const GgRunnerRecord *record = &runner->record;
      GgLayerRange range = gg_fleet_runner_get_range (runner, query->now_ms);
      if (runner == query->excluded || strcmp (record->service, query->service) != 0
          || range.end_layer <= range.first_layer || range.end_layer > query->model->n_layers
          || !gg_fleet_runner_is_usable (runner, query->now_ms))
        continue;
      if (data_centre != NULL && strcmp (record->data_centre, data_centre) != 0)
        continue;
      Candidate candidate = { .runner = runner, .range = range };
      candidate.has_permit = gg_fleet_runner_has_permit (runner, query->boot_ms);
      candidate.accelerator = gg_engine_model_find_accelerator (query->model, record->accelerator);
      if (candidate.accelerator == NULL)
        continue;
      double use = get_memory_use (
          query->model, runner,
          add_unseen (query, runner->own.token_layers, runner->peers.token_layers));
      candidate.spread = 1 + SPREAD_FACTOR * MAX (0, use - SPREAD_FROM);
      candidate.spread *= 1 + JITTER * get_jitter (query, i);
      out[n++] = candidate;
    }
  return n;
}

static double
get_hop_cost (const GgPathQuery *query,
              const Candidate *candidate,
              const Node *start,
              uint32_t n_layers)
{
  const GgFleetRunner *runner = candidate->runner;
  double n_with_this = add_unseen (query, runner->own.n_requests, runner->peers.n_requests) + 1;
  /* Beyond 32 bits the conversion would wrap around on x86-64. */
  uint32_t n_requests = (uint32_t) MIN (n_with_this, (double) G_MAXUINT32);
  double busy_ms
      = gg_engine_model_get_step_ms (query->model, candidate->accelerator, n_layers, n_requests)
        + gg_engine_model_get_reading_ms (query->model, candidate->accelerator, n_layers,
                                          n_requests);
  double cost_ms = busy_ms * candidate->spread;
  if (start->runner != NULL && runner->limit != NULL && gg_rate_limit_is_in_force (runner->limit))
    cost_ms *= LIMITED_HOP_FACTOR;
  if (start->runner != NULL)
    cost_ms += HOP_MS
               + gg_engine_model_get_delay_ms (query->model, start->runner->record.data_centre,
                                               runner->record.data_centre);
  return cost_ms;
}

/* Returns whether the hops that lead to layer @p at already use @p runner. */
static gboolean
is_used (const Node *nodes, uint32_t at, const GgFleetRunner *runner)
{
  while (at > 0)
    {
      if (nodes[at].runner == runner)
        return TRUE;
      at = nodes[at].from;
    }
  return FALSE;
}

static void
extend_paths (const GgPathQuery *query,
              const Candidate *candidates,
              guint n,
              const gboolean *is_boundary,
              Node *nodes,
              uint32_t at)
{
  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &candidates[i];
      const GgLayerRange *range = &candidate->range;
      if (at < range->first_layer || at >= range->end_layer || (at == 0 && !has_slot (candidate))
          || (at == 0 && !candidate->has_permit) || is_used (nodes, at, candidate->runner))
        continue;
      for (uint32_t end = at + 1; end <= range->end_layer; end++)
        {
          if (!is_boundary[end] || !has_room (query, candidate, end - at))
            continue;
          double cost_ms
              = nodes[at].cost_ms + get_hop_cost (query, candidate, &nodes[at], end - at);
          if (nodes[end].is_reached && nodes[end].cost_ms <= cost_ms)
            continue;
          nodes[end] = (Node){
            .cost_ms = cost_ms, .runner = candidate->runner, .from = at, .is_reached = TRUE
          };
        }
    }
}

static gboolean
build_path (const GgPathQuery *query, const Node *nodes, GgLayerPath *out)
{
  guint n = 0;
  for (uint32_t at = query->model->n_layers; at > 0; at = nodes[at].from)
    n++;
  if (n > GG_PATH_MAX_HOPS)
    return FALSE;
  *out = (GgLayerPath){ .n_hops = n, .tokens = query->tokens };
  out->token_ms = nodes[query->model->n_layers].cost_ms;
  for (uint32_t at = query->model->n_layers; at > 0; at = nodes[at].from)
    {
      GgPathHop *hop = &out->hops[--n];
      hop->runner = gg_fleet_runner_ref ((GgFleetRunner *) nodes[at].runner);
      hop->range = (GgLayerRange){ nodes[at].from, at };
    }
  return TRUE;
}

static gboolean
is_covered (const Candidate *candidates, guint n, uint32_t n_layers)
{
  uint32_t end = 0;
  for (guint i = 0; i < n && end < n_layers;)
    {
      const GgLayerRange *range = &candidates[i].range;
      if (range->first_layer <= end && range->end_layer > end)
        {
          end = range->end_layer;
          i = 0;
        }
      else
        i++;
    }
  return end >= n_layers;
}

/* Finds the shortest path over layer boundaries; an edge is a runner that covers the layers from
 * one boundary to another. */
GgPathResult
gg_layer_path_choose_within (const GgPathQuery *query, const char *data_centre, GgLayerPath *out)
{
  guint size = gg_fleet_get_size (query->fleet);
  uint32_t n_layers = query->model->n_layers;
  Candidate *candidates = g_new (Candidate, size + 1);
  Node *nodes = g_new0 (Node, n_layers + 1);
  gboolean *is_boundary = g_new0 (gboolean, n_layers + 1);
  guint n = collect_candidates (query, data_centre, candidates, size);
  GgPathResult result = GG_PATH_NONE;
  if (!is_covered (candidates, n, n_layers))
    goto out;

  is_boundary[n_layers] = TRUE;
  for (guint i = 0; i < n; i++)
    {
      is_boundary[candidates[i].range.first_layer] = TRUE;
      is_boundary[candidates[i].range.end_layer] = TRUE;
    }
  nodes[0].is_reached = TRUE;
  if (query->first_hop != NULL)
    {
      is_boundary[query->first_hop->range.end_layer] = TRUE;
      nodes[query->first_hop->range.end_layer]
          = (Node){ .runner = query->first_hop->runner, .from = 0, .is_reached = TRUE };
    }
  for (uint32_t at = query->first_hop != NULL ? 1 : 0; at < n_layers; at++)
    if (is_boundary[at] && nodes[at].is_reached)
      extend_paths (query, candidates, n, is_boundary, nodes, at);
  result
      = nodes[n_layers].is_reached && build_path (query, nodes, out) ? GG_PATH_FOUND : GG_PATH_FULL;

out:
  g_free (candidates);
  g_free (nodes);
  g_free (is_boundary);
  return result;
}

double
gg_layer_path_get_zone_use (const GgPathQuery *query, const char *data_centre)
{
  guint size = gg_fleet_get_size (query->fleet);
  uint32_t n_layers = query->model->n_layers;
  Candidate *candidates = g_new (Candidate, size + 1);
  double *capacity = g_new0 (double, n_layers + 1);
  double *taken = g_new0 (double, n_layers + 1);
  double most = 0;
  guint n = collect_candidates (query, data_centre, candidates, size);
  for (guint i = 0; i < n; i++)
    {
      const GgFleetRunner *runner = candidates[i].runner;
      const GgLayerRange *range = &candidates[i].range;
      uint32_t held = runner->record.range.end_layer - runner->record.range.first_layer;
      double runner_capacity
          = gg_engine_model_get_capacity (query->model, candidates[i].accelerator, held)
            * USABLE_MEMORY;
      for (uint32_t l = range->first_layer; l < range->end_layer; l++)
        {
          capacity[l] += runner_capacity / held;
          taken[l] += (double) (runner->own.token_layers + runner->peers.token_layers) / held;
        }
    }
  for (uint32_t l = 0; l < n_layers; l++)
    most = MAX (most, capacity[l] > 0 ? taken[l] / capacity[l] : INFINITY);
  g_free (candidates);
  g_free (capacity);
  g_free (taken);
  return most;
}

/* Lists the data centres of the service's runners, each once. */
static GPtrArray *
list_data_centres (const GgPathQuery *query)
{
  GPtrArray *names = g_ptr_array_new ();
  for (guint i = 0; i < gg_fleet_get_size (query->fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (query->fleet, i);
      if (strcmp (runner->record.service, query->service) == 0
          && !g_ptr_array_find_with_equal_func (names, runner->record.data_centre, g_str_equal,
                                                NULL))
        g_ptr_array_add (names, runner->record.data_centre);
    }
  return names;
}

/* Compares the paths of all data centres; those of others than the preferred one have a penalty. */
static GgPathResult
compare_data_centres (const GgPathQuery *query, GgLayerPath *path_out)
{
  const char *preferred = query->preferred != NULL ? query->preferred : query->data_centre;
  GgPathResult result = GG_PATH_NONE;
  double best_ms = INFINITY;
  GPtrArray *names = list_data_centres (query);
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      GgLayerPath path;
      GgPathResult found = gg_layer_path_choose_within (query, name, &path);
      if (found == GG_PATH_FULL && result == GG_PATH_NONE)
        result = GG_PATH_FULL;
      if (found != GG_PATH_FOUND)
        continue;
      double cost_ms = path.token_ms;
      if (strcmp (name, preferred) != 0)
        cost_ms = cost_ms * REMOTE_FACTOR + REMOTE_PENALTY_MS;
      if (cost_ms >= best_ms)
        {
          gg_layer_path_clear (&path);
          continue;
        }
      if (result == GG_PATH_FOUND)
        gg_layer_path_clear (path_out);
      *path_out = path;
      best_ms = cost_ms;
      result = GG_PATH_FOUND;
    }
  if (result == GG_PATH_NONE && names->len > 1)
    result = gg_layer_path_choose_within (query, NULL, path_out);
  g_ptr_array_unref (names);
  return result;
}

GgPathResult
gg_layer_path_choose (const GgPathQuery *query, GgLayerPath *path_out)
{
  if (query->first_hop != NULL)
    {
      /* After a fixed first hop, the path stays in that hop's data centre if possible. */
      GgPathResult rerouted = gg_layer_path_choose_within (
          query, query->first_hop->runner->record.data_centre, path_out);
      return rerouted == GG_PATH_FOUND ? rerouted
                                       : gg_layer_path_choose_within (query, NULL, path_out);
    }
  if (query->preferred != NULL
      && gg_layer_path_choose_within (query, query->preferred, path_out) == GG_PATH_FOUND)
    {
      if (path_out->token_ms <= query->good_enough_ms)
        return GG_PATH_FOUND;
      gg_layer_path_clear (path_out);
    }
  return compare_data_centres (query, path_out);
}

void
gg_layer_path_clear (GgLayerPath *self)
{
  for (guint i = 0; i < self->n_hops; i++)
    gg_fleet_runner_unref (self->hops[i].runner);
  self->n_hops = 0;
}

static uint64_t
get_token_layers (const GgLayerPath *self, const GgPathHop *hop)
{
  return (uint64_t) self->tokens * (hop->range.end_layer - hop->range.first_layer);
}

void
gg_layer_path_reserve (const GgLayerPath *self)
{
  for (guint i = 0; i < self->n_hops; i++)
    {
      GgRunnerLoad *load = &self->hops[i].runner->own;
      load->n_requests++;
      load->n_first_hop += i == 0 ? 1 : 0;
      load->token_layers += get_token_layers (self, &self->hops[i]);
    }
}

void
gg_layer_path_release (const GgLayerPath *self)
{
  for (guint i = 0; i < self->n_hops; i++)
    {
      GgRunnerLoad *load = &self->hops[i].runner->own;
      load->n_requests--;
      load->n_first_hop -= i == 0 ? 1 : 0;
      load->token_layers -= get_token_layers (self, &self->hops[i]);
    }
}

void
gg_layer_path_note_success (const GgLayerPath *self, uint64_t sent_ms)
{
  for (guint i = 0; i < self->n_hops; i++)
    gg_fleet_runner_note_success (self->hops[i].runner, sent_ms);
}
