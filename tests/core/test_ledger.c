/* Guards "at most once" and "not run" with concurrent calls of one key over a simulated store that
 * loses replies, delays writes and is unavailable at times, with owners that crash or pause. */
#include "core/ledger.h"
#include "seeds.h"

#include <string.h>

#define N_SEEDS 20000
#define MAX_CALLS 6
#define MAX_STEPS 5000
#define DEADLINE_MS 500
#define OWNER_LOST_MS 1500
#define LAST_ARRIVAL_MS 6000
#define MAX_PAUSE_MS 4000
#define MAX_SKEW_MS 200
#define WALL_MS G_GUINT64_CONSTANT (1700000000000)

typedef enum
{
  RUN_NONE,    /**< Not sent. */
  RUN_PENDING, /**< Sent, or about to be sent. */
  RUN_OK,
  RUN_REFUSED,
  RUN_IN_DOUBT,
} Run;

/** One call, including its caller and the entry process that serves it. */
typedef struct
{
  GgLedgerCall *call;
  GgId attempt;
  const char *fingerprint;
  char body[64];
  uint64_t skew_ms;
  uint64_t deadline_ms;
  uint64_t ready_at_ms;
  gboolean has_event; /**< Next, `event` is delivered; otherwise `effect` is performed. */
  GgLedgerEvent event;
  GgLedgerRecord read;
  GgLedgerEffect effect;
  Run run;
  gboolean has_run;
  gboolean is_replied;
  GgLedgerReplyType reply;
  gboolean is_crashed;
  gboolean is_finished;
} Call;

typedef struct
{
  uint64_t at_ms;
  uint64_t version;
  char *text;
} LateWrite;

typedef struct
{
  GRand *rand;
  uint64_t now_ms;
  char *text; /**< Stored record; NULL if absent. */
  uint64_t version;
  uint64_t last_version;
  GArray *late_writes;
  uint64_t outage_from_ms;
  uint64_t outage_until_ms;
  Call calls[MAX_CALLS];
  int n_calls;
  int fault_percent;
  char *failure;
} Simulation;

static void
require (Simulation *sim, gboolean condition, const char *what)
{
  if (!condition && sim->failure == NULL)
    sim->failure = g_strdup_printf ("%s (at %u ms)", what, (unsigned) sim->now_ms);
}

static Call *
find_call (Simulation *sim, const GgId *attempt)
{
  for (int i = 0; i < sim->n_calls; i++)
    if (gg_id_equal (&sim->calls[i].attempt, attempt))
      return &sim->calls[i];
  return NULL;
}

/** Checks that a stored outcome agrees with what was executed. */
static void
check_stored (Simulation *sim, const char *text)
{
  GgLedgerRecord record;
  require (sim, gg_ledger_record_parse (&record, text), "a stored record does not parse");
  const Call *call = find_call (sim, &record.attempt);
  require (sim, call != NULL, "a stored record names no attempt");
  if (call != NULL && record.state == GG_LEDGER_DONE)
    require (sim, call->run == RUN_OK && g_strcmp0 (record.body, call->body) == 0,
             "the recorded outcome is not that of the call");
  if (call != NULL && record.state == GG_LEDGER_NOT_RUN)
    require (sim, call->run == RUN_NONE || call->run == RUN_REFUSED,
             "a call that may have run is recorded as not-run");
  gg_ledger_record_clear (&record);
}

static gboolean
put (Simulation *sim, const char *text, uint64_t version)
{
  if (version != sim->version)
    return FALSE;
  check_stored (sim, text);
  g_free (sim->text);
  sim->text = g_strdup (text);
  sim->version = ++sim->last_version;
  return TRUE;
}

static void
apply_late_writes (Simulation *sim, uint64_t until_ms)
{
  for (guint i = 0; i < sim->late_writes->len;)
    {
      LateWrite *late = &g_array_index (sim->late_writes, LateWrite, i);
      if (late->at_ms > until_ms)
        {
          i++;
          continue;
        }
      put (sim, late->text, late->version);
      g_free (late->text);
      g_array_remove_index (sim->late_writes, i);
    }
}

static gboolean
is_unavailable (const Simulation *sim)
{
  return sim->now_ms >= sim->outage_from_ms && sim->now_ms < sim->outage_until_ms;
}

/** Loses the reply; the write takes effect now, later, or never. */
static void
lose_write (Simulation *sim, char *text, uint64_t version)
{
  int kind = is_unavailable (sim) ? 0 : g_rand_int_range (sim->rand, 0, 3);
  LateWrite late
      = { sim->now_ms + (uint64_t) g_rand_int_range (sim->rand, 1, 2000), version, NULL };
  if (kind == 1)
    put (sim, text, version);
  else if (kind == 2)
    {
      late.text = g_strdup (text);
      g_array_append_val (sim->late_writes, late);
    }
}

static GgLedgerEventType
perform_write (Simulation *sim, const Call *call)
{
  GgLedgerEventType type;
  char *text = gg_ledger_record_format (&call->effect.write.record);
  if (is_unavailable (sim) && seeds_chance (sim->rand, 70))
    type = GG_LEDGER_EVENT_UNREACHABLE;
  else if (is_unavailable (sim) || seeds_chance (sim->rand, sim->fault_percent))
    {
      lose_write (sim, text, call->effect.write.version);
      type = GG_LEDGER_EVENT_IN_DOUBT;
    }
  else
    type = put (sim, text, call->effect.write.version) ? GG_LEDGER_EVENT_STORED
                                                       : GG_LEDGER_EVENT_CONFLICT;
  g_free (text);
  return type;
}

static GgLedgerEventType
perform_read (Simulation *sim, Call *call)
{
  uint64_t wall_ms = WALL_MS + sim->now_ms + call->skew_ms;
  if (is_unavailable (sim) || seeds_chance (sim->rand, sim->fault_percent / 2))
    return GG_LEDGER_EVENT_UNREACHABLE;
  gg_ledger_record_clear (&call->read);
  call->event.read.version = sim->version;
  if (sim->text == NULL)
    return GG_LEDGER_EVENT_READ;
  require (sim, gg_ledger_record_parse (&call->read, sim->text), "a read record does not parse");
  call->event.read.record = &call->read;
  if (wall_ms > call->read.created_at_wall_ms)
    call->event.read.age_ms = wall_ms - call->read.created_at_wall_ms;
  return GG_LEDGER_EVENT_READ;
}

static GgLedgerEventType
perform_send (Simulation *sim, Call *call)
{
  int kind = g_rand_int_range (sim->rand, 0, 100);
  if (kind < sim->fault_percent)
    {
      call->run = RUN_REFUSED;
      return GG_LEDGER_EVENT_SENT_REFUSED;
    }
  call->has_run = kind < 100 - sim->fault_percent || seeds_chance (sim->rand, 50);
  call->run = kind < 100 - sim->fault_percent ? RUN_OK : RUN_IN_DOUBT;
  call->event.sent_ok.status = 201;
  call->event.sent_ok.content_type = "text/plain";
  call->event.sent_ok.body = call->body;
  return call->run == RUN_OK ? GG_LEDGER_EVENT_SENT_OK : GG_LEDGER_EVENT_SENT_IN_DOUBT;
}

static void
perform (Simulation *sim, Call *call)
{
  GgLedgerEffectType type = call->effect.type;
  call->event = (GgLedgerEvent){ .type = GG_LEDGER_EVENT_START };
  if (type == GG_LEDGER_EFFECT_WRITE)
    call->event.type = perform_write (sim, call);
  else if (type == GG_LEDGER_EFFECT_READ || type == GG_LEDGER_EFFECT_READ_LATER)
    call->event.type = perform_read (sim, call);
  else if (type == GG_LEDGER_EFFECT_SEND)
    call->event.type = perform_send (sim, call);
  else
    call->event.start.wall_ms = WALL_MS + sim->now_ms + call->skew_ms;
}

/** Checks that all earlier sends with the key were refused. */
static void
check_send (Simulation *sim, Call *call)
{
  require (sim, call->run == RUN_NONE, "a call is sent twice");
  require (sim, !call->is_replied, "a call is sent after its caller was answered");
  require (sim, sim->now_ms < call->deadline_ms, "a call is sent after its deadline");
  for (int i = 0; i < sim->n_calls; i++)
    require (sim, sim->calls[i].run == RUN_NONE || sim->calls[i].run == RUN_REFUSED,
             "a key is sent although an earlier call may have run");
  call->run = RUN_PENDING;
}

static void
check_recorded (Simulation *sim, const Call *call)
{
  gboolean is_found = FALSE;
  for (int i = 0; i < sim->n_calls; i++)
    if (sim->calls[i].run == RUN_OK && g_strcmp0 (sim->calls[i].body, call->effect.reply.body) == 0)
      is_found = g_strcmp0 (sim->calls[i].fingerprint, call->fingerprint) == 0;
  require (sim, is_found && call->effect.reply.status == 201,
           "the answer belongs to another request");
}

static void
check_reply (Simulation *sim, Call *call)
{
  require (sim, !call->is_replied, "a caller is answered twice");
  call->is_replied = TRUE;
  call->reply = call->effect.reply.type;
  if (call->reply == GG_LEDGER_REPLY_RECORDED)
    check_recorded (sim, call);
  if (call->reply == GG_LEDGER_REPLY_NOT_RUN)
    require (sim, call->run == RUN_NONE || call->run == RUN_REFUSED, "not-run, but it was sent");
  else if (call->run == RUN_OK)
    require (sim, call->reply == GG_LEDGER_REPLY_RECORDED, "the runner's answer is not returned");
}

static void
check_effect (Simulation *sim, Call *call)
{
  switch (call->effect.type)
    {
    case GG_LEDGER_EFFECT_SEND:
      check_send (sim, call);
      break;
    case GG_LEDGER_EFFECT_REPLY:
    case GG_LEDGER_EFFECT_REPLY_SETTLE:
      check_reply (sim, call);
      break;
    case GG_LEDGER_EFFECT_NONE:
      require (sim, FALSE, "a call makes no progress");
      break;
    case GG_LEDGER_EFFECT_WRITE:
    case GG_LEDGER_EFFECT_READ:
    case GG_LEDGER_EFFECT_READ_LATER:
    case GG_LEDGER_EFFECT_FINISH:
      break;
    }
  call->is_finished = call->effect.type == GG_LEDGER_EFFECT_REPLY
                      || call->effect.type == GG_LEDGER_EFFECT_FINISH
                      || call->effect.type == GG_LEDGER_EFFECT_NONE;
}

/** Applies events that do not match the pending effect; they must be ignored. */
static void
inject_unexpected_events (Simulation *sim, Call *call)
{
  GgLedgerEvent event = { .type = GG_LEDGER_EVENT_SENT_OK };
  GgLedgerEffect effect = { .type = GG_LEDGER_EFFECT_NONE };
  if (call->effect.type != GG_LEDGER_EFFECT_SEND)
    gg_ledger_call_apply (call->call, &event, sim->now_ms, &effect);
  event.type = GG_LEDGER_EVENT_STORED;
  if (call->effect.type != GG_LEDGER_EFFECT_WRITE && effect.type == GG_LEDGER_EFFECT_NONE)
    gg_ledger_call_apply (call->call, &event, sim->now_ms, &effect);
  require (sim, effect.type == GG_LEDGER_EFFECT_NONE, "an event that does not match took effect");
}

static void
delay (Simulation *sim, Call *call)
{
  int max_ms = seeds_chance (sim->rand, sim->fault_percent / 4) ? MAX_PAUSE_MS : 30;
  call->ready_at_ms = sim->now_ms + (uint64_t) g_rand_int_range (sim->rand, 0, max_ms);
  if (!call->has_event && call->effect.type == GG_LEDGER_EFFECT_READ_LATER)
    call->ready_at_ms += 20;
}

static void
advance (Simulation *sim, Call *call)
{
  if (seeds_chance (sim->rand, sim->fault_percent / 8))
    {
      call->is_crashed = TRUE;
      return;
    }
  if (call->has_event)
    {
      inject_unexpected_events (sim, call);
      gg_ledger_call_apply (call->call, &call->event, sim->now_ms, &call->effect);
      check_effect (sim, call);
    }
  else
    perform (sim, call);
  call->has_event = !call->has_event;
  delay (sim, call);
}

static Call *
choose_next (Simulation *sim)
{
  Call *next = NULL;
  for (int i = 0; i < sim->n_calls; i++)
    {
      Call *call = &sim->calls[i];
      if (!call->is_crashed && !call->is_finished
          && (next == NULL || call->ready_at_ms < next->ready_at_ms))
        next = call;
    }
  return next;
}

static void
add_call (Simulation *sim, int index)
{
  Call *call = &sim->calls[index];
  call->attempt.bytes[0] = (uint8_t) (index + 1);
  call->fingerprint = seeds_chance (sim->rand, 10) ? "other" : "booking";
  call->ready_at_ms = (uint64_t) g_rand_int_range (sim->rand, 0, LAST_ARRIVAL_MS);
  if (index > 0 && seeds_chance (sim->rand, 50))
    call->ready_at_ms = sim->calls[0].ready_at_ms + (uint64_t) g_rand_int_range (sim->rand, 0, 50);
  call->deadline_ms = call->ready_at_ms + DEADLINE_MS;
  call->skew_ms = (uint64_t) g_rand_int_range (sim->rand, 0, MAX_SKEW_MS);
  call->effect.type = GG_LEDGER_EFFECT_NONE;
  g_snprintf (call->body, sizeof call->body, "answer %d \xc3\xa9 \xff", index);
  call->call = gg_ledger_call_create (&call->attempt, call->fingerprint, "entry", call->deadline_ms,
                                      OWNER_LOST_MS);
}

/** Checks after the last event: at most one execution per key, and no record in `intent` except
 * those of crashed calls. */
static void
check_end (Simulation *sim)
{
  GgLedgerRecord record;
  int runs = 0;
  apply_late_writes (sim, G_MAXUINT64);
  for (int i = 0; i < sim->n_calls; i++)
    {
      const Call *call = &sim->calls[i];
      runs += call->has_run;
      require (sim, call->is_crashed || call->is_replied, "a caller is never answered");
      require (sim, !call->is_replied || call->reply != GG_LEDGER_REPLY_NOT_RUN || !call->has_run,
               "not-run, but it ran");
    }
  require (sim, runs <= 1, "the call ran twice");
  if (sim->text == NULL || !gg_ledger_record_parse (&record, sim->text))
    return;
  require (sim, record.state != GG_LEDGER_INTENT || find_call (sim, &record.attempt)->is_crashed,
           "a finished call left its record in intent");
  gg_ledger_record_clear (&record);
}

static void
clear_simulation (Simulation *sim)
{
  for (int i = 0; i < sim->n_calls; i++)
    {
      gg_ledger_call_destroy (sim->calls[i].call);
      gg_ledger_record_clear (&sim->calls[i].read);
    }
  g_array_unref (sim->late_writes);
  g_free (sim->text);
}

static char *
check_random_history (GRand *rand)
{
  Simulation sim = { .rand = rand };
  Call *call;
  int steps = 0;
  sim.late_writes = g_array_new (FALSE, FALSE, sizeof (LateWrite));
  sim.fault_percent = g_rand_int_range (rand, 0, 5) * 8;
  sim.outage_from_ms = (uint64_t) g_rand_int_range (rand, 0, 2 * LAST_ARRIVAL_MS);
  sim.outage_until_ms = sim.outage_from_ms + (uint64_t) g_rand_int_range (rand, 0, 3000);
  sim.n_calls = g_rand_int_range (rand, 1, MAX_CALLS + 1);
  for (int i = 0; i < sim.n_calls; i++)
    add_call (&sim, i);
  while ((call = choose_next (&sim)) != NULL && sim.failure == NULL)
    {
      sim.now_ms = MAX (sim.now_ms, call->ready_at_ms);
      apply_late_writes (&sim, sim.now_ms);
      advance (&sim, call);
      require (&sim, steps++ < MAX_STEPS, "the calls do not finish");
    }
  check_end (&sim);
  clear_simulation (&sim);
  return sim.failure;
}

/* Guards "at most once", "not run" and the recorded outcome under random failures. */
static void
test_random_histories (void)
{
  seeds_run (check_random_history, N_SEEDS);
}

static GgLedgerEffect
apply (GgLedgerCall *call, GgLedgerEventType type, uint64_t now_ms)
{
  GgLedgerEvent event = { .type = type };
  GgLedgerEffect effect;
  gg_ledger_call_apply (call, &event, now_ms, &effect);
  return effect;
}

static GgLedgerEffect
apply_read (GgLedgerCall *call, const GgLedgerRecord *record, uint64_t age_ms, uint64_t now_ms)
{
  GgLedgerEvent event = { .type = GG_LEDGER_EVENT_READ };
  GgLedgerEffect effect;
  event.read.record = record;
  event.read.version = record != NULL ? 7 : 0;
  event.read.age_ms = age_ms;
  gg_ledger_call_apply (call, &event, now_ms, &effect);
  return effect;
}

static const GgId own_attempt = { { 1 } };

static GgLedgerCall *
create_started (void)
{
  GgLedgerCall *call = gg_ledger_call_create (&own_attempt, "booking", "entry", 500, 1500);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_START, 0).type, GG_LEDGER_EFFECT_WRITE);
  return call;
}

static void
check_reply_type (const GgLedgerEffect *effect, GgLedgerEffectType type, GgLedgerReplyType reply)
{
  CU_ASSERT_EQUAL (effect->type, type);
  CU_ASSERT_EQUAL (effect->reply.type, reply);
}

/* Guards the answer to a second call for each state of the first call's record. */
static void
test_record_of_another_attempt (void)
{
  static const struct
  {
    GgLedgerState state;
    const char *fingerprint;
    uint64_t age_ms;
    GgLedgerEffectType effect;
    GgLedgerReplyType reply;
  } rows[] = {
    { GG_LEDGER_DONE, "booking", 0, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_RECORDED },
    { GG_LEDGER_UNKNOWN, "booking", 0, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_UNKNOWN },
    { GG_LEDGER_DONE, "other", 0, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_MISMATCH },
    { GG_LEDGER_INTENT, "other", 9999, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_MISMATCH },
    { GG_LEDGER_INTENT, "booking", 1499, GG_LEDGER_EFFECT_READ_LATER, 0 },
    { GG_LEDGER_INTENT, "booking", 1500, GG_LEDGER_EFFECT_WRITE, 0 },
    { GG_LEDGER_NOT_RUN, "booking", 0, GG_LEDGER_EFFECT_WRITE, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GgLedgerRecord record = { .state = rows[i].state, .attempt = { { 2 } } };
      GgLedgerCall *call = create_started ();
      record.fingerprint = (char *) rows[i].fingerprint;
      CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_CONFLICT, 1).type, GG_LEDGER_EFFECT_READ);
      GgLedgerEffect effect = apply_read (call, &record, rows[i].age_ms, 2);
      CU_ASSERT_EQUAL (effect.type, rows[i].effect);
      if (effect.type == GG_LEDGER_EFFECT_REPLY)
        CU_ASSERT_EQUAL (effect.reply.type, rows[i].reply);
      if (effect.type == GG_LEDGER_EFFECT_WRITE)
        CU_ASSERT_EQUAL (effect.write.record.attempt.bytes[0],
                         record.state == GG_LEDGER_INTENT ? 2 : 1);
      gg_ledger_call_destroy (call);
    }
}

/* Guards against reporting a call as not run while another attempt may have run it. */
static void
test_deadline_with_another_attempt (void)
{
  GgLedgerRecord record = { .attempt = { { 2 } }, .fingerprint = (char *) "booking" };
  GgLedgerCall *call = create_started ();
  apply (call, GG_LEDGER_EVENT_CONFLICT, 1);
  GgLedgerEffect effect = apply_read (call, &record, 10, 500);
  check_reply_type (&effect, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_IN_PROGRESS);
  gg_ledger_call_destroy (call);
  call = create_started ();
  apply (call, GG_LEDGER_EVENT_CONFLICT, 1);
  effect = apply (call, GG_LEDGER_EVENT_UNREACHABLE, 500);
  check_reply_type (&effect, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_UNKNOWN);
  gg_ledger_call_destroy (call);
}

/* Guards the fast answer while the store is unavailable: nothing is written and nothing is sent. */
static void
test_store_unavailable_before_send (void)
{
  GgLedgerCall *call = create_started ();
  GgLedgerEffect effect = apply (call, GG_LEDGER_EVENT_UNREACHABLE, 1);
  check_reply_type (&effect, GG_LEDGER_EFFECT_REPLY, GG_LEDGER_REPLY_NOT_RUN);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_START, 2).type, GG_LEDGER_EFFECT_NONE);
  gg_ledger_call_destroy (call);
}

/* Guards an abandoned create: its outcome is recorded in the background, which also prevents the
 * create from taking effect later. */
static void
test_abandoned_create_is_settled (void)
{
  GgLedgerCall *call = create_started ();
  apply (call, GG_LEDGER_EVENT_IN_DOUBT, 1);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_UNREACHABLE, 2).type, GG_LEDGER_EFFECT_READ_LATER);
  GgLedgerEffect effect = apply (call, GG_LEDGER_EVENT_UNREACHABLE, 500);
  check_reply_type (&effect, GG_LEDGER_EFFECT_REPLY_SETTLE, GG_LEDGER_REPLY_NOT_RUN);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_START, 600).type, GG_LEDGER_EFFECT_READ);
  effect = apply_read (call, NULL, 0, 700);
  CU_ASSERT_EQUAL (effect.type, GG_LEDGER_EFFECT_WRITE);
  CU_ASSERT_EQUAL (effect.write.record.state, GG_LEDGER_NOT_RUN);
  CU_ASSERT_EQUAL (effect.write.version, 0);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_STORED, 800).type, GG_LEDGER_EFFECT_FINISH);
  gg_ledger_call_destroy (call);
}

/* Guards against losing the runner's answer when the store fails after the send, and against
 * recording in the background without a time limit. */
static void
test_store_unavailable_after_send (void)
{
  GgLedgerEvent event = { .type = GG_LEDGER_EVENT_SENT_OK };
  GgLedgerEffect effect;
  char *large = g_strnfill (GG_LEDGER_MAX_BODY_BYTES + 1, 'x');
  GgLedgerCall *call = create_started ();
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_STORED, 1).type, GG_LEDGER_EFFECT_SEND);
  event.sent_ok.status = 200;
  event.sent_ok.body = large;
  gg_ledger_call_apply (call, &event, 2, &effect);
  CU_ASSERT_EQUAL (effect.type, GG_LEDGER_EFFECT_READ);
  effect = apply (call, GG_LEDGER_EVENT_UNREACHABLE, 3);
  check_reply_type (&effect, GG_LEDGER_EFFECT_REPLY_SETTLE, GG_LEDGER_REPLY_RECORDED);
  CU_ASSERT_STRING_EQUAL (effect.reply.body, large);
  apply (call, GG_LEDGER_EVENT_START, 4);
  CU_ASSERT_EQUAL (apply (call, GG_LEDGER_EVENT_UNREACHABLE, 5).type, GG_LEDGER_EFFECT_READ_LATER);
  GgLedgerRecord record = { .attempt = own_attempt };
  effect = apply_read (call, &record, 0, 6);
  CU_ASSERT_EQUAL (effect.type, GG_LEDGER_EFFECT_WRITE);
  CU_ASSERT_EQUAL (effect.write.record.state, GG_LEDGER_DONE);
  CU_ASSERT_PTR_NULL (effect.write.record.body);
  effect = apply (call, GG_LEDGER_EVENT_UNREACHABLE, 4 + GG_LEDGER_SETTLE_LIMIT_MS);
  CU_ASSERT_EQUAL (effect.type, GG_LEDGER_EFFECT_FINISH);
  gg_ledger_call_destroy (call);
  g_free (large);
}

/* Guards against accepting a damaged stored value as a record. */
static void
test_record_format (void)
{
  static const char *const damaged[]
      = { "", "[]", "{}", "{\"state\":3}", "{\"state\":\"intent\",\"attempt\":\"12\"}" };
  GgLedgerRecord record
      = { GG_LEDGER_DONE, own_attempt, (char *) "f", (char *) "o", 5, 200, NULL, (char *) "" };
  GgLedgerRecord parsed;
  char *text = gg_ledger_record_format (&record);
  CU_ASSERT_TRUE_FATAL (gg_ledger_record_parse (&parsed, text));
  CU_ASSERT_STRING_EQUAL (parsed.body, "");
  CU_ASSERT_PTR_NULL (parsed.content_type);
  CU_ASSERT_EQUAL (parsed.created_at_wall_ms, 5);
  gg_ledger_record_clear (&parsed);
  for (size_t i = 0; i < G_N_ELEMENTS (damaged); i++)
    CU_ASSERT_FALSE (gg_ledger_record_parse (&parsed, damaged[i]));
  for (size_t n = 0; n < strlen (text); n++)
    {
      char *part = g_strndup (text, n);
      CU_ASSERT_FALSE (gg_ledger_record_parse (&parsed, part));
      g_free (part);
    }
  g_free (text);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "record of another attempt", test_record_of_another_attempt },
    { "deadline with another attempt", test_deadline_with_another_attempt },
    { "store unavailable before send", test_store_unavailable_before_send },
    { "abandoned create is settled", test_abandoned_create_is_settled },
    { "store unavailable after send", test_store_unavailable_after_send },
    { "record format", test_record_format },
    { "random histories", test_random_histories },
  };
  seeds_init (argc, argv);
  return gg_test_run ("ledger", cases, G_N_ELEMENTS (cases));
}
