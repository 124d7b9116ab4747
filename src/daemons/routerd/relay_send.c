#include "daemons/routerd/relay_private.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "core/plain_choice.h"
#include "daemons/routerd/stall_watch.h"
#include "daemons/routerd/waiting_room.h"

#include <string.h>

/* Connections to runners: a lost opening packet is sent again after a second, so waiting longer
 * than this only pays for the second try. */
#define CONNECT_TIMEOUT_MS 400
/* A kept connection that was idle for longer may be closing at the other end just now. What can't
 * be repeated takes a fresher one. */
#define MAX_IDLE_MS 8000
#define MAX_IDLE_ONCE_MS 1000
/* A stalled request for which there is no other path now is left where it is for this long: room
 * may come, or its runner may answer again. Callers leave after two seconds without an event. */
#define STALL_PATIENCE_MS 1200
/* Runners that refuse one after another show that this process knows less than it should, as while
 * layers move: after so many it waits for news before the next try. */
#define MISSES_AT_ONCE 2
/* Above this share of its memory a runner may lack room for a request, since what each instance
 * knows of the others' requests is late. */
#define NEARLY_FULL 0.8
/* Answer tokens that are expected if the caller gives no estimate: part of its maximum. */
#define UNHINTED_PART 0.6
/* A request grows into its memory: over its life it holds its prompt and about half of its answer,
 * and the requests at one runner are at different points of theirs. */
#define HINT_FACTOR 0.7

static GgCounter sends_total
    = GG_COUNTER ("greengage_router_sends_total", "Requests sent to runners");
static GgCounter repeats_total
    = GG_COUNTER ("greengage_router_repeats_total", "Sends beyond the first of a request");
static GgMetricFamily sends_ended_total
    = GG_COUNTER_FAMILY ("greengage_router_sends_ended_total", "Sends to runners by end", "end");
static GgMetricFamily runner_misses_total = GG_COUNTER_FAMILY (
    "greengage_router_runner_misses_total", "Sends that brought no answer, by runner", "runner");

void
gg_relay_release_runner (GgRelay *self)
{
  gg_loop_call_cancel (self->move_call);
  self->move_call = NULL;
  if (self->runner == NULL)
    return;
  if (self->has_path)
    {
      gg_stall_watch_remove (self->router->stall_watch, self);
      gg_layer_path_release (&self->path);
      gg_layer_path_clear (&self->path);
      self->has_path = FALSE;
    }
  else
    self->runner->own.n_requests--;
  gg_fleet_runner_unref (self->runner);
  self->runner = NULL;
  gg_waiting_room_wake (self->router->waiting_room);
}

static gboolean
may_repeat (GgRelay *self, GgSendResult end)
{
  /* A send that never reached a runner is no arrival there and needs no budget. */
  if (end == GG_SEND_UNSENT)
    return TRUE;
  GgSendBudget *budget = gg_router_get_budget (self->router, self->service->name);
  GgRetryReason reason = end == GG_SEND_REFUSED ? GG_RETRY_REASON_REFUSED : GG_RETRY_REASON_LOST;
  return gg_send_budget_withdraw (budget, reason, gg_clock_now_ms ());
}

static void
apply (GgRelay *self, GgAttemptAction next)
{
  switch (next)
    {
    case GG_ATTEMPT_DELIVER:
      if (self->is_streaming)
        gg_relay_end_stream (self);
      else
        gg_relay_deliver (self);
      break;
    case GG_ATTEMPT_RETRY:
      if (!self->has_answer_started)
        gg_relay_clear_answer (self);
      else
        {
          /* The head of the first run stays; only the rest of a partial event is dropped. */
          gg_event_buffer_destroy (self->events);
          self->events = NULL;
        }
      gg_relay_choose_and_send (self);
      break;
    case GG_ATTEMPT_REJECT:
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "no_runner_took_it", GG_RETRY_AFTER_FULL_MS);
      break;
    case GG_ATTEMPT_FAIL:
      gg_relay_fail (self, GG_STATUS_BAD_GATEWAY, "answer_lost");
      break;
    case GG_ATTEMPT_ABORT:
      gg_relay_break_off (self, "stream_lost");
      break;
    }
}

static const char *
get_end_name (GgSendResult end)
{
  switch (end)
    {
    case GG_SEND_COMPLETE:
      return "complete";
    case GG_SEND_FAILED:
      return "failed";
    case GG_SEND_UNSENT:
      return "unsent";
    case GG_SEND_REFUSED:
      return "refused";
    case GG_SEND_LOST:
      return "lost";
    }
  return "?";
}

/* Whether a runner's refusal is explained by what it has to do. */
static gboolean
is_nearly_full (const GgRelay *self, const GgFleetRunner *runner)
{
  if (self->service->model != NULL)
    return gg_layer_path_get_memory_use (self->service->model, runner) > NEARLY_FULL;
  return runner->own.n_requests + runner->peers.n_requests >= runner->record.slots;
}

/* Holds a failed send against the runner that is at fault. */
static void
blame (GgRelay *self, GgSendResult end, uint64_t now_ms)
{
  GgFleetRunner *runner = self->runner;
  if (self->answer_words.faulty_address != NULL)
    {
      GgFleetRunner *faulty
          = gg_fleet_find_address (self->router->fleet, self->answer_words.faulty_address);
      runner = faulty != NULL ? faulty : runner;
    }
  switch (end)
    {
    case GG_SEND_COMPLETE:
      if (self->has_path)
        gg_layer_path_note_success (&self->path, self->sent_ms);
      else
        gg_fleet_runner_note_success (runner, self->sent_ms);
      return;
    case GG_SEND_FAILED:
      break;
    case GG_SEND_REFUSED:
      if (self->answer_words.is_misdirected)
        gg_fleet_runner_note_failure (runner, now_ms);
      else
        gg_fleet_runner_note_refusal (runner, is_nearly_full (self, runner), now_ms);
      break;
    case GG_SEND_UNSENT:
    case GG_SEND_LOST:
      gg_fleet_runner_note_failure (runner, now_ms);
      break;
    }
  gg_fleet_runner_unref (self->avoided);
  self->avoided = gg_fleet_runner_ref (runner);
}

void
gg_relay_end_send (GgRelay *self, GgSendResult end)
{
  uint64_t now_ms = gg_clock_now_ms ();
  self->call = NULL;
  gg_metric_family_add (&sends_ended_total, get_end_name (end), 1);
  if (end != GG_SEND_COMPLETE)
    gg_metric_family_add (&runner_misses_total, self->runner->record.id, 1);
  if (end != GG_SEND_COMPLETE)
    gg_event_log_add (
        GG_EVENT_NOTABLE, "send_ended",
        "request=%s end=%s runner=%s status=%u at_fault=%s ms=%" G_GUINT64_FORMAT " events=%u",
        self->words.attempt_id, get_end_name (end), self->runner->record.id,
        self->answer_words.status,
        self->answer_words.faulty_address != NULL ? self->answer_words.faulty_address : "-",
        (guint64) (now_ms - self->sent_ms), self->n_events);
  blame (self, end, now_ms);
  gg_relay_release_runner (self);
  gg_attempt_note_send (&self->attempt, end);
  self->attempt.is_past_deadline = now_ms >= self->deadline_ms;
  GgAttemptAction next = gg_attempt_decide (&self->attempt, end);
  if (next == GG_ATTEMPT_RETRY && !may_repeat (self, end))
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "repeat_denied", "request=%s reason=budget service=%s",
                        self->words.attempt_id, self->service->name);
      next = gg_attempt_decide_without_retry (&self->attempt, end);
    }
  if (next == GG_ATTEMPT_RETRY)
    gg_counter_add (&repeats_total, 1);
  apply (self, next);
}

static void
on_send_end (GgRelay *self, GgCallEnd end)
{
  switch (end)
    {
    case GG_CALL_COMPLETE:
      gg_relay_end_send (self, gg_relay_judge_answer (self));
      break;
    case GG_CALL_UNREACHABLE:
      gg_relay_end_send (self, GG_SEND_UNSENT);
      break;
    case GG_CALL_BROKEN:
    case GG_CALL_MALFORMED:
      /* A refusal counts from its head on, even if its body was cut. */
      gg_relay_end_send (self, self->answer_words.is_refused ? GG_SEND_REFUSED : GG_SEND_LOST);
      break;
    }
}

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  GgRelay *self = data;
  self->heard_ms = gg_clock_now_ms ();
  switch (event->kind)
    {
    case GG_CALL_HEAD:
      return gg_relay_take_head (self, event->head);
    case GG_CALL_BODY:
      gg_relay_take_body (self, event->body.bytes, event->body.size_bytes);
      return TRUE;
    case GG_CALL_END:
      on_send_end (self, event->end);
      return TRUE;
    }
  return FALSE;
}

static uint32_t
get_expected_tokens (const GgRelay *self)
{
  const GgCallerFields *words = &self->words;
  double answer = words->expected_answer_tokens > 0 ? words->expected_answer_tokens * HINT_FACTOR
                                                    : words->max_answer_tokens * UNHINTED_PART;
  if (words->max_answer_tokens > 0)
    answer = MIN (answer, words->max_answer_tokens);
  return words->prompt_tokens + (uint32_t) answer;
}

static GgPathQuery
build_path_query (const GgRelay *self, uint64_t now_ms)
{
  GgPathQuery query = { .fleet = self->router->fleet,
                        .model = self->service->model,
                        .service = self->service->name,
                        .data_centre = self->router->data_centre,
                        .tokens = get_expected_tokens (self),
                        .excluded = self->avoided,
                        .now_ms = now_ms };
  return query;
}

/* Finds runners and takes their room.
 * @return GG_PATH_FULL if there are some, but none has room now. */
static GgPathResult
choose_runner (GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (self->service->model != NULL)
    {
      GgPathQuery query = build_path_query (self, now_ms);
      GgPathResult result = gg_layer_path_choose (&query, &self->path);
      if (result != GG_PATH_FOUND)
        return result;
      self->has_path = TRUE;
      gg_layer_path_reserve (&self->path);
      self->runner = gg_fleet_runner_ref (self->path.hops[0].runner);
      gg_stall_watch_add (self->router->stall_watch, self);
      return GG_PATH_FOUND;
    }
  GgPlainQuery query = { .fleet = self->router->fleet,
                         .service = self->service->name,
                         .data_centre = self->router->data_centre,
                         .excluded = self->avoided,
                         .now_ms = now_ms,
                         .random = self->random };
  gboolean is_full = FALSE;
  GgFleetRunner *runner = gg_plain_choose_runner (&query, &is_full);
  if (runner == NULL)
    return is_full ? GG_PATH_FULL : GG_PATH_NONE;
  runner->own.n_requests++;
  self->runner = gg_fleet_runner_ref (runner);
  return GG_PATH_FOUND;
}

/* Runners of the path for the log, "RUNNER:FIRST-END,...". */
static char *
print_path (const GgRelay *self)
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

static void
send_request (GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgRelaySend send = { .runner_id = self->runner->record.id,
                       .team = self->team != NULL ? self->team->name : NULL,
                       .time_left_ms = self->deadline_ms > now_ms ? self->deadline_ms - now_ms : 1,
                       .path = self->has_path ? &self->path : NULL,
                       .has_last_event = self->has_last_id,
                       .last_event_id = self->last_id,
                       .urgency = MIN (gg_relay_get_priority (self) + 3, 9) };
  size_t body_bytes = self->body != NULL ? self->body->len : 0;
  GgMessageHead *head = gg_relay_build_request (self->head, &send, body_bytes);
  gboolean runs_once = self->route->kind == GG_REQUEST_NON_IDEMPOTENT;
  GgCallRequest request = { .address = self->runner->record.address,
                            .head = head,
                            .body = self->body != NULL ? self->body->data : NULL,
                            .body_bytes = body_bytes,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .max_idle_ms = runs_once ? MAX_IDLE_ONCE_MS : MAX_IDLE_MS };
  self->sent_ms = now_ms;
  self->heard_ms = now_ms;
  /* What an earlier send said must not pass for this one's answer. */
  self->answer_words = (GgRunnerAnswerFields){ 0 };
  self->call = gg_loop_client_call (self->router->client, &request, on_call, self);
  gg_message_head_destroy (head);
  gg_counter_add (&sends_total, 1);
  char *path = print_path (self);
  gg_event_log_add (
      GG_EVENT_ORDINARY, "request_sent",
      "request=%s runner=%s path=%s hops=%u token_ms=%.2f tokens=%u runs=%u misses=%u "
      "left_ms=%" G_GUINT64_FORMAT " fleet=%" G_GUINT64_FORMAT,
      self->words.attempt_id, self->runner->record.id, path, self->has_path ? self->path.n_hops : 1,
      self->has_path ? self->path.token_ms : 0, self->has_path ? self->path.tokens : 0,
      self->attempt.n_possible_runs, self->attempt.n_not_run, (guint64) send.time_left_ms,
      (guint64) gg_fleet_get_revision (self->router->fleet));
  g_free (path);
}

uint64_t
gg_relay_get_heard_ms (const GgRelay *self)
{
  return self->heard_ms;
}

gboolean
gg_relay_has_events (const GgRelay *self)
{
  return self->events != NULL && self->has_answer_started;
}

GgFleetRunner *
gg_relay_get_runner (const GgRelay *self)
{
  return self->runner;
}

const char *
gg_relay_get_attempt_id (const GgRelay *self)
{
  return self->words.attempt_id;
}

void
gg_relay_give_up_send (GgRelay *self)
{
  gg_loop_call_cancel (self->call);
  gg_relay_end_send (self, GG_SEND_LOST);
}

static gboolean
on_move_call (void *data, const GgCallEvent *event)
{
  GgRelay *self = data;
  switch (event->kind)
    {
    case GG_CALL_HEAD:
      self->move_result = gg_relay_read_order_status (gg_message_head_get_status (event->head));
      gg_message_head_destroy (event->head);
      return TRUE;
    case GG_CALL_BODY:
      return TRUE;
    case GG_CALL_END:
      self->move_call = NULL;
      gg_event_log_add (GG_EVENT_NOTABLE, "request_moved", "request=%s runner=%s result=%d",
                        self->words.attempt_id, self->runner->record.id, self->move_result);
      if (self->move_result != GG_ORDER_STARTED && self->move_result != GG_ORDER_DONE)
        gg_relay_give_up_send (self);
      return TRUE;
    }
  return FALSE;
}

static void
send_move (GgRelay *self)
{
  char *body = NULL;
  GgMessageHead *head = gg_relay_build_move_order (self->runner->record.id, self->words.attempt_id,
                                                   &self->path, &body);
  GgCallRequest request = { .address = self->runner->record.address,
                            .head = head,
                            .body = body,
                            .body_bytes = strlen (body),
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .max_idle_ms = MAX_IDLE_MS };
  self->move_result = GG_ORDER_FAILED;
  self->move_call = gg_loop_client_call (self->router->client, &request, on_move_call, self);
  gg_message_head_destroy (head);
  g_free (body);
}

void
gg_relay_move (GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgPathHop first_hop = self->path.hops[0];
  GgPathQuery query = build_path_query (self, now_ms);
  query.first_hop = &first_hop;
  GgLayerPath moved;
  if (self->move_call != NULL)
    return;
  /* What the request holds on the runners that stay is free for it. */
  gg_layer_path_release (&self->path);
  GgPathResult result = gg_layer_path_choose (&query, &moved);
  if (result != GG_PATH_FOUND)
    {
      gg_layer_path_reserve (&self->path);
      if (now_ms - self->heard_ms >= STALL_PATIENCE_MS)
        gg_relay_give_up_send (self);
      return;
    }
  gg_layer_path_clear (&self->path);
  self->path = moved;
  gg_layer_path_reserve (&self->path);
  self->heard_ms = now_ms;
  send_move (self);
}

gboolean
gg_relay_try_again (GgRelay *self)
{
  if (choose_runner (self) != GG_PATH_FOUND)
    return FALSE;
  self->is_waiting = FALSE;
  send_request (self);
  return TRUE;
}

void
gg_relay_reject_waiting (GgRelay *self)
{
  self->is_waiting = FALSE;
  if (self->has_answer_started)
    gg_relay_break_off (self, "no_room_to_resume");
  else if (self->attempt.n_possible_runs > 0)
    gg_relay_fail (self, GG_STATUS_BAD_GATEWAY, "no_room_to_repeat");
  else
    gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "no_room", GG_RETRY_AFTER_FULL_MS);
}

void
gg_relay_choose_and_send (GgRelay *self)
{
  if (self->attempt.n_not_run <= MISSES_AT_ONCE && choose_runner (self) == GG_PATH_FOUND)
    {
      send_request (self);
      return;
    }
  /* A failure suspends its runner for a while anyway; after a wait any runner may be tried. */
  gg_fleet_runner_unref (self->avoided);
  self->avoided = NULL;
  self->is_waiting = gg_waiting_room_enter (self->router->waiting_room, self);
  gg_event_log_add (GG_EVENT_ORDINARY, "request_waits",
                    "request=%s entered=%d waiting=%u misses=%u fleet=%" G_GUINT64_FORMAT,
                    self->words.attempt_id, self->is_waiting,
                    gg_waiting_room_get_size (self->router->waiting_room), self->attempt.n_not_run,
                    (guint64) gg_fleet_get_revision (self->router->fleet));
  if (!self->is_waiting)
    gg_relay_reject_waiting (self);
}
