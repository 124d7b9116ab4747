#include "daemons/routerd/relay_private.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "core/wait_order.h"
#include "daemons/routerd/limit_exchange.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/request_queue.h"
#include "daemons/routerd/team_shares.h"

/* Several refusals in a row show that this process has an outdated view of the fleet, for example
 * while layers are moved: this many are retried at once. Then the request is queued, so that the
 * view is updated before the next send. */
#define MAX_IMMEDIATE_RETRIES 2
/* A request whose runner has broken off so many times just before the first event is not sent
 * again: it is likely to be the reason. */
#define MAX_CUTS_AT_START 2
/* Longest time to come back that is named for the rate limits of runners, which may end any time.
 */
#define RETRY_AFTER_MAX_MS 10000
/* The same where all runners have named a Retry-After; another instance may be served. */
#define RUNNERS_RETRY_AFTER_MAX_MS 60000
/* Above this fraction of its memory a runner may lack capacity for a request, since the instances
 * know each other's requests with a delay. */
#define NEARLY_FULL_FRACTION 0.8
/* For a waiting request a permit of another runner is requested after this time. */
#define PERMIT_TRY_MS 500

/* A peer that can't be reached or has no room is not chosen for this time. */
#define AVOID_PEER_MS 1000

static GgCounter repeats_total
    = GG_COUNTER ("greengage_router_repeats_total", "Sends beyond the first of a request");
static GgMetricFamily hedges_total = GG_COUNTER_FAMILY (
    "greengage_router_hedges_total", "Second sends of a request beside one in doubt", "state");
static GgMetricFamily sends_ended_total
    = GG_COUNTER_FAMILY ("greengage_router_sends_ended_total", "Sends to runners by end", "end");
static GgMetricFamily handovers_total = GG_COUNTER_FAMILY (
    "greengage_router_handovers_total", "Requests handed over to peers by end", "end");
static GgMetricFamily runner_misses_total = GG_COUNTER_FAMILY (
    "greengage_router_runner_misses_total", "Sends that brought no answer, by runner", "runner");

static gboolean
may_retry (GgRelay *self, const GgSend *send, GgSendResult result)
{
  if (self->n_cuts_at_start >= MAX_CUTS_AT_START || gg_send_is_final (send))
    return FALSE;
  /* A send that did not reach its runner caused no load there, so the retry needs no budget. */
  if (result == GG_SEND_UNSENT || (result == GG_SEND_REFUSED && gg_send_is_handover (send)))
    return TRUE;
  GgSendBudget *budget = gg_router_get_budget (self->router, self->service->name);
  GgRetryReason reason = result == GG_SEND_REFUSED ? GG_RETRY_REASON_REFUSED : GG_RETRY_REASON_LOST;
  return gg_send_budget_withdraw (budget, reason, gg_clock_now_ms ());
}

/* Returns when there is likely to be capacity for the request, which is refused for lack of it. */
static uint64_t
get_return_ms (GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgReturnTime *return_time = gg_router_get_return_time (self->router, self->service->name);
  const GgUrgency *urgency = gg_router_get_urgency (self->router, self->service->name);
  GgReturnQuery query
      = { .n_ahead = gg_request_queue_count_before (self->router->request_queue, self),
          .rank = self->is_held_back ? GG_RETURN_TIME_HELD_BACK
                                     : gg_urgency_get_rank (urgency, gg_relay_get_priority (self)),
          .n_ranks = gg_urgency_count_ranks (urgency),
          .random = self->random,
          .left_ms = self->deadline_ms > now_ms ? self->deadline_ms - now_ms : 0,
          .now_ms = now_ms };
  uint64_t return_ms = gg_return_time_get_ms (return_time, &query);
  gg_return_time_note_refused (return_time, query.rank, return_ms, now_ms);
  return return_ms;
}

/* Returns when a request that was refused by runners is likely to be served. */
static uint64_t
get_retry_after_refusal_ms (GgRelay *self, const GgSend *send)
{
  if (gg_send_is_handover (send))
    return send->answer_fields.has_retry_after ? send->answer_fields.retry_after_ms
                                               : GG_RETRY_AFTER_FULL_MS;
  if (!gg_relay_has_other_runner (self))
    return self->is_refused_for_load ? get_return_ms (self) : GG_RETRY_AFTER_FULL_MS;
  return GG_RETRY_AFTER_OTHER_MIN_MS + self->random % GG_RETRY_AFTER_OTHER_SPREAD_MS;
}

static const char *
get_denial_reason (const GgRelay *self, const GgSend *send)
{
  if (gg_send_is_final (send))
    return "peer";
  return self->n_cuts_at_start >= MAX_CUTS_AT_START ? "cut_at_start" : "budget";
}

/* @p send is the one that has ended with @p result; its answer is discarded unless it is delivered.
 */
static void
apply_action (GgRelay *self, GgSend *send, GgSendResult result, GgAttemptAction action)
{
  switch (action)
    {
    case GG_ATTEMPT_DELIVER:
      if (send->events != NULL || self->is_head_sent)
        gg_relay_end_stream (self);
      else
        gg_relay_deliver (self);
      break;
    case GG_ATTEMPT_RETRY:
      self->send = NULL;
      gg_send_destroy (send);
      gg_relay_dispatch (self);
      break;
    case GG_ATTEMPT_REJECT:
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "no_runner_took_it",
                       get_retry_after_refusal_ms (self, send));
      break;
    case GG_ATTEMPT_FAIL:
      gg_relay_fail (self, GG_STATUS_BAD_GATEWAY,
                     result == GG_SEND_UNCONFIRMED ? "refusal_unconfirmed" : "answer_lost");
      break;
    case GG_ATTEMPT_ABORT:
      gg_relay_abort_answer (self, "stream_lost");
      break;
    }
}

static const char *
get_result_name (GgSendResult result)
{
  switch (result)
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
    case GG_SEND_UNCONFIRMED:
      return "unconfirmed";
    }
  return "?";
}

/* Whether the runner's load explains its refusal. */
static gboolean
is_nearly_full (const GgRelay *self, const GgFleetRunner *runner)
{
  if (self->service->model != NULL)
    return gg_layer_path_get_memory_use (self->service->model, runner) > NEARLY_FULL_FRACTION;
  return runner->own.n_requests + runner->peers.n_requests >= runner->record.slots;
}

/* Records the result of a send with the runner that it depended on: for a failure, the one at
 * fault. */
static void
update_runner_health (GgRelay *self, const GgSend *send, GgSendResult result, uint64_t now_ms)
{
  GgFleetRunner *runner = send->runner;
  if (send->answer_fields.faulty_address != NULL)
    {
      GgFleetRunner *faulty
          = gg_fleet_find_address (self->router->fleet, send->answer_fields.faulty_address);
      runner = faulty != NULL ? faulty : runner;
    }
  switch (result)
    {
    case GG_SEND_COMPLETE:
      if (send->has_path)
        gg_layer_path_note_success (&send->path, send->sent_ms);
      else
        gg_fleet_runner_note_success (runner, send->sent_ms);
      return;
    case GG_SEND_FAILED:
    case GG_SEND_UNCONFIRMED:
      break;
    case GG_SEND_REFUSED:
      if (send->answer_fields.is_misdirected)
        gg_fleet_runner_note_failure (runner, now_ms);
      else
        gg_fleet_runner_note_refusal (runner, is_nearly_full (self, runner), now_ms);
      self->is_refused_for_load
          = !send->answer_fields.is_misdirected && is_nearly_full (self, runner);
      break;
    case GG_SEND_UNSENT:
    case GG_SEND_LOST:
      gg_fleet_runner_note_failure (runner, now_ms);
      break;
    }
  gg_fleet_runner_unref (self->failed_runner);
  self->failed_runner = gg_fleet_runner_ref (runner);
}

/* Whether the runner had begun to answer, but broke off before the first event. */
static gboolean
is_cut_at_start (const GgSend *send, GgSendResult result)
{
  return result == GG_SEND_LOST && send->is_closed_by_runner && send->events != NULL
         && send->answer_fields.status == GG_STATUS_OK && !send->has_event;
}

static void
note_cut_at_start (GgRelay *self, const GgSend *send)
{
  const GgPromptParts *parts = &self->caller.parts;
  GString *text = g_string_new (NULL);
  for (uint32_t i = 0; i < parts->n; i++)
    g_string_append_printf (text, "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                            (guint64) parts->ids[i]);
  gg_event_log_add (GG_EVENT_NOTABLE, "answer_cut_at_start",
                    "request=%s runner=%s service=%s parts=%s", self->log_id,
                    send->runner->record.id, self->service->name, text->str);
  g_string_free (text, TRUE);
  self->n_cuts_at_start++;
}

/* Returns what may be the reason if the request crashes its runner.
 * @param is_suspect whether the request itself is one in any case; otherwise only if one with the
 *   same prefix is already under suspicion. */
static GgRequestSuspects
get_suspects (GgRelay *self, gboolean is_suspect)
{
  const GgQuarantineExchange *exchange = self->router->quarantine_exchange;
  gboolean has_digest
      = is_suspect
        || (gg_quarantine_exchange_has_requests (exchange)
            && gg_quarantine_exchange_has_prefix (exchange, gg_relay_get_digest_prefix (self)));
  GgRequestSuspects suspects = { .digest = has_digest ? gg_relay_get_digest (self) : 0 };
  if (self->service->model != NULL)
    suspects.parts = self->caller.parts;
  return suspects;
}

/* Whether the runner broke off before its answer was well under way, so that the request may be the
 * reason. */
static gboolean
is_broken_at_start (const GgSend *send, GgSendResult result)
{
  return result == GG_SEND_LOST && send->is_closed_by_runner && send->n_events < GG_BEGUN_EVENTS;
}

static void
note_broken (GgRelay *self, const GgSend *send)
{
  GgRequestSuspects suspects = get_suspects (self, TRUE);
  gg_event_log_add (GG_EVENT_NOTABLE, "answer_cut",
                    "request=%s runner=%s service=%s events=%u digest=%" G_GINT64_MODIFIER "x",
                    self->log_id, send->runner->record.id, self->service->name, send->n_events,
                    (guint64) suspects.digest);
  gg_quarantine_exchange_note_broken (self->router->quarantine_exchange, &suspects,
                                      &send->runner->record);
}

void
gg_relay_note_served (GgRelay *self, gboolean has_parts)
{
  GgRequestSuspects suspects = get_suspects (self, FALSE);
  if (!has_parts)
    suspects.parts.n = 0;
  gg_quarantine_exchange_note_served (self->router->quarantine_exchange, &suspects);
}

/* An error is an answer as well: the runner has run the request and goes on. */
static void
note_answered (GgRelay *self, const GgSend *send, GgSendResult result)
{
  gboolean is_answered
      = result == GG_SEND_COMPLETE || result == GG_SEND_FAILED || result == GG_SEND_UNCONFIRMED;
  if (is_answered && send->n_events < GG_BEGUN_EVENTS)
    gg_relay_note_served (self, send->has_event);
}

/* A trial that reached no runner has no outcome: the next request is tried. */
static void
withdraw_trial (GgRelay *self, GgSendResult result)
{
  if (result != GG_SEND_UNSENT)
    return;
  GgRequestSuspects suspects = get_suspects (self, TRUE);
  gg_quarantine_exchange_withdraw_trial (self->router->quarantine_exchange, &suspects);
}

static void
end_hedge (GgRelay *self, const char *state, const char *cause)
{
  gg_metric_family_add (&hedges_total, state, 1);
  gg_event_log_add (GG_EVENT_NOTABLE, "hedge_ended",
                    "request=%s state=%s cause=%s ms=%" G_GUINT64_FORMAT, self->log_id, state,
                    cause, (guint64) (gg_clock_now_ms () - self->hedge->sent_ms));
  self->hedge = NULL;
}

void
gg_relay_prefer_send (GgRelay *self, GgSend *send)
{
  if (self->hedge == NULL)
    return;
  GgSend *other = send == self->send ? self->hedge : self->send;
  end_hedge (self, send == self->send ? "dropped" : "kept", "event");
  self->send = send;
  gg_attempt_note_send (&self->attempt, GG_SEND_LOST);
  gg_metric_family_add (&sends_ended_total, "superseded", 1);
  gg_send_destroy (other);
}

/* Handles the end of one of two sends.
 * @return whether the other one goes on, so that nothing more is to be done. */
static gboolean
continue_with_other (GgRelay *self, GgSend *send, GgSendResult result)
{
  if (self->hedge == NULL)
    return FALSE;
  if (result == GG_SEND_COMPLETE)
    {
      gg_relay_prefer_send (self, send);
      return FALSE;
    }
  GgSend *other = send == self->send ? self->hedge : self->send;
  end_hedge (self, send == self->send ? "kept" : "dropped", get_result_name (result));
  self->send = other;
  gg_send_destroy (send);
  return TRUE;
}

/* Records what the end of a send shows of its runner and of the request at runners. */
static void
note_runner_send_end (GgRelay *self, const GgSend *send, GgSendResult result, uint64_t now_ms)
{
  if (is_cut_at_start (send, result))
    note_cut_at_start (self, send);
  gg_metric_family_add (&sends_ended_total, get_result_name (result), 1);
  if (result != GG_SEND_COMPLETE)
    gg_metric_family_add (&runner_misses_total, send->runner->record.id, 1);
  if (is_broken_at_start (send, result))
    note_broken (self, send);
  note_answered (self, send, result);
  if (send->is_trial)
    withdraw_trial (self, result);
  update_runner_health (self, send, result, now_ms);
}

/* Records the end of a send to a peer, which has recorded what concerns the runners. */
static void
note_peer_send_end (GgRelay *self, const GgSend *send, GgSendResult result)
{
  gg_metric_family_add (&handovers_total, get_result_name (result), 1);
  if (result == GG_SEND_COMPLETE)
    return;
  if (self->n_failed_peers < GG_MAX_FAILED_PEERS)
    self->failed_peers[self->n_failed_peers++] = g_strdup (send->peer.name);
  /* Without a 503 it is this request that the peer declines, by another configuration. */
  gboolean is_unable = send->answer != NULL && send->outcome == GG_HANDOVER_DECLINED
                       && send->answer_fields.status == GG_STATUS_UNAVAILABLE;
  if (result == GG_SEND_UNSENT || is_unable)
    gg_link_exchange_avoid_peer (self->router->link_exchange, send->peer.name, AVOID_PEER_MS);
}

static void
log_send_end (const GgRelay *self,
              const GgSend *send,
              GgSendResult result,
              const char *cause,
              uint64_t now_ms)
{
  if (result == GG_SEND_COMPLETE)
    return;
  if (gg_send_is_handover (send))
    gg_event_log_add (
        GG_EVENT_NOTABLE, "handover_ended",
        "request=%s end=%s cause=%s peer=%s status=%u outcome=%s ms=%" G_GUINT64_FORMAT
        " silent_ms=%" G_GUINT64_FORMAT " events=%u",
        self->log_id, get_result_name (result), cause, send->peer.name, send->answer_fields.status,
        gg_relay_wire_get_outcome_name (send->outcome), (guint64) (now_ms - send->sent_ms),
        (guint64) (now_ms - send->last_activity_ms), self->n_events);
  else
    gg_event_log_add (
        GG_EVENT_NOTABLE, "send_ended",
        "request=%s end=%s cause=%s runner=%s status=%u at_fault=%s ms=%" G_GUINT64_FORMAT
        " silent_ms=%" G_GUINT64_FORMAT " events=%u",
        self->log_id, get_result_name (result), cause, send->runner->record.id,
        send->answer_fields.status,
        send->answer_fields.faulty_address != NULL ? send->answer_fields.faulty_address : "-",
        (guint64) (now_ms - send->sent_ms), (guint64) (now_ms - send->last_activity_ms),
        self->n_events);
}

void
gg_relay_end_send (GgRelay *self, GgSend *send, GgSendResult result, const char *cause)
{
  uint64_t now_ms = gg_clock_now_ms ();
  send->call = NULL;
  if (send->events != NULL && gg_event_buffer_get_partial_bytes (send->events) > 0)
    self->is_event_open = TRUE;
  log_send_end (self, send, result, cause, now_ms);
  if (gg_send_is_handover (send))
    note_peer_send_end (self, send, result);
  else
    note_runner_send_end (self, send, result, now_ms);
  gg_send_release (send);
  gg_attempt_note_send (&self->attempt, result);
  self->attempt.is_past_deadline = now_ms >= self->deadline_ms;
  if (continue_with_other (self, send, result))
    return;
  GgAttemptAction action = gg_attempt_decide (&self->attempt, result);
  if (action == GG_ATTEMPT_RETRY && !may_retry (self, send, result))
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "repeat_denied", "request=%s reason=%s service=%s",
                        self->log_id, get_denial_reason (self, send), self->service->name);
      action = gg_attempt_decide_without_retry (&self->attempt, result);
    }
  if (action == GG_ATTEMPT_RETRY)
    gg_counter_add (&repeats_total, 1);
  apply_action (self, send, result, action);
}

/* Decides whether the request may be sent to a runner.
 * @param reason_out what keeps it from them unless it is allowed. */
static GgQuarantineVerdict
judge (GgRelay *self, const char **reason_out)
{
  GgRequestSuspects suspects = get_suspects (self, FALSE);
  GgSuspectKind kind = GG_SUSPECT_PART;
  GgQuarantineVerdict verdict
      = gg_quarantine_exchange_judge (self->router->quarantine_exchange, &suspects, &kind);
  *reason_out = kind == GG_SUSPECT_PART ? "part_quarantined" : "request_quarantined";
  return verdict;
}

/* Ends a request that must not be sent to a runner any more. */
static void
end_quarantined (GgRelay *self, const char *reason)
{
  if (self->is_head_sent)
    gg_relay_abort_answer (self, reason);
  else if (self->attempt.n_possible_runs > 0)
    gg_relay_fail (self, GG_STATUS_BAD_GATEWAY, reason);
  else
    gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, reason, GG_RETRY_AFTER_QUARANTINED_MS);
}

/* Returns FALSE if there is no runner for the request now. */
static gboolean
send_to_runner (GgRelay *self, GgQuarantineVerdict verdict)
{
  GgPathResult result;
  self->send = gg_send_create (self, self->failed_runner, &result);
  if (self->send != NULL)
    {
      /* A peer decides by itself which request is the trial. */
      if (verdict == GG_QUARANTINE_TRIAL_DUE && !gg_send_is_handover (self->send))
        {
          GgRequestSuspects suspects = get_suspects (self, TRUE);
          gg_quarantine_exchange_begin_trial (self->router->quarantine_exchange, &suspects);
          self->send->is_trial = TRUE;
        }
      gg_send_transmit (self->send);
      return TRUE;
    }
  uint64_t waited_ms = gg_clock_now_ms () - self->received_ms;
  self->is_held_back = result == GG_PATH_FULL && gg_relay_is_over_share (self);
  if (result == GG_PATH_FULL)
    {
      gg_limit_exchange_note_waiting (self->router->limit_exchange, self->service->name,
                                      self->random + (uint32_t) (waited_ms / PERMIT_TRY_MS));
      gg_team_shares_note_shortage (self->router->team_shares, self);
    }
  return FALSE;
}

/* Creates a hedge with its capacity and budget.
 * @param reason_out for the log, why there is none.
 * @return GG_HEDGE_OPEN if self->hedge was created. */
static GgHedgeResult
create_hedge (GgRelay *self, const char **reason_out)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgSendBudget *budget = gg_router_get_budget (self->router, self->service->name);
  GgPathResult result;
  self->attempt.is_past_deadline = now_ms >= self->deadline_ms;
  *reason_out = "attempts";
  if (!gg_attempt_may_hedge (&self->attempt) || self->n_cuts_at_start >= MAX_CUTS_AT_START)
    return GG_HEDGE_DENIED;
  if (judge (self, reason_out) != GG_QUARANTINE_ALLOWED)
    return GG_HEDGE_DENIED;
  *reason_out = "budget";
  if (!gg_send_budget_may_withdraw (budget, GG_RETRY_REASON_LOST, now_ms))
    return GG_HEDGE_DENIED;
  self->hedge = gg_send_create (self, self->send->runner, &result);
  *reason_out = result == GG_PATH_FULL ? "no_room" : "no_path";
  if (self->hedge == NULL)
    return GG_HEDGE_NO_ROOM;
  gg_send_budget_withdraw (budget, GG_RETRY_REASON_LOST, now_ms);
  return GG_HEDGE_OPEN;
}

GgHedgeResult
gg_relay_hedge (GgRelay *self)
{
  const GgSend *send = self->send;
  const char *reason = NULL;
  if (self->hedge != NULL)
    return GG_HEDGE_OPEN;
  GgHedgeResult result = create_hedge (self, &reason);
  if (result != GG_HEDGE_OPEN)
    {
      if (!self->is_hedge_denied)
        gg_event_log_add (GG_EVENT_NOTABLE, "hedge_denied", "request=%s reason=%s runner=%s",
                          self->log_id, reason, gg_send_get_target (send));
      self->is_hedge_denied = TRUE;
      return result;
    }
  gg_event_log_add (GG_EVENT_NOTABLE, "hedge_sent",
                    "request=%s runner=%s beside=%s silent_ms=%" G_GUINT64_FORMAT " events=%u",
                    self->log_id, gg_send_get_target (self->hedge), gg_send_get_target (send),
                    (guint64) (gg_clock_now_ms () - send->last_activity_ms), self->n_events);
  gg_metric_family_add (&hedges_total, "sent", 1);
  gg_counter_add (&repeats_total, 1);
  gg_send_transmit (self->hedge);
  return GG_HEDGE_OPEN;
}

/* Returns the time until a runner takes requests again if all have named a Retry-After, 0
 * otherwise. */
static uint64_t
get_runners_retry_after_ms (const GgRelay *self)
{
  return gg_fleet_get_retry_after_ms (self->router->fleet, self->service->name, gg_clock_now_ms ());
}

GgRetryResult
gg_relay_retry_dispatch (GgRelay *self)
{
  const char *reason = NULL;
  GgQuarantineVerdict verdict = judge (self, &reason);
  if (verdict != GG_QUARANTINE_REFUSED && send_to_runner (self, verdict))
    {
      self->is_queued = FALSE;
      return GG_RETRY_SENT;
    }
  if (verdict == GG_QUARANTINE_ALLOWED && get_runners_retry_after_ms (self) == 0
      && !self->is_held_back)
    return GG_RETRY_FULL;
  self->is_queued = FALSE;
  if (verdict == GG_QUARANTINE_ALLOWED)
    gg_relay_reject_queued (self);
  else
    end_quarantined (self, reason);
  return GG_RETRY_ENDED;
}

/* Returns when a request that found no room is likely to be served. */
static uint64_t
get_retry_after_ms (GgRelay *self)
{
  uint64_t runners_ms = get_runners_retry_after_ms (self);
  uint64_t wait_ms
      = gg_limit_exchange_get_wait_ms (self->router->limit_exchange, self->service->name);
  if (runners_ms > 0)
    return MIN (runners_ms, RUNNERS_RETRY_AFTER_MAX_MS);
  if (wait_ms > 0)
    return CLAMP (wait_ms, GG_RETRY_AFTER_FULL_MS, RETRY_AFTER_MAX_MS);
  return get_return_ms (self);
}

void
gg_relay_reject_queued (GgRelay *self)
{
  self->is_queued = FALSE;
  /* The memory that is left is for other teams, and so is the queue. */
  if (self->is_held_back)
    {
      gg_team_shares_note_refused ();
      gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "team_over_share", get_retry_after_ms (self));
    }
  else if (self->is_head_sent)
    gg_relay_abort_answer (self, "no_room_to_resume");
  else if (self->attempt.n_possible_runs > 0)
    gg_relay_fail (self, GG_STATUS_BAD_GATEWAY, "no_room_to_repeat");
  else
    gg_relay_refuse (self, GG_STATUS_UNAVAILABLE, "no_room", get_retry_after_ms (self));
}

/* Queues the request, unless it would hardly be served in time. Where rate limits are the reason,
 * one request may wait, so that a permit that comes is used. */
static gboolean
enter_queue (GgRelay *self, uint64_t limit_wait_ms)
{
  GgRequestQueue *queue = self->router->request_queue;
  guint n_waiting = gg_request_queue_get_size (queue, self->service->name);
  if (n_waiting > 0 && limit_wait_ms * (n_waiting + 1) > gg_wait_order_get_max_wait_ms ())
    return FALSE;
  return gg_request_queue_add (queue, self);
}

gboolean
gg_relay_needs_peer (const GgRelay *self)
{
  return !self->is_handed_over
         && gg_link_monitor_get_state (self->router->link_monitor, self->service->name)
                == GG_LINKS_DOWN;
}

void
gg_relay_dispatch (GgRelay *self)
{
  gg_relay_update_answer_bytes (self);
  const char *reason = NULL;
  GgQuarantineVerdict verdict = judge (self, &reason);
  if (verdict != GG_QUARANTINE_REFUSED && self->attempt.n_not_run <= MAX_IMMEDIATE_RETRIES
      && send_to_runner (self, verdict))
    return;
  /* A trial does not wait: what is allowed now may not be allowed later. */
  if (verdict != GG_QUARANTINE_ALLOWED)
    {
      end_quarantined (self, reason);
      return;
    }
  if (self->n_failed_peers == GG_MAX_FAILED_PEERS && gg_relay_needs_peer (self))
    {
      gg_relay_reject_queued (self);
      return;
    }
  /* A failed runner is suspended for a while anyway; after the wait any runner may be tried. */
  gg_fleet_runner_unref (self->failed_runner);
  self->failed_runner = NULL;
  uint64_t limit_wait_ms
      = gg_limit_exchange_get_wait_ms (self->router->limit_exchange, self->service->name);
  self->is_queued = !self->is_held_back && get_runners_retry_after_ms (self) == 0
                    && enter_queue (self, limit_wait_ms);
  gg_event_log_add (GG_EVENT_ORDINARY, "request_waits",
                    "request=%s entered=%d waiting=%u misses=%u limit_wait_ms=%" G_GUINT64_FORMAT
                    " fleet=%" G_GUINT64_FORMAT,
                    self->log_id, self->is_queued,
                    gg_request_queue_get_size (self->router->request_queue, self->service->name),
                    self->attempt.n_not_run, (guint64) limit_wait_ms,
                    (guint64) gg_fleet_get_revision (self->router->fleet));
  if (!self->is_queued)
    gg_relay_reject_queued (self);
}
