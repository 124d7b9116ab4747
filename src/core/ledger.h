/** @file
 * State machine of one non-idempotent call with an idempotency key.
 *
 * Invariant: GG_LEDGER_EFFECT_SEND is returned at most once per record, and only to the attempt
 * that the stored record names. */
#pragma once

#include "greengage/id.h"
#include "greengage/outcome.h"

#include <glib.h>
#include <stdint.h>

/** Size limit of a recorded body; a larger body is not recorded. Answers of booking services have
 * a few hundred bytes, and a sharded document of one megabyte holds dozens of records of this
 * size. */
#define GG_LEDGER_MAX_BODY_BYTES 16384

/** How long a call tries to record its outcome in the background. Afterwards the record stays in
 * `intent`, which other calls change to `unknown`; the limit keeps waiting calls from piling up
 * during a long outage of the store. */
#define GG_LEDGER_SETTLE_LIMIT_MS 60000

typedef enum
{
  GG_LEDGER_INTENT,  /**< Its attempt may send the call, or may have sent it. */
  GG_LEDGER_DONE,    /**< The outcome is recorded. */
  GG_LEDGER_UNKNOWN, /**< It may have run; it is never sent again and a person must settle it. */
  GG_LEDGER_NOT_RUN, /**< Abandoned before it was sent; a later call may run it. */
} GgLedgerState;

/** Record in the store. */
typedef struct
{
  GgLedgerState state;
  GgId attempt;
  char *fingerprint; /**< SHA-256 of method, path and body. */
  char *owner;       /**< Entry instance that created it. */
  uint64_t created_at_wall_ms;
  uint32_t status; /**< HTTP status of a recorded outcome. */
  char *content_type;
  char *body; /**< Recorded answer; NULL if there is none or it was too large. */
} GgLedgerRecord;

/** Frees the strings and sets all fields to zero. */
void gg_ledger_record_clear (GgLedgerRecord *self);

/** Returns the JSON form, owned by the caller. The body is in Base64, since it may be binary. */
char *gg_ledger_record_format (const GgLedgerRecord *self);

/** @return FALSE if @p json is not a complete record; @p record_out is then empty. Pass such a
 * record to the state machine as GG_LEDGER_EVENT_UNREACHABLE, so that nothing is sent. */
gboolean gg_ledger_record_parse (GgLedgerRecord *record_out, const char *json);

typedef struct _GgLedgerCall GgLedgerCall;

/** @param deadline_ms monotonic; the call is never sent at or after it.
 * @param owner_lost_ms age after which another attempt's `intent` counts as lost. It must exceed
 *        the longest call plus the clock skew; otherwise calls that are still running are
 *        answered as unknown. */
GgLedgerCall *gg_ledger_call_create (const GgId *attempt,
                                     const char *fingerprint,
                                     const char *owner,
                                     uint64_t deadline_ms,
                                     uint64_t owner_lost_ms);
void gg_ledger_call_destroy (GgLedgerCall *self);

typedef enum
{
  GG_LEDGER_EVENT_START,
  GG_LEDGER_EVENT_STORED,       /**< The write took effect. */
  GG_LEDGER_EVENT_CONFLICT,     /**< Another version is stored; read it. */
  GG_LEDGER_EVENT_IN_DOUBT,     /**< The reply to the write was lost. */
  GG_LEDGER_EVENT_UNREACHABLE,  /**< The store can't be reached; nothing was written. */
  GG_LEDGER_EVENT_READ,         /**< The read found a record, or that there is none. */
  GG_LEDGER_EVENT_SENT_OK,      /**< The runner answered. */
  GG_LEDGER_EVENT_SENT_REFUSED, /**< The runner refused the call before accepting it, or no byte was
                                   sent. */
  GG_LEDGER_EVENT_SENT_IN_DOUBT, /**< The call may have run. */
} GgLedgerEventType;

typedef struct
{
  GgLedgerEventType type;
  union
  {
    struct
    {
      uint64_t wall_ms; /**< Time since the Unix epoch, for created_at_wall_ms. */
    } start;
    struct
    {
      const GgLedgerRecord *record; /**< NULL if there is none. */
      uint64_t version;             /**< Version in the store; 0 if there is none. */
      uint64_t age_ms;              /**< Since the record was created. */
    } read;
    struct
    {
      uint32_t status;
      const char *content_type;
      const char *body;
    } sent_ok;
  };
} GgLedgerEvent;

typedef enum
{
  GG_LEDGER_EFFECT_NONE,  /**< The event does not match the last effect and was ignored. */
  GG_LEDGER_EFFECT_WRITE, /**< Store `record` if the stored version is `version` (0: absent). */
  GG_LEDGER_EFFECT_READ,  /**< Read the record. */
  GG_LEDGER_EFFECT_READ_LATER,   /**< Wait briefly, then read the record: another attempt is in
                                    flight, or the store can't be reached. */
  GG_LEDGER_EFFECT_SEND,         /**< Send the call to a runner, once. */
  GG_LEDGER_EFFECT_REPLY,        /**< Answer the caller; the state machine has finished. */
  GG_LEDGER_EFFECT_REPLY_SETTLE, /**< Answer the caller; continue in the background with START. */
  GG_LEDGER_EFFECT_FINISH,       /**< Recording in the background has finished. */
} GgLedgerEffectType;

typedef enum
{
  GG_LEDGER_REPLY_RECORDED,    /**< The runner's answer, received now or recorded earlier. */
  GG_LEDGER_REPLY_NOT_RUN,     /**< This call was not sent and never will be. */
  GG_LEDGER_REPLY_UNKNOWN,     /**< This call or an earlier one with its key may have run. */
  GG_LEDGER_REPLY_MISMATCH,    /**< The key was used for another request: 422. */
  GG_LEDGER_REPLY_IN_PROGRESS, /**< Another attempt is still in flight at the deadline: 409. */
} GgLedgerReplyType;

typedef struct
{
  GgLedgerEffectType type;
  union
  {
    struct
    {
      GgLedgerRecord record; /**< Strings are owned by the call. */
      uint64_t version;
    } write;
    struct
    {
      GgLedgerReplyType type;
      uint32_t status;
      const char *content_type; /**< Strings are owned by the call; NULL if not recorded. */
      const char *body;
    } reply;
  };
} GgLedgerEffect;

/** Applies the result of the last effect; the first event is START.
 * @param now_ms monotonic.
 * @param effect_out what the caller must do next. */
void gg_ledger_call_apply (GgLedgerCall *self,
                           const GgLedgerEvent *event,
                           uint64_t now_ms,
                           GgLedgerEffect *effect_out);
