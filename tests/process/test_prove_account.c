/* Compares "greengagectl account" with the faults that each case injects. Guards against an account
 * that lacks a failure, its recovery or a booking that an operator has to resolve, or that contains
 * events that did not happen. */
#include "base/clock.h"
#include "control_view.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>

#define N_INSTANCES 2
#define SHOWN_TIMEOUT_MS 8000
/* Allowance for the time from a fault to its detection and between two readings of a clock. */
#define CLOCK_SLACK_MS 4000
#define OUTAGE_MS 2500
#define OUTAGE_SLACK_MS 1500
#define KEY "berth-7-day-12"
#define BARGE "Kivu Reader"
#define SERVICE GG_CLUSTER_ENGINES

/* An entry that the account must show. */
typedef struct
{
  GgTrial *trial;
  uint32_t instance; /* whose account is read */
  const char *kind;
  const char *subject;
  gboolean needs_person;
  uint64_t not_before_ms; /* wall clock */
  char *detail;           /* of the last matching entry */
  guint n_found;
} Expected;

static const char *const control_settings[]
    = { "account", "sweep_ms", "500", "account", "owner_lost_ms", "4000", NULL };
static const char *const sharded[] = { "ledger", "layout", "sharded", NULL };

static GgTrial *
begin_with (GgProof *proof, gboolean with_relays, const char *const *entry_settings)
{
  const GgClusterOptions options = { .n_instances = N_INSTANCES,
                                     .with_relays = with_relays,
                                     .entry_settings = entry_settings,
                                     .control_settings = control_settings };
  return gg_trial_begin (proof, &options);
}

static GgTrial *
begin (GgProof *proof, gboolean with_relays)
{
  return begin_with (proof, with_relays, NULL);
}

static JsonNode *
read_account (const GgTrial *trial, uint32_t instance)
{
  const char *args[] = { "--json", "account", NULL };
  char *output = NULL;
  JsonNode *root = NULL;
  if (gg_view_run_ctl (trial, instance, args, &output) == 0)
    root = json_from_string (output, NULL);
  g_free (output);
  return root;
}

static const char *
get_text (JsonObject *entry, const char *name)
{
  return json_object_get_string_member_with_default (entry, name, "");
}

static uint64_t
get_uint (JsonObject *entry, const char *name)
{
  return (uint64_t) json_object_get_int_member_with_default (entry, name, 0);
}

static gboolean
matches (const Expected *expected, JsonObject *entry)
{
  uint64_t now_ms = gg_clock_wall_ms ();
  return strcmp (get_text (entry, "kind"), expected->kind) == 0
         && strcmp (get_text (entry, "subject"), expected->subject) == 0
         && json_object_get_boolean_member_with_default (entry, "needs_person", FALSE)
                == expected->needs_person
         && get_uint (entry, "last_ms") >= expected->not_before_ms
         && get_uint (entry, "last_ms") <= now_ms + 1;
}

static gboolean
is_shown (void *data)
{
  Expected *expected = data;
  JsonNode *root = read_account (expected->trial, expected->instance);
  if (!root)
    return FALSE;
  JsonArray *entries = json_object_get_array_member (json_node_get_object (root), "entries");
  expected->n_found = 0;
  for (guint i = 0; i < json_array_get_length (entries); i++)
    {
      JsonObject *entry = json_array_get_object_element (entries, i);
      if (!matches (expected, entry))
        continue;
      expected->n_found++;
      g_free (expected->detail);
      expected->detail = g_strdup (get_text (entry, "detail"));
    }
  json_node_unref (root);
  return expected->n_found > 0;
}

static void
expect_shown (Expected *expected)
{
  char *what = g_strdup_printf ("the account shows %s of %s", expected->kind, expected->subject);
  gg_trial_expect_until (expected->trial, is_shown, expected, SHOWN_TIMEOUT_MS, what);
  g_free (what);
}

static void
expect_entry_at (GgTrial *trial,
                 uint32_t instance,
                 const char *kind,
                 const char *subject,
                 uint64_t not_before_ms)
{
  Expected expected = { .trial = trial,
                        .instance = instance,
                        .kind = kind,
                        .subject = subject,
                        .not_before_ms = not_before_ms };
  expect_shown (&expected);
  g_free (expected.detail);
}

static void
expect_entry (GgTrial *trial, const char *kind, const char *subject, uint64_t not_before_ms)
{
  expect_entry_at (trial, 1, kind, subject, not_before_ms);
}

/* Returns the key of a booking's record; all trials use the same team. */
static char *
make_record_key (const char *idempotency_key)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, idempotency_key, -1);
  char *key = g_strdup_printf ("greengage/ledger/karongi-schools/moorings/%s", hash);
  g_free (hash);
  return key;
}

/* Expects the printed account to list exactly the bookings with these keys for an operator to
 * resolve. */
static void
expect_unknown (GgTrial *trial, uint64_t not_before_ms, const char *const *keys)
{
  const char *args[] = { "account", NULL };
  char *output = NULL;
  guint n = 0;
  for (; keys[n]; n++)
    {
      char *subject = make_record_key (keys[n]);
      Expected expected = { .trial = trial,
                            .instance = 1,
                            .kind = "booking-unknown",
                            .subject = subject,
                            .needs_person = TRUE,
                            .not_before_ms = not_before_ms };
      expect_shown (&expected);
      g_free (expected.detail);
      g_free (subject);
    }
  gg_proof_check (trial->proof, gg_view_run_ctl (trial, 1, args, &output) == 0);
  char **parts = g_strsplit (output, "\nOther events:\n", 2);
  char **lines = g_strsplit (parts[0], "\n", -1);
  guint n_lines = 0;
  for (size_t i = 0; lines[i]; i++)
    n_lines += strstr (lines[i], "booking-unknown") != NULL;
  if (n_lines != n)
    gg_proof_fail (trial->proof, "%u bookings are left for a person instead of %u: %s", n_lines, n,
                   parts[0]);
  g_strfreev (lines);
  g_strfreev (parts);
  g_free (output);
}

static void
lose_reply (GgTrial *trial, uint32_t instance, const char *key)
{
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_booking_expect (gg_trial_book (trial, instance, key, key), "unknown");
  gg_trial_control_services (trial, "{\"drop_after_run\":0}");
}

static void
nothing_broke (GgProof *proof)
{
  static const char *const none[] = { NULL };
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "complete");
  expect_unknown (trial, 0, none);
  gg_trial_end (trial);
}

static void
service_reply_lost (GgProof *proof)
{
  static const char *const keys[] = { "first", "second", NULL };
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  uint64_t start_ms = gg_clock_wall_ms ();
  lose_reply (trial, 0, keys[0]);
  lose_reply (trial, 1, keys[1]);
  gg_booking_expect (gg_trial_book (trial, 0, KEY, BARGE), "complete");
  gg_trial_note_fault (trial);
  expect_unknown (trial, start_ms, keys);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

/* The caller does not repeat the call, so only the record sweep can find the record. */
static void
entry_killed_mid_call (GgProof *proof, const char *const *layout)
{
  static const char *const keys[] = { KEY, NULL };
  GgTrial *trial = begin_with (proof, FALSE, layout);
  if (!trial)
    return;
  uint64_t start_ms = gg_clock_wall_ms ();
  gg_trial_delay_services (trial, 600);
  gg_trial_start_booking (trial, 0, KEY, BARGE);
  gg_trial_wait_run (trial, BARGE);
  gg_trial_note_fault (trial);
  gg_process_signal (trial->cluster->instances[0].entry, SIGKILL);
  gg_trial_delay_services (trial, 0);
  expect_unknown (trial, start_ms, keys);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

static void
entry_killed_record (GgProof *proof)
{
  entry_killed_mid_call (proof, NULL);
}

static void
entry_killed_sharded (GgProof *proof)
{
  entry_killed_mid_call (proof, sharded);
}

static void
entry_killed_and_repeated (GgProof *proof)
{
  static const char *const keys[] = { KEY, NULL };
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  uint64_t start_ms = gg_clock_wall_ms ();
  gg_trial_delay_services (trial, 600);
  gg_trial_start_booking (trial, 0, KEY, BARGE);
  gg_trial_wait_run (trial, BARGE);
  gg_process_signal (trial->cluster->instances[0].entry, SIGKILL);
  gg_trial_delay_services (trial, 0);
  gg_booking_expect (gg_trial_repeat (trial, 1, KEY, BARGE), "unknown");
  gg_trial_note_fault (trial);
  expect_unknown (trial, start_ms, keys);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

static gboolean
outage_is_over (void *data)
{
  return gg_clock_wall_ms () >= *(const uint64_t *) data;
}

/* Expects the account to show the outage with its duration. */
static void
expect_outage (GgTrial *trial, uint64_t down_ms, uint64_t lasted_ms)
{
  Expected expected = { .trial = trial,
                        .instance = 1,
                        .kind = "platform-up",
                        .subject = "key-value service",
                        .not_before_ms = down_ms };
  expect_entry (trial, "platform-down", "key-value service", down_ms);
  expect_shown (&expected);
  const char *number = expected.detail ? strstr (expected.detail, "after ") : NULL;
  uint64_t shown_ms = number ? g_ascii_strtoull (number + strlen ("after "), NULL, 10) : 0;
  if (shown_ms + OUTAGE_SLACK_MS < lasted_ms || shown_ms > lasted_ms + OUTAGE_SLACK_MS)
    gg_proof_fail (trial->proof, "an outage of %u ms is shown as '%s'", (unsigned) lasted_ms,
                   expected.detail ? expected.detail : "");
  g_free (expected.detail);
}

/* The outcome of the booking becomes unknown while the account can't be saved. */
static void
platform_down (GgProof *proof)
{
  static const char *const keys[] = { KEY, NULL };
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_trial_delay_services (trial, 600);
  GgBooking *booking = gg_trial_start_booking (trial, 0, KEY, BARGE);
  gg_trial_wait_run (trial, BARGE);
  uint64_t down_ms = gg_clock_wall_ms ();
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_booking_wait (booking);
  gg_booking_expect (booking, "unknown");
  expect_unknown (trial, down_ms, keys);
  uint64_t end_ms = down_ms + OUTAGE_MS;
  gg_trial_expect_until (trial, outage_is_over, &end_ms, SHOWN_TIMEOUT_MS, "the outage has lasted");
  uint64_t lasted_ms = gg_clock_wall_ms () - down_ms;
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  expect_outage (trial, down_ms, lasted_ms);
  gg_trial_note_recovered (trial);
  expect_unknown (trial, down_ms, keys);
  gg_trial_end (trial);
}

/* The control process to which the booking was reported is killed before the outage ends. */
static void
platform_down_and_control_killed (GgProof *proof)
{
  static const char *const keys[] = { KEY, NULL };
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  uint64_t start_ms = gg_clock_wall_ms ();
  gg_trial_control_services (trial, "{\"drop_after_run\":1}");
  gg_trial_delay_services (trial, 600);
  GgBooking *booking = gg_trial_start_booking (trial, 0, KEY, BARGE);
  gg_trial_wait_run (trial, BARGE);
  gg_trial_control_platform (trial, GG_TRIAL_DOWN);
  gg_booking_wait (booking);
  gg_booking_expect (booking, "unknown");
  expect_unknown (trial, start_ms, keys);
  gg_process_signal (trial->cluster->instances[0].control, SIGKILL);
  gg_trial_note_fault (trial);
  gg_trial_control_platform (trial, GG_TRIAL_UP);
  expect_unknown (trial, start_ms, keys);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

static void
runner_cut (GgProof *proof)
{
  GgTrial *trial = begin (proof, TRUE);
  if (!trial)
    return;
  const char *id = trial->cluster->runners[SERVICE].id;
  const char *data_centre = trial->cluster->runners[SERVICE].data_centre;
  uint64_t cut_ms = gg_clock_wall_ms ();
  gg_trial_signal_relays (trial, data_centre, SIGHUP);
  for (int i = 0; i < 20; i++)
    gg_trial_wait_recovery (trial, 0);
  expect_entry (trial, "runner-ejected", id, cut_ms);
  uint64_t restored_ms = gg_clock_wall_ms ();
  gg_trial_note_fault (trial);
  gg_trial_signal_relays (trial, data_centre, SIGHUP);
  expect_entry (trial, "runner-restored", id, restored_ms);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

static void
entry_drained (GgProof *proof)
{
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  uint64_t start_ms = gg_clock_wall_ms ();
  gg_trial_note_fault (trial);
  gg_process_signal (trial->cluster->instances[0].entry, SIGTERM);
  expect_entry (trial, "drain", trial->cluster->instances[0].name, start_ms);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

/* For each instance: another one records that its control process is unreachable, and its
 * recovery. */
static void
control_killed (GgProof *proof)
{
  GgTrial *trial = begin (proof, FALSE);
  if (!trial)
    return;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      const GgClusterInstance *instance = &trial->cluster->instances[i];
      uint32_t other = (i + 1) % N_INSTANCES;
      uint64_t start_ms = gg_clock_wall_ms ();
      gg_process_signal (instance->control, SIGKILL);
      gg_proof_check (proof, gg_process_wait_exit (instance->control, SHOWN_TIMEOUT_MS));
      expect_entry_at (trial, other, "peer-unreachable", instance->name, start_ms);
      uint64_t restart_ms = gg_clock_wall_ms ();
      gg_trial_note_fault (trial);
      gg_cluster_start_control (trial->cluster, i);
      expect_entry_at (trial, other, "peer-reachable", instance->name, restart_ms);
      gg_trial_note_recovered (trial);
    }
  gg_trial_end (trial);
}

/* The last of six instances has rank 0 for events about itself, so another one must record them. */
static void
recorder_killed (GgProof *proof)
{
  const GgClusterOptions options = { .n_instances = 6, .control_settings = control_settings };
  GgTrial *trial = gg_trial_begin (proof, &options);
  if (!trial)
    return;
  const GgClusterInstance *instance = &trial->cluster->instances[5];
  uint64_t start_ms = gg_clock_wall_ms ();
  gg_trial_note_fault (trial);
  gg_process_signal (instance->control, SIGKILL);
  expect_entry_at (trial, 0, "peer-unreachable", instance->name, start_ms);
  gg_trial_note_recovered (trial);
  gg_trial_end (trial);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "account", "none", nothing_broke },
    { "account", "service-reply-lost", service_reply_lost },
    { "account", "entry-killed-mid-call-record", entry_killed_record },
    { "account", "entry-killed-mid-call-sharded", entry_killed_sharded },
    { "account", "entry-killed-and-repeated", entry_killed_and_repeated },
    { "account", "platform-down", platform_down },
    { "account", "platform-down-and-control-killed", platform_down_and_control_killed },
    { "account", "runner-cut", runner_cut },
    { "account", "entry-drained", entry_drained },
    { "account", "control-killed", control_killed },
    { "account", "control-of-recorder-killed", recorder_killed },
  };
  return gg_prove_main ("account", cases, G_N_ELEMENTS (cases), argc, argv);
}
