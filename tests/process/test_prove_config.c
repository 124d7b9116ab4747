/* Promise "configuration". Guards against an accepted document that is not in force at every
 * process within 5 s, a process that reverts to an older one, and a publisher that overwrites the
 * change of another one. */
#include "base/clock.h"
#include "control_view.h"

#include "core/member.h"

#include <signal.h>
#include <string.h>

#define N_INSTANCES 6 /* three per data centre, of which two watch the document */
#define IN_FORCE_MS 5000
#define MEMBER_RETENTION_MS 2000 /* [members] hold_ms of the test clusters */
#define BOOKING_PERIOD_US (50 * 1000)
#define CONFIG_KEY "greengage/config"
#define CONFIG_PATH "/v1/kv/" CONFIG_KEY
#define PUBLISH_TIMEOUT_MS 20000
/* Delays the platform, so that both publishers read before either of them writes. */
#define CONCURRENT_DELAY "{\"delay_ms\":400}"
#define NO_DELAY "{\"delay_ms\":0}"
#define LOSE_CONFIG_REPLY "{\"lose_replies\":1,\"prefix\":\"" CONFIG_KEY "\"}"

/* Highest generation seen at each process. */
typedef struct
{
  GgTrial *trial;
  uint64_t wanted;
  uint64_t controls[N_INSTANCES];
  uint64_t entries[N_INSTANCES];
  gboolean is_stopped[N_INSTANCES]; /* stopped or killed by the case: not sampled */
} Watch;

static gboolean
begin (Watch *watch, GgProof *proof)
{
  const GgClusterOptions options = { .n_instances = N_INSTANCES };
  *watch = (Watch){ .trial = gg_trial_begin (proof, &options) };
  return watch->trial != NULL;
}

/* @seen is 0 if a process does not answer or has just started. */
static void
note_generation (Watch *watch, uint64_t *highest, uint64_t seen, const char *name)
{
  if (seen != 0 && seen < *highest)
    gg_proof_fail (watch->trial->proof, "%s reverted from generation %u to %u", name,
                   (unsigned) *highest, (unsigned) seen);
  *highest = MAX (*highest, seen);
}

static gboolean
sample (Watch *watch, uint32_t instance)
{
  uint64_t control = gg_view_control_generation (watch->trial, instance);
  uint64_t entry = gg_view_entry_generation (watch->trial, instance);
  note_generation (watch, &watch->controls[instance], control, "a control process");
  note_generation (watch, &watch->entries[instance], entry, "an entry process");
  return control >= watch->wanted && entry >= watch->wanted;
}

static gboolean
is_in_force (void *data)
{
  Watch *watch = data;
  gboolean in_force = TRUE;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    if (!watch->is_stopped[i])
      in_force = sample (watch, i) && in_force;
  return in_force;
}

static void
expect_in_force (Watch *watch)
{
  gg_trial_expect_until (watch->trial, is_in_force, watch, IN_FORCE_MS,
                         "the configuration is in force everywhere");
  gg_trial_note_recovered (watch->trial);
}

/* Returns the document stored at the platform, owned by the caller. */
static char *
read_document (const Watch *watch)
{
  char *reply = gg_test_get (watch->trial->cluster->kv, CONFIG_PATH);
  GMatchInfo *match = NULL;
  GRegex *regex = g_regex_new ("\"Value\":\"([^\"]*)\"", 0, 0, NULL);
  char *document = NULL;
  if (reply && g_regex_match (regex, reply, 0, &match))
    {
      char *value = g_match_info_fetch (match, 1);
      gsize size = 0;
      guchar *bytes = g_base64_decode (value, &size);
      document = g_strndup ((const char *) bytes, size);
      g_free (bytes);
      g_free (value);
    }
  g_clear_pointer (&match, g_match_info_free);
  g_regex_unref (regex);
  g_free (reply);
  return document;
}

static uint64_t
read_generation (const Watch *watch)
{
  char *document = read_document (watch);
  const char *at = document ? strstr (document, "\"generation\":") : NULL;
  uint64_t generation = at ? g_ascii_strtoull (at + strlen ("\"generation\":"), NULL, 10) : 0;
  g_free (document);
  return generation;
}

static void
declare_service (Watch *watch, const char *file, const char *service)
{
  char *text = g_strdup_printf ("[service %s]\nkind = plain\ntimeout_ms = 900\n", service);
  gg_cluster_write_declaration (watch->trial->cluster, file, text);
  g_free (text);
}

/* Publishes one more service, without waiting until it is in force. */
static void
publish (Watch *watch, const char *service)
{
  char *file = g_strdup_printf ("%s.ini", service);
  char *output = NULL;
  declare_service (watch, file, service);
  watch->wanted = read_generation (watch) + 1;
  int status = gg_cluster_publish_config (watch->trial->cluster, &output);
  gg_trial_note_fault (watch->trial);
  if (status != 0)
    gg_proof_fail (watch->trial->proof, "greengage-publish ended with %d: %s", status, output);
  gg_proof_check (watch->trial->proof, read_generation (watch) == watch->wanted);
  g_free (output);
  g_free (file);
}

static void
finish (Watch *watch)
{
  gg_booking_expect (gg_trial_book (watch->trial, 0, "last", "last"), "complete");
  gg_trial_end (watch->trial);
}

static void
no_fault (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  publish (&watch, "fees");
  expect_in_force (&watch);
  finish (&watch);
}

/* An operator who publishes a copy of the declarations with one changed file. */
typedef struct
{
  const char *folder;
  const char *file;
  const char *service;
  GgProcess *process;
} Operator;

static void
copy_declarations (Watch *watch, const char *folder)
{
  GgCluster *cluster = watch->trial->cluster;
  GDir *files = g_dir_open (cluster->services_folder, 0, NULL);
  const char *name = NULL;
  while ((name = g_dir_read_name (files)))
    {
      char *from = g_build_filename (cluster->services_folder, name, NULL);
      char *to = g_build_filename ("..", folder, name, NULL);
      char *text = NULL;
      gg_proof_check (watch->trial->proof, g_file_get_contents (from, &text, NULL, NULL));
      gg_cluster_write_declaration (cluster, to, text);
      g_free (text);
      g_free (from);
      g_free (to);
    }
  g_dir_close (files);
}

static void
start_operator (Watch *watch, Operator *operator)
{
  GgCluster *cluster = watch->trial->cluster;
  copy_declarations (watch, operator->folder);
  char *file = g_build_filename ("..", operator->folder, operator->file, NULL);
  declare_service (watch, file, operator->service);
  char *folder = g_build_filename (cluster->folder, operator->folder, NULL);
  const char *args[] = { "--kv", cluster->kv, "--prefix", "authority", folder, NULL };
  operator->process = gg_process_start ("greengage-publish", args);
  g_free (folder);
  g_free (file);
}

/* Lets both operators publish at the same time, each with a change of one file; @n_accepted of the
 * two documents must be accepted. */
static void
publish_concurrently (Watch *watch, Operator *operators, guint n_accepted)
{
  declare_service (watch, "stalls.ini", "stalls");
  publish (watch, "fees");
  watch->wanted += n_accepted;
  gg_trial_control_platform (watch->trial, CONCURRENT_DELAY);
  for (int i = 0; i < 2; i++)
    start_operator (watch, &operators[i]);
  for (int i = 0; i < 2; i++)
    gg_proof_check (watch->trial->proof,
                    gg_process_wait_exit (operators[i].process, PUBLISH_TIMEOUT_MS));
  gg_trial_note_fault (watch->trial);
  gg_trial_control_platform (watch->trial, NO_DELAY);
}

static void
two_publishers_merge (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  Operator operators[]
      = { { "east", "fees.ini", "guild", NULL }, { "west", "stalls.ini", "fair", NULL } };
  publish_concurrently (&watch, operators, 2);
  for (int i = 0; i < 2; i++)
    {
      gg_proof_check (proof, gg_process_get_status (operators[i].process) == 0);
      gg_process_destroy (operators[i].process);
    }
  expect_in_force (&watch);
  gg_view_expect (watch.trial, 0, GG_CONTROL_TEXT_CONFIG, "service guild", IN_FORCE_MS);
  gg_view_expect (watch.trial, 0, GG_CONTROL_TEXT_CONFIG, "service fair", IN_FORCE_MS);
  finish (&watch);
}

static void
two_publishers_conflict (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  Operator operators[]
      = { { "east", "fees.ini", "guild", NULL }, { "west", "fees.ini", "fair", NULL } };
  publish_concurrently (&watch, operators, 1);
  int failed = gg_process_get_status (operators[0].process) == 0 ? 1 : 0;
  char *errors = gg_process_read_errors (operators[failed].process);
  gg_proof_check (proof, gg_process_get_status (operators[1 - failed].process) == 0);
  gg_proof_check (proof, gg_process_get_status (operators[failed].process) == 1);
  gg_proof_check (proof, strstr (errors, "conflict") && strstr (errors, "authority/fees.ini"));
  gg_proof_check (proof, read_generation (&watch) == watch.wanted);
  expect_in_force (&watch);
  gg_view_expect (watch.trial, 0, GG_CONTROL_TEXT_CONFIG, operators[1 - failed].service,
                  IN_FORCE_MS);
  g_free (errors);
  for (int i = 0; i < 2; i++)
    gg_process_destroy (operators[i].process);
  finish (&watch);
}

static void
signal_control (Watch *watch, uint32_t instance, int number)
{
  gg_process_signal (watch->trial->cluster->instances[instance].control, number);
}

static void
signal_entry (Watch *watch, uint32_t instance, int number)
{
  gg_process_signal (watch->trial->cluster->instances[instance].entry, number);
}

/* A process is paused while the others accept a document, and must accept it when it continues. */
static void
test_paused (GgProof *proof, void (*send) (Watch *watch, uint32_t instance, int number))
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  send (&watch, 0, SIGSTOP);
  watch.is_stopped[0] = TRUE;
  publish (&watch, "fees");
  expect_in_force (&watch);
  watch.is_stopped[0] = FALSE;
  gg_trial_note_fault (watch.trial);
  send (&watch, 0, SIGCONT);
  expect_in_force (&watch);
  finish (&watch);
}

static void
control_paused (GgProof *proof)
{
  test_paused (proof, signal_control);
}

static void
entry_paused (GgProof *proof)
{
  test_paused (proof, signal_entry);
}

static void
kill_control (Watch *watch, uint32_t instance)
{
  signal_control (watch, instance, SIGKILL);
  gg_proof_check (
      watch->trial->proof,
      gg_process_wait_exit (watch->trial->cluster->instances[instance].control, IN_FORCE_MS));
  watch->is_stopped[instance] = TRUE;
}

static void
restart_control (Watch *watch, uint32_t instance)
{
  watch->controls[instance] = 0;
  watch->is_stopped[instance] = FALSE;
  gg_trial_note_fault (watch->trial);
  gg_cluster_start_control (watch->trial->cluster, instance);
}

static void
control_killed (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  kill_control (&watch, 0);
  publish (&watch, "fees");
  expect_in_force (&watch);
  restart_control (&watch, 0);
  expect_in_force (&watch);
  finish (&watch);
}

static void
control_killed_twice (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  kill_control (&watch, 0);
  restart_control (&watch, 0);
  publish (&watch, "fees");
  kill_control (&watch, 0);
  expect_in_force (&watch);
  restart_control (&watch, 0);
  expect_in_force (&watch);
  finish (&watch);
}

/* Finds the instances of the first data centre that watch the document. */
static void
find_watchers (const Watch *watch, gboolean *is_watcher_out)
{
  GgMemberTable *table = gg_member_table_create (0);
  GgMember members[N_INSTANCES];
  const GgClusterInstance *instances = watch->trial->cluster->instances;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    members[i] = (GgMember){ .id = instances[i].name,
                             .incarnation = 1,
                             .role = GG_MEMBER_ENTRY,
                             .data_centre = (char *) instances[i].data_centre };
  gg_member_table_apply_list (table, members, N_INSTANCES, 1);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      int rank = gg_member_table_get_rank (table, instances[0].data_centre, CONFIG_KEY,
                                           instances[i].name);
      is_watcher_out[i] = rank == 0 || rank == 1;
    }
  gg_member_table_destroy (table);
}

/* The other instances of the data centre must get the document from another data centre. */
static void
watchers_paused (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  find_watchers (&watch, watch.is_stopped);
  guint n = 0;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    if (watch.is_stopped[i])
      {
        signal_control (&watch, i, SIGSTOP);
        n++;
      }
  gg_proof_check (proof, n == 2);
  publish (&watch, "fees");
  expect_in_force (&watch);
  int64_t first_ms = proof->recovery_ms;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    signal_control (&watch, i, SIGCONT);
  memset (watch.is_stopped, 0, sizeof watch.is_stopped);
  expect_in_force (&watch);
  proof->recovery_ms = first_ms;
  finish (&watch);
}

/* Guards against an entry process that drops its runners because a restarted control process, which
 * has not read a list yet, reports none. */
static void
control_killed_and_list_silent (GgProof *proof)
{
  const GgClusterOptions options = { .n_instances = 1 };
  Watch watch = { .trial = gg_trial_begin (proof, &options) };
  if (watch.trial == NULL)
    return;
  kill_control (&watch, 0);
  gg_process_signal (watch.trial->cluster->list_process, SIGSTOP);
  restart_control (&watch, 0);
  for (uint64_t end = gg_clock_now_ms () + MEMBER_RETENTION_MS; gg_clock_now_ms () < end;)
    {
      gg_booking_expect (gg_trial_chat (watch.trial, 0), "complete");
      g_usleep (BOOKING_PERIOD_US);
    }
  gg_process_signal (watch.trial->cluster->list_process, SIGCONT);
  gg_trial_repeat_until (watch.trial, 0, "last", "last", "complete");
  gg_trial_end (watch.trial);
}

/* A control process is paused while a document is published and continues during an outage of the
 * platform; it must get the document from peers. */
static void
control_paused_and_platform_down (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  signal_control (&watch, 0, SIGSTOP);
  watch.is_stopped[0] = TRUE;
  publish (&watch, "fees");
  expect_in_force (&watch);
  gg_trial_control_platform (watch.trial, GG_TRIAL_DOWN);
  watch.is_stopped[0] = FALSE;
  gg_trial_note_fault (watch.trial);
  signal_control (&watch, 0, SIGCONT);
  expect_in_force (&watch);
  gg_trial_control_platform (watch.trial, GG_TRIAL_UP);
  gg_trial_repeat_until (watch.trial, 0, "last", "last", "complete");
  gg_trial_end (watch.trial);
}

/* Both processes of an instance start without any state during an outage of the platform. */
static void
fresh_instance_and_platform_down (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  publish (&watch, "fees");
  expect_in_force (&watch);
  kill_control (&watch, 0);
  signal_entry (&watch, 0, SIGKILL);
  gg_trial_control_platform (watch.trial, GG_TRIAL_DOWN);
  restart_control (&watch, 0);
  watch.entries[0] = 0;
  gg_cluster_start_entry (watch.trial->cluster, 0);
  expect_in_force (&watch);
  gg_proof_check (proof, gg_cluster_wait_ready (watch.trial->cluster, 0, IN_FORCE_MS));
  gg_trial_control_platform (watch.trial, GG_TRIAL_UP);
  gg_trial_repeat_until (watch.trial, 0, "last", "last", "complete");
  gg_trial_end (watch.trial);
}

static void
reply_lost (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  gg_trial_control_platform (watch.trial, LOSE_CONFIG_REPLY);
  publish (&watch, "fees");
  gg_trial_wait_lost_reply (watch.trial);
  expect_in_force (&watch);
  finish (&watch);
}

static void
platform_slow (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  gg_trial_control_platform (watch.trial, "{\"delay_ms\":500}");
  publish (&watch, "fees");
  gg_trial_note_fault (watch.trial);
  expect_in_force (&watch);
  gg_trial_control_platform (watch.trial, NO_DELAY);
  finish (&watch);
}

/* The exit status of the publisher must be right: 1 and nothing published during the outage,
 * success and in force afterwards. */
static void
platform_down (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  GgCluster *cluster = watch.trial->cluster;
  uint64_t before = read_generation (&watch);
  declare_service (&watch, "fees.ini", "fees");
  gg_trial_control_platform (watch.trial, GG_TRIAL_DOWN);
  const char *args[]
      = { "--kv", cluster->kv, "--prefix", "authority", "--timeout", "1", cluster->services_folder,
          NULL };
  gg_proof_check (proof, gg_process_run ("greengage-publish", args, PUBLISH_TIMEOUT_MS, NULL) == 1);
  gg_trial_control_platform (watch.trial, GG_TRIAL_UP);
  gg_proof_check (proof, read_generation (&watch) == before);
  publish (&watch, "fees");
  expect_in_force (&watch);
  finish (&watch);
}

static gboolean
has_document (void *data)
{
  Watch *watch = data;
  (void) is_in_force (watch);
  return gg_view_control_generation (watch->trial, 0) != 0;
}

/* The platform returns an older document again, and a control process starts from it; it must get
 * the newest one from peers. */
static void
older_document (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  char *older = read_document (&watch);
  publish (&watch, "fees");
  expect_in_force (&watch);
  uint64_t newest = watch.wanted;
  kill_control (&watch, 0);
  gg_proof_check (proof, gg_test_send ("PUT", watch.trial->cluster->kv, CONFIG_PATH, older));
  restart_control (&watch, 0);
  gg_trial_expect_until (watch.trial, has_document, &watch, IN_FORCE_MS, "it has a document");
  watch.wanted = newest;
  expect_in_force (&watch);
  /* After a watch and several exchanges, still no process has reverted. */
  uint64_t end_ms = gg_clock_now_ms () + 1000;
  while (gg_clock_now_ms () < end_ms)
    gg_proof_check (proof, is_in_force (&watch));
  g_free (older);
  finish (&watch);
}

static void
set_listed (Watch *watch, GgListed listed)
{
  GgCluster *cluster = watch->trial->cluster;
  for (uint32_t i = 0; i < GG_CLUSTER_RUNNERS; i++)
    cluster->runners[i].listed = listed;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    cluster->instances[i].listed = listed;
  gg_proof_check (watch->trial->proof, gg_cluster_publish_list (cluster));
}

/* Sends bookings to all instances, for three times as long as missing members are kept; all must
 * complete. */
static void
book_past_retention (Watch *watch)
{
  uint64_t end_ms = gg_clock_now_ms () + 3 * MEMBER_RETENTION_MS;
  while (gg_clock_now_ms () < end_ms)
    {
      guint n = watch->trial->bookings->len;
      char *name = g_strdup_printf ("held-%u", n);
      gg_booking_expect (gg_trial_book (watch->trial, n % N_INSTANCES, name, name), "complete");
      g_free (name);
      g_usleep (BOOKING_PERIOD_US);
    }
}

static void
list_empty (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  set_listed (&watch, GG_LISTED_ABSENT);
  gg_trial_note_fault (watch.trial);
  publish (&watch, "fees");
  expect_in_force (&watch);
  book_past_retention (&watch);
  publish (&watch, "stalls");
  expect_in_force (&watch);
  set_listed (&watch, GG_LISTED_LIVE);
  publish (&watch, "notices");
  expect_in_force (&watch);
  finish (&watch);
}

/* The list is outdated and does not contain the instance that starts. */
static void
list_lags (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  GgCluster *cluster = watch.trial->cluster;
  cluster->instances[0].listed = GG_LISTED_ABSENT;
  gg_proof_check (proof, gg_cluster_publish_list (cluster));
  gg_proof_check (proof, gg_test_send ("POST", cluster->list, "/control", "{\"lag_ms\":600000}"));
  kill_control (&watch, 0);
  signal_entry (&watch, 0, SIGKILL);
  cluster->instances[0].listed = GG_LISTED_LIVE;
  cluster->instances[0].incarnation++;
  gg_proof_check (proof, gg_cluster_publish_list (cluster));
  publish (&watch, "fees");
  restart_control (&watch, 0);
  watch.entries[0] = 0;
  gg_cluster_start_entry (cluster, 0);
  expect_in_force (&watch);
  publish (&watch, "stalls");
  expect_in_force (&watch);
  gg_proof_check (proof, gg_cluster_wait_ready (cluster, 0, IN_FORCE_MS));
  finish (&watch);
}

static void
append_publish (Watch *watch, GgGolden *golden, const char *base)
{
  GgCluster *cluster = watch->trial->cluster;
  const char *args[] = {
    "--kv", cluster->kv, "--prefix", "authority", cluster->services_folder, base ? "--base" : NULL,
    base,   NULL
  };
  char *output = NULL;
  int status = gg_process_run ("greengage-publish", args, PUBLISH_TIMEOUT_MS, &output);
  gg_golden_append (golden, "greengage-publish%s%s: exit %d\n%s\n", base ? " --base " : "",
                    base ? base : "", status, output);
  g_free (output);
}

static void
append_generations (Watch *watch, GgGolden *golden)
{
  watch->wanted = read_generation (watch);
  gg_trial_note_fault (watch->trial);
  expect_in_force (watch);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    gg_golden_append (golden, "%s: controld %u, entryd %u\n",
                      watch->trial->cluster->instances[i].name,
                      (unsigned) gg_view_control_generation (watch->trial, i),
                      (unsigned) gg_view_entry_generation (watch->trial, i));
  gg_golden_append (golden, "\n");
}

/* Golden session: what the operators and the platform received, and the configuration in force. */
static void
session (GgProof *proof)
{
  Watch watch;
  if (!begin (&watch, proof))
    return;
  GgGolden *golden = gg_golden_create ("config");
  declare_service (&watch, "fees.ini", "fees");
  append_publish (&watch, golden, NULL);
  append_generations (&watch, golden);
  append_publish (&watch, golden, NULL);
  declare_service (&watch, "fees.ini", "guild");
  append_publish (&watch, golden, "1");
  append_publish (&watch, golden, "2");
  append_generations (&watch, golden);
  gg_trial_append_calls (watch.trial, golden, 0, CONFIG_KEY);
  gg_golden_finish (golden, proof);
  finish (&watch);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "config", "none", no_fault },
    { "config", "two-publishers-disjoint-files", two_publishers_merge },
    { "config", "two-publishers-same-file", two_publishers_conflict },
    { "config", "control-paused", control_paused },
    { "config", "entry-paused", entry_paused },
    { "config", "control-killed", control_killed },
    { "config", "control-killed-twice", control_killed_twice },
    { "config", "control-killed-and-list-silent", control_killed_and_list_silent },
    { "config", "watchers-paused", watchers_paused },
    { "config", "control-paused-and-platform-down", control_paused_and_platform_down },
    { "config", "fresh-instance-and-platform-down", fresh_instance_and_platform_down },
    { "config", "publish-reply-lost", reply_lost },
    { "config", "platform-slow", platform_slow },
    { "config", "platform-down", platform_down },
    { "config", "older-document", older_document },
    { "config", "list-empty", list_empty },
    { "config", "list-lags", list_lags },
    { "config", "session", session },
  };
  return gg_prove_main ("config", cases, G_N_ELEMENTS (cases), argc, argv);
}
