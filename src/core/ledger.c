#include "core/ledger.h"

#include "core/mutation.h"

#include <string.h>

typedef enum
{
  PHASE_WAIT_START,
  PHASE_CREATE,       /**< The call's own record is being written in `intent`. */
  PHASE_READ,         /**< The record is being read to determine its attempt. */
  PHASE_MARK_LOST,    /**< Another attempt's record is being set to `unknown`. */
  PHASE_SEND,         /**< The call was sent to a runner. */
  PHASE_RECORD_READ,  /**< The record is being read for its version. */
  PHASE_RECORD_WRITE, /**< The outcome is being written. */
  PHASE_WAIT_SETTLE,  /**< The caller was answered; START continues in the background. */
  PHASE_FINISHED,
} Phase;

struct _GgLedgerCall
{
  Phase phase;
  uint64_t deadline_ms;
  uint64_t owner_lost_ms;
  uint64_t started_at_ms;
  uint64_t started_at_wall_ms;
  uint64_t settle_until_ms;

  GgLedgerRecord own;  /**< Record that this call writes. */
  GgLedgerRecord seen; /**< Record read last. */
  uint64_t seen_version;

  uint64_t create_version;   /**< Version that the last create replaces; 0: absent. */
  gboolean is_in_doubt;      /**< A create over `in_doubt_version` may still take effect. */
  uint64_t in_doubt_version; /**< The create can't once the stored version differs from it. */
  gboolean is_created;       /**< The stored record named this attempt in `intent`. */
  gboolean is_other_seen;    /**< Another attempt's record exists; its call may have run. */
  gboolean is_other_running; /**< That record is in `intent` and its owner is not lost. */
  gboolean is_sent;
  gboolean is_replied;
  GgLedgerReplyType reply_type; /**< Reply to the caller after the call was sent. */
  char *answer_content_type;    /**< The runner's answer, also if it is too large to record. */
  char *answer_body;
};

GgLedgerCall *
gg_ledger_call_create (const GgId *attempt,
                       const char *fingerprint,
                       const char *owner,
                       uint64_t deadline_ms,
                       uint64_t owner_lost_ms)
{
  GgLedgerCall *self = g_new0 (GgLedgerCall, 1);
  self->deadline_ms = deadline_ms;
  self->owner_lost_ms = owner_lost_ms;
  self->own.attempt = *attempt;
  self->own.fingerprint = g_strdup (fingerprint);
  self->own.owner = g_strdup (owner);
  return self;
}

void
gg_ledger_call_destroy (GgLedgerCall *self)
{
  if (self == NULL)
    return;
  gg_ledger_record_clear (&self->own);
  gg_ledger_record_clear (&self->seen);
  g_free (self->answer_content_type);
  g_free (self->answer_body);
  g_free (self);
}

static void
read_record (GgLedgerCall *self, Phase phase, GgLedgerEffect *effect_out)
{
  self->phase = phase;
  effect_out->type = GG_LEDGER_EFFECT_READ;
}

static void
read_record_later (GgLedgerCall *self, Phase phase, GgLedgerEffect *effect_out)
{
  self->phase = phase;
  effect_out->type = GG_LEDGER_EFFECT_READ_LATER;
}

static void
write_record (GgLedgerCall *self,
              Phase phase,
              const GgLedgerRecord *record,
              uint64_t version,
              GgLedgerEffect *effect_out)
{
  self->phase = phase;
  effect_out->type = GG_LEDGER_EFFECT_WRITE;
  effect_out->write.record = *record;
  effect_out->write.version = version;
}

static void
reply (GgLedgerCall *self, GgLedgerReplyType type, GgLedgerEffect *effect_out)
{
  self->phase = PHASE_FINISHED;
  self->is_replied = TRUE;
  effect_out->type = GG_LEDGER_EFFECT_REPLY;
  effect_out->reply.type = type;
}

/** Like reply(); the outcome is then recorded in the background. */
static void
reply_and_settle (GgLedgerCall *self, GgLedgerReplyType type, GgLedgerEffect *effect_out)
{
  reply (self, type, effect_out);
  if (GG_IS_MUTATED ("ledger-skip-settle"))
    return;
  self->phase = PHASE_WAIT_SETTLE;
  effect_out->type = GG_LEDGER_EFFECT_REPLY_SETTLE;
}

/** Answers without sending the call. If a record of this call exists or may still be created,
 * the outcome is recorded in the background. */
static void
reply_unsent (GgLedgerCall *self, GgLedgerEffect *effect_out)
{
  GgLedgerReplyType type = GG_LEDGER_REPLY_NOT_RUN;
  if (self->is_other_running)
    type = GG_LEDGER_REPLY_IN_PROGRESS;
  else if (self->is_other_seen)
    type = GG_LEDGER_REPLY_UNKNOWN;
  self->own.state = GG_LEDGER_NOT_RUN;
  if (self->is_created || self->is_in_doubt)
    reply_and_settle (self, type, effect_out);
  else
    reply (self, type, effect_out);
}

static gboolean
is_past_deadline (const GgLedgerCall *self, uint64_t now_ms)
{
  return now_ms >= self->deadline_ms && !GG_IS_MUTATED ("ledger-ignore-deadline");
}

static void
create (GgLedgerCall *self, uint64_t version, uint64_t now_ms, GgLedgerEffect *effect_out)
{
  if (is_past_deadline (self, now_ms))
    {
      reply_unsent (self, effect_out);
      return;
    }
  self->own.state = GG_LEDGER_INTENT;
  self->own.created_at_wall_ms = self->started_at_wall_ms + (now_ms - self->started_at_ms);
  self->create_version = version;
  write_record (self, PHASE_CREATE, &self->own, version, effect_out);
}

/** Sends the call. Precondition: the stored record names this attempt in `intent`. */
static void
send_call (GgLedgerCall *self, uint64_t now_ms, GgLedgerEffect *effect_out)
{
  self->is_created = TRUE;
  self->is_in_doubt = FALSE;
  if (is_past_deadline (self, now_ms))
    {
      reply_unsent (self, effect_out);
      return;
    }
  g_assert (!self->is_sent);
  self->is_sent = TRUE;
  self->phase = PHASE_SEND;
  effect_out->type = GG_LEDGER_EFFECT_SEND;
}

static void
apply_start (GgLedgerCall *self,
             const GgLedgerEvent *event,
             uint64_t now_ms,
             GgLedgerEffect *effect_out)
{
  if (self->phase == PHASE_WAIT_START)
    {
      self->started_at_ms = now_ms;
      self->started_at_wall_ms = event->start.wall_ms;
      if (GG_IS_MUTATED ("ledger-send-first"))
        send_call (self, now_ms, effect_out);
      else
        create (self, 0, now_ms, effect_out);
    }
  else if (self->phase == PHASE_WAIT_SETTLE)
    {
      self->settle_until_ms = now_ms + GG_LEDGER_SETTLE_LIMIT_MS;
      read_record (self, PHASE_RECORD_READ, effect_out);
    }
}

static void
apply_to_create (GgLedgerCall *self,
                 GgLedgerEventType type,
                 uint64_t now_ms,
                 GgLedgerEffect *effect_out)
{
  if (type == GG_LEDGER_EVENT_STORED)
    send_call (self, now_ms, effect_out);
  else if (type == GG_LEDGER_EVENT_CONFLICT)
    {
      self->is_other_seen = !self->is_in_doubt;
      read_record (self, PHASE_READ, effect_out);
    }
  else if (type == GG_LEDGER_EVENT_IN_DOUBT)
    {
      self->is_in_doubt = TRUE;
      self->in_doubt_version = self->create_version;
      if (GG_IS_MUTATED ("ledger-skip-readback"))
        send_call (self, now_ms, effect_out);
      else
        read_record (self, PHASE_READ, effect_out);
    }
  else if (type == GG_LEDGER_EVENT_UNREACHABLE)
    reply_unsent (self, effect_out);
}

static void
copy_seen (GgLedgerCall *self, const GgLedgerEvent *event)
{
  const GgLedgerRecord *record = event->read.record;
  gg_ledger_record_clear (&self->seen);
  self->seen_version = event->read.version;
  if (self->seen_version != self->in_doubt_version)
    self->is_in_doubt = FALSE;
  if (record == NULL)
    return;
  self->seen = *record;
  self->seen.fingerprint = g_strdup (record->fingerprint);
  self->seen.owner = g_strdup (record->owner);
  self->seen.content_type = g_strdup (record->content_type);
  self->seen.body = g_strdup (record->body);
}

static void
reply_recorded (GgLedgerCall *self, GgLedgerEffect *effect_out)
{
  reply (self, GG_LEDGER_REPLY_RECORDED, effect_out);
  effect_out->reply.status = self->seen.status;
  effect_out->reply.content_type = self->seen.content_type;
  effect_out->reply.body = self->seen.body;
}

/** The record names this attempt, which has not sent the call yet. */
static void
apply_own_record (GgLedgerCall *self, uint64_t now_ms, GgLedgerEffect *effect_out)
{
  switch (self->seen.state)
    {
    case GG_LEDGER_INTENT:
      send_call (self, now_ms, effect_out);
      break;
    case GG_LEDGER_UNKNOWN:
      /* Another call marked this attempt as lost. Nothing was sent, so `not-run` is certain. */
      self->is_created = TRUE;
      reply_unsent (self, effect_out);
      break;
    case GG_LEDGER_DONE:
      reply_recorded (self, effect_out);
      break;
    case GG_LEDGER_NOT_RUN:
      reply (self, GG_LEDGER_REPLY_NOT_RUN, effect_out);
      break;
    }
}

static void
mark_lost (GgLedgerCall *self, uint64_t now_ms, GgLedgerEffect *effect_out)
{
  if (GG_IS_MUTATED ("ledger-take-over-lost"))
    {
      create (self, self->seen_version, now_ms, effect_out);
      return;
    }
  self->seen.state = GG_LEDGER_UNKNOWN;
  write_record (self, PHASE_MARK_LOST, &self->seen, self->seen_version, effect_out);
}

static void
apply_other_intent (GgLedgerCall *self,
                    uint64_t age_ms,
                    uint64_t now_ms,
                    GgLedgerEffect *effect_out)
{
  self->is_other_seen = TRUE;
  self->is_other_running = age_ms < self->owner_lost_ms;
  if (is_past_deadline (self, now_ms))
    reply_unsent (self, effect_out);
  else if (self->is_other_running)
    read_record_later (self, PHASE_READ, effect_out);
  else
    mark_lost (self, now_ms, effect_out);
}

static void
apply_other_record (GgLedgerCall *self,
                    uint64_t age_ms,
                    uint64_t now_ms,
                    GgLedgerEffect *effect_out)
{
  gboolean is_same = g_strcmp0 (self->seen.fingerprint, self->own.fingerprint) == 0;
  if (!is_same && !GG_IS_MUTATED ("ledger-ignore-fingerprint"))
    {
      reply (self, GG_LEDGER_REPLY_MISMATCH, effect_out);
      return;
    }
  switch (self->seen.state)
    {
    case GG_LEDGER_INTENT:
      apply_other_intent (self, age_ms, now_ms, effect_out);
      break;
    case GG_LEDGER_DONE:
      reply_recorded (self, effect_out);
      break;
    case GG_LEDGER_UNKNOWN:
      reply (self, GG_LEDGER_REPLY_UNKNOWN, effect_out);
      break;
    case GG_LEDGER_NOT_RUN:
      create (self, self->seen_version, now_ms, effect_out);
      break;
    }
}

static gboolean
is_own_record (const GgLedgerCall *self, const GgLedgerRecord *record)
{
  return record != NULL && gg_id_equal (&record->attempt, &self->own.attempt);
}

static void
apply_read (GgLedgerCall *self,
            const GgLedgerEvent *event,
            uint64_t now_ms,
            GgLedgerEffect *effect_out)
{
  const GgLedgerRecord *record = event->read.record;
  copy_seen (self, event);
  self->is_other_seen = FALSE;
  self->is_other_running = FALSE;
  if (record == NULL)
    create (self, 0, now_ms, effect_out);
  else if (is_own_record (self, record) || GG_IS_MUTATED ("ledger-ignore-owner"))
    apply_own_record (self, now_ms, effect_out);
  else
    apply_other_record (self, event->read.age_ms, now_ms, effect_out);
}

static void
apply_to_read (GgLedgerCall *self,
               const GgLedgerEvent *event,
               uint64_t now_ms,
               GgLedgerEffect *effect_out)
{
  if (event->type == GG_LEDGER_EVENT_READ)
    apply_read (self, event, now_ms, effect_out);
  else if (event->type != GG_LEDGER_EVENT_UNREACHABLE)
    return;
  else if (now_ms >= self->deadline_ms)
    reply_unsent (self, effect_out);
  else
    read_record_later (self, PHASE_READ, effect_out);
}

static void
apply_to_mark_lost (GgLedgerCall *self,
                    GgLedgerEventType type,
                    uint64_t now_ms,
                    GgLedgerEffect *effect_out)
{
  gboolean is_changed = type == GG_LEDGER_EVENT_CONFLICT || type == GG_LEDGER_EVENT_IN_DOUBT;
  if (is_changed && now_ms < self->deadline_ms)
    read_record (self, PHASE_READ, effect_out);
  else
    reply (self, GG_LEDGER_REPLY_UNKNOWN, effect_out);
}

static void
set_answer (GgLedgerCall *self, const GgLedgerEvent *event)
{
  const char *body = event->sent_ok.body;
  self->own.state = GG_LEDGER_DONE;
  self->own.status = event->sent_ok.status;
  self->reply_type = GG_LEDGER_REPLY_RECORDED;
  self->answer_content_type = g_strdup (event->sent_ok.content_type);
  self->answer_body = g_strdup (body);
  if (body == NULL || strlen (body) > GG_LEDGER_MAX_BODY_BYTES)
    return;
  self->own.content_type = g_strdup (self->answer_content_type);
  self->own.body = g_strdup (body);
}

/** Adds the runner's answer to the effect. */
static void
fill_answer (const GgLedgerCall *self, GgLedgerEffect *effect_out)
{
  effect_out->reply.status = self->own.status;
  effect_out->reply.content_type = self->answer_content_type;
  effect_out->reply.body = self->answer_body;
}

/** Answers the caller before the outcome is recorded. */
static void
reply_unrecorded (GgLedgerCall *self, GgLedgerEffect *effect_out)
{
  reply_and_settle (self, self->reply_type, effect_out);
  fill_answer (self, effect_out);
}

static void
apply_to_send (GgLedgerCall *self,
               const GgLedgerEvent *event,
               uint64_t now_ms,
               GgLedgerEffect *effect_out)
{
  if (event->type == GG_LEDGER_EVENT_SENT_OK)
    set_answer (self, event);
  else if (event->type == GG_LEDGER_EVENT_SENT_REFUSED)
    {
      self->own.state = GG_LEDGER_NOT_RUN;
      self->reply_type = GG_LEDGER_REPLY_NOT_RUN;
    }
  else if (event->type == GG_LEDGER_EVENT_SENT_IN_DOUBT)
    {
      gboolean is_mutated = GG_IS_MUTATED ("ledger-doubtful-not-run");
      self->own.state = is_mutated ? GG_LEDGER_NOT_RUN : GG_LEDGER_UNKNOWN;
      self->reply_type = GG_LEDGER_REPLY_UNKNOWN;
    }
  else
    return;
  if (now_ms >= self->deadline_ms)
    reply_unrecorded (self, effect_out);
  else
    read_record (self, PHASE_RECORD_READ, effect_out);
}

/** Called when the outcome is recorded or nothing is left to record. */
static void
finish_record (GgLedgerCall *self, GgLedgerEffect *effect_out)
{
  if (self->is_replied)
    {
      self->phase = PHASE_FINISHED;
      effect_out->type = GG_LEDGER_EFFECT_FINISH;
      return;
    }
  reply (self, self->reply_type, effect_out);
  fill_answer (self, effect_out);
}

/** Writes the outcome over this call's record. A create that may still take effect is fenced off by
 * replacing the version that it expects. */
static void
record_outcome (GgLedgerCall *self, const GgLedgerEvent *event, GgLedgerEffect *effect_out)
{
  copy_seen (self, event);
  gboolean is_own = is_own_record (self, event->read.record);
  gboolean is_fence = self->is_in_doubt && !GG_IS_MUTATED ("ledger-skip-fence");
  if ((is_own && self->seen.state != self->own.state) || (!is_own && is_fence))
    write_record (self, PHASE_RECORD_WRITE, &self->own, self->seen_version, effect_out);
  else
    finish_record (self, effect_out);
}

/** Handles a failure of the store while the outcome is being recorded. */
static void
retry_record (GgLedgerCall *self,
              GgLedgerEventType type,
              uint64_t now_ms,
              GgLedgerEffect *effect_out)
{
  if (!self->is_replied)
    reply_unrecorded (self, effect_out);
  else if (now_ms >= self->settle_until_ms)
    finish_record (self, effect_out);
  else if (type == GG_LEDGER_EVENT_UNREACHABLE)
    read_record_later (self, PHASE_RECORD_READ, effect_out);
  else
    read_record (self, PHASE_RECORD_READ, effect_out);
}

static void
apply_to_record_read (GgLedgerCall *self,
                      const GgLedgerEvent *event,
                      uint64_t now_ms,
                      GgLedgerEffect *effect_out)
{
  if (event->type == GG_LEDGER_EVENT_READ)
    record_outcome (self, event, effect_out);
  else if (event->type == GG_LEDGER_EVENT_UNREACHABLE)
    retry_record (self, event->type, now_ms, effect_out);
}

static void
apply_to_record_write (GgLedgerCall *self,
                       GgLedgerEventType type,
                       uint64_t now_ms,
                       GgLedgerEffect *effect_out)
{
  if (type == GG_LEDGER_EVENT_STORED)
    finish_record (self, effect_out);
  else
    retry_record (self, type, now_ms, effect_out);
}

static gboolean
is_write_result (GgLedgerEventType type)
{
  return type == GG_LEDGER_EVENT_STORED || type == GG_LEDGER_EVENT_CONFLICT
         || type == GG_LEDGER_EVENT_IN_DOUBT || type == GG_LEDGER_EVENT_UNREACHABLE;
}

void
gg_ledger_call_apply (GgLedgerCall *self,
                      const GgLedgerEvent *event,
                      uint64_t now_ms,
                      GgLedgerEffect *effect_out)
{
  gboolean is_write = is_write_result (event->type);
  *effect_out = (GgLedgerEffect){ .type = GG_LEDGER_EFFECT_NONE };
  switch (self->phase)
    {
    case PHASE_WAIT_START:
    case PHASE_WAIT_SETTLE:
      if (event->type == GG_LEDGER_EVENT_START)
        apply_start (self, event, now_ms, effect_out);
      break;
    case PHASE_CREATE:
      apply_to_create (self, event->type, now_ms, effect_out);
      break;
    case PHASE_READ:
      apply_to_read (self, event, now_ms, effect_out);
      break;
    case PHASE_MARK_LOST:
      if (is_write)
        apply_to_mark_lost (self, event->type, now_ms, effect_out);
      break;
    case PHASE_SEND:
      apply_to_send (self, event, now_ms, effect_out);
      break;
    case PHASE_RECORD_READ:
      apply_to_record_read (self, event, now_ms, effect_out);
      break;
    case PHASE_RECORD_WRITE:
      if (is_write)
        apply_to_record_write (self, event->type, now_ms, effect_out);
      break;
    case PHASE_FINISHED:
      break;
    }
}
