/** @file
 * Choice of runners for a request: a path over (layer boundary, runner) for models, one
 * runner for plain services. */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define GG_ROUTE_MAX_STAGES 16

/** State of one runner that outlives route tables; reference counted. The atomics are
 * updated by request threads. */
typedef struct _GgRunner GgRunner;

struct _GgRunner
{
  atomic_int refs;
  char *id;
  uint64_t incarnation;
  char *address;
  char *data_centre;
  char *service;
  uint32_t first_layer;
  uint32_t end_layer;
  _Atomic int64_t outstanding_tokens; /**< Own work in flight, in token steps or calls. */
  _Atomic int64_t started_tokens;     /**< Own work ever started, in token steps or calls. */
  _Atomic uint32_t step_time_us;      /**< Moving average of one step or call as seen here. */
  _Atomic uint64_t leaving;           /**< 1 after the runner itself refused as leaving. */
  _Atomic uint64_t ejected_until_ms;  /**< Set by gg_runner_health_*(). */
  _Atomic uint64_t failures;          /**< Consecutive failures on fresh connections. */
};

GgRunner *gg_runner_create (const char *id,
                            uint64_t incarnation,
                            const char *address,
                            const char *data_centre,
                            const char *service,
                            uint32_t first_layer,
                            uint32_t end_layer);
GgRunner *gg_runner_ref (GgRunner *self);
void gg_runner_unref (GgRunner *self);

/** Counts work in flight and learns the step time. */
void gg_runner_begin_work (GgRunner *self, int64_t tokens);
void gg_runner_end_work (GgRunner *self, int64_t tokens, uint64_t elapsed_us);

/** Reported load of one runner, with its age. */
typedef struct
{
  GgRunner *runner;
  uint32_t reported_outstanding_tokens;
  uint32_t tokens_per_s;            /**< Speed; 0 if unknown. */
  uint64_t reported_at_ms;          /**< Monotonic; 0 if never. */
  int64_t started_tokens_at_report; /**< started_tokens when the report arrived. */
  uint32_t link_us;                 /**< One-way cost of the link to the runner. */
  gboolean leaving;
} GgRouteEntry;

typedef enum
{
  GG_ROUTE_POLICY_PREDICTED,
  GG_ROUTE_POLICY_RANDOM,
  GG_ROUTE_POLICY_ROUND_ROBIN,
  GG_ROUTE_POLICY_LEAST_REPORTED,
} GgRoutePolicy;

/** Immutable snapshot, published by RCU. */
typedef struct _GgRouteTable GgRouteTable;

/** Takes references to the runners of @p entries. */
GgRouteTable *gg_route_table_create (const GgRouteEntry *entries, size_t n_entries);
void gg_route_table_destroy (GgRouteTable *self);

typedef struct
{
  const char *service;
  uint32_t layers;      /**< 0 for a plain service. */
  uint32_t tokens;      /**< Expected token steps. */
  uint64_t prefix_hash; /**< Hash of the prompt prefix for cache affinity; 0 for none. */
  GgRoutePolicy policy;
  uint64_t now_ms;
  uint64_t random;         /**< Random bits; the decision is a function of its arguments. */
  const char *excluded_id; /**< A runner not to choose; NULL for none. */
  uint32_t first_layer;    /**< With end_layer > 0: choose one runner for exactly this range. */
  uint32_t end_layer;
} GgRouteQuery;

typedef struct
{
  uint32_t n_stages;
  GgRunner *stages[GG_ROUTE_MAX_STAGES]; /**< References owned by the holder of the plan. */
  uint64_t predicted_ms;                 /**< Predicted completion time of the request. */
} GgRoutePlan;

/** Chooses a plan. Leaving runners are never chosen; ejected ones only if a range has no
 * other (see runner_health.h).
 * @return FALSE if no sequence of runners covers the layers. */
gboolean
gg_route_choose (const GgRouteTable *self, const GgRouteQuery *query, GgRoutePlan *plan_out);
void gg_route_plan_clear (GgRoutePlan *plan);

/** Returns the shortest predicted wait for @p service before a new request would start, ms. */
uint64_t gg_route_table_predict_wait_ms (const GgRouteTable *self, const GgRouteQuery *query);
