/** @file
 * Port to the platform's protocol between callers, routers, runners and the balancer: header
 * fields, orders and reports. */
#pragma once

#include "loop/message_head.h"
#include "core/layer_path.h"
#include "core/prompt_parts.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Fields of a caller's request. Strings are borrowed from its head, or NULL. */
typedef struct
{
  const char *host;
  const char *attempt_id; /**< Identifies one attempt of the caller. */
  const char *key;        /**< API key of a team. */
  uint64_t time_left_ms;  /**< How long the caller will wait; 0 if it is not stated. */
  uint32_t prompt_tokens;
  uint32_t max_answer_tokens;
  uint32_t expected_answer_tokens; /**< The caller's estimate, often far off; 0 if none. */
  GgPromptParts parts;             /**< Of the prompt; none for a plain service. */
  const char *prompt;      /**< Identifies the whole prompt, the last part included; may be NULL. */
  uint64_t last_event_id;  /**< Valid if has_last_event. */
  gboolean has_last_event; /**< The caller resumes a stream after that event. */
} GgCallerFields;

/** Reads the fields of a caller's request that the router uses. */
void gg_relay_wire_read_caller_fields (const GgMessageHead *head, GgCallerFields *out);

/** Returns the attempt id of a caller's request, or NULL. */
const char *gg_relay_wire_get_attempt_id (const GgMessageHead *head);

/** Fields that a send to a runner adds to the caller's request. */
typedef struct
{
  const char *runner_id;
  const char *team; /**< NULL without teams. */
  uint64_t time_left_ms;
  const GgLayerPath *path; /**< NULL for a plain service. */
  gboolean has_last_event;
  uint64_t last_event_id; /**< Event after which a stream is to continue. */
  uint32_t urgency;       /**< 0 is the most urgent; used only with a path. */
} GgRelaySend;

/** Builds the head of a request to a runner. Hop-by-hop fields, the caller's key and fields that
 * only instances may set are not copied from @p head. */
GgMessageHead *
gg_relay_wire_build_request (const GgMessageHead *head, const GgRelaySend *send, size_t body_bytes);

/** Fields that a request has in addition when one instance hands it over to another. */
typedef struct
{
  uint64_t token;       /**< That the receiving instance has given to its peers. */
  const char *instance; /**< That hands it over; borrowed from the head when read. */
  uint32_t n_runs;      /**< Sends that may have run so far. */
  uint64_t time_left_ms;
  gboolean has_last_event;
  uint64_t last_event_id; /**< Event after which a stream is to continue. */
} GgHandoverFields;

/** Builds the head of a request to another instance: the caller's, with its key, without hop-by-hop
 * fields, and with @p fields. */
GgMessageHead *gg_relay_wire_build_handover (const GgMessageHead *head,
                                             const GgHandoverFields *fields,
                                             size_t body_bytes);

/** Returns whether a request names the token of a handed-over one, with any value. */
gboolean gg_relay_wire_is_handover (const GgMessageHead *head);

/** Reads what only handed-over requests have: token, instance and runs. The time left and the last
 * event are read as those of callers.
 * @return FALSE if one of them is absent or malformed. */
gboolean gg_relay_wire_read_handover (const GgMessageHead *head, GgHandoverFields *out);

/** What an instance answers to a request that was handed over to it. */
typedef enum
{
  GG_HANDOVER_UNKNOWN,  /**< It failed and may have run; all sends that are allowed were made. */
  GG_HANDOVER_DECLINED, /**< Not run, for a reason of that instance only. */
  GG_HANDOVER_NOT_RUN,  /**< Not run, since no runner takes it now. */
  GG_HANDOVER_COMPLETE, /**< The answer is that of a runner. */
} GgHandoverOutcome;

/** For the field and for logs. */
const char *gg_relay_wire_get_outcome_name (GgHandoverOutcome outcome);

void gg_relay_wire_add_outcome (GgMessageHead *head, GgHandoverOutcome outcome);

/** Reads the outcome. An answer without one comes from the HTTP server of an instance that has
 * rejected the request before it was read, if it is an error. */
GgHandoverOutcome gg_relay_wire_read_outcome (const GgMessageHead *head);

/** Fields of a runner's answer. Strings are borrowed from its head, or NULL. */
typedef struct
{
  uint32_t status;
  const char *attempt_id;      /**< Of the request that is answered. */
  gboolean is_signed;          /**< It has a signature of the runner. */
  gboolean is_refused;         /**< The runner has not run the request and will not. */
  gboolean has_refusal_status; /**< Callers take its status for the statement that the request was
                                * not run and will not be, whether or not is_refused is set. */
  gboolean is_misdirected;    /**< Another runner is at the address, or the runner does not hold its
                               * layers of the path. */
  const char *faulty_address; /**< The runner on the path that is at fault. */
  gboolean has_rate_limit;    /**< The runner names a rate limit, valid until it answers without. */
  gboolean is_rate_limit_malformed; /**< Some value of the limit's field is no decimal number. */
  uint32_t rate_limit_milli;        /**< Requests that the runner takes from all instances together,
                                     * in thousandths of a request per second. */
  gboolean is_leaving;              /**< The runner states that it leaves. */
  gboolean is_leaving_malformed;    /**< It states something else of it. */
  gboolean has_retry_after;         /**< The runner wants no requests of this instance. */
  uint64_t retry_after_ms;          /**< For so long. */
  gboolean is_retry_after_malformed; /**< Some value of that field can't be read. */
} GgRunnerAnswerFields;

void gg_relay_wire_read_answer_fields (const GgMessageHead *head, GgRunnerAnswerFields *out);

/** Field of a runner's answers to requests of callers, which its answers to orders and its reports
 * don't have. */
const char *gg_relay_wire_get_answer_field (void);

/** Copies the head of a runner's answer for the caller, without hop-by-hop fields and the outcome
 * of a handed-over request, which only instances may state. */
GgMessageHead *gg_relay_wire_copy_answer (const GgMessageHead *head);

/** Path that the platform's balancer polls for readiness. */
const char *gg_relay_wire_get_ready_path (void);

/** Builds an order to hold a range of layers.
 * @param fencing_number of the leader; 0 for none.
 * @param expected number of orders that the runner has accepted so far.
 * @param body_out owned by the caller (g_free()). */
GgMessageHead *gg_relay_wire_build_placement_order (const char *runner_id,
                                                    const GgLayerRange *range,
                                                    uint64_t fencing_number,
                                                    uint64_t expected,
                                                    char **body_out);

/** Builds an order to reroute a stalled request to another path.
 * @param body_out owned by the caller (g_free()). */
GgMessageHead *gg_relay_wire_build_reroute_order (const char *runner_id,
                                                  const char *attempt_id,
                                                  const GgLayerPath *path,
                                                  char **body_out);

typedef enum
{
  GG_ORDER_STARTED, /**< The runner has started to carry it out. */
  GG_ORDER_DONE,    /**< The runner is already in the state that was ordered. */
  GG_ORDER_STALE,   /**< The runner's state is not the expected one. */
  GG_ORDER_FENCED,  /**< The runner has seen a higher fencing token. */
  GG_ORDER_FAILED,  /**< Anything else. */
} GgOrderResult;

GgOrderResult gg_relay_wire_read_order_status (uint32_t status);

/** Builds a health check of a runner. */
GgMessageHead *gg_relay_wire_build_health_request (const char *runner_id, const char *path);

/** Builds the request for a runner's report. */
GgMessageHead *gg_relay_wire_build_report_request (const char *runner_id);

/** A request that is stalled by an unresponsive runner of its path. Strings are owned. */
typedef struct
{
  char *attempt_id;
  char *address; /**< Of the unresponsive runner. */
} GgStalledRequest;

/** State that a model runner reports, some hundred ms old. */
typedef struct
{
  gboolean is_busy;  /**< An order is in progress. */
  uint64_t n_orders; /**< Orders accepted so far. */
  GgLayerRange range;
  uint64_t started_ms; /**< Wall-clock start of the runner. */
  double slowdown;     /**< Factor on its usual processing times; above 1 it is slow. */
  GPtrArray *stalled;  /**< GgStalledRequest, of those whose first runner it is. */
} GgRunnerReport;

/** @return FALSE if @p body is no valid report. On TRUE the caller clears @p out with
 *   gg_runner_report_clear(). */
gboolean gg_relay_wire_read_report (const char *body, size_t size_bytes, GgRunnerReport *out);
void gg_runner_report_clear (GgRunnerReport *self);
