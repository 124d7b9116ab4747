#include "core/route.h"

#include "core/runner_health.h"

#include <string.h>

/* Runners compared for each decision. The minimum over all candidates would be the same runner for
 * every router until the next load report, so each decision compares a few random ones. */
#define SAMPLE_SIZE 3
/* Age at which the reported load of other routers counts half. */
#define REPORT_HALF_LIFE_MS 1000
/* Part of the step time that a warm prefix cache is expected to save, in eighths. */
#define AFFINITY_EIGHTHS 2
/* Age at which an observed queueing time (step time above the floor) counts half. Without the
 * decay, a runner that gets no work would keep the time of its last queue. */
#define OBSERVED_HALF_LIFE_MS 1000
#define DEFAULT_STEP_US 10000
#define EJECTED_PENALTY_US (60ULL * 1000 * 1000)
/* Failures on fresh connections beyond which ejected runners rank equally. */
#define EJECTED_FAILURES_MAX 6
#define MAX_BOUNDARIES 64

/* Runners that hold the same layer range of one service. */
typedef struct
{
  uint32_t first_layer;
  uint32_t end_layer;
  uint32_t start; /* index in entries */
  uint32_t count;
  uint32_t next; /* position of round robin; accessed atomically */
} Range;

typedef struct
{
  char *name;
  GArray *ranges; /* Range, by first_layer */
} Service;

struct _GgRouteTable
{
  GgRouteEntry *entries; /* by service, first_layer, end_layer */
  size_t n_entries;
  GHashTable *services; /* name to Service */
};

/* Predicted time of one token at one runner. */
typedef struct
{
  uint64_t unloaded_us; /* without a queue */
  uint64_t observed_us; /* with the recently observed queueing */
  uint64_t loaded_us;   /* from the runner's speed and all work there */
} Cost;

typedef struct
{
  const GgRouteEntry *entry;
  Cost cost;
  uint64_t score_us;
} Candidate;

static int
compare_entries (const void *a, const void *b)
{
  const GgRouteEntry *x = a;
  const GgRouteEntry *y = b;
  int order = strcmp (x->runner->service, y->runner->service);
  if (order != 0)
    return order;
  if (x->runner->first_layer != y->runner->first_layer)
    return x->runner->first_layer < y->runner->first_layer ? -1 : 1;
  if (x->runner->end_layer != y->runner->end_layer)
    return x->runner->end_layer < y->runner->end_layer ? -1 : 1;
  return strcmp (x->runner->id, y->runner->id);
}

static void
service_free (gpointer data)
{
  Service *service = data;
  g_free (service->name);
  g_array_unref (service->ranges);
  g_free (service);
}

static Service *
ensure_service (GgRouteTable *self, const char *name)
{
  Service *service = g_hash_table_lookup (self->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (Service, 1);
  service->name = g_strdup (name);
  service->ranges = g_array_new (FALSE, FALSE, sizeof (Range));
  g_hash_table_insert (self->services, service->name, service);
  return service;
}

static void
index_entry (GgRouteTable *self, uint32_t i)
{
  const GgRunner *runner = self->entries[i].runner;
  Service *service = ensure_service (self, runner->service);
  Range *last = service->ranges->len > 0
                    ? &g_array_index (service->ranges, Range, service->ranges->len - 1)
                    : NULL;
  if (last != NULL && last->first_layer == runner->first_layer
      && last->end_layer == runner->end_layer)
    {
      last->count++;
      return;
    }
  Range range = { runner->first_layer, runner->end_layer, i, 1, 0 };
  g_array_append_val (service->ranges, range);
}

GgRouteTable *
gg_route_table_create (const GgRouteEntry *entries, size_t n_entries)
{
  GgRouteTable *self = g_new0 (GgRouteTable, 1);
  self->entries = g_new (GgRouteEntry, n_entries + 1);
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  for (size_t i = 0; i < n_entries; i++)
    {
      if (entries[i].leaving)
        continue;
      self->entries[self->n_entries] = entries[i];
      gg_runner_ref (entries[i].runner);
      self->n_entries++;
    }
  if (self->n_entries > 0)
    qsort (self->entries, self->n_entries, sizeof *self->entries, compare_entries);
  for (size_t i = 0; i < self->n_entries; i++)
    index_entry (self, (uint32_t) i);
  return self;
}

void
gg_route_table_destroy (GgRouteTable *self)
{
  if (self == NULL)
    return;
  for (size_t i = 0; i < self->n_entries; i++)
    gg_runner_unref (self->entries[i].runner);
  g_free (self->entries);
  g_hash_table_unref (self->services);
  g_free (self);
}

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33;
}

static gboolean
may_use (const GgRouteEntry *entry, const GgRouteQuery *query)
{
  if (atomic_load_explicit (&entry->runner->leaving, memory_order_relaxed) != 0)
    return FALSE;
  return query->excluded_id == NULL || strcmp (entry->runner->id, query->excluded_id) != 0;
}

/* Estimates the work of all routers at the runner: this router's own work is exact; that of the
 * others is as old as the last report and counts less with its age. */
static uint64_t
estimate_outstanding (const GgRouteEntry *entry, uint64_t now_ms)
{
  uint32_t own = atomic_load_explicit (&entry->runner->outstanding_tokens, memory_order_relaxed);
  if (entry->reported_at_ms == 0
      || entry->reported_outstanding_tokens <= entry->own_tokens_at_report)
    return own;
  uint64_t remote = entry->reported_outstanding_tokens - entry->own_tokens_at_report;
  uint64_t age_ms = now_ms > entry->reported_at_ms ? now_ms - entry->reported_at_ms : 0;
  return own + remote * REPORT_HALF_LIFE_MS / (REPORT_HALF_LIFE_MS + age_ms);
}

/* A runner serves tokens_per_s tokens in total: with n answers in progress each gets a token every
 * n / tokens_per_s, but not before one step time has passed. */
static Cost
predict_cost (const GgRouteEntry *entry, uint64_t now_ms)
{
  const GgRunner *runner = entry->runner;
  uint32_t step_us = atomic_load_explicit (&runner->step_time_us, memory_order_relaxed);
  uint32_t floor_us = atomic_load_explicit (&runner->step_floor_us, memory_order_relaxed);
  uint64_t seen_ms = atomic_load_explicit (&runner->step_seen_ms, memory_order_relaxed);
  uint64_t age_ms = now_ms > seen_ms ? now_ms - seen_ms : 0;
  uint64_t outstanding = estimate_outstanding (entry, now_ms);
  if (floor_us == 0)
    floor_us = step_us = DEFAULT_STEP_US;
  uint64_t queue_us = step_us > floor_us ? step_us - floor_us : 0;
  Cost cost;
  cost.unloaded_us = floor_us + 2ULL * entry->link_us;
  cost.observed_us
      = cost.unloaded_us + queue_us * OBSERVED_HALF_LIFE_MS / (OBSERVED_HALF_LIFE_MS + age_ms);
  cost.loaded_us = entry->tokens_per_s > 0 ? (outstanding + 1) * 1000000 / entry->tokens_per_s
                                           : (outstanding + 1) * floor_us;
  return cost;
}

static uint64_t
rendezvous_weight (const GgRouteEntry *entry, uint64_t prefix_hash)
{
  return mix (prefix_hash ^ entry->runner->id_hash);
}

/* Among ejected runners, those with fewer failures come first, such as one that had only a slow
 * step. Runners that do not answer at all have no work and would otherwise score best. */
static uint64_t
get_penalty_us (const GgRunner *runner)
{
  if (!gg_runner_health_is_ejected (runner))
    return 0;
  uint32_t failures = atomic_load_explicit (&runner->failures, memory_order_relaxed);
  return EJECTED_PENALTY_US * (1 + MIN (failures, EJECTED_FAILURES_MAX));
}

static Candidate
score_candidate (const GgRouteEntry *entry, const GgRouteQuery *query, gboolean is_warm)
{
  Candidate candidate = { .entry = entry, .cost = predict_cost (entry, query->now_ms) };
  candidate.score_us = candidate.cost.observed_us + candidate.cost.loaded_us;
  if (is_warm)
    candidate.score_us -= candidate.cost.unloaded_us * AFFINITY_EIGHTHS / 8;
  candidate.score_us += get_penalty_us (entry->runner);
  return candidate;
}

/* Whether nothing is known of the time that a runner takes, and no request is there that would show
 * it. */
static gboolean
is_unmeasured (const Candidate *candidate, uint64_t now_ms)
{
  const GgRunner *runner = candidate->entry->runner;
  return atomic_load_explicit (&runner->step_floor_us, memory_order_relaxed) == 0
         && estimate_outstanding (candidate->entry, now_ms) == 0
         && !gg_runner_health_is_ejected (runner);
}

/* An idle runner that is not measured yet is tried before others that are as far away or farther.
 * Otherwise it would never get a request while a measured one scores slightly better than the
 * assumed step time. */
static gboolean
is_preferred (const Candidate *a, const Candidate *b, uint64_t now_ms)
{
  gboolean a_unmeasured = is_unmeasured (a, now_ms);
  gboolean b_unmeasured = is_unmeasured (b, now_ms);
  if (a_unmeasured && !b_unmeasured && a->entry->link_us <= b->entry->link_us)
    return TRUE;
  if (b_unmeasured && !a_unmeasured && b->entry->link_us <= a->entry->link_us)
    return FALSE;
  return a->score_us < b->score_us;
}

static void
keep_better (Candidate *best, const Candidate *candidate)
{
  if (best->entry == NULL || candidate->score_us < best->score_us)
    *best = *candidate;
}

static void
keep_preferred (Candidate *best, const Candidate *candidate, uint64_t now_ms)
{
  if (best->entry == NULL || is_preferred (candidate, best, now_ms))
    *best = *candidate;
}

static const GgRouteEntry *
find_warm (const GgRouteTable *self, const Range *range, const GgRouteQuery *query)
{
  const GgRouteEntry *warm = NULL;
  uint64_t best = 0;
  for (uint32_t i = 0; i < range->count; i++)
    {
      const GgRouteEntry *entry = &self->entries[range->start + i];
      uint64_t weight = rendezvous_weight (entry, query->prefix_hash);
      if (may_use (entry, query) && (warm == NULL || weight > best))
        {
          warm = entry;
          best = weight;
        }
    }
  return warm;
}

static Candidate
choose_predicted (const GgRouteTable *self, const Range *range, const GgRouteQuery *query)
{
  Candidate best = { 0 };
  const GgRouteEntry *warm = query->prefix_hash != 0 ? find_warm (self, range, query) : NULL;
  if (warm != NULL)
    best = score_candidate (warm, query, TRUE);

  uint64_t random = mix (query->random ^ range->start);
  uint32_t sampled = 0;
  /* Walks the range from a random start with a random stride; runners that can't take work are
   * skipped and do not count as sampled. */
  uint32_t start = (uint32_t) (random % range->count);
  uint32_t stride = range->count > 2 ? 1 + (uint32_t) ((random >> 32) % (range->count - 1)) : 1;
  for (uint32_t i = 0; i < range->count && sampled < SAMPLE_SIZE; i++)
    {
      uint32_t index = (uint32_t) ((start + (uint64_t) i * stride) % range->count);
      const GgRouteEntry *entry = &self->entries[range->start + index];
      if (!may_use (entry, query))
        continue;
      Candidate candidate = score_candidate (entry, query, entry == warm);
      keep_preferred (&best, &candidate, query->now_ms);
      sampled += gg_runner_health_is_ejected (entry->runner) ? 0 : 1;
    }
  if (best.entry != NULL && best.score_us < EJECTED_PENALTY_US)
    return best;
  /* The stride may have missed healthy runners. */
  for (uint32_t i = 0; i < range->count; i++)
    {
      const GgRouteEntry *entry = &self->entries[range->start + i];
      if (!may_use (entry, query))
        continue;
      Candidate candidate = score_candidate (entry, query, entry == warm);
      keep_preferred (&best, &candidate, query->now_ms);
    }
  return best;
}

static Candidate
choose_from (const GgRouteTable *self, const Range *range, const GgRouteQuery *query, uint32_t from)
{
  Candidate best = { 0 };
  for (uint32_t i = 0; i < range->count; i++)
    {
      const GgRouteEntry *entry = &self->entries[range->start + (from + i) % range->count];
      if (!may_use (entry, query))
        continue;
      Candidate candidate = score_candidate (entry, query, FALSE);
      if (!gg_runner_health_is_ejected (entry->runner))
        return candidate;
      keep_better (&best, &candidate);
    }
  return best;
}

static Candidate
choose_least_reported (const GgRouteTable *self, const Range *range, const GgRouteQuery *query)
{
  Candidate best = { 0 };
  for (uint32_t i = 0; i < range->count; i++)
    {
      const GgRouteEntry *entry = &self->entries[range->start + i];
      if (!may_use (entry, query))
        continue;
      Candidate candidate = score_candidate (entry, query, FALSE);
      candidate.score_us = entry->reported_outstanding_tokens;
      candidate.score_us += get_penalty_us (entry->runner);
      keep_better (&best, &candidate);
    }
  return best;
}

static Candidate
choose_in_range (const GgRouteTable *self, const Range *range, const GgRouteQuery *query)
{
  switch (query->policy)
    {
    case GG_ROUTE_POLICY_PREDICTED:
      return choose_predicted (self, range, query);
    case GG_ROUTE_POLICY_RANDOM:
      return choose_from (self, range, query,
                          (uint32_t) (mix (query->random ^ range->start) >> 16));
    case GG_ROUTE_POLICY_ROUND_ROBIN:
      return choose_from (self, range, query,
                          __atomic_fetch_add (&((Range *) range)->next, 1, __ATOMIC_RELAXED));
    case GG_ROUTE_POLICY_LEAST_REPORTED:
      return choose_least_reported (self, range, query);
    }
  g_assert_not_reached ();
}

/* Cheapest path to one layer boundary. */
typedef struct
{
  uint32_t layer;
  uint32_t n_stages;
  uint64_t score_us;
  int previous;
  Candidate last;
} Boundary;

typedef struct
{
  Boundary items[MAX_BOUNDARIES];
  int count;
} Boundaries;

static int
find_boundary (Boundaries *b, uint32_t layer)
{
  for (int i = 0; i < b->count; i++)
    if (b->items[i].layer == layer)
      return i;
  return -1;
}

static void
relax (Boundaries *b, int from, const Range *range, const Candidate *candidate)
{
  uint64_t score_us = b->items[from].score_us + candidate->score_us;
  int to = find_boundary (b, range->end_layer);
  if (to < 0)
    {
      if (b->count == MAX_BOUNDARIES)
        return;
      to = b->count++;
      b->items[to].layer = range->end_layer;
    }
  else if (b->items[to].score_us <= score_us)
    return;
  b->items[to].score_us = score_us;
  b->items[to].n_stages = b->items[from].n_stages + 1;
  b->items[to].previous = from;
  b->items[to].last = *candidate;
}

static void
set_prediction (GgRoutePlan *plan, const Cost *costs, uint32_t tokens)
{
  uint64_t unloaded_us = 0;
  uint64_t observed_us = 0;
  uint64_t slowest_us = 0;
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      unloaded_us += costs[i].unloaded_us;
      observed_us += costs[i].observed_us;
      slowest_us = MAX (slowest_us, costs[i].loaded_us);
    }
  uint64_t interval_us = MAX (observed_us, slowest_us);
  uint32_t n = MAX (tokens, 1);
  plan->predicted_ms = interval_us * n / 1000;
  plan->predicted_wait_ms = (interval_us - unloaded_us) * n / 1000;
}

static void
set_stage (GgRoutePlan *plan, Cost *costs, uint32_t stage, const Candidate *candidate)
{
  plan->stages[stage] = gg_runner_ref (candidate->entry->runner);
  costs[stage] = candidate->cost;
}

static gboolean
choose_single (const GgRouteTable *self,
               const Service *service,
               const GgRouteQuery *query,
               GgRoutePlan *plan_out)
{
  Cost cost[1];
  for (guint i = 0; i < service->ranges->len; i++)
    {
      const Range *range = &g_array_index (service->ranges, Range, i);
      if (range->first_layer != query->first_layer || range->end_layer != query->end_layer)
        continue;
      Candidate candidate = choose_in_range (self, range, query);
      if (candidate.entry == NULL)
        return FALSE;
      plan_out->n_stages = 1;
      set_stage (plan_out, cost, 0, &candidate);
      set_prediction (plan_out, cost, query->tokens);
      return TRUE;
    }
  return FALSE;
}

static gboolean
choose_path (const GgRouteTable *self,
             const Service *service,
             const GgRouteQuery *query,
             GgRoutePlan *plan_out)
{
  Boundaries b;
  b.items[0] = (Boundary){ .previous = -1 };
  b.count = 1;

  /* Ranges are sorted by their first layer, so each boundary is final when it is used. */
  for (guint i = 0; i < service->ranges->len; i++)
    {
      const Range *range = &g_array_index (service->ranges, Range, i);
      int from = find_boundary (&b, range->first_layer);
      if (from < 0 || range->end_layer <= range->first_layer || range->end_layer > query->layers
          || b.items[from].n_stages == GG_ROUTE_MAX_STAGES)
        continue;
      Candidate candidate = choose_in_range (self, range, query);
      if (candidate.entry != NULL)
        relax (&b, from, range, &candidate);
    }

  int at = find_boundary (&b, query->layers);
  if (at < 0)
    return FALSE;
  Cost costs[GG_ROUTE_MAX_STAGES];
  plan_out->n_stages = b.items[at].n_stages;
  for (uint32_t stage = plan_out->n_stages; stage > 0; stage--)
    {
      set_stage (plan_out, costs, stage - 1, &b.items[at].last);
      at = b.items[at].previous;
    }
  set_prediction (plan_out, costs, query->tokens);
  return TRUE;
}

gboolean
gg_route_choose (const GgRouteTable *self, const GgRouteQuery *query, GgRoutePlan *plan_out)
{
  memset (plan_out, 0, sizeof *plan_out);
  const Service *service = g_hash_table_lookup (self->services, query->service);
  if (service == NULL)
    return FALSE;
  if (query->layers == 0 || query->end_layer > 0)
    return choose_single (self, service, query, plan_out);
  return choose_path (self, service, query, plan_out);
}

void
gg_route_plan_clear (GgRoutePlan *plan)
{
  for (uint32_t i = 0; i < plan->n_stages; i++)
    gg_runner_unref (plan->stages[i]);
  memset (plan, 0, sizeof *plan);
}
