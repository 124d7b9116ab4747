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
  uint32_t id_hash;
  uint64_t incarnation;
  char *address;
  char *data_centre;
  char *service;
  uint32_t first_layer;
  uint32_t end_layer;
  _Atomic uint32_t outstanding_tokens; /**< Own answers and calls in progress; an answer has
                                        * one token in progress at a time. */
  _Atomic uint32_t step_time_us;       /**< Moving average of one step or call as seen here. */
  _Atomic uint32_t step_floor_us;      /**< Time of a step that found no queue; see below. */
  _Atomic uint64_t step_seen_ms;       /**< Monotonic time of the last observation; 0: none. */
  _Atomic uint32_t tokens_per_s;       /**< Reported speed; 0 if unknown. */
  _Atomic uint32_t remote_tokens;      /**< Outstanding at the last report, without own work. */
  _Atomic uint32_t leaving;            /**< 1 after the runner itself refused as leaving. */
  _Atomic uint32_t suspect;            /**< 1 from a failure to the next success or probe. */
  _Atomic uint64_t answered_ms;        /**< Monotonic time of the last success. */
  _Atomic uint32_t failures;           /**< Consecutive failures on fresh connections. */
  _Atomic uint64_t ejected_until_ms;   /**< Monotonic; earliest time of the next probe. */
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

/** Counts an answer or call in progress. */
void gg_runner_begin_work (GgRunner *self);
void gg_runner_end_work (GgRunner *self);

/** Counts the inputs of a replay while it runs; a negative number ends it. */
void gg_runner_add_replay (GgRunner *self, int32_t n_inputs);

/** Learns the time of one step or call, microseconds. The floor follows a shorter time at once
 * and a longer one slowly, so that queueing does not pass for the runner's own time. */
void gg_runner_observe_step (GgRunner *self, uint64_t elapsed_us, uint64_t now_ms);

/** Time that the next step will wait behind the work at the runner, microseconds; 0 if its speed
 * is unknown. */
uint64_t gg_runner_estimate_queue_us (const GgRunner *self);

/** Reported load of one runner, with its age. */
typedef struct
{
  GgRunner *runner;
  uint32_t reported_outstanding_tokens;
  uint32_t tokens_per_s;         /**< Speed; 0 if unknown. */
  uint64_t reported_at_ms;       /**< Monotonic; 0 if never. */
  uint32_t own_tokens_at_report; /**< Own outstanding tokens when the report arrived. */
  uint32_t link_us;              /**< One-way cost of the link to the runner. */
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
  uint32_t tokens;      /**< Expected number of tokens of the answer; 1 for a call. */
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
  uint64_t predicted_ms;                 /**< Predicted time to completion. */
  uint64_t predicted_wait_ms;            /**< Part of predicted_ms that is due to load. */
} GgRoutePlan;

/** Chooses a plan. Leaving runners are never chosen; ejected ones only if a range has no
 * other (see runner_health.h).
 * @return FALSE if no sequence of runners covers the layers. On TRUE the caller owns the plan
 *   and ends it with gg_route_plan_clear(). */
gboolean
gg_route_choose (const GgRouteTable *self, const GgRouteQuery *query, GgRoutePlan *plan_out);
void gg_route_plan_clear (GgRoutePlan *plan);
