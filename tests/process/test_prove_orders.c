/* Guards against runners that use another model version than the one in force. A delayed order of a
 * paused issuer arrives after a newer one: a runner that checks fencing tokens must reject it, one
 * that ignores them must be ordered back to the version in force, and no answer may come from a
 * wrong version. */
#include "base/clock.h"
#include "cluster.h"
#include "prove.h"

#include <signal.h>
#include <string.h>

#define IN_FORCE_MS 5000
#define CHAT_TIMEOUT_MS 8000

#define BEARER "Bearer " GG_CLUSTER_SCHOOLS_KEY
static const char *const headers[] = { "Authorization", BEARER, NULL };

/* Publishes the declaration of the model "reader" with another version. */
static void
publish_version (GgProof *proof, GgCluster *cluster, const char *version)
{
  char *path = g_build_filename (cluster->services_folder, "reader.ini", NULL);
  char *text = NULL;
  gg_proof_check (proof, g_file_get_contents (path, &text, NULL, NULL));
  GKeyFile *file = g_key_file_new ();
  gg_proof_check (proof, g_key_file_load_from_data (file, text, strlen (text), 0, NULL));
  g_key_file_set_string (file, "service reader", "version", version);
  gg_proof_check (proof, g_key_file_save_to_file (file, path, NULL));
  gg_proof_check (proof, gg_cluster_publish_config (cluster, NULL) == 0);
  g_key_file_free (file);
  g_free (text);
  g_free (path);
}

static gboolean
has_version (const GgClusterRunner *runner, const char *version)
{
  char *body = gg_test_get (runner->address, "/v1/load");
  char *expected = g_strdup_printf ("\"version\":\"%s\"", version);
  gboolean found = body != NULL && strstr (body, expected) != NULL;
  g_free (expected);
  g_free (body);
  return found;
}

typedef struct
{
  GgCluster *cluster;
  const char *version;
} Expectation;

static gboolean
all_have_version (void *data)
{
  const Expectation *e = data;
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    if (!has_version (&e->cluster->runners[i], e->version))
      return FALSE;
  return TRUE;
}

static gboolean
chat_succeeds (void *data)
{
  GgCluster *cluster = data;
  GgHttpReply reply = { 0 };
  const char *body = "{\"model\":\"reader\",\"prompt\":\"x\",\"max_tokens\":4}";
  gboolean ok = gg_test_call ("POST", cluster->instances[0].callers, "/v1/completions", headers,
                              body, &reply)
                    == GG_HTTP_OK
                && reply.status == 200;
  gg_http_reply_clear (&reply);
  return ok;
}

/* Sends the outdated order that a paused issuer would send; returns the status. */
static uint32_t
send_old_order (const GgClusterRunner *runner)
{
  GgHttpReply reply = { 0 };
  gg_test_call ("POST", runner->address, "/v1/orders", NULL, "{\"fencing\":1,\"version\":\"1\"}",
                &reply);
  uint32_t status = reply.status;
  gg_http_reply_clear (&reply);
  return status;
}

static GgCluster *
start (GgProof *proof)
{
  GgClusterOptions options = { .n_instances = 2 };
  GgCluster *cluster = gg_cluster_create (&options);
  gg_proof_check (proof, cluster != NULL);
  return cluster;
}

static void
expect_version (GgProof *proof, GgCluster *cluster, const char *version)
{
  Expectation e = { cluster, version };
  uint64_t started_ms = gg_clock_now_ms ();
  gg_proof_check (proof, gg_wait_until (all_have_version, &e, IN_FORCE_MS));
  int64_t elapsed_ms = (int64_t) (gg_clock_now_ms () - started_ms);
  proof->recovery_ms = MAX (proof->recovery_ms, elapsed_ms);
  gg_proof_check (proof, gg_wait_until (chat_succeeds, cluster, CHAT_TIMEOUT_MS));
}

static void
prove_late_order (GgProof *proof)
{
  GgCluster *cluster = start (proof);
  if (cluster == NULL)
    return;
  publish_version (proof, cluster, "2");
  expect_version (proof, cluster, "2");
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    {
      gboolean checks = i % 2 == 1;
      gg_proof_check (proof, send_old_order (&cluster->runners[i]) == (checks ? 409 : 200));
      gg_proof_check (proof, has_version (&cluster->runners[i], checks ? "2" : "1"));
    }
  expect_version (proof, cluster, "2");
  gg_cluster_destroy (cluster);
}

/* While the control process that collects the loads of some runners, and so sends them orders, is
 * paused, another one must send the orders. */
static void
prove_stopped_collector (GgProof *proof)
{
  GgCluster *cluster = start (proof);
  if (cluster == NULL)
    return;
  gg_process_signal (cluster->instances[1].control, SIGSTOP);
  publish_version (proof, cluster, "2");
  expect_version (proof, cluster, "2");
  gg_process_signal (cluster->instances[1].control, SIGCONT);
  publish_version (proof, cluster, "3");
  expect_version (proof, cluster, "3");
  gg_cluster_destroy (cluster);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "config", "order-late-from-paused-issuer", prove_late_order },
    { "config", "order-while-collector-stopped", prove_stopped_collector },
  };
  return gg_prove_main ("orders", cases, G_N_ELEMENTS (cases), argc, argv);
}
