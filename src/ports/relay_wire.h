/** @file
 * Port to what callers, runners and the platform's balancer speak: header fields, orders,
 * reports. */
#pragma once

#include "loop/message_head.h"
#include "core/layer_path.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** What a caller's request says. Strings are borrowed from its head, or NULL. */
typedef struct
{
  const char *host;
  const char *attempt_id; /**< Names one attempt of the caller. */
  const char *key;        /**< API key of a team. */
  uint64_t time_left_ms;  /**< How long the caller waits; 0 if it did not say. */
  uint32_t prompt_tokens;
  uint32_t max_answer_tokens;
  uint32_t expected_answer_tokens; /**< The caller's estimate, often far off; 0 if none. */
  uint64_t last_event_id;          /**< Valid if has_last_event. */
  gboolean has_last_event;         /**< The caller resumes a stream. */
} GgCallerFields;

/** Reads what the router needs from a caller's request. */
void gg_relay_read_caller (const GgMessageHead *head, GgCallerFields *out);

/** What one send to a runner adds to the caller's request. */
typedef struct
{
  const char *runner_id;
  const char *team; /**< NULL without teams. */
  uint64_t time_left_ms;
  const GgLayerPath *path; /**< NULL for a plain service. */
  gboolean has_last_event;
  uint64_t last_event_id; /**< Event after which a stream goes on. */
  uint32_t urgency;       /**< 0 is first; engines only. */
} GgRelaySend;

/** Builds the head of a request to a runner. Fields of one connection, the caller's key and
 * fields that only the router may set are left out. */
GgMessageHead *
gg_relay_build_request (const GgMessageHead *head, const GgRelaySend *send, size_t body_bytes);

/** What a runner's answer says. Strings are borrowed from its head, or NULL. */
typedef struct
{
  uint32_t status;
  const char *attempt_id;     /**< Of the request that it answers. */
  gboolean is_signed;         /**< It bears the runner's signature. */
  gboolean is_refused;        /**< The runner has not run the request and will not. */
  gboolean is_misdirected;    /**< Another runner has the address, or it does not hold its part. */
  const char *faulty_address; /**< The runner on the path that is at fault. */
} GgRunnerAnswerFields;

void gg_relay_read_runner (const GgMessageHead *head, GgRunnerAnswerFields *out);

/** Copies the head of a runner's answer for the caller, without fields of one connection. */
GgMessageHead *gg_relay_copy_answer (const GgMessageHead *head);

/** Path that the platform's balancer asks for readiness. */
const char *gg_relay_get_ready_path (void);

/** Builds an order to hold a range of layers.
 * @param fence of the lease holder that orders; 0 for none.
 * @param expected number of orders that the runner has accepted so far.
 * @param body_out owned by the caller (g_free()). */
GgMessageHead *gg_relay_build_place_order (const char *runner_id,
                                           const GgLayerRange *range,
                                           uint64_t fence,
                                           uint64_t expected,
                                           char **body_out);

/** Builds an order to move a request that is stalled to another path. */
GgMessageHead *gg_relay_build_move_order (const char *runner_id,
                                          const char *attempt_id,
                                          const GgLayerPath *path,
                                          char **body_out);

typedef enum
{
  GG_ORDER_STARTED, /**< It has begun. */
  GG_ORDER_DONE,    /**< The state already holds. */
  GG_ORDER_STALE,   /**< The runner's state is another one than expected. */
  GG_ORDER_FENCED,  /**< A higher fence was used. */
  GG_ORDER_FAILED,  /**< Anything else. */
} GgOrderResult;

GgOrderResult gg_relay_read_order_status (uint32_t status);

/** Builds the request for a runner's report. */
GgMessageHead *gg_relay_build_report_request (const char *runner_id);

/** A request that waits for a runner of its path that does not answer. Strings are owned. */
typedef struct
{
  char *attempt_id;
  char *address; /**< Of the runner that it waits for. */
} GgStalledRequest;

/** State of a model runner as it reports it, some hundred ms late. */
typedef struct
{
  gboolean is_busy;  /**< An order is in progress. */
  uint64_t n_orders; /**< Orders accepted so far. */
  GgLayerRange range;
  uint64_t born_ms;
  double slowdown;    /**< Factor on its usual times; above 1 it is slow. */
  GPtrArray *stalled; /**< GgStalledRequest; requests that it takes as the first runner. */
} GgRunnerReport;

/** @return FALSE if @p body is no report. On TRUE the caller ends @p out with
 *   gg_runner_report_clear(). */
gboolean gg_relay_read_report (const char *body, size_t size_bytes, GgRunnerReport *out);
void gg_runner_report_clear (GgRunnerReport *self);
