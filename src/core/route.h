/** @file
 * Choice of runners for a request: a path over layer ranges for a model, one runner for a plain
 * service. */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#define GG_ROUTE_MAX_STAGES 16

/** State of one runner that outlives route tables; reference counted. Request threads update the
 * atomic fields. */
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
  _Atomic uint32_t outstanding_tokens; /**< Answers and calls of this instance in progress; an
                                        * answer has one token in progress at a time. */
  _Atomic uint32_t step_time_us;       /**< Moving average of the time of a step or call. */
  _Atomic uint32_t step_floor_us;      /**< Time of a step without queueing; see
                                        * gg_runner_observe_step(). */
  _Atomic uint64_t step_seen_ms;       /**< Monotonic time of the last observation; 0: none. */
  _Atomic uint32_t tokens_per_s;       /**< Reported speed; 0 if unknown. */
  _Atomic uint32_t remote_tokens;      /**< Outstanding tokens of other instances, as last
                                        * reported. */
  _Atomic uint32_t leaving;            /**< 1 after the runner refused work as leaving. */
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

/** Count answers and calls in progress. */
void gg_runner_begin_work (GgRunner *self);
void gg_runner_end_work (GgRunner *self);

/** Counts the inputs of a replay while it runs; call it with the negated number at the end. */
void gg_runner_add_replay (GgRunner *self, int32_t n_inputs);

/** Records the time of one step or call, microseconds. The floor follows shorter times at once and
 * longer times slowly, so that queueing is not taken for the runner's processing time. */
void gg_runner_observe_step (GgRunner *self, uint64_t elapsed_us, uint64_t now_ms);

/** Estimates how long the next step will queue behind the work at the runner, microseconds; 0 if
 * the runner's speed is unknown. */
uint64_t gg_runner_estimate_queue_us (const GgRunner *self);

/** Reported load of one runner, with its age. */
typedef struct
{
  GgRunner *runner;
  uint32_t reported_outstanding_tokens;
  uint32_t tokens_per_s;         /**< Speed; 0 if unknown. */
  uint64_t reported_at_ms;       /**< Monotonic; 0 if never. */
  uint32_t own_tokens_at_report; /**< The runner's outstanding_tokens (work of this instance) when
                                    the report arrived. */
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
  uint64_t random;         /**< Random bits, so that the choice depends on arguments only. */
  const char *excluded_id; /**< Runner to exclude; NULL for none. */
  uint32_t first_layer;    /**< With end_layer > 0: choose one runner of exactly this range. */
  uint32_t end_layer;
} GgRouteQuery;

typedef struct
{
  uint32_t n_stages;
  GgRunner *stages[GG_ROUTE_MAX_STAGES]; /**< References owned by the holder of the plan. */
  uint64_t predicted_ms;                 /**< Predicted time to completion. */
  uint64_t predicted_wait_ms;            /**< Part of predicted_ms that is due to load. */
} GgRoutePlan;

/** Chooses a plan. Leaving runners are never chosen, ejected runners only if a range has no others
 * (see runner_health.h).
 * @return FALSE if no sequence of runners covers the layers. On TRUE the caller owns the plan and
 *   clears it with gg_route_plan_clear(). */
gboolean
gg_route_choose (const GgRouteTable *self, const GgRouteQuery *query, GgRoutePlan *plan_out);
void gg_route_plan_clear (GgRoutePlan *plan);
