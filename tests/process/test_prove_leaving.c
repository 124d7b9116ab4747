/* Promise "leaving". Guards against a runner that gets new work more than 3 s after the first
 * source reported it as leaving, and against a leaving entry instance that still collects loads or
 * watches the configuration. */
#include "base/clock.h"
#include "control_view.h"

#include <signal.h>
#include <string.h>

#define N_INSTANCES 6 /* three per data centre, of which two watch the configuration */
#define LEAVING_MS 3000
#define CALLS_AFTER 60
/* Makes the other runners slower, so that routing prefers the one under test. */
#define SLOWER_DELAY "{\"delay_ms\":10}"
#define CALL_PERIOD_US (10 * 1000)
#define SERVICE GG_CLUSTER_ENGINES
#define ENGINE 0

typedef struct
{
  GgTrial *trial;
  uint32_t runner;
  guint n_calls;
} Traffic;

static gboolean
begin (Traffic *traffic, GgProof *proof, uint32_t runner)
{
  const GgClusterOptions options = { .n_instances = N_INSTANCES };
  *traffic = (Traffic){ .trial = gg_trial_begin (proof, &options), .runner = runner };
  if (!traffic->trial)
    return FALSE;
  uint32_t first = runner < GG_CLUSTER_ENGINES ? 0 : GG_CLUSTER_ENGINES;
  uint32_t end = runner < GG_CLUSTER_ENGINES ? GG_CLUSTER_ENGINES : GG_CLUSTER_RUNNERS;
  for (uint32_t i = first; i < end; i++)
    if (i != runner)
      gg_proof_check (proof, gg_cluster_control_runner (traffic->trial->cluster, i, SLOWER_DELAY));
  return TRUE;
}

/* Sends a call through the next instance in turn; it must be complete. */
static void
send_call (Traffic *traffic)
{
  uint32_t instance = traffic->n_calls++ % N_INSTANCES;
  char *name = g_strdup_printf ("call-%u", traffic->n_calls);
  GgBooking *booking = traffic->runner < GG_CLUSTER_ENGINES
                           ? gg_trial_chat (traffic->trial, instance)
                           : gg_trial_book (traffic->trial, instance, NULL, name);
  gg_booking_expect (booking, "complete");
  g_free (name);
  g_usleep (CALL_PERIOD_US);
}

/* Counts the work accepted by the runner, as lines of its records. */
static guint
count_work (const Traffic *traffic)
{
  char *text = gg_test_get (traffic->trial->cluster->runners[traffic->runner].address, "/records");
  guint n = 0;
  for (const char *at = text ? strchr (text, '\n') : NULL; at; at = strchr (at + 1, '\n'))
    n++;
  g_free (text);
  return n;
}

static guint64
read_counter (const char *address, const char *name)
{
  char *text = gg_test_get (address, "/metrics");
  char *pattern = g_strdup_printf ("\n%s ", name);
  const char *at = text ? strstr (text, pattern) : NULL;
  guint64 value = at ? g_ascii_strtoull (at + strlen (pattern), NULL, 10) : 0;
  g_free (pattern);
  g_free (text);
  return value;
}

/* Counts the calls refused by runners, over all instances. */
static guint64
count_refusals (const Traffic *traffic)
{
  static const char engine_refusals[] = "greengage_stage_failures_total{result=\"refused\"}";
  guint64 n = 0;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      const char *address = traffic->trial->cluster->instances[i].callers;
      n += read_counter (address, "greengage_retries_total")
           + read_counter (address, engine_refusals);
    }
  return n;
}

/* Sends calls until the runner gets work. */
static void
expect_in_use (Traffic *traffic)
{
  guint before = count_work (traffic);
  uint64_t deadline_ms = gg_clock_now_ms () + GG_TRIAL_WAIT_MS;
  while (count_work (traffic) == before && gg_clock_now_ms () < deadline_ms)
    send_call (traffic);
  gg_proof_check (traffic->trial->proof, count_work (traffic) > before);
}

/* Sends calls for 3 s after the fault. After that time the runner must not be called any more, not
 * even to refuse the call. The recovery time is that of the last work which it got. */
static void
expect_no_new_work (Traffic *traffic)
{
  GgTrial *trial = traffic->trial;
  guint n = count_work (traffic);
  gg_trial_note_recovered (trial);
  while (gg_clock_now_ms () < trial->fault_ms + LEAVING_MS)
    {
      send_call (traffic);
      if (count_work (traffic) == n)
        continue;
      n = count_work (traffic);
      gg_trial_note_recovered (trial);
    }
  guint64 refusals = count_refusals (traffic);
  for (int i = 0; i < CALLS_AFTER; i++)
    send_call (traffic);
  gg_proof_check (trial->proof, count_work (traffic) == n);
  gg_proof_check (trial->proof, count_refusals (traffic) == refusals);
}

static void
list_leaving (Traffic *traffic)
{
  traffic->trial->cluster->runners[traffic->runner].listed = GG_LISTED_LEAVING;
  gg_proof_check (traffic->trial->proof, gg_cluster_publish_list (traffic->trial->cluster));
}

static void
refuse (Traffic *traffic)
{
  gg_proof_check (
      traffic->trial->proof,
      gg_cluster_control_runner (traffic->trial->cluster, traffic->runner, "{\"leaving\":true}"));
}

/* Drains the runner with greengagectl; the list still shows it as live. */
static void
drain (Traffic *traffic)
{
  const char *args[] = { "drain", traffic->trial->cluster->runners[traffic->runner].id, NULL };
  gg_proof_check (traffic->trial->proof,
                  gg_view_run_ctl (traffic->trial, N_INSTANCES - 1, args, NULL) == 0);
}

typedef void (*Source) (Traffic *traffic);

static void
run_source (GgProof *proof, uint32_t runner, Source source)
{
  Traffic traffic;
  if (!begin (&traffic, proof, runner))
    return;
  expect_in_use (&traffic);
  gg_trial_note_fault (traffic.trial);
  source (&traffic);
  expect_no_new_work (&traffic);
  gg_trial_end (traffic.trial);
}

static void
service_by_list (GgProof *proof)
{
  run_source (proof, SERVICE, list_leaving);
}

static void
service_by_refusal (GgProof *proof)
{
  run_source (proof, SERVICE, refuse);
}

static void
service_by_operator (GgProof *proof)
{
  run_source (proof, SERVICE, drain);
}

static void
engine_by_list (GgProof *proof)
{
  run_source (proof, ENGINE, list_leaving);
}

static void
engine_by_refusal (GgProof *proof)
{
  run_source (proof, ENGINE, refuse);
}

static void
engine_by_operator (GgProof *proof)
{
  run_source (proof, ENGINE, drain);
}

/* A new incarnation with the same id gets work, although the old one stays marked as leaving. */
static void
new_incarnation (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  gg_trial_note_fault (traffic.trial);
  drain (&traffic);
  expect_no_new_work (&traffic);
  gg_trial_note_fault (traffic.trial);
  traffic.trial->cluster->runners[SERVICE].incarnation++;
  gg_proof_check (proof, gg_cluster_publish_list (traffic.trial->cluster));
  expect_in_use (&traffic);
  gg_trial_note_recovered (traffic.trial);
  gg_trial_end (traffic.trial);
}

/* The mark must spread during an outage of the platform. */
static void
operator_and_platform_down (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  expect_in_use (&traffic);
  gg_trial_control_platform (traffic.trial, GG_TRIAL_DOWN);
  gg_trial_note_fault (traffic.trial);
  drain (&traffic);
  expect_no_new_work (&traffic);
  gg_trial_control_platform (traffic.trial, GG_TRIAL_UP);
  gg_trial_end (traffic.trial);
}

static void
refusal_and_control_killed (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  expect_in_use (&traffic);
  gg_process_signal (traffic.trial->cluster->instances[0].control, SIGKILL);
  gg_trial_note_fault (traffic.trial);
  refuse (&traffic);
  expect_no_new_work (&traffic);
  gg_trial_end (traffic.trial);
}

static void
refusal_and_control_paused (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  expect_in_use (&traffic);
  gg_process_signal (traffic.trial->cluster->instances[0].control, SIGSTOP);
  gg_trial_note_fault (traffic.trial);
  refuse (&traffic);
  expect_no_new_work (&traffic);
  gg_process_signal (traffic.trial->cluster->instances[0].control, SIGCONT);
  gg_trial_end (traffic.trial);
}

/* An instance that is paused while the mark spreads must receive it when it continues. */
static void
operator_and_control_paused (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  gg_process_signal (traffic.trial->cluster->instances[0].control, SIGSTOP);
  drain (&traffic);
  gg_trial_note_fault (traffic.trial);
  gg_process_signal (traffic.trial->cluster->instances[0].control, SIGCONT);
  expect_no_new_work (&traffic);
  gg_trial_end (traffic.trial);
}

static void
list_and_empty_list (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  expect_in_use (&traffic);
  gg_trial_note_fault (traffic.trial);
  list_leaving (&traffic);
  gg_view_expect (traffic.trial, 0, GG_CONTROL_TEXT_STATUS,
                  "\"service\":\"moorings\",\"live\":1,\"leaving\":1", LEAVING_MS);
  gg_proof_check (proof, gg_test_send ("PUT", traffic.trial->cluster->list, "/v1/instances",
                                       "{\"instances\":[]}"));
  expect_no_new_work (&traffic);
  gg_trial_end (traffic.trial);
}

typedef struct
{
  GgTrial *trial;
  uint32_t instance;
} LeavingEntry;

static const char *
get_metrics_address (const LeavingEntry *entry)
{
  return entry->trial->cluster->instances[entry->instance].control_http;
}

static guint64
count_watches (const LeavingEntry *entry)
{
  return read_counter (get_metrics_address (entry), "greengage_config_watches_total");
}

static gboolean
has_no_assigned_runners (void *data)
{
  const LeavingEntry *entry = data;
  return read_counter (get_metrics_address (entry), "greengage_load_assigned_runners") == 0;
}

/* Expects that the leaving instance collects no loads and does not watch the configuration, and
 * that it still receives a new document, through its peers. */
static void
expect_not_chosen (LeavingEntry *entry)
{
  GgTrial *trial = entry->trial;
  gg_trial_expect_until (trial, has_no_assigned_runners, entry, LEAVING_MS,
                         "the instance collects no loads");
  gg_trial_note_recovered (trial);
  uint64_t end_ms = trial->fault_ms + LEAVING_MS;
  uint64_t now_ms = gg_clock_now_ms ();
  if (now_ms < end_ms)
    g_usleep ((end_ms - now_ms) * 1000);
  guint64 watches = count_watches (entry);
  gg_cluster_write_declaration (trial->cluster, "fees.ini",
                                "[service fees]\nkind = plain\ntimeout_ms = 900\n");
  gg_proof_check (trial->proof, gg_cluster_publish_config (trial->cluster, NULL) == 0);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    gg_view_expect (trial, i, GG_CONTROL_TEXT_CONFIG, "service fees", GG_TRIAL_WAIT_MS);
  gg_proof_check (trial->proof, count_watches (entry) == watches);
}

/* Finds an instance that collects loads and watches the configuration. */
static gboolean
find_active_entry (void *data)
{
  LeavingEntry *entry = data;
  for (entry->instance = 0; entry->instance < N_INSTANCES; entry->instance++)
    if (!has_no_assigned_runners (entry) && count_watches (entry) > 1)
      return TRUE;
  return FALSE;
}

static void
run_leaving_entry (GgProof *proof, void (*mark) (const LeavingEntry *entry))
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  LeavingEntry entry = { .trial = traffic.trial };
  if (gg_proof_check (proof, gg_wait_until (find_active_entry, &entry, GG_TRIAL_WAIT_MS)))
    {
      gg_trial_note_fault (traffic.trial);
      mark (&entry);
      expect_not_chosen (&entry);
    }
  gg_trial_end (traffic.trial);
}

static void
drain_entry (const LeavingEntry *entry)
{
  const GgCluster *cluster = entry->trial->cluster;
  const char *args[] = { "drain", cluster->instances[entry->instance].name, NULL };
  uint32_t other = (entry->instance + 1) % N_INSTANCES;
  gg_proof_check (entry->trial->proof, gg_view_run_ctl (entry->trial, other, args, NULL) == 0);
}

static void
entry_by_operator (GgProof *proof)
{
  run_leaving_entry (proof, drain_entry);
}

static void
list_entry (const LeavingEntry *entry)
{
  GgCluster *cluster = entry->trial->cluster;
  cluster->instances[entry->instance].listed = GG_LISTED_LEAVING;
  gg_proof_check (entry->trial->proof, gg_cluster_publish_list (cluster));
}

static void
entry_by_list (GgProof *proof)
{
  run_leaving_entry (proof, list_entry);
}

static void
stop_entry (const LeavingEntry *entry)
{
  gg_process_signal (entry->trial->cluster->instances[entry->instance].entry, SIGTERM);
}

static void
entry_by_stop (GgProof *proof)
{
  run_leaving_entry (proof, stop_entry);
}

/* Golden session: what the operator, the callers, the services and the platform received. */
static void
session (GgProof *proof)
{
  Traffic traffic;
  if (!begin (&traffic, proof, SERVICE))
    return;
  GgTrial *trial = traffic.trial;
  GgGolden *golden = gg_golden_create ("leaving");
  const char *args[] = { "drain", trial->cluster->runners[SERVICE].id, NULL };
  char *output = NULL;
  int status = gg_view_run_ctl (trial, N_INSTANCES - 1, args, &output);
  gg_golden_append (golden, "greengagectl drain at instance %d: exit %d\n%s\n", N_INSTANCES - 1,
                    status, output);
  g_free (output);
  gg_trial_note_fault (trial);
  expect_no_new_work (&traffic);
  guint first = trial->bookings->len;
  guint before = count_work (&traffic);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      char *name = g_strdup_printf ("after the drain %u", i);
      gg_trial_append_booking (golden, gg_trial_book (trial, i, name, name));
      g_free (name);
    }
  gg_golden_append (golden, "calls of the runner that leaves: %u\n",
                    count_work (&traffic) - before);
  gg_trial_append_calls (trial, golden, first, "greengage/ledger/");
  gg_golden_finish (golden, proof);
  gg_trial_end (trial);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "leaving", "service-by-list", service_by_list },
    { "leaving", "service-by-refusal", service_by_refusal },
    { "leaving", "service-by-operator", service_by_operator },
    { "leaving", "engine-by-list", engine_by_list },
    { "leaving", "engine-by-refusal", engine_by_refusal },
    { "leaving", "engine-by-operator", engine_by_operator },
    { "leaving", "new-incarnation", new_incarnation },
    { "leaving", "operator-and-platform-down", operator_and_platform_down },
    { "leaving", "refusal-and-control-killed", refusal_and_control_killed },
    { "leaving", "refusal-and-control-paused", refusal_and_control_paused },
    { "leaving", "operator-and-control-paused", operator_and_control_paused },
    { "leaving", "list-and-empty-list", list_and_empty_list },
    { "leaving", "entry-by-operator", entry_by_operator },
    { "leaving", "entry-by-list", entry_by_list },
    { "leaving", "entry-by-stop", entry_by_stop },
    { "leaving", "session", session },
  };
  return gg_prove_main ("leaving", cases, G_N_ELEMENTS (cases), argc, argv);
}
