#include "daemons/routerd/relay_private.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "core/request_digest.h"
#include "daemons/routerd/client_limits.h"
#include "daemons/routerd/problem.h"
#include "daemons/routerd/request_queue.h"
#include "daemons/routerd/team_shares.h"

#include <string.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404

#define OUTCOME_DELIVERED "delivered"
#define OUTCOME_DEADLINE "deadline"

/* The runner stops at the deadline by itself; its answer is waited for this much longer. */
#define DEADLINE_SLACK_MS 150

static GgCounter requests_total
    = GG_COUNTER ("greengage_router_requests_total", "Requests of callers");
static GgCounter disconnected_total
    = GG_COUNTER ("greengage_router_callers_gone_total", "Callers that left early");
static GgMetricFamily ended_total = GG_COUNTER_FAMILY (
    "greengage_router_ended_total", "Requests that ended, by what the caller was told", "outcome");
static GgMetricFamily taken_over_total
    = GG_COUNTER_FAMILY ("greengage_router_taken_over_total",
                         "Requests handed over by peers that ended, by outcome",
                         "outcome");
static GgMetricFamily route_ended_total
    = GG_COUNTER_FAMILY ("greengage_router_route_ended_total", "Requests that ended", "route");
static GgMetricFamily answer_ms = GG_HISTOGRAM_FAMILY (
    "greengage_router_answer_ms", "Time to the whole answer or the first event, by kind", "kind");

static const char *
get_kind_name (GgRequestKind kind)
{
  switch (kind)
    {
    case GG_REQUEST_IDEMPOTENT:
      return "idempotent";
    case GG_REQUEST_NON_IDEMPOTENT:
      return "non_idempotent";
    case GG_REQUEST_STREAMING:
      return "streaming";
    }
  return "?";
}

static void
count_end (const GgRelay *self, const char *outcome, uint64_t now_ms)
{
  gboolean is_delivered = strcmp (outcome, OUTCOME_DELIVERED) == 0;
  gboolean has_full_duration = is_delivered || strcmp (outcome, OUTCOME_DEADLINE) == 0;
  if (has_full_duration && self->route != NULL)
    gg_router_note_duration (self->router, self->route->name, now_ms - self->received_ms);
  /* The instance that has handed it over counts it by what its caller is told. */
  if (self->is_handed_over)
    {
      gg_metric_family_add (&taken_over_total, outcome, 1);
      return;
    }
  gg_metric_family_add (&ended_total, outcome, 1);
  if (self->route == NULL)
    return;
  gg_metric_family_add (&route_ended_total, self->route->name, 1);
  if (is_delivered)
    gg_metric_family_observe (&answer_ms, get_kind_name (self->route->kind),
                              (self->first_event_ms != 0 ? self->first_event_ms : now_ms)
                                  - self->received_ms);
}

static void
free_relay (void *data)
{
  GgRelay *self = data;
  gg_message_head_destroy (self->head);
  if (self->body != NULL)
    g_byte_array_unref (self->body);
  gg_fleet_runner_unref (self->failed_runner);
  for (guint i = 0; i < self->n_failed_peers; i++)
    g_free (self->failed_peers[i]);
  gg_loop_timer_destroy (self->timer);
  gg_routing_config_unref (self->config);
  g_free (self);
}

static void
log_end (const GgRelay *self, const char *outcome, uint32_t status, uint64_t now_ms)
{
  /* What a peer hands over was authorized there. */
  if (!self->is_handed_over
      && !gg_client_limits_may_log (self->router->client_limits, self->refusal))
    return;
  gboolean is_ordinary
      = strcmp (outcome, OUTCOME_DELIVERED) == 0 && status < GG_STATUS_SERVER_ERROR;
  gg_event_log_add (
      is_ordinary ? GG_EVENT_ORDINARY : GG_EVENT_NOTABLE, "request_ended",
      "request=%s outcome=%s status=%u route=%s team=%s runs=%u misses=%u ms=%" G_GUINT64_FORMAT
      " events=%u first_event_ms=%" G_GUINT64_FORMAT " goal_ms=%u longest_gap_ms=%" G_GUINT64_FORMAT
      " config=%" G_GUINT64_FORMAT " config_age_ms=%" G_GUINT64_FORMAT
      " retry_after_ms=%" G_GUINT64_FORMAT,
      self->log_id, outcome, status, self->route != NULL ? self->route->name : "-",
      self->team != NULL ? self->team->name : "-", self->attempt.n_possible_runs,
      self->attempt.n_not_run, (guint64) (now_ms - self->received_ms), self->n_events,
      (guint64) (self->first_event_ms != 0 ? self->first_event_ms - self->received_ms : 0),
      self->route != NULL ? self->route->latency_target_ms : 0, (guint64) self->longest_gap_ms,
      (guint64) (self->config != NULL ? gg_routing_config_get_version (self->config) : 0),
      (guint64) (gg_clock_boot_ms () - self->router->config_fresh_boot_ms),
      (guint64) self->retry_after_ms);
}

void
gg_relay_finish (GgRelay *self, const char *outcome, uint32_t status)
{
  uint64_t now_ms = gg_clock_now_ms ();
  count_end (self, outcome, now_ms);
  log_end (self, outcome, status, now_ms);
  if (self->is_queued)
    gg_request_queue_remove (self->router->request_queue, self);
  gg_send_destroy (self->send);
  gg_send_destroy (self->hedge);
  self->send = NULL;
  self->hedge = NULL;
  if (self->is_handed_over)
    self->router->n_handed_over--;
  gg_loop_timer_stop (self->timer);
  gg_loop_defer (self->router->loop, free_relay, self);
}

static GgRequestIdentity
get_identity (const GgRelay *self)
{
  GgRequestIdentity identity = { .method = gg_message_head_get_method (self->head),
                                 .host = self->caller.host,
                                 .target = gg_message_head_get_target (self->head),
                                 .caller = self->team != NULL ? self->team->name : self->caller.key,
                                 .prompt = self->caller.prompt,
                                 .body = self->body != NULL ? self->body->data : NULL,
                                 .body_bytes = self->body != NULL ? self->body->len : 0 };
  return identity;
}

uint64_t
gg_relay_get_digest (GgRelay *self)
{
  GgRequestIdentity identity = get_identity (self);
  if (self->digest == 0)
    self->digest = gg_request_digest (&identity);
  return self->digest;
}

uint16_t
gg_relay_get_digest_prefix (GgRelay *self)
{
  GgRequestIdentity identity = get_identity (self);
  if (!self->has_digest_prefix)
    self->digest_prefix = gg_request_digest_get_prefix (&identity);
  self->has_digest_prefix = TRUE;
  return self->digest_prefix;
}

uint64_t
gg_relay_get_received_ms (const GgRelay *self)
{
  return self->received_ms;
}

uint64_t
gg_relay_get_waiting_since_ms (const GgRelay *self)
{
  return MAX (self->received_ms, self->last_event_ms);
}

uint64_t
gg_relay_get_latency_target_ms (const GgRelay *self)
{
  return self->route->latency_target_ms;
}

const char *
gg_relay_get_service_name (const GgRelay *self)
{
  return self->service->name;
}

uint32_t
gg_relay_get_priority (const GgRelay *self)
{
  if (self->team != NULL && self->team->priority != GG_TEAM_NO_PRIORITY)
    return self->team->priority;
  return self->route->priority;
}

static void
end_unserved (GgRelay *self, uint32_t status, const char *reason)
{
  if (self->is_queued)
    {
      gg_request_queue_remove (self->router->request_queue, self);
      gg_relay_reject_queued (self);
    }
  else if (self->is_head_sent)
    gg_relay_abort_answer (self, reason);
  else
    gg_relay_fail (self, status, reason);
}

static void
on_deadline (void *data)
{
  end_unserved (data, GG_STATUS_GATEWAY_TIMEOUT, OUTCOME_DEADLINE);
}

void
gg_relay_end_for_stop (void *data)
{
  GgRelay *self = data;
  /* The instance that has handed it over may send it again where this one can't. */
  if (self->is_handed_over && !self->is_queued)
    gg_relay_abort_answer (self, "stopping");
  else
    end_unserved (self, GG_STATUS_BAD_GATEWAY, "stopping");
}

/* Finds the route, team and service of the request.
 * @return the HTTP status of a refusal, 0 if the request is allowed. */
static uint32_t
authorize (GgRelay *self, const char **reason_out)
{
  const GgCallerFields *caller = &self->caller;
  *reason_out = NULL;
  if (caller->host == NULL)
    {
      *reason_out = "no_host";
      self->refusal = GG_REFUSAL_NO_HOST;
      return STATUS_BAD_REQUEST;
    }
  if (self->config == NULL)
    {
      *reason_out = "no_configuration";
      self->refusal = GG_REFUSAL_NO_CONFIGURATION;
      return GG_STATUS_UNAVAILABLE;
    }
  self->route = gg_routing_config_find_route (self->config, caller->host,
                                              gg_message_head_get_target (self->head));
  if (self->route == NULL)
    {
      *reason_out = "no_route";
      self->refusal = GG_REFUSAL_NO_ROUTE;
      return STATUS_NOT_FOUND;
    }
  if (caller->attempt_id == NULL)
    {
      *reason_out = "no_attempt_id";
      self->refusal = GG_REFUSAL_NO_ATTEMPT_ID;
      return STATUS_BAD_REQUEST;
    }
  if (!self->route->is_anonymous && gg_routing_config_requires_keys (self->config))
    {
      if (!gg_router_has_fresh_keys (self->router))
        {
          *reason_out = "keys_not_fresh";
          /* Callers whose key was valid last keep their lines. */
          if (caller->key == NULL
              || gg_routing_config_find_team (self->config, caller->key) == NULL)
            self->refusal = GG_REFUSAL_KEYS_NOT_FRESH;
          return GG_STATUS_UNAVAILABLE;
        }
      self->team
          = caller->key != NULL ? gg_routing_config_find_team (self->config, caller->key) : NULL;
      if (self->team == NULL)
        {
          *reason_out = "unknown_key";
          self->refusal = GG_REFUSAL_UNKNOWN_KEY;
          return STATUS_UNAUTHORIZED;
        }
    }
  self->service = gg_routing_config_choose_service (self->config, self->route, self->random);
  if (self->service == NULL)
    {
      *reason_out = "no_service";
      return GG_STATUS_UNAVAILABLE;
    }
  return 0;
}

/* @param n_runs sends by the instance that has handed the request over, which may have run. */
static void
start_request (GgRelay *self, uint32_t n_runs)
{
  const char *reason = NULL;
  if (self->router->is_refusing)
    {
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "stopping", GG_RETRY_AFTER_LOCAL_MS);
      return;
    }
  uint32_t status = authorize (self, &reason);
  if (status != 0)
    {
      uint64_t retry_after_ms = status == GG_STATUS_UNAVAILABLE ? GG_RETRY_AFTER_LOCAL_MS : 0;
      gg_relay_refuse (self, status, reason, retry_after_ms);
      return;
    }
  uint64_t allowed_ms = self->route->timeout_ms;
  if (self->caller.time_left_ms > 0)
    allowed_ms = MIN (allowed_ms, self->caller.time_left_ms);
  if (!gg_router_has_time_for (self->router, self->route, allowed_ms))
    {
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "stopping", GG_RETRY_AFTER_LOCAL_MS);
      return;
    }
  /* The other instance may have another configuration. */
  if (n_runs > 0 && self->route->kind == GG_REQUEST_NON_IDEMPOTENT)
    {
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "may_have_run", GG_RETRY_AFTER_LOCAL_MS);
      return;
    }
  self->deadline_ms = self->received_ms + allowed_ms;
  self->has_last_id = self->caller.has_last_event;
  self->last_id = self->caller.last_event_id;
  self->attempt = (GgAttempt){ .kind = self->route->kind,
                               .is_resumable = self->route->is_resumable,
                               .max_attempts = MAX (self->route->max_attempts, 1),
                               .n_possible_runs = n_runs };
  gg_loop_timer_start (self->timer, allowed_ms + DEADLINE_SLACK_MS);
  gg_urgency_note (gg_router_get_urgency (self->router, self->service->name),
                   gg_relay_get_priority (self), self->received_ms);
  gg_team_shares_note_request (self->router->team_shares, self);
  /* A request that was handed over is counted by the instance that has received it. */
  if (!self->is_handed_over)
    gg_send_budget_note_request (gg_router_get_budget (self->router, self->service->name),
                                 self->received_ms);
  gg_relay_dispatch (self);
}

static GgRelay *
create (GgRouter *router, GgServerConnection *connection, const GgServerEvent *event)
{
  GgMessageHead *head = event->request.head;
  GgRelay *self = g_new0 (GgRelay, 1);
  self->router = router;
  self->connection = connection;
  self->head = head;
  self->body = event->request.body;
  self->received_ms = gg_clock_now_ms ();
  self->random = g_random_int ();
  self->config = router->config != NULL ? gg_routing_config_ref (router->config) : NULL;
  self->timer = gg_loop_timer_create (router->loop, on_deadline, self);
  gg_relay_wire_read_caller_fields (head, &self->caller);
  gg_event_log_format_id (self->caller.attempt_id, self->log_id);
  gg_server_connection_set_data (connection, self);
  return self;
}

void
gg_relay_take_over (GgRouter *router,
                    GgServerConnection *connection,
                    const GgServerEvent *event,
                    const GgHandoverFields *fields)
{
  GgRelay *self = create (router, connection, event);
  self->is_handed_over = TRUE;
  router->n_handed_over++;
  gg_event_log_add (GG_EVENT_ORDINARY, "request_taken_over",
                    "request=%s from=%s runs=%u left_ms=%" G_GUINT64_FORMAT " open=%u",
                    self->log_id, fields->instance, fields->n_runs,
                    (guint64) self->caller.time_left_ms, router->n_handed_over);
  start_request (self, fields->n_runs);
}

static void
on_caller_disconnected (GgRelay *self, gboolean is_stalled)
{
  gg_counter_add (&disconnected_total, 1);
  gg_relay_finish (self, is_stalled ? "caller_stalled" : "caller_left", 0);
}

void
gg_relay_on_server_event (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  GgRouter *router = data;
  GgRelay *self = gg_server_connection_get_data (connection);
  switch (event->kind)
    {
    case GG_SERVER_REQUEST:
      gg_counter_add (&requests_total, 1);
      start_request (create (router, connection, event), 0);
      break;
    case GG_SERVER_REJECTED:
      if (gg_client_limits_may_log (router->client_limits, GG_REFUSAL_MALFORMED))
        gg_event_log_add (GG_EVENT_NOTABLE, "request_malformed", "status=%u", event->status);
      gg_problem_reply_rejected (connection, event->status);
      break;
    case GG_SERVER_DISCONNECTED:
      if (self != NULL)
        on_caller_disconnected (self, event->is_stalled);
      break;
    case GG_SERVER_DRAINED:
      if (self != NULL && self->send != NULL)
        gg_send_set_paused (self->send, FALSE);
      break;
    }
}
