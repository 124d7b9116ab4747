#include "daemons/entryd/keyed_call.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "core/backoff.h"
#include "daemons/entryd/ledger_store.h"

#include <pthread.h>
#include <string.h>

#define REREAD_DELAY_MS 50
#define SETTLE_BACKOFF_BASE_MS 50
#define SETTLE_BACKOFF_MAX_MS 5000
#define THREAD_STACK_BYTES (256 * 1024)

static GgCounter keyed_calls
    = GG_COUNTER ("greengage_keyed_calls_total", "Non-idempotent calls with an idempotency key");
static GgCounter keyed_unknown = GG_COUNTER ("greengage_keyed_unknown_total",
                                             "Keyed calls answered unknown; a person settles them");
static GgCounter settled
    = GG_COUNTER ("greengage_keyed_settled_total", "Records settled in the background");

typedef struct
{
  GgEntry *entry;
  GgLedgerCall *ledger;
  char *key;
} Settling;

typedef struct
{
  GgPlainCall *call;
  GgEntry *entry;
  const char *key;
  GgLedgerRecord record; /* latest one read */
  GgServiceReply reply;
} Run;

void
gg_keyed_reply_clear (GgKeyedReply *self)
{
  g_free (self->content_type);
  g_free (self->body);
  memset (self, 0, sizeof *self);
}

static GgLedgerEventType
get_write_event (GgKvResult result)
{
  switch (result)
    {
    case GG_KV_OK:
      return GG_LEDGER_EVENT_STORED;
    case GG_KV_CONFLICT:
    case GG_KV_ABSENT:
      return GG_LEDGER_EVENT_CONFLICT;
    case GG_KV_UNREACHABLE:
      return GG_LEDGER_EVENT_UNREACHABLE;
    case GG_KV_IN_DOUBT:
      return GG_LEDGER_EVENT_IN_DOUBT;
    }
  g_assert_not_reached ();
}

static void
perform_write (Run *run, const GgLedgerEffect *effect, GgLedgerEvent *event)
{
  GgKvResult result = gg_ledger_store_write (run->entry->ledger, run->key, &effect->write.record,
                                             effect->write.version);
  event->type = get_write_event (result);
}

static void
perform_read (Run *run, GgLedgerEvent *event)
{
  uint64_t version;
  gg_ledger_record_clear (&run->record);
  GgKvResult result = gg_ledger_store_read (run->entry->ledger, run->key, &run->record, &version);
  if (result != GG_KV_OK && result != GG_KV_ABSENT)
    {
      event->type = GG_LEDGER_EVENT_UNREACHABLE;
      return;
    }
  uint64_t now = gg_clock_wall_ms ();
  event->type = GG_LEDGER_EVENT_READ;
  event->read.record = result == GG_KV_OK ? &run->record : NULL;
  event->read.version = version;
  event->read.age_ms
      = now > run->record.created_at_wall_ms ? now - run->record.created_at_wall_ms : 0;
}

static void
perform_send (Run *run, GgLedgerEvent *event)
{
  switch (gg_plain_call_send (run->call, &run->reply))
    {
    case GG_SERVICE_OK:
      event->type = GG_LEDGER_EVENT_SENT_OK;
      event->sent_ok.status = run->reply.status;
      event->sent_ok.content_type = run->reply.content_type;
      event->sent_ok.body = run->reply.body;
      break;
    case GG_SERVICE_REFUSED:
    case GG_SERVICE_NOT_SENT:
      event->type = GG_LEDGER_EVENT_SENT_REFUSED;
      break;
    case GG_SERVICE_IN_DOUBT:
      event->type = GG_LEDGER_EVENT_SENT_IN_DOUBT;
      break;
    }
}

static void
copy_reply (GgKeyedReply *out, const GgLedgerEffect *effect)
{
  out->type = effect->reply.type;
  out->status = effect->reply.status;
  out->content_type = g_strdup (effect->reply.content_type);
  out->body = g_strdup (effect->reply.body);
}

/* Performs effects until the state machine replies or finishes; returns the last effect. Sets
 * @reply_out, unless it is NULL, if that is a reply. */
static GgLedgerEffectType
run_effects (Run *run, GgLedgerCall *ledger, GgKeyedReply *reply_out)
{
  GgLedgerEvent event
      = { .type = GG_LEDGER_EVENT_START, .start = { .wall_ms = gg_clock_wall_ms () } };
  for (;;)
    {
      GgLedgerEffect effect;
      gg_ledger_call_apply (ledger, &event, gg_clock_now_ms (), &effect);
      memset (&event, 0, sizeof event);
      switch (effect.type)
        {
        case GG_LEDGER_EFFECT_NONE:
          /* Each event is the result of the previous effect, so there is always a next one. */
          g_assert_not_reached ();
        case GG_LEDGER_EFFECT_WRITE:
          perform_write (run, &effect, &event);
          break;
        case GG_LEDGER_EFFECT_READ_LATER:
          g_usleep (REREAD_DELAY_MS * 1000);
          perform_read (run, &event);
          break;
        case GG_LEDGER_EFFECT_READ:
          perform_read (run, &event);
          break;
        case GG_LEDGER_EFFECT_SEND:
          perform_send (run, &event);
          break;
        case GG_LEDGER_EFFECT_REPLY:
        case GG_LEDGER_EFFECT_REPLY_SETTLE:
          if (reply_out != NULL)
            copy_reply (reply_out, &effect);
          return effect.type;
        case GG_LEDGER_EFFECT_FINISH:
          return effect.type;
        }
    }
}

static void
run_clear (Run *run)
{
  gg_ledger_record_clear (&run->record);
  gg_service_reply_clear (&run->reply);
}

static void
settling_free (Settling *settling)
{
  atomic_fetch_sub (&settling->entry->settling, 1);
  gg_ledger_call_destroy (settling->ledger);
  g_free (settling->key);
  g_free (settling);
}

static void *
settle_thread (void *data)
{
  Settling *settling = data;
  GgBackoff backoff = GG_BACKOFF_INIT (SETTLE_BACKOFF_BASE_MS, SETTLE_BACKOFF_MAX_MS);
  Run run = { .entry = settling->entry, .key = settling->key };
  while (run_effects (&run, settling->ledger, NULL) != GG_LEDGER_EFFECT_FINISH)
    {
      /* At the end of a drain the record stays open; the control process reports it in the
       * account. */
      if (!atomic_load (&settling->entry->accepting))
        break;
      g_usleep ((gulong) gg_backoff_next_ms (&backoff, gg_entry_random ()) * 1000);
    }
  run_clear (&run);
  gg_counter_add (&settled, 1);
  settling_free (settling);
  return NULL;
}

static void
settle_in_background (GgEntry *entry, GgLedgerCall *ledger, const char *key)
{
  Settling *settling = g_new0 (Settling, 1);
  settling->entry = entry;
  settling->ledger = ledger;
  settling->key = g_strdup (key);
  atomic_fetch_add (&entry->settling, 1);

  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, THREAD_STACK_BYTES);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, settle_thread, settling) != 0)
    {
      gg_log (LOG_ERR, "event=thread-limit effect=\"a record stays open\" key=%s", key);
      settling_free (settling);
    }
  pthread_attr_destroy (&attr);
}

void
gg_keyed_call_run (GgPlainCall *call,
                   const char *team,
                   const char *idempotency_key,
                   const char *fingerprint,
                   GgKeyedReply *reply_out)
{
  GgEntry *entry = call->entry;
  char *key = gg_ledger_store_make_key (team, call->service->name, idempotency_key);
  uint64_t owner_lost_ms = MAX (entry->owner_lost_ms, 2 * (uint64_t) call->service->timeout_ms);
  GgLedgerCall *ledger = gg_ledger_call_create (&call->call.attempt, fingerprint, entry->instance,
                                                call->deadline_ms, owner_lost_ms);
  Run run = { .call = call, .entry = entry, .key = key };
  gg_counter_add (&keyed_calls, 1);
  memset (reply_out, 0, sizeof *reply_out);

  GgLedgerEffectType last = run_effects (&run, ledger, reply_out);
  if (reply_out->type == GG_LEDGER_REPLY_UNKNOWN)
    {
      gg_counter_add (&keyed_unknown, 1);
      gg_snapshot_client_report_event (entry->snapshots, "booking-unknown", key,
                                       "the call may have run; it is not sent again", TRUE);
    }
  if (last == GG_LEDGER_EFFECT_REPLY_SETTLE)
    settle_in_background (entry, ledger, key);
  else
    gg_ledger_call_destroy (ledger);
  run_clear (&run);
  g_free (key);
}
