/* Guards the control process: an instance that misses a configuration, a leaving mark or an
 * account entry while parts of the platform or peers fail, and a stop that peers do not hear of. */
#include "adapters/rpc/control_client.h"
#include "base/clock.h"
#include "core/config_document.h"
#include "http_client.h"
#include "process.h"
#include "test_main.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_INSTANCES 3
#define TIMEOUT_MS 5000
#define LEAVING_MS 3000

typedef struct
{
  char name[8];
  const char *data_centre;
  char *rpc;
  char *http;
  GgProcess *process;
} Instance;

static Instance instances[N_INSTANCES + 1];
static GgProcess *platform;
static GgProcess *list;
static GgProcess *runner;
static const char *kv_address;
static const char *list_address;
static char *folder;

static char *
write_settings (const Instance *instance, const char *kv, const char *list_at, const char *seeds)
{
  char *path = g_strdup_printf ("%s/%s.ini", folder, instance->name);
  char *text = g_strdup_printf ("[instance]\nname=%s\ndata_centre=%s\n[listen]\nrpc=%s\nhttp=%s\n"
                                "[platform]\nkv=%s\nlist=%s\nlist_poll_ms=100\n"
                                "backoff_max_ms=500\n[peers]\nexchange_ms=200\nseeds=%s\n"
                                "[account]\nsave_ms=100\n",
                                instance->name, instance->data_centre, instance->rpc,
                                instance->http, kv, list_at, seeds);
  g_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  return path;
}

static void
start_instance (Instance *instance, const char *kv, const char *list_at, const char *seeds)
{
  char *path = write_settings (instance, kv, list_at, seeds);
  const char *args[] = { "--settings", path, NULL };
  instance->process = gg_process_start ("greengage-controld", args);
  g_free (path);
}

static void
publish_list (void)
{
  GString *text = g_string_new ("{\"instances\":[");
  for (int i = 0; i < N_INSTANCES; i++)
    g_string_append_printf (
        text,
        "{\"id\":\"%s\",\"incarnation\":1,\"role\":\"entry\",\"address\":\"%s\","
        "\"control\":\"%s\",\"entry_rpc\":\"%s\",\"data_centre\":\"%s\","
        "\"state\":\"live\"},",
        instances[i].name, instances[i].http, instances[i].rpc, instances[i].rpc,
        instances[i].data_centre);
  g_string_append_printf (text,
                          "{\"id\":\"r1\",\"incarnation\":1,\"role\":\"runner\",\"address\":\"%s\","
                          "\"data_centre\":\"a\",\"service\":\"moorings\",\"state\":\"live\"}]}",
                          gg_process_wait_listening (runner, TIMEOUT_MS));
  CU_ASSERT_TRUE (gg_test_send ("PUT", list_address, "/v1/instances", text->str));
  g_string_free (text, TRUE);
}

static void
publish_config (uint64_t generation)
{
  GHashTable *files = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (files, "m.ini", "[service moorings]\nkind = plain\ntimeout_ms = 2000\n");
  GgConfigDocument *document = gg_config_document_create (generation, "test", files);
  char *text = gg_config_document_format (document);
  CU_ASSERT_TRUE (gg_test_send ("PUT", kv_address, "/v1/kv/greengage/config", text));
  g_free (text);
  gg_config_document_unref (document);
  g_hash_table_unref (files);
}

static void
set_platform (const char *json)
{
  CU_ASSERT_TRUE (gg_test_send ("POST", kv_address, "/control", json));
}

/* A condition on the text of one procedure at one instance. */
typedef struct
{
  int instance;
  GgControlText which;
  const char *pattern; /* Regular expression. */
} Expectation;

static gboolean
is_met (void *data)
{
  const Expectation *expected = data;
  char *text = NULL;
  if (!gg_control_client_fetch (instances[expected->instance].rpc, expected->which, 0, 1000, &text))
    return FALSE;
  gboolean met = g_regex_match_simple (expected->pattern, text, 0, 0);
  g_free (text);
  return met;
}

static void
expect (int instance, GgControlText which, const char *pattern, uint64_t timeout_ms)
{
  Expectation expected = { instance, which, pattern };
  gboolean met = gg_wait_until (is_met, &expected, timeout_ms);
  CU_ASSERT_TRUE (met);
  if (met)
    return;
  char *text = NULL;
  gg_control_client_fetch (instances[instance].rpc, which, 0, 1000, &text);
  char *errors = gg_process_read_errors (instances[instance].process);
  fprintf (stderr, "%s: no match for %s in: %s\n%s\n", instances[instance].name, pattern, text,
           errors);
  g_free (text);
  g_free (errors);
}

static void
expect_clean_exit (const Instance *instance)
{
  CU_ASSERT_TRUE (gg_process_wait_exit (instance->process, 2 * TIMEOUT_MS));
  CU_ASSERT_EQUAL (gg_process_get_status (instance->process), 0);
  if (gg_process_get_status (instance->process) == 0)
    return;
  char *errors = gg_process_read_errors (instance->process);
  fprintf (stderr, "%s: %s\n", instance->name, errors);
  g_free (errors);
}

static int
run_ctl (int instance, const char *command, const char *argument, char **output_out)
{
  const char *args[] = { "--control", instances[instance].rpc, command, argument, NULL };
  return gg_process_run ("greengagectl", args, 10000, output_out);
}

static void
test_starts (void)
{
  for (int i = 0; i < N_INSTANCES; i++)
    start_instance (&instances[i], kv_address, list_address, "");
  expect (0, GG_CONTROL_TEXT_STATUS, "\"ready\":false", TIMEOUT_MS);
  publish_list ();
  publish_config (5);
  for (int i = 0; i < N_INSTANCES; i++)
    {
      expect (i, GG_CONTROL_TEXT_STATUS, "\"ready\":true", TIMEOUT_MS);
      expect (i, GG_CONTROL_TEXT_STATUS, "\"service\":\"moorings\",\"live\":1.*\"with_load\":1",
              TIMEOUT_MS);
      char *text = gg_test_get (instances[i].http, "/readyz");
      CU_ASSERT_PTR_NOT_NULL (text);
      g_free (text);
    }
}

static void
test_configuration_never_reverts (void)
{
  uint64_t start_ms = gg_clock_now_ms ();
  publish_config (6);
  for (int i = 0; i < N_INSTANCES; i++)
    expect (i, GG_CONTROL_TEXT_STATUS, "\"generation\":6", TIMEOUT_MS);
  CU_ASSERT_TRUE (gg_clock_now_ms () - start_ms < TIMEOUT_MS);
  publish_config (4);
  g_usleep (500 * 1000);
  for (int i = 0; i < N_INSTANCES; i++)
    expect (i, GG_CONTROL_TEXT_STATUS, "\"generation\":6", 100);
}

static void
test_starts_from_peers (void)
{
  Instance *late = &instances[N_INSTANCES];
  char *seeds = g_strjoin (";", instances[1].rpc, instances[2].rpc, NULL);
  char *dead_kv = gg_process_reserve_address ();
  char *dead_list = gg_process_reserve_address ();
  start_instance (late, dead_kv, dead_list, seeds);
  expect (N_INSTANCES, GG_CONTROL_TEXT_STATUS, "\"ready\":true.*\"generation\":6", TIMEOUT_MS);
  expect (N_INSTANCES, GG_CONTROL_TEXT_ACCOUNT, "platform-down.*does not answer:", TIMEOUT_MS);
  publish_config (7);
  expect (N_INSTANCES, GG_CONTROL_TEXT_STATUS, "\"generation\":7", TIMEOUT_MS);
  gg_process_signal (late->process, SIGTERM);
  expect_clean_exit (late);
  g_free (seeds);
  g_free (dead_kv);
  g_free (dead_list);
}

static void
test_drain_spreads (void)
{
  char *output = NULL;
  CU_ASSERT_EQUAL (run_ctl (0, "drain", "nobody", &output), 1);
  g_free (output);
  CU_ASSERT_EQUAL (run_ctl (0, "drain", "r1", NULL), 0);
  for (int i = 0; i < N_INSTANCES; i++)
    expect (i, GG_CONTROL_TEXT_STATUS, "\"live\":0,\"leaving\":1", LEAVING_MS);
  expect (1, GG_CONTROL_TEXT_ACCOUNT, "\"drain\".*r1", TIMEOUT_MS);
  CU_ASSERT_EQUAL (run_ctl (1, "status", NULL, &output), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "Entry instances: 3 live, 0 leaving"));
  g_free (output);
}

static void
test_account_survives_outage (void)
{
  set_platform ("{\"down\":1}");
  expect (0, GG_CONTROL_TEXT_STATUS, "key-value service\",\"state\":\"down\"", TIMEOUT_MS);
  char *other = NULL;
  CU_ASSERT_EQUAL (run_ctl (0, "drain", instances[0].name, &other), 0);
  g_free (other);
  Expectation at1 = { 1, GG_CONTROL_TEXT_ACCOUNT, "\"drain\",\"subject\":\"c0\"" };
  Expectation at2 = { 2, GG_CONTROL_TEXT_ACCOUNT, "\"drain\",\"subject\":\"c0\"" };
  gboolean copied = FALSE;
  for (int i = 0; i < 50 && !copied; i++)
    copied = gg_wait_until (is_met, &at1, 50) || gg_wait_until (is_met, &at2, 50);
  CU_ASSERT_TRUE (copied);
  gg_process_signal (instances[0].process, SIGKILL);
  CU_ASSERT_TRUE (gg_process_wait_exit (instances[0].process, TIMEOUT_MS));
  expect (1, GG_CONTROL_TEXT_ACCOUNT, "\"c1\"[^}]*\"platform-down\"", TIMEOUT_MS);
  set_platform ("{\"down\":0}");
  for (int i = 1; i < N_INSTANCES; i++)
    expect (i, GG_CONTROL_TEXT_ACCOUNT, "\"drain\",\"subject\":\"c0\".*\"gaps\":\\[\\]",
            TIMEOUT_MS);
  expect (1, GG_CONTROL_TEXT_ACCOUNT, "\"c1\"[^}]*platform-up[^}]*after [0-9]+ ms", TIMEOUT_MS);
}

static void
test_records (void)
{
  char *output = NULL;
  CU_ASSERT_TRUE (gg_test_send ("PUT", kv_address, "/v1/kv/greengage/ledger/t/moorings/abc",
                                "{\"state\":\"unknown\",\"owner\":\"c0\"}"));
  CU_ASSERT_TRUE (gg_test_send ("PUT", kv_address, "/v1/kv/greengage/ledger/t/moorings/def",
                                "{\"state\":\"done\"}"));
  CU_ASSERT_EQUAL (run_ctl (1, "records", NULL, &output), 0);
  CU_ASSERT_STRING_EQUAL (output, "unknown  greengage/ledger/t/moorings/abc\n");
  g_free (output);
}

static void
test_stop_is_announced (void)
{
  gg_process_signal (instances[1].process, SIGTERM);
  expect (2, GG_CONTROL_TEXT_STATUS, "\"id\":\"c1\",[^}]*\"leaving\"", LEAVING_MS);
  expect_clean_exit (&instances[1]);
  expect (2, GG_CONTROL_TEXT_ACCOUNT, "member-leaving\",\"subject\":\"c1\"", TIMEOUT_MS);
}

static void
test_usage (void)
{
  const char *no_settings[] = { NULL };
  const char *unknown[] = { "--control", "127.0.0.1:1", "stats", NULL };
  const char *unreachable[] = { "--control", "127.0.0.1:1", "status", NULL };
  char *path = write_settings (&instances[0], kv_address, "nowhere", "");
  const char *wrong[] = { "--check-settings", "--settings", path, NULL };
  char *output = NULL;
  CU_ASSERT_EQUAL (gg_process_run ("greengage-controld", no_settings, TIMEOUT_MS, NULL), 2);
  CU_ASSERT_EQUAL (gg_process_run ("greengage-controld", wrong, TIMEOUT_MS, &output), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "key 'list' = 'nowhere': expected"));
  CU_ASSERT_EQUAL (gg_process_run ("greengagectl", unknown, TIMEOUT_MS, NULL), 2);
  CU_ASSERT_EQUAL (gg_process_run ("greengagectl", unreachable, 2 * TIMEOUT_MS, NULL), 1);
  g_free (output);
  g_free (path);
}

static void
start_stand_ins (void)
{
  const char *any[] = { "--listen", "127.0.0.1:0", NULL };
  folder = g_dir_make_tmp ("gg-control-XXXXXX", NULL);
  platform = gg_process_start ("gg-fake-platform", any);
  list = gg_process_start ("gg-fake-list", any);
  runner = gg_process_start ("gg-fake-service", any);
  kv_address = gg_process_wait_listening (platform, TIMEOUT_MS);
  list_address = gg_process_wait_listening (list, TIMEOUT_MS);
  for (int i = 0; i <= N_INSTANCES; i++)
    {
      g_snprintf (instances[i].name, sizeof instances[i].name, "c%d", i);
      instances[i].data_centre = i < 2 ? "a" : "b";
      instances[i].rpc = gg_process_reserve_address ();
      instances[i].http = gg_process_reserve_address ();
    }
}

static void
remove_folder (void)
{
  for (int i = 0; i <= N_INSTANCES; i++)
    {
      char *path = g_strdup_printf ("%s/%s.ini", folder, instances[i].name);
      g_remove (path);
      g_free (path);
    }
  g_rmdir (folder);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "starts", test_starts },
    { "configuration never reverts", test_configuration_never_reverts },
    { "starts from peers", test_starts_from_peers },
    { "drain spreads", test_drain_spreads },
    { "account survives outage", test_account_survives_outage },
    { "records", test_records },
    { "stop is announced", test_stop_is_announced },
    { "usage", test_usage },
  };
  start_stand_ins ();
  int status = gg_test_run ("control", cases, G_N_ELEMENTS (cases));
  remove_folder ();
  gg_process_kill_all ();
  return status;
}
