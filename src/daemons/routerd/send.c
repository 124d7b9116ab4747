#include "daemons/routerd/relay_private.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "core/plain_choice.h"
#include "core/startup_load.h"
#include "daemons/routerd/limit_exchange.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/request_queue.h"
#include "daemons/routerd/stall_detector.h"
#include "daemons/routerd/team_shares.h"
#include "daemons/routerd/zone_balancer.h"

#include <string.h>

/* A lost SYN packet is retransmitted after a second, so waiting longer than this would only add
 * time for that second try. */
#define CONNECT_TIMEOUT_MS 400
/* A connection that was idle for longer is not reused, since the runner may be about to close it.
 * The shorter limit is for requests that can't be retried. */
#define MAX_IDLE_MS 8000
#define MAX_IDLE_ONCE_MS 1000
/* Fraction of the maximum answer tokens that is expected if the caller gives no estimate. */
#define UNHINTED_ANSWER_FRACTION 0.6
/* Fraction of the estimated answer tokens for which memory is counted. A request takes memory as
 * its answer grows: on average it holds its prompt and about half of its answer, and the requests
 * at one runner are at different stages. */
#define HINTED_ANSWER_FRACTION 0.7
/* A peer sends a hedge beside a silent runner before this time, so the silence is its own. */
#define PEER_SILENCE_LIMIT_MS 1200

static GgCounter sends_total
    = GG_COUNTER ("greengage_router_sends_total", "Requests sent to runners");

static GgMetricFamily sent_elsewhere_total
    = GG_COUNTER_FAMILY ("greengage_router_sent_elsewhere_total",
                         "Requests sent to runners of other data centres by reason",
                         "reason");

const char *
gg_send_get_target (const GgSend *self)
{
  return gg_send_is_handover (self) ? self->peer.name : self->runner->record.id;
}

gboolean
gg_send_is_handover (const GgSend *self)
{
  return self->peer.name != NULL;
}

/* Records whether bytes of the runner are awaited; those of a peer say nothing about runners. */
static void
set_awaited (GgSend *self, gboolean is_awaited)
{
  if (self->is_awaited == is_awaited || gg_send_is_handover (self))
    return;
  self->is_awaited = is_awaited;
  const GgRelay *relay = self->relay;
  if (is_awaited)
    gg_link_monitor_note_sent (relay->router->link_monitor, relay->service->name);
  else
    gg_link_monitor_note_ended (relay->router->link_monitor, relay->service->name);
}

void
gg_send_release (GgSend *self)
{
  GgRouter *router = self->relay->router;
  gg_loop_call_cancel (self->reroute_call);
  self->reroute_call = NULL;
  gg_stall_detector_remove (router->stall_detector, self);
  gg_answer_memory_set (router->answer_memory, &self->memory, 0);
  if (self->runner == NULL)
    return;
  set_awaited (self, FALSE);
  if (self->has_path)
    {
      gg_layer_path_release (&self->path);
      gg_layer_path_clear (&self->path);
      self->has_path = FALSE;
    }
  else
    self->runner->own.n_requests--;
  gg_fleet_runner_unref (self->runner);
  self->runner = NULL;
  gg_stall_detector_wake (router->stall_detector);
  gg_request_queue_wake (router->request_queue);
}

static void
free_send (void *data)
{
  GgSend *self = data;
  gg_message_head_destroy (self->answer);
  if (self->answer_body != NULL)
    g_byte_array_unref (self->answer_body);
  gg_event_buffer_destroy (self->events);
  g_free (self->peer.name);
  g_free (self->peer.address);
  g_free (self);
}

void
gg_send_destroy (GgSend *self)
{
  if (self == NULL)
    return;
  gg_loop_call_cancel (self->call);
  self->call = NULL;
  gg_send_release (self);
  gg_loop_defer (self->relay->router->loop, free_send, self);
}

uint32_t
gg_relay_get_expected_tokens (const GgRelay *self)
{
  const GgCallerFields *caller = &self->caller;
  double answer = caller->expected_answer_tokens > 0
                      ? caller->expected_answer_tokens * HINTED_ANSWER_FRACTION
                      : caller->max_answer_tokens * UNHINTED_ANSWER_FRACTION;
  if (caller->max_answer_tokens > 0)
    answer = MIN (answer, caller->max_answer_tokens);
  return caller->prompt_tokens + (uint32_t) answer;
}

/* Returns the part of the runners' memory that the urgency of the request allows it. One that has
 * begun is not held back for others: it would lose what it has. */
static double
get_urgency_memory (const GgRelay *relay)
{
  const GgUrgency *urgency = gg_router_get_urgency (relay->router, relay->service->name);
  guint rank
      = relay->is_head_sent ? 0 : gg_urgency_get_rank (urgency, gg_relay_get_priority (relay));
  return gg_urgency_get_usable_memory (rank);
}

gboolean
gg_relay_is_over_share (const GgRelay *self)
{
  return gg_team_shares_get_usable_memory (self->router->team_shares, self)
         < get_urgency_memory (self);
}

/* Returns the part of the runners' memory that the request may use. */
static double
get_usable_memory (const GgRelay *relay)
{
  return MIN (get_urgency_memory (relay),
              gg_team_shares_get_usable_memory (relay->router->team_shares, relay));
}

static GgPathQuery
build_path_query (const GgRelay *relay, const GgFleetRunner *excluded, uint64_t now_ms)
{
  GgPathQuery query = { .fleet = relay->router->fleet,
                        .model = relay->service->model,
                        .service = relay->service->name,
                        .data_centre = relay->router->data_centre,
                        .usable_memory = get_usable_memory (relay),
                        .tokens = gg_relay_get_expected_tokens (relay),
                        .excluded = excluded,
                        .random = relay->random,
                        .now_ms = now_ms,
                        .boot_ms = gg_clock_boot_ms () };
  query.preferred = gg_zone_balancer_choose (relay->router->zone_balancer, relay->service->name,
                                             relay->random, &query.good_enough_ms);
  return query;
}

/* Records why the request goes to the data centre of its runner.
 * @param preferred the data centre that the shares meant the request for; NULL without shares. */
static void
set_zone_reason (GgSend *self, const char *preferred)
{
  const char *data_centre = self->runner->record.data_centre;
  if (strcmp (data_centre, self->relay->router->data_centre) == 0)
    self->zone_reason = GG_ZONE_REASON_LOCAL;
  else if (g_strcmp0 (data_centre, preferred) == 0)
    self->zone_reason = GG_ZONE_REASON_SHARE;
  else
    self->zone_reason = GG_ZONE_REASON_COMPARISON;
}

static const char *
get_zone_reason_name (GgZoneReason reason)
{
  switch (reason)
    {
    case GG_ZONE_REASON_LOCAL:
      return "local";
    case GG_ZONE_REASON_SHARE:
      return "share";
    case GG_ZONE_REASON_COMPARISON:
      return "comparison";
    }
  g_assert_not_reached ();
}

static GgPathResult
choose_path (GgSend *self, const GgFleetRunner *excluded, uint64_t now_ms)
{
  GgRouter *router = self->relay->router;
  if (router->first_send_ms == 0)
    router->first_send_ms = now_ms;
  GgPathQuery query = build_path_query (self->relay, excluded, now_ms);
  query.unseen_peers
      = gg_startup_load_get_unseen_peers (now_ms - router->first_send_ms, router->n_instances);
  GgPathResult result = gg_layer_path_choose (&query, &self->path);
  if (result != GG_PATH_FOUND && query.unseen_peers > 0)
    {
      query.unseen_peers = 0;
      result = gg_layer_path_choose (&query, &self->path);
    }
  if (result != GG_PATH_FOUND)
    return result;
  self->has_path = TRUE;
  gg_layer_path_reserve (&self->path);
  self->runner = gg_fleet_runner_ref (self->path.hops[0].runner);
  set_zone_reason (self, query.preferred);
  gg_stall_detector_add (self->relay->router->stall_detector, self);
  return GG_PATH_FOUND;
}

static GgPlainQuery
build_plain_query (const GgRelay *relay, const GgFleetRunner *excluded, uint64_t now_ms)
{
  GgPlainQuery query = { .fleet = relay->router->fleet,
                         .service = relay->service->name,
                         .data_centre = relay->router->data_centre,
                         .excluded = excluded,
                         .now_ms = now_ms,
                         .boot_ms = gg_clock_boot_ms (),
                         .random = relay->random };
  return query;
}

static GgPathResult
choose_plain_runner (GgSend *self, const GgFleetRunner *excluded, uint64_t now_ms)
{
  GgPlainQuery query = build_plain_query (self->relay, excluded, now_ms);
  gboolean is_full = FALSE;
  GgFleetRunner *runner = gg_plain_choose_runner (&query, &is_full);
  if (runner == NULL)
    return is_full ? GG_PATH_FULL : GG_PATH_NONE;
  runner->own.n_requests++;
  self->runner = gg_fleet_runner_ref (runner);
  set_zone_reason (self, NULL);
  return GG_PATH_FOUND;
}

double
gg_relay_get_usable_memory (const GgRelay *self)
{
  return get_usable_memory (self);
}

gboolean
gg_relay_has_other_runner (const GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (self->service->model == NULL)
    {
      GgPlainQuery query = build_plain_query (self, self->failed_runner, now_ms);
      gboolean is_full = FALSE;
      const GgFleetRunner *runner = gg_plain_choose_runner (&query, &is_full);
      return runner != NULL && runner != self->failed_runner;
    }
  GgPathQuery query = build_path_query (self, self->failed_runner, now_ms);
  GgLayerPath path;
  if (gg_layer_path_choose (&query, &path) != GG_PATH_FOUND)
    return FALSE;
  gg_layer_path_clear (&path);
  return TRUE;
}

/* Chooses a peer that neither has the request already nor has failed to serve it. */
static GgPathResult
choose_peer (GgSend *self)
{
  const GgRelay *relay = self->relay;
  const char *excluded[GG_MAX_FAILED_PEERS + 2] = { NULL };
  GgHandoverOffer offer;
  for (guint i = 0; i < relay->n_failed_peers; i++)
    excluded[i] = relay->failed_peers[i];
  if (relay->send != NULL && gg_send_is_handover (relay->send))
    excluded[relay->n_failed_peers] = relay->send->peer.name;
  if (relay->n_failed_peers == GG_MAX_FAILED_PEERS
      || !gg_link_exchange_choose_peer (relay->router->link_exchange, relay->service->name,
                                        excluded, g_random_int (), &offer))
    return GG_PATH_NONE;
  self->peer = (GgPeerTarget){ .name = g_strdup (offer.name),
                               .address = g_strdup (offer.address),
                               .token = offer.token };
  if (relay->service->model != NULL)
    gg_stall_detector_add (relay->router->stall_detector, self);
  return GG_PATH_FOUND;
}

/* Prints the runners of the path for the log, "RUNNER:FIRST-END,...". */
static char *
print_path (const GgSend *self)
{
  GString *text = g_string_new (self->has_path ? NULL : "-");
  for (guint i = 0; self->has_path && i < self->path.n_hops; i++)
    {
      const GgPathHop *hop = &self->path.hops[i];
      g_string_append_printf (text, "%s%s:%u-%u", i > 0 ? "," : "", hop->runner->record.id,
                              hop->range.first_layer, hop->range.end_layer);
    }
  return g_string_free (text, FALSE);
}

/* Records what the end of a call shows about the link to the runner. */
static void
note_link (const GgSend *self, GgCallEnd end)
{
  GgLinkMonitor *monitor = self->relay->router->link_monitor;
  if (gg_send_is_handover (self))
    return;
  switch (end)
    {
    case GG_CALL_COMPLETE:
    case GG_CALL_MALFORMED:
      gg_link_monitor_note_received (monitor, self->runner);
      break;
    case GG_CALL_UNREACHABLE:
      gg_link_monitor_note_missed (monitor, self->runner, self->sent_ms);
      break;
    case GG_CALL_BROKEN:
      gg_link_monitor_note_missed (monitor, self->runner, gg_clock_now_ms ());
      break;
    }
}

static void
on_end (GgSend *self, GgCallEnd end)
{
  GgRelay *relay = self->relay;
  note_link (self, end);
  self->is_closed_by_runner = end == GG_CALL_BROKEN || end == GG_CALL_COMPLETE;
  switch (end)
    {
    case GG_CALL_COMPLETE:
      gg_relay_end_send (relay, self, gg_send_classify_answer (self), "answered");
      break;
    case GG_CALL_UNREACHABLE:
      gg_relay_end_send (relay, self, GG_SEND_UNSENT, "unreachable");
      break;
    case GG_CALL_BROKEN:
    case GG_CALL_MALFORMED:
      /* A refusal is valid from its head on, even if its body was truncated. */
      gg_relay_end_send (relay, self, gg_send_is_refused (self) ? GG_SEND_REFUSED : GG_SEND_LOST,
                         end == GG_CALL_BROKEN ? "closed" : "malformed");
      break;
    }
}

/* Records bytes of the runner. */
static void
note_received (GgSend *self)
{
  gg_link_monitor_note_received (self->relay->router->link_monitor, self->runner);
  if (self->is_suspected)
    gg_fleet_runner_note_heard (self->runner);
  self->is_suspected = FALSE;
}

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  GgSend *self = data;
  if (event->kind == GG_CALL_HEAD || event->kind == GG_CALL_BODY)
    {
      self->last_activity_ms = gg_clock_now_ms ();
      if (!gg_send_is_handover (self))
        note_received (self);
    }
  switch (event->kind)
    {
    case GG_CALL_HEAD_PART:
      self->head_part_bytes = event->held_bytes;
      gg_relay_update_answer_bytes (self->relay);
      return TRUE;
    case GG_CALL_HEAD:
      self->head_part_bytes = 0;
      return gg_send_receive_head (self, event->head);
    case GG_CALL_BODY:
      gg_send_receive_body (self, event->body.bytes, event->body.size_bytes);
      return TRUE;
    case GG_CALL_END:
      on_end (self, event->end);
      return TRUE;
    }
  return FALSE;
}

GgSend *
gg_send_create (GgRelay *relay, const GgFleetRunner *excluded, GgPathResult *result_out)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgSend *self = g_new0 (GgSend, 1);
  self->relay = relay;
  if (gg_relay_needs_peer (relay))
    *result_out = choose_peer (self);
  else
    *result_out = relay->service->model != NULL ? choose_path (self, excluded, now_ms)
                                                : choose_plain_runner (self, excluded, now_ms);
  if (*result_out == GG_PATH_FOUND)
    return self;
  g_free (self);
  return NULL;
}

static uint64_t
get_time_left_ms (const GgRelay *relay, uint64_t now_ms)
{
  return relay->deadline_ms > now_ms ? relay->deadline_ms - now_ms : 1;
}

static GgMessageHead *
build_runner_head (const GgSend *self, size_t body_bytes)
{
  const GgRelay *relay = self->relay;
  GgRelaySend fields = { .runner_id = self->runner->record.id,
                         .team = relay->team != NULL ? relay->team->name : NULL,
                         .time_left_ms = get_time_left_ms (relay, self->sent_ms),
                         .path = self->has_path ? &self->path : NULL,
                         .has_last_event = relay->has_last_id,
                         .last_event_id = relay->last_id,
                         .urgency = MIN (gg_relay_get_priority (relay) + 3, 9) };
  return gg_relay_wire_build_request (relay->head, &fields, body_bytes);
}

static GgMessageHead *
build_handover_head (const GgSend *self, size_t body_bytes)
{
  const GgRelay *relay = self->relay;
  GgHandoverFields fields = { .token = self->peer.token,
                              .instance = relay->router->instance,
                              .n_runs = relay->attempt.n_possible_runs,
                              .time_left_ms = get_time_left_ms (relay, self->sent_ms),
                              .has_last_event = relay->has_last_id,
                              .last_event_id = relay->last_id };
  return gg_relay_wire_build_handover (relay->head, &fields, body_bytes);
}

static void
note_sent_to_runner (GgSend *self)
{
  const GgRelay *relay = self->relay;
  gg_fleet_runner_take_permit (self->runner, gg_clock_boot_ms ());
  gg_retry_after_note_sent (&self->runner->retry_after, self->sent_ms);
  gg_limit_exchange_note_demand (relay->router->limit_exchange, relay->service->name,
                                 self->runner->record.data_centre);
  set_awaited (self, TRUE);
  gg_counter_add (&sends_total, 1);
  const char *zone_reason = get_zone_reason_name (self->zone_reason);
  if (self->zone_reason != GG_ZONE_REASON_LOCAL)
    gg_metric_family_add (&sent_elsewhere_total, zone_reason, 1);
  char *path = print_path (self);
  gg_event_log_add (
      GG_EVENT_ORDINARY, "request_sent",
      "request=%s runner=%s data_centre=%s zone_reason=%s path=%s hops=%u token_ms=%.2f tokens=%u "
      "runs=%u misses=%u left_ms=%" G_GUINT64_FORMAT " fleet=%" G_GUINT64_FORMAT
      " fleet_age_ms=%" G_GUINT64_FORMAT,
      relay->log_id, self->runner->record.id, self->runner->record.data_centre, zone_reason, path,
      self->has_path ? self->path.n_hops : 1, self->has_path ? self->path.token_ms : 0,
      self->has_path ? self->path.tokens : 0, relay->attempt.n_possible_runs,
      relay->attempt.n_not_run, (guint64) get_time_left_ms (relay, self->sent_ms),
      (guint64) gg_fleet_get_revision (relay->router->fleet),
      (guint64) (gg_clock_boot_ms () - relay->router->runners_fresh_boot_ms));
  g_free (path);
}

static void
note_handed_over (const GgSend *self)
{
  const GgRelay *relay = self->relay;
  gg_event_log_add (GG_EVENT_ORDINARY, "request_handed_over",
                    "request=%s peer=%s runs=%u misses=%u left_ms=%" G_GUINT64_FORMAT " events=%u",
                    relay->log_id, self->peer.name, relay->attempt.n_possible_runs,
                    relay->attempt.n_not_run, (guint64) get_time_left_ms (relay, self->sent_ms),
                    relay->n_events);
}

void
gg_send_transmit (GgSend *self)
{
  const GgRelay *relay = self->relay;
  gboolean is_handover = gg_send_is_handover (self);
  gboolean runs_once = relay->route->kind == GG_REQUEST_NON_IDEMPOTENT;
  size_t body_bytes = relay->body != NULL ? relay->body->len : 0;
  self->sent_ms = gg_clock_now_ms ();
  self->sent_boot_ms = gg_clock_boot_ms ();
  self->last_activity_ms = self->sent_ms;
  self->awaited_since_ms = self->sent_ms;
  GgMessageHead *head
      = is_handover ? build_handover_head (self, body_bytes) : build_runner_head (self, body_bytes);
  GgCallRequest request
      = { .address = is_handover ? self->peer.address : self->runner->record.address,
          .head = head,
          .body = relay->body != NULL ? relay->body->data : NULL,
          .body_bytes = body_bytes,
          .body_array = relay->body,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .max_idle_ms = runs_once ? MAX_IDLE_ONCE_MS : MAX_IDLE_MS,
          .used = &self->relay->used_connections };
  self->call = gg_loop_client_call (relay->router->client, &request, on_call, self);
  gg_message_head_destroy (head);
  gg_team_shares_note_admitted (relay->router->team_shares, self->relay);
  if (is_handover)
    note_handed_over (self);
  else
    note_sent_to_runner (self);
}

/* Whether the peer has had the time to send a hedge for a silent runner, so that the peer itself is
 * in doubt. It has no report that could be requested. */
static gboolean
is_peer_silent (const GgSend *self)
{
  return gg_send_is_handover (self)
         && gg_clock_now_ms () - self->last_activity_ms >= PEER_SILENCE_LIMIT_MS;
}

GgStallState
gg_send_get_stall_state (const GgSend *self)
{
  return (GgStallState){ .has_events = self->events != NULL && self->relay->is_head_sent,
                         .is_resumable = self->relay->route->is_resumable,
                         .is_suspected = self->is_suspected || is_peer_silent (self),
                         .is_paused = self->is_paused,
                         .last_activity_ms = self->last_activity_ms,
                         .last_event_ms
                         = MAX (self->relay->last_event_ms, self->awaited_since_ms) };
}

GgFleetRunner *
gg_send_get_runner (const GgSend *self)
{
  return self->runner;
}

const char *
gg_send_get_attempt_id (const GgSend *self)
{
  return self->relay->caller.attempt_id;
}

gboolean
gg_send_is_runner_replaced (const GgSend *self)
{
  return self->is_suspected
         && gg_fleet_is_replaced (self->relay->router->fleet, &self->runner->record);
}

void
gg_send_set_suspected (GgSend *self, gboolean is_suspected)
{
  self->is_suspected = is_suspected;
}

GgHedgeResult
gg_send_hedge (GgSend *self)
{
  GgRelay *relay = self->relay;
  if (self == relay->send)
    return gg_relay_hedge (relay);
  if (gg_attempt_may_replace_hedge (&relay->attempt))
    gg_send_abandon (self, "silent");
  return GG_HEDGE_OPEN;
}

void
gg_send_set_paused (GgSend *self, gboolean is_paused)
{
  if (self->call == NULL || self->is_paused == is_paused)
    return;
  self->is_paused = is_paused;
  set_awaited (self, !is_paused);
  self->last_activity_ms = self->awaited_since_ms = gg_clock_now_ms ();
  gg_loop_call_set_reading (self->call, !is_paused);
}

void
gg_send_abandon (GgSend *self, const char *cause)
{
  gg_loop_call_cancel (self->call);
  self->call = NULL;
  gg_relay_end_send (self->relay, self, GG_SEND_LOST, cause);
}

static gboolean
on_reroute_call (void *data, const GgCallEvent *event)
{
  GgSend *self = data;
  switch (event->kind)
    {
    case GG_CALL_HEAD_PART:
      return TRUE;
    case GG_CALL_HEAD:
      self->reroute_result
          = gg_relay_wire_read_order_status (gg_message_head_get_status (event->head));
      gg_message_head_destroy (event->head);
      return TRUE;
    case GG_CALL_BODY:
      return TRUE;
    case GG_CALL_END:
      self->reroute_call = NULL;
      gg_event_log_add (GG_EVENT_NOTABLE, "request_moved", "request=%s runner=%s result=%d",
                        self->relay->log_id, self->runner->record.id, self->reroute_result);
      self->is_suspected
          = self->reroute_result != GG_ORDER_STARTED && self->reroute_result != GG_ORDER_DONE;
      /* The new path has time to bring an event. Without one, the silence goes on. */
      if (!self->is_suspected)
        self->last_activity_ms = self->awaited_since_ms = gg_clock_now_ms ();
      return TRUE;
    }
  return FALSE;
}

static void
send_reroute_order (GgSend *self)
{
  char *body = NULL;
  GgMessageHead *head = gg_relay_wire_build_reroute_order (
      self->runner->record.id, self->relay->caller.attempt_id, &self->path, &body);
  GgCallRequest request = { .address = self->runner->record.address,
                            .head = head,
                            .body = body,
                            .body_bytes = strlen (body),
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .max_idle_ms = 0, /* the answer does not identify the call */
                            .foreign_field = gg_relay_wire_get_answer_field () };
  self->reroute_result = GG_ORDER_FAILED;
  self->reroute_call
      = gg_loop_client_call (self->relay->router->client, &request, on_reroute_call, self);
  gg_message_head_destroy (head);
  g_free (body);
}

void
gg_send_reroute (GgSend *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgPathHop first_hop = self->path.hops[0];
  GgPathQuery query = build_path_query (self->relay, NULL, now_ms);
  query.first_hop = &first_hop;
  GgLayerPath moved;
  if (self->reroute_call != NULL || self->relay->hedge != NULL)
    return;
  /* The capacity that the request holds at its runners counts as free for the new path. */
  gg_layer_path_release (&self->path);
  GgPathResult result = gg_layer_path_choose (&query, &moved);
  if (result != GG_PATH_FOUND)
    {
      gg_layer_path_reserve (&self->path);
      self->is_suspected = TRUE;
      return;
    }
  gg_layer_path_clear (&self->path);
  self->path = moved;
  gg_layer_path_reserve (&self->path);
  send_reroute_order (self);
}
