/* Promises "not run" and "at most once". Guards against a booking that runs twice, or runs after it
 * was answered not-run, with both layouts of the ledger. Every case also ends with the checks of
 * gg_trial_end(). */
#include "control_view.h"

#include "base/clock.h"

#include <signal.h>
#include <string.h>

#define KEY "berth-7-day-12"
#define BARGE "Kivu Reader"
#define EXIT_TIMEOUT_MS 10000
/* Longer than the write timeout of the test clusters, but shorter than the timeout of a call. */
#define TIMEOUT_DELAY "{\"delay_ms\":700}"
/* The write is received before the deadline of its call, but takes effect well after it. */
#define PAST_DEADLINE_DELAY "{\"delay_ms\":2500}"
#define SLOW_PLATFORM_DELAY "{\"delay_ms\":80}"
#define NO_DELAY "{\"delay_ms\":0}"
/* Makes calls take long enough to inject a fault while the service runs them. */
#define SERVICE_DELAY_MS 600
#define LOAD_CALLS 60
#define LOAD_PERIOD_US (15 * 1000)
#define LOAD_FAULT_AT (LOAD_CALLS / 3)
#define N_CONCURRENT 8

/* Entry settings; NULL for the layout with one record per call. */
typedef const char *const *Layout;

static const char *const sharded[] = { "ledger", "layout", "sharded", NULL };

/* Defines the two cases of a fault, one for each layout. */
#define BOTH_LAYOUTS(run)                                                                          \
  static void run##_record (GgProof *proof)                                                        \
  {                                                                                                \
    run (proof, NULL);                                                                             \
  }                                                                                                \
  static void run##_sharded (GgProof *proof)                                                       \
  {                                                                                                \
    run (proof, sharded);                                                                          \
  }

static GgTrial *
begin (GgProof *proof, Layout layout)
{
  const GgClusterOptions options = { .n_instances = 2, .entry_settings = layout };
  return gg_trial_begin (proof, &options);
}

static GgTrial *
begin_with_relays (GgProof *proof, Layout layout)
{
  const GgClusterOptions options
      = { .n_instances = 2, .entry_settings = layout, .with_relays = TRUE };
  return gg_trial_begin (proof, &options);
}

static void
signal_entry (GgTrial *trial, uint32_t instance, int number)
{
  gg_process_signal (trial->cluster->instances[instance].entry, number);
}

static void
signal_control (GgTrial *trial, uint32_t instance, int number)
{
  gg_process_signal (trial->cluster->instances[instance].control, number);
}

static void
kill_entry (GgTrial *trial, uint32_t instance)
{
  gg_trial_note_fault (trial);
  signal_entry (trial, instance, SIGKILL);
  gg_proof_check (trial->proof, gg_process_wait_exit (trial->cluster->instances[instance].entry,
                                                      EXIT_TIMEOUT_MS));
}

static void
restart_entry (GgTrial *trial, uint32_t instance)
{
  gg_cluster_start_entry (trial->cluster, instance);
  gg_proof_check (trial->proof, gg_cluster_wait_ready (trial->cluster, instance, GG_TRIAL_WAIT_MS));
}

/* Repeats the booking through both instances. */
static void
expect_at_both (GgTrial *trial, const char *outcome, guint runs)
{
  for (uint32_t i = 0; i < 2; i++)
    gg_booking_expect (gg_trial_repeat (trial, i, KEY, BARGE), outcome);
  gg_trial_expect_runs (trial, BARGE, runs);
}

static void
expect_same_at_both (GgTrial *trial, const GgBooking *first)
{
  for (uint32_t i = 0; i < 2; i++)
    gg_booking_expect_same (gg_trial_repeat (trial, i, KEY, BARGE), first);
  gg_trial_expect_runs (trial, BARGE, 1);
}

/* Starts the booking at instance 0. Its record is stored, but the call is not sent until the
 * blocked reads of records are released. */
static GgBooking *
start_and_hold_before_send (GgTrial *trial)
{
  gg_trial_control_platform (trial, GG_TRIAL_HOLD_AFTER_WRITE);
  GgBooking *booking = gg_trial_start_booking (trial, 0, KEY, BARGE);
  gg_trial_wait_lost_reply (trial);
  return booking;
}

/* Starts the booking at instance 0 and waits until a service runs it. */
static GgBooking *
start_and_wait_run (GgTrial *trial, const char *key, uint32_t *runner_out)
{
  gg_trial_delay_services (trial, SERVICE_DELAY_MS);
  GgBooking *booking = gg_trial_start_booking (trial, 0, key, BARGE);
  uint32_t runner = gg_trial_wait_run (trial, BARGE);
  gg_trial_delay_services (trial, 0);
  if (runner_out)
    *runner_out = runner;
  return booking;
}

static void
entry_killed_before_send (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_hold_before_send (trial);
  kill_entry (trial, 0);
  gg_trial_control_platform (trial, GG_TRIAL_RELEASE_READS);
  gg_trial_wait_recovery (trial, 1);
  gg_booking_wait (first);
  gg_booking_expect (first, "");
  restart_entry (trial, 0);
  expect_at_both (trial, "unknown", 0);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_killed_before_send)

static void
entry_killed_mid_call (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  start_and_wait_run (trial, KEY, NULL);
  kill_entry (trial, 0);
  gg_trial_wait_recovery (trial, 1);
  restart_entry (trial, 0);
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_killed_mid_call)

static void
entry_killed_after_call (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = gg_trial_book (trial, 0, KEY, BARGE);
  gg_booking_expect (first, "complete");
  kill_entry (trial, 0);
  gg_trial_wait_recovery (trial, 1);
  restart_entry (trial, 0);
  expect_same_at_both (trial, first);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_killed_after_call)

/* When the paused process continues, it still considers itself the owner of the record, although
 * the other instance has answered a repeat of the call in the meantime. It must not send the call.
 */
static void
entry_paused_before_send (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_hold_before_send (trial);
  gg_trial_note_fault (trial);
  signal_entry (trial, 0, SIGSTOP);
  gg_trial_control_platform (trial, GG_TRIAL_RELEASE_READS);
  gg_trial_wait_recovery (trial, 1);
  gg_booking_expect (gg_trial_repeat (trial, 1, KEY, BARGE), "unknown");
  signal_entry (trial, 0, SIGCONT);
  gg_booking_wait (first);
  gg_booking_expect (first, "not-run");
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_paused_before_send)

static void
entry_paused_mid_call (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_note_fault (trial);
  signal_entry (trial, 0, SIGSTOP);
  gg_trial_wait_recovery (trial, 1);
  gg_booking_expect (gg_trial_repeat (trial, 1, KEY, BARGE), "unknown");
  signal_entry (trial, 0, SIGCONT);
  gg_booking_wait (first);
  gg_trial_repeat (trial, 0, KEY, BARGE);
  gg_trial_expect_runs (trial, BARGE, 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_paused_mid_call)

static void
service_killed_mid_call (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  uint32_t runner = 0;
  GgBooking *first = start_and_wait_run (trial, KEY, &runner);
  gg_trial_note_fault (trial);
  gg_trial_kill_service (trial, runner);
  gg_trial_wait_recovery (trial, 1);
  gg_booking_wait (first);
  gg_booking_expect (first, "unknown");
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (service_killed_mid_call)

static void
service_killed_no_key (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  uint32_t runner = 0;
  GgBooking *first = start_and_wait_run (trial, NULL, &runner);
  gg_trial_note_fault (trial);
  gg_trial_kill_service (trial, runner);
  gg_booking_wait (first);
  gg_booking_expect (first, "unknown");
  gg_trial_wait_recovery (trial, 0);
  gg_trial_expect_runs (trial, BARGE, 1);
  gg_trial_end (trial);
}

static void
service_reply_lost (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_trial_note_fault (trial);
  gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "unknown");
  gg_trial_control_services (trial, "{\"drop_after_run\":0}");
  gg_trial_wait_recovery (trial, 0);
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (service_reply_lost)

static void
service_reply_lost_no_key (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_trial_note_fault (trial);
  gg_booking_expect (gg_trial_book (trial, 0, NULL, BARGE), "unknown");
  gg_trial_control_services (trial, "{\"drop_after_run\":0}");
  gg_trial_wait_recovery (trial, 0);
  gg_trial_expect_runs (trial, BARGE, 1);
  gg_trial_end (trial);
}

/* Sends concurrent bookings, which leave several idle connections to both runners. */
static void
open_connections (GgTrial *trial)
{
  guint first = trial->bookings->len;
  gg_trial_delay_services (trial, 100);
  for (uint32_t i = 0; i < N_CONCURRENT; i++)
    {
      char *name = g_strdup_printf ("open-%u", i);
      gg_trial_start_booking (trial, 0, name, name);
      g_free (name);
    }
  for (guint i = 0; i < N_CONCURRENT; i++)
    {
      gg_booking_wait (g_ptr_array_index (trial->bookings, first + i));
      gg_booking_expect (g_ptr_array_index (trial->bookings, first + i), "complete");
    }
}

static void
run_connections_fault (GgProof *proof, Layout layout, int number)
{
  GgTrial *trial = begin_with_relays (proof, layout);
  if (!trial)
    return;
  open_connections (trial);
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_note_fault (trial);
  gg_trial_signal_relays (trial, NULL, number);
  gg_trial_wait_recovery (trial, 0);
  gg_booking_wait (first);
  gg_booking_expect (first, "unknown");
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}

static void
connections_reset (GgProof *proof, Layout layout)
{
  run_connections_fault (proof, layout, SIGUSR2);
}
BOTH_LAYOUTS (connections_reset)

static void
connections_silent (GgProof *proof, Layout layout)
{
  run_connections_fault (proof, layout, SIGUSR1);
}
BOTH_LAYOUTS (connections_silent)

static void
platform_down (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  expect_at_both (trial, "not-run", 0);
  gg_booking_expect (gg_trial_book (trial, 0, NULL, "without a key"), "complete");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 0, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (platform_down)

static void
platform_slow (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_platform (trial, SLOW_PLATFORM_DELAY);
  gg_trial_note_fault (trial);
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 0, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (platform_slow)

/* The creation of the record takes effect after the caller was answered not-run. Unless the record
 * is settled, a repeat of the call never runs. */
static void
platform_too_slow (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_platform (trial, TIMEOUT_DELAY);
  gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "not-run");
  gg_trial_expect_runs (trial, BARGE, 0);
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, NO_DELAY);
  GgBooking *second = gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete");
  gg_trial_note_recovered (trial);
  expect_same_at_both (trial, second);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (platform_too_slow)

static gboolean
has_late_conflict (void *data)
{
  char *records = gg_test_get (((GgTrial *) data)->cluster->kv, "/records");
  gboolean found = records
                   && g_regex_match_simple ("^PUT greengage/ledger/\\S+ cas=0 false$", records,
                                            G_REGEX_MULTILINE, 0);
  g_free (records);
  return found;
}

/* The creation of the record takes effect long after the caller was answered not-run and the record
 * was settled. It must fail because of its outdated version. */
static void
create_applied_late (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  gg_trial_control_platform (trial, PAST_DEADLINE_DELAY);
  gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "not-run");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, NO_DELAY);
  gg_trial_wait_recovery (trial, 0);
  gg_trial_expect_until (trial, has_late_conflict, trial, GG_TRIAL_WAIT_MS,
                         "the late create is refused");
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}

static void
create_reply_lost (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_platform (trial, GG_TRIAL_LOSE_RECORD_REPLY);
  gg_trial_note_fault (trial);
  GgBooking *first = gg_trial_book (trial, 0, KEY, BARGE);
  gg_trial_note_recovered (trial);
  gg_booking_expect (first, "complete");
  gg_trial_wait_lost_reply (trial);
  expect_same_at_both (trial, first);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (create_reply_lost)

/* The lost reply reported a conflict: if the record were not read again, the repeat would be sent.
 * Not for the sharded layout, which reads before it writes and so writes nothing here. */
static void
create_reply_lost_of_repeat (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  GgBooking *first = gg_trial_book (trial, 0, KEY, BARGE);
  gg_booking_expect (first, "complete");
  gg_trial_control_platform (trial, GG_TRIAL_LOSE_RECORD_REPLY);
  gg_trial_note_fault (trial);
  gg_booking_expect_same (gg_trial_book (trial, 1, KEY, BARGE), first);
  gg_trial_note_recovered (trial);
  expect_same_at_both (trial, first);
  gg_trial_end (trial);
}

static void
completing_reply_lost (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_control_platform (trial, GG_TRIAL_LOSE_RECORD_REPLY);
  gg_trial_wait_lost_reply (trial);
  gg_trial_note_fault (trial);
  gg_booking_wait (first);
  gg_booking_expect (first, "complete");
  gg_trial_note_recovered (trial);
  expect_same_at_both (trial, first);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (completing_reply_lost)

static void
platform_down_mid_call (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_booking_wait (first);
  gg_booking_expect (first, "complete");
  gg_booking_expect (gg_trial_book (trial, 1, KEY, BARGE), "not-run");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_wait_recovery (trial, 1);
  gg_booking_expect_same (gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"), first);
  expect_same_at_both (trial, first);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (platform_down_mid_call)

static void
run_control_fault (GgProof *proof, Layout layout, int number)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_note_fault (trial);
  signal_control (trial, 0, number);
  gg_trial_wait_recovery (trial, 0);
  GgBooking *first = gg_trial_book (trial, 0, KEY, BARGE);
  gg_booking_expect (first, "complete");
  expect_same_at_both (trial, first);
  signal_control (trial, 0, SIGCONT);
  gg_booking_expect (gg_trial_book (trial, 0, "after", "after"), "complete");
  gg_trial_end (trial);
}

static void
control_killed (GgProof *proof, Layout layout)
{
  run_control_fault (proof, layout, SIGKILL);
}
BOTH_LAYOUTS (control_killed)

static void
control_paused (GgProof *proof, Layout layout)
{
  run_control_fault (proof, layout, SIGSTOP);
}
BOTH_LAYOUTS (control_paused)

static void
concurrent_repeats (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *bookings[N_CONCURRENT];
  gg_trial_delay_services (trial, 100);
  for (uint32_t i = 0; i < N_CONCURRENT; i++)
    bookings[i] = gg_trial_start_booking (trial, i % 2, KEY, BARGE);
  for (uint32_t i = 0; i < N_CONCURRENT; i++)
    gg_booking_wait (bookings[i]);
  const GgBooking *done = gg_trial_repeat (trial, 0, KEY, BARGE);
  gg_booking_expect (done, "complete");
  for (uint32_t i = 0; i < N_CONCURRENT; i++)
    if (strcmp (bookings[i]->outcome, "complete") == 0)
      gg_booking_expect_same (bookings[i], done);
  expect_same_at_both (trial, done);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (concurrent_repeats)

/* Starts bookings with different keys at both instances in turn and injects a fault in between;
 * returns the index of the first one. */
static guint
run_load (GgTrial *trial, void (*fault) (GgTrial *trial))
{
  guint first = trial->bookings->len;
  gg_trial_delay_services (trial, 30);
  for (uint32_t i = 0; i < LOAD_CALLS; i++)
    {
      char *name = g_strdup_printf ("load-%u", i);
      gg_trial_start_booking (trial, i % 2, name, name);
      g_free (name);
      if (i == LOAD_FAULT_AT)
        fault (trial);
      g_usleep (LOAD_PERIOD_US);
    }
  return first;
}

/* Waits for the bookings; each must run exactly once. If @may_refuse is set, calls whose
 * connections the stopped instance refused are repeated at the other one. */
static void
finish_load (GgTrial *trial, guint first, gboolean may_refuse)
{
  for (guint i = first; i < first + LOAD_CALLS; i++)
    {
      GgBooking *booking = g_ptr_array_index (trial->bookings, i);
      gg_booking_wait (booking);
      gboolean is_refused = may_refuse && booking->instance == 0 && booking->status == 0;
      if (is_refused)
        booking = gg_trial_repeat (trial, 1, booking->key, booking->barge);
      gg_booking_expect (booking, "complete");
      gg_trial_expect_runs (trial, booking->barge, 1);
    }
}

static void
stop_entry (GgTrial *trial)
{
  signal_entry (trial, 0, SIGTERM);
}

static void
stop_control (GgTrial *trial)
{
  signal_control (trial, 0, SIGTERM);
}

/* A planned stop of a runner begins with refusing new calls. */
static void
stop_service (GgTrial *trial)
{
  gg_proof_check (trial->proof, gg_cluster_control_runner (trial->cluster, GG_CLUSTER_ENGINES,
                                                           "{\"leaving\":true}"));
}

static void
stopped_under_load (GgProof *proof, Layout layout, void (*stop) (GgTrial *trial))
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  guint first = run_load (trial, stop);
  finish_load (trial, first, stop == stop_entry);
  const GgClusterInstance *instance = &trial->cluster->instances[0];
  GgProcess *stopped = stop == stop_entry     ? instance->entry
                       : stop == stop_control ? instance->control
                                              : NULL;
  if (stopped)
    gg_proof_check (proof, gg_process_wait_exit (stopped, EXIT_TIMEOUT_MS)
                               && gg_process_get_status (stopped) == 0);
  else
    {
      gg_trial_kill_service (trial, GG_CLUSTER_ENGINES);
      gg_booking_expect (gg_trial_book (trial, 0, "after", "after"), "complete");
    }
  gg_trial_end (trial);
}

static void
entry_stopped_under_load (GgProof *proof, Layout layout)
{
  stopped_under_load (proof, layout, stop_entry);
}
BOTH_LAYOUTS (entry_stopped_under_load)

static void
control_stopped_under_load (GgProof *proof, Layout layout)
{
  stopped_under_load (proof, layout, stop_control);
}
BOTH_LAYOUTS (control_stopped_under_load)

static void
service_stopped_under_load (GgProof *proof, Layout layout)
{
  stopped_under_load (proof, layout, stop_service);
}
BOTH_LAYOUTS (service_stopped_under_load)

static void
data_centre_cut (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin_with_relays (proof, layout);
  if (!trial)
    return;
  open_connections (trial);
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_note_fault (trial);
  gg_trial_signal_relays (trial, "karongi", SIGHUP);
  gg_trial_wait_recovery (trial, 0);
  gg_booking_wait (first);
  gg_trial_repeat (trial, 1, KEY, BARGE);
  gg_trial_expect_runs (trial, BARGE, 1);
  gg_trial_signal_relays (trial, "karongi", SIGHUP);
  gg_booking_expect (gg_trial_book (trial, 0, "after", "after"), "complete");
  gg_trial_end (trial);
}
BOTH_LAYOUTS (data_centre_cut)

static void
all_runners_cut (GgProof *proof)
{
  GgTrial *trial = begin_with_relays (proof, NULL);
  if (!trial)
    return;
  gg_trial_signal_relays (trial, NULL, SIGHUP);
  /* The first call may be unknown, since its request may have been sent on an open connection. */
  gg_trial_repeat_until (trial, 0, NULL, "without a key", "not-run");
  gg_booking_expect (gg_trial_repeat_until (trial, 0, KEY, BARGE, "not-run"), "not-run");
  gg_trial_chat_until (trial, 0, "not-run");
  gg_trial_note_fault (trial);
  gg_trial_signal_relays (trial, NULL, SIGHUP);
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}

static void
services_refuse (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  gg_trial_control_services (trial, "{\"busy\":true}");
  expect_at_both (trial, "not-run", 0);
  gg_booking_expect (gg_trial_book (trial, 0, NULL, "without a key"), "not-run");
  gg_trial_note_fault (trial);
  gg_trial_control_services (trial, "{\"busy\":false}");
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}

static void
entry_killed_and_platform_down (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  start_and_wait_run (trial, KEY, NULL);
  kill_entry (trial, 0);
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_booking_expect (gg_trial_book (trial, 1, KEY, BARGE), "not-run");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_wait_recovery (trial, 1);
  restart_entry (trial, 0);
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_killed_and_platform_down)

static void
service_reply_lost_and_platform_down (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  GgBooking *first = start_and_wait_run (trial, KEY, NULL);
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_booking_wait (first);
  gg_booking_expect (first, "unknown");
  gg_trial_control_services (trial, "{\"drop_after_run\":0}");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_wait_recovery (trial, 0);
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (service_reply_lost_and_platform_down)

static void
both_entries_killed (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  start_and_wait_run (trial, KEY, NULL);
  kill_entry (trial, 0);
  gg_trial_start_booking (trial, 1, KEY, BARGE);
  kill_entry (trial, 1);
  restart_entry (trial, 0);
  restart_entry (trial, 1);
  gg_trial_wait_recovery (trial, 0);
  expect_at_both (trial, "unknown", 1);
  gg_trial_end (trial);
}
BOTH_LAYOUTS (both_entries_killed)

static void
entry_paused_and_platform_down (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  GgBooking *first = start_and_hold_before_send (trial);
  signal_entry (trial, 0, SIGSTOP);
  gg_trial_control_platform (trial, GG_TRIAL_RELEASE_READS);
  gg_booking_expect (gg_trial_repeat (trial, 1, KEY, BARGE), "unknown");
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  signal_entry (trial, 0, SIGCONT);
  gg_booking_wait (first);
  gg_booking_expect (first, "not-run");
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (entry_paused_and_platform_down)

static void
data_centre_cut_and_control_killed (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin_with_relays (proof, layout);
  if (!trial)
    return;
  open_connections (trial);
  gg_trial_note_fault (trial);
  signal_control (trial, 0, SIGKILL);
  gg_trial_signal_relays (trial, "karongi", SIGHUP);
  gg_trial_wait_recovery (trial, 0);
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 0, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (data_centre_cut_and_control_killed)

static void
platform_down_twice (GgProof *proof, Layout layout)
{
  GgTrial *trial = begin (proof, layout);
  if (!trial)
    return;
  for (int i = 0; i < 2; i++)
    {
      gg_trial_control_platform (trial, GG_TRIAL_DOWN);
      gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "not-run");
      gg_trial_note_fault (trial);
      gg_trial_control_platform (trial, GG_TRIAL_UP);
      gg_trial_wait_recovery (trial, 0);
    }
  expect_same_at_both (trial, gg_trial_repeat_until (trial, 1, KEY, BARGE, "complete"));
  gg_trial_end (trial);
}
BOTH_LAYOUTS (platform_down_twice)

/* Golden session: what the callers, the services and the platform received. */
static void
at_most_once_session (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  GgGolden *golden = gg_golden_create ("at-most-once");
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, KEY, "first"));
  gg_trial_append_booking (golden, gg_trial_book (trial, 1, KEY, "first"));
  gg_trial_append_booking (golden, gg_trial_book (trial, 1, KEY, "another body"));
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, "reply-lost", "reply lost"));
  gg_trial_control_services (trial, "{\"drop_after_run\":0}");
  gg_trial_append_booking (golden, gg_trial_book (trial, 1, "reply-lost", "reply lost"));
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, NULL, "without a key"));
  gg_trial_append_calls (trial, golden, 0, "greengage/ledger/");
  gg_golden_finish (golden, proof);
  gg_trial_end (trial);
}

static void
not_run_session (GgProof *proof)
{
  GgTrial *trial = begin (proof, NULL);
  if (!trial)
    return;
  GgGolden *golden = gg_golden_create ("not-run");
  gg_trial_control_services (trial, "{\"busy\":true}");
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, KEY, "refused"));
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, NULL, "refused without a key"));
  gg_trial_control_services (trial, "{\"busy\":false}");
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_trial_append_booking (golden, gg_trial_book (trial, 0, "down", "platform down"));
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  gg_trial_append_booking (golden, gg_trial_repeat_until (trial, 1, KEY, "refused", "complete"));
  gg_view_expect_settled (trial);
  gg_trial_append_calls (trial, golden, 0, "greengage/ledger/");
  gg_golden_finish (golden, proof);
  gg_trial_end (trial);
}

#define CASES(promise, fault, run)                                                                 \
  { promise, fault "-record", run##_record },                                                      \
  {                                                                                                \
    promise, fault "-sharded", run##_sharded                                                       \
  }

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    CASES ("at-most-once", "entry-killed-before-send", entry_killed_before_send),
    CASES ("at-most-once", "entry-killed-mid-call", entry_killed_mid_call),
    CASES ("at-most-once", "entry-killed-after-call", entry_killed_after_call),
    CASES ("at-most-once", "entry-paused-before-send", entry_paused_before_send),
    CASES ("at-most-once", "entry-paused-mid-call", entry_paused_mid_call),
    CASES ("at-most-once", "service-killed-mid-call", service_killed_mid_call),
    { "at-most-once", "service-killed-mid-call-no-key", service_killed_no_key },
    CASES ("at-most-once", "service-reply-lost", service_reply_lost),
    { "at-most-once", "service-reply-lost-no-key", service_reply_lost_no_key },
    CASES ("at-most-once", "connections-reset", connections_reset),
    CASES ("at-most-once", "connections-silent", connections_silent),
    CASES ("at-most-once", "platform-slow", platform_slow),
    CASES ("at-most-once", "platform-down-mid-call", platform_down_mid_call),
    CASES ("at-most-once", "create-reply-lost", create_reply_lost),
    { "at-most-once", "create-reply-lost-of-repeat", create_reply_lost_of_repeat },
    CASES ("at-most-once", "completing-reply-lost", completing_reply_lost),
    CASES ("at-most-once", "control-killed", control_killed),
    CASES ("at-most-once", "control-paused", control_paused),
    CASES ("at-most-once", "concurrent-repeats", concurrent_repeats),
    CASES ("at-most-once", "entry-stopped-under-load", entry_stopped_under_load),
    CASES ("at-most-once", "control-stopped-under-load", control_stopped_under_load),
    CASES ("at-most-once", "service-stopped-under-load", service_stopped_under_load),
    CASES ("at-most-once", "data-centre-cut", data_centre_cut),
    CASES ("at-most-once", "entry-killed-and-platform-down", entry_killed_and_platform_down),
    CASES ("at-most-once", "service-reply-lost-and-platform-down",
           service_reply_lost_and_platform_down),
    CASES ("at-most-once", "both-entries-killed", both_entries_killed),
    CASES ("at-most-once", "data-centre-cut-and-control-killed",
           data_centre_cut_and_control_killed),
    CASES ("not-run", "platform-down", platform_down),
    CASES ("not-run", "platform-too-slow", platform_too_slow),
    { "not-run", "create-applied-late", create_applied_late },
    CASES ("not-run", "platform-down-twice", platform_down_twice),
    CASES ("not-run", "entry-paused-and-platform-down", entry_paused_and_platform_down),
    { "not-run", "all-runners-cut", all_runners_cut },
    { "not-run", "services-refuse", services_refuse },
    { "at-most-once", "session", at_most_once_session },
    { "not-run", "session", not_run_session },
  };
  return gg_prove_main ("bookings", cases, G_N_ELEMENTS (cases), argc, argv);
}
