#include "daemons/routerd/relay_private.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "daemons/routerd/leaving_exchange.h"
#include "daemons/routerd/limit_exchange.h"
#include "daemons/routerd/problem.h"

#include <string.h>

#define STATUS_MULTIPLE_CHOICES 300

/* Answers other than streams are buffered until complete, so that the request can be sent again if
 * one is truncated; a longer answer counts as lost. */
#define MAX_BUFFERED_ANSWER_BYTES (256 * 1024)
/* Reading from the runner pauses while more than this waits to be sent to the caller. */
#define MAX_PENDING_BYTES (128 * 1024)

static GgCounter rejected_total
    = GG_COUNTER ("greengage_router_rejected_total", "Requests answered as not run");
static GgCounter failed_total
    = GG_COUNTER ("greengage_router_failed_total", "Requests that failed and may have run");
static GgMetricFamily retry_after_family
    = GG_HISTOGRAM_FAMILY ("greengage_router_retry_after_ms",
                           "Times to come back named in refusals, by outcome",
                           "outcome");

/* Sends a response of this instance. */
static void
reply (GgRelay *self,
       uint32_t status,
       const char *detail,
       uint64_t retry_after_ms,
       GgHandoverOutcome outcome)
{
  if (self->is_handed_over)
    gg_problem_reply_handover (self->connection, status, detail, retry_after_ms, outcome);
  else
    gg_problem_reply (self->connection, status, detail, retry_after_ms);
}

/* Returns the head of the runner's answer for the caller. */
static GgMessageHead *
copy_answer_head (const GgRelay *self)
{
  GgMessageHead *head = gg_relay_wire_copy_answer (self->send->answer);
  if (self->is_handed_over)
    gg_relay_wire_add_outcome (head, GG_HANDOVER_COMPLETE);
  return head;
}

void
gg_relay_refuse (GgRelay *self, uint32_t status, const char *detail, uint64_t retry_after_ms)
{
  if (status == GG_STATUS_UNAVAILABLE)
    gg_counter_add (&rejected_total, 1);
  if (retry_after_ms > 0)
    gg_metric_family_observe (&retry_after_family, detail, retry_after_ms);
  self->retry_after_ms = retry_after_ms;
  /* Until it has a deadline, a request is refused for reasons of this instance. */
  reply (self, status, detail, retry_after_ms,
         self->deadline_ms == 0 ? GG_HANDOVER_DECLINED : GG_HANDOVER_NOT_RUN);
  gg_relay_finish (self, detail, status);
}

void
gg_relay_fail (GgRelay *self, uint32_t status, const char *detail)
{
  gg_counter_add (&failed_total, 1);
  reply (self, status, detail, 0, GG_HANDOVER_UNKNOWN);
  gg_relay_finish (self, detail, status);
}

void
gg_relay_abort_answer (GgRelay *self, const char *reason)
{
  gg_counter_add (&failed_total, 1);
  gg_server_connection_abort (self->connection);
  gg_relay_finish (self, reason, 0);
}

void
gg_relay_deliver (GgRelay *self)
{
  const GByteArray *body = self->send->answer_body;
  GgMessageHead *head = copy_answer_head (self);
  uint32_t status = gg_message_head_get_status (head);
  gg_server_connection_reply (self->connection, head, body != NULL ? body->data : NULL,
                              body != NULL ? body->len : 0);
  gg_message_head_destroy (head);
  gg_relay_finish (self, "delivered", status);
}

static void
start_stream (GgRelay *self)
{
  GgMessageHead *head = copy_answer_head (self);
  gg_server_connection_begin (self->connection, head);
  gg_message_head_destroy (head);
  self->is_head_sent = TRUE;
  self->attempt.has_answer_started = TRUE;
  self->first_event_ms = gg_clock_now_ms ();
}

static void
forward_bytes (GgRelay *self, const char *bytes, size_t size_bytes)
{
  if (!self->is_head_sent)
    start_stream (self);
  gg_server_connection_write (self->connection, bytes, size_bytes);
  if (gg_server_connection_get_pending (self->connection) > MAX_PENDING_BYTES)
    gg_send_set_paused (self->send, TRUE);
}

/* Records the time since the previous event, and logs a gap above the route's target. */
static void
record_event_gap (GgRelay *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t gap_ms = self->last_event_ms != 0 ? now_ms - self->last_event_ms : 0;
  uint32_t target_ms = self->route->gap_target_ms;
  self->last_event_ms = now_ms;
  self->longest_gap_ms = MAX (self->longest_gap_ms, gap_ms);
  if (target_ms > 0 && gap_ms > target_ms)
    gg_event_log_add (GG_EVENT_NOTABLE, "stream_paused",
                      "request=%s gap_ms=%" G_GUINT64_FORMAT
                      " target_ms=%u events=%u runs=%u runner=%s pending_bytes=%u",
                      self->log_id, (guint64) gap_ms, target_ms, self->n_events,
                      self->attempt.n_possible_runs, gg_send_get_target (self->send),
                      (unsigned) gg_server_connection_get_pending (self->connection));
}

/* Forwards the events that are complete.
 * @return FALSE if the runner has sent something else between them. */
static gboolean
forward_events (GgSend *send)
{
  GgRelay *self = send->relay;
  GgStreamEvent event;
  while (gg_event_buffer_next (send->events, &event))
    {
      if (!event.is_valid)
        return FALSE;
      send->has_event = TRUE;
      if (++send->n_events == GG_BEGUN_EVENTS && !gg_send_is_handover (send))
        gg_relay_note_served (self, TRUE);
      /* A second run may repeat events of the first one. */
      if (event.has_id && self->has_last_id && event.id <= self->last_id)
        continue;
      gg_relay_prefer_send (self, send);
      forward_bytes (self, event.bytes, event.size_bytes);
      record_event_gap (self);
      self->n_events++;
      send->has_new_event = TRUE;
      self->is_event_open = FALSE;
      if (event.has_id)
        {
          self->has_last_id = TRUE;
          self->last_id = event.id;
        }
    }
  return TRUE;
}

void
gg_relay_end_stream (GgRelay *self)
{
  if (!self->is_head_sent)
    start_stream (self);
  gg_server_connection_end (self->connection);
  gg_relay_finish (self, "delivered", GG_STATUS_OK);
}

/* Whether a stream may end without a new event from this send. Only one that is resumed may have
 * nothing left, and only if its runner says so: the end of a connection may also be that of the
 * runner. A run beside it may still bring events. */
static gboolean
may_have_nothing_left (const GgSend *self)
{
  const GgRelay *relay = self->relay;
  return relay->has_last_id && relay->hedge == NULL && gg_message_head_is_delimited (self->answer);
}

gboolean
gg_send_is_refused (const GgSend *self)
{
  if (gg_send_is_handover (self))
    return self->outcome == GG_HANDOVER_DECLINED || self->outcome == GG_HANDOVER_NOT_RUN;
  return self->answer_fields.is_refused;
}

gboolean
gg_send_is_final (const GgSend *self)
{
  return gg_send_is_handover (self) && self->answer != NULL
         && (self->outcome == GG_HANDOVER_UNKNOWN || self->outcome == GG_HANDOVER_NOT_RUN);
}

GgSendResult
gg_send_classify_answer (const GgSend *self)
{
  const GgRelay *relay = self->relay;
  const GgRunnerAnswerFields *fields = &self->answer_fields;
  if (gg_send_is_refused (self))
    return GG_SEND_REFUSED;
  if (gg_send_is_handover (self) && self->outcome == GG_HANDOVER_UNKNOWN)
    return GG_SEND_LOST;
  /* On such a status callers send their request again. */
  if (fields->has_refusal_status && !gg_attempt_may_deliver_unconfirmed (&relay->attempt))
    return GG_SEND_UNCONFIRMED;
  /* A peer has sent the request again after an error, where that is allowed. */
  if (fields->status >= GG_STATUS_SERVER_ERROR && !gg_send_is_handover (self))
    return GG_SEND_FAILED;
  if (fields->status < STATUS_MULTIPLE_CHOICES && !fields->is_signed)
    return GG_SEND_LOST;
  /* An error of a hedge says nothing about the run beside it, which goes on. */
  if (self == relay->hedge && fields->status >= STATUS_MULTIPLE_CHOICES)
    return GG_SEND_FAILED;
  /* A later answer that is no stream can't continue one that the caller has received in part. */
  if (relay->is_head_sent && self->events == NULL)
    return GG_SEND_LOST;
  if (self->events != NULL && gg_event_buffer_get_partial_bytes (self->events) > 0)
    return GG_SEND_LOST;
  /* There is at least one event more than the caller has received. */
  if (self->events != NULL && relay->is_event_open)
    return GG_SEND_LOST;
  if (self->events != NULL && !self->has_new_event && !may_have_nothing_left (self))
    return GG_SEND_LOST;
  return GG_SEND_COMPLETE;
}

/* Accounts for what is held of the answer to a send, which may be NULL.
 * @return that in bytes. */
static size_t
update_held_bytes (const GgRelay *self, GgSend *send)
{
  if (send == NULL)
    return 0;
  size_t n_bytes = send->head_part_bytes;
  if (send->answer != NULL)
    n_bytes += gg_message_head_get_memory (send->answer);
  if (send->answer_body != NULL)
    n_bytes += send->answer_body->len;
  if (send->events != NULL)
    n_bytes += gg_event_buffer_get_partial_bytes (send->events);
  gg_answer_memory_set (self->router->answer_memory, &send->memory, n_bytes);
  return n_bytes;
}

void
gg_relay_update_answer_bytes (GgRelay *self)
{
  size_t n_bytes = update_held_bytes (self, self->send);
  n_bytes += update_held_bytes (self, self->hedge);
  gg_server_connection_set_answer_bytes (self->connection, n_bytes);
}

static gboolean
is_event_stream (const GgMessageHead *head)
{
  const char *type = gg_message_head_get (head, "Content-Type");
  return type != NULL && g_str_has_prefix (type, "text/event-stream");
}

static void
note_retry_after (GgSend *self, const GgRunnerAnswerFields *fields)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (fields->is_retry_after_malformed)
    gg_event_log_add (GG_EVENT_NOTABLE, "runner_retry_after_malformed", "runner=%s valid=%d",
                      self->runner->record.id, fields->has_retry_after);
  if (!fields->has_retry_after)
    return;
  if (!gg_retry_after_is_active (&self->runner->retry_after, now_ms))
    gg_event_log_add (GG_EVENT_NOTABLE, "runner_retry_after", "runner=%s for_ms=%" G_GUINT64_FORMAT,
                      self->runner->record.id, (guint64) fields->retry_after_ms);
  gg_retry_after_note (&self->runner->retry_after, fields->retry_after_ms, g_random_int (), now_ms);
}

/* Counts the request as admitted with the first answer that is no refusal. */
static void
note_admitted (GgRelay *self)
{
  if (self->is_admitted)
    return;
  self->is_admitted = TRUE;
  gg_return_time_note_admitted (gg_router_get_return_time (self->router, self->service->name),
                                gg_clock_now_ms ());
}

static void
log_other_answer (const GgSend *self, const GgRunnerAnswerFields *fields, GgAnswerOwner owner)
{
  char answered_id[GG_EVENT_LOG_ID_BYTES + 1];
  gg_event_log_format_id (fields->attempt_id, answered_id);
  if (owner == GG_ANSWER_FOREIGN)
    gg_event_log_add (GG_EVENT_NOTABLE, "foreign_answer_skipped",
                      "request=%s answers=%s status=%u runner=%s", self->relay->log_id, answered_id,
                      fields->status, self->runner->record.id);
  else
    gg_event_log_add (GG_EVENT_NOTABLE, "answer_unidentified", "request=%s status=%u runner=%s",
                      self->relay->log_id, fields->status, self->runner->record.id);
}

/* Handles the fields of a runner's answer that concern the runner. */
static void
note_runner_answer (GgSend *self, const GgRunnerAnswerFields *fields)
{
  const GgRelay *relay = self->relay;
  gg_limit_exchange_note_answer (relay->router->limit_exchange, self->runner, fields,
                                 self->sent_boot_ms);
  gg_leaving_exchange_note_answer (relay->router->leaving_exchange, self->runner, fields);
  note_retry_after (self, fields);
}

gboolean
gg_send_receive_head (GgSend *self, GgMessageHead *head)
{
  GgRunnerAnswerFields fields;
  GgAnswerOwner owner = GG_ANSWER_OWN;
  gg_relay_wire_read_answer_fields (head, &fields);
  /* An instance answers each request once, and has handled the fields that concern the runner. */
  if (gg_send_is_handover (self))
    self->outcome = gg_relay_wire_read_outcome (head);
  else
    owner = gg_attempt_find_owner (self->relay->caller.attempt_id, fields.attempt_id,
                                   gg_loop_call_is_first_answer (self->call));
  if (owner != GG_ANSWER_OWN)
    {
      log_other_answer (self, &fields, owner);
      gg_message_head_destroy (head);
      if (owner == GG_ANSWER_UNIDENTIFIED)
        gg_send_abandon (self, "unidentified");
      return FALSE;
    }
  if (!gg_send_is_handover (self))
    note_runner_answer (self, &fields);
  gg_message_head_destroy (self->answer);
  self->answer = head;
  self->answer_fields = fields;
  gboolean is_of_runner = !gg_send_is_handover (self) || self->outcome == GG_HANDOVER_COMPLETE;
  if (is_of_runner && !fields.is_refused)
    note_admitted (self->relay);
  if (is_of_runner && fields.status == GG_STATUS_OK && fields.is_signed && is_event_stream (head)
      && self->relay->route->kind == GG_REQUEST_STREAMING)
    self->events = gg_event_buffer_create ();
  gg_relay_update_answer_bytes (self->relay);
  return TRUE;
}

void
gg_send_receive_body (GgSend *self, const char *bytes, size_t size_bytes)
{
  if (self->events != NULL)
    {
      if (!gg_event_buffer_append (self->events, bytes, size_bytes))
        {
          gg_send_abandon (self, "too_large");
          return;
        }
      if (forward_events (self))
        gg_relay_update_answer_bytes (self->relay);
      else
        gg_send_abandon (self, "foreign_bytes");
      return;
    }
  if (self->answer_body == NULL)
    self->answer_body = g_byte_array_new ();
  g_byte_array_append (self->answer_body, (const guint8 *) bytes, (guint) size_bytes);
  gg_relay_update_answer_bytes (self->relay);
  if (self->answer_body->len > MAX_BUFFERED_ANSWER_BYTES)
    gg_send_abandon (self, "too_large");
}
