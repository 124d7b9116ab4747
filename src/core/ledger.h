/** @file
 * State machine of one non-idempotent call with an idempotency key.
 *
 * Invariant: GG_LEDGER_EFFECT_SEND is returned at most once per record, and only to the
 * attempt that the stored record names. */
#pragma once

#include "greengage/id.h"
#include "greengage/outcome.h"

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_LEDGER_INTENT,  /**< Its attempt may send, or may have sent. */
  GG_LEDGER_DONE,    /**< The outcome is recorded. */
  GG_LEDGER_UNKNOWN, /**< It may have run; never sent again; a person settles it. */
  GG_LEDGER_NOT_RUN, /**< Given up before sending; a later call may run it anew. */
} GgLedgerState;

/** Stored record. */
typedef struct
{
  GgLedgerState state;
  GgId attempt;
  char *fingerprint; /**< SHA-256 of method, path and body. */
  char *owner;       /**< Entry instance that created it. */
  uint64_t created_at_wall_ms;
  uint32_t status; /**< HTTP status of a recorded outcome. */
  char *content_type;
  char *body; /**< Recorded answer, bounded. */
} GgLedgerRecord;

void gg_ledger_record_clear (GgLedgerRecord *self);
char *gg_ledger_record_format (const GgLedgerRecord *self);
gboolean gg_ledger_record_parse (GgLedgerRecord *record_out, const char *json);

typedef struct _GgLedgerCall GgLedgerCall;

/** @param owner_lost_ms age after which another instance's `intent` counts as lost. */
GgLedgerCall *gg_ledger_call_create (const GgId *attempt,
                                     const char *fingerprint,
                                     const char *owner,
                                     uint64_t deadline_ms,
                                     uint64_t owner_lost_ms);
void gg_ledger_call_destroy (GgLedgerCall *self);

typedef enum
{
  GG_LEDGER_EVENT_START,
  GG_LEDGER_EVENT_STORED,        /**< The write took effect. */
  GG_LEDGER_EVENT_CONFLICT,      /**< Another version stands; read it. */
  GG_LEDGER_EVENT_IN_DOUBT,      /**< The write's reply was lost. */
  GG_LEDGER_EVENT_UNREACHABLE,   /**< The store can't be reached; nothing was written. */
  GG_LEDGER_EVENT_READ,          /**< A read returned a record, or that there is none. */
  GG_LEDGER_EVENT_SENT_OK,       /**< The runner answered. */
  GG_LEDGER_EVENT_SENT_REFUSED,  /**< The runner refused before accepting, or no byte left. */
  GG_LEDGER_EVENT_SENT_IN_DOUBT, /**< It may have run. */
} GgLedgerEventType;

typedef struct
{
  GgLedgerEventType type;
  union
  {
    struct
    {
      const GgLedgerRecord *record; /**< NULL if there is none. */
      uint64_t version;             /**< Store version of the record; 0 if there is none. */
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
  GG_LEDGER_EFFECT_WRITE, /**< Store `record` if the stored version is `version` (0: absent). */
  GG_LEDGER_EFFECT_READ,  /**< Read the record. */
  GG_LEDGER_EFFECT_READ_LATER,   /**< Wait briefly, then read: another attempt is in flight. */
  GG_LEDGER_EFFECT_SEND,         /**< Send the call to a runner, once. */
  GG_LEDGER_EFFECT_REPLY,        /**< Answer the caller; the machine is finished. */
  GG_LEDGER_EFFECT_REPLY_SETTLE, /**< Answer the caller; go on in the background with START. */
  GG_LEDGER_EFFECT_FINISH,       /**< Background settling is finished. */
} GgLedgerEffectType;

typedef enum
{
  GG_LEDGER_REPLY_RECORDED, /**< The recorded answer. */
  GG_LEDGER_REPLY_NOT_RUN,
  GG_LEDGER_REPLY_UNKNOWN,
  GG_LEDGER_REPLY_MISMATCH,    /**< Same key with another request: 422. */
  GG_LEDGER_REPLY_IN_PROGRESS, /**< Another attempt is in flight past the deadline: 409. */
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
      const char *content_type; /**< Strings are owned by the call. */
      const char *body;
    } reply;
  };
} GgLedgerEffect;

void gg_ledger_call_apply (GgLedgerCall *self,
                           const GgLedgerEvent *event,
                           uint64_t now_ms,
                           GgLedgerEffect *effect_out);
