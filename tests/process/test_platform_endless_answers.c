/* Guards against runners whose answers never end, or stop just short of their end, in a head or in
 * a body: a router that keeps all that it is sent runs out of memory, and the requests of all its
 * callers end with it. The process must stay within the memory of a small machine and serve other
 * requests meanwhile. Nothing here depends on the speed of the machine. */
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Memory of the smallest machine of a deployment. */
#define MACHINE_KB (160 * 1000)
#define N_CALLS 1000
#define ROUTE_TIMEOUT_MS 3000
#define SLOTS 1000
/* Routers avoid a runner for a while after a failure; this one has several ids. */
#define N_IDS 4
#define MODEL_RUNNER_KEY "servers/pouring-reader"
#define TIMEOUT_MS 30000
/* Health answers, reports and orders that a runner must have answered without end. */
#define N_ENDLESS 3
#define ENDLESS_TIMEOUT_MS 30000
#define START_TIMEOUT_MS 5000

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define OTHER_HEAD OK_HEAD "X-Attempt-Id: another\r\n"

static Site *site;
static GgProcess *runner;
static char *runner_address;

/* What a runner answers, as tests/fakes/fake_script.c reads it. */
typedef struct
{
  const char *name;
  const char *script;
} Form;

/* Bytes that are no answer to a request, without end. */
static const Form endless_forms[] = {
  { "junk", "{endless}x" },
  { "line-ends", "{endless}\r\n" },
  { "reason", "HTTP/1.1 200 {endless}reason " },
  { "field-name", OK_HEAD "X-Field{endless}name" },
  { "field-value", OK_HEAD "X-Field: {endless}value" },
  { "fields", OK_HEAD "{endless}X-Field: value\r\n" },
  { "interim", "{endless}HTTP/1.1 100 Continue\r\n\r\n" },
  { "interim-000", "{endless}HTTP/1.1 000 None\r\n\r\n" },
  { "chunk-size", OK_HEAD "{id}{signed}{chunked}{endless}0" },
  { "chunk-extension", OK_HEAD "{id}{signed}{chunked}5;{endless}extension" },
  { "chunks", OK_HEAD "{id}{signed}{chunked}{endless}5\r\nabcde\r\n" },
  { "trailer", OK_HEAD "{id}{signed}{chunked}0\r\n{endless}X-Trailer: value\r\n" },
  { "body-to-close", OK_HEAD "{id}{signed}{to-close}{endless}x" },
  { "body-announced", OK_HEAD "{id}{signed}Content-Length: 1000000000000000\r\n\r\n{endless}x" },
  { "other-attempt", OTHER_HEAD "Content-Length: 1000000000000000\r\n\r\n{endless}x" },
  { "other-attempts", "{endless}" OTHER_HEAD "Content-Length: 2\r\n\r\nok" },
};

/* Answers that stop just short of a limit or of their end, and keep the connection open. */
static const Form partial_forms[] = {
  { "head", OK_HEAD "{id}{signed}{fields 15000}" },
  { "body-after-fields", OK_HEAD "{id}{signed}{fields 15000}Content-Length: 9\r\n\r\n" },
  { "body", OK_HEAD "{id}{signed}Content-Length: 262144\r\n\r\n{bytes 262143}" },
  { "error-body", "{500}{id}{signed}Content-Length: 262144\r\n\r\n{bytes 262143}" },
};

static const Form stream_forms[] = {
  { "event", "{stream}{chunked}{endless}8\r\ndata: x\n\r\n" },
  { "events", "{stream}{chunked}{endless}9\r\ndata: x\n\n\r\n" },
  { "comments", "{stream}{chunked}{endless}5\r\n: a\n\n\r\n" },
  { "partial-event", "{stream}{to-close}data: {bytes 262000}" },
};

/* Answers to probes, requests for reports and orders, without end. */
static const Form other_forms[] = {
  { "body", OK_HEAD "Content-Length: 1000000000000000\r\n\r\n{endless}x" },
  { "chunks", OK_HEAD "{chunked}{endless}5\r\nabcde\r\n" },
  { "fields", OK_HEAD "{endless}X-Field: value\r\n" },
  { "interim", "{endless}HTTP/1.1 100 Continue\r\n\r\n" },
};

/* Adds the routes and the service of the runner to the configuration of the site. */
static void
write_config (void)
{
  char *text = site_print_config (2, TRUE);
  GString *config = g_string_new (text);
  char *routes = g_strdup_printf (
      "\"routes\":[{\"name\":\"answers\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/answers/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"service\":\"script\",\"max_attempts\":1},"
      "{\"name\":\"streams\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/streams/\","
      "\"kind\":\"streaming\",\"timeout_ms\":%u,\"service\":\"script\",\"max_attempts\":1},",
      ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS);
  g_string_replace (config, "\"routes\":[", routes, 1);
  g_string_replace (config, "\"services\":[",
                    "\"services\":[{\"name\":\"script\",\"health_path\":\"/health\","
                    "\"max_conns\":2000},",
                    1);
  site_put (site, "op/config", config->str);
  g_string_free (config, TRUE);
  g_free (routes);
  g_free (text);
}

static gboolean
is_serving (void *data)
{
  char *answer = site_call (site, 0, "GET", "/lookups/1", "", "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

static void
set_answer (const char *path, const char *script)
{
  char *target = g_strconcat ("/test/answer", path, NULL);
  if (!gg_test_send ("POST", runner_address, target, script))
    fprintf (stderr, "the answer to %s can't be set\n", path);
  g_free (target);
}

/* What the runner has sent without end. */
typedef struct
{
  guint n_answers; /* of which the router has closed the connection */
  uint64_t n_bytes;
} Endless;

static Endless
read_endless (void)
{
  Endless endless = { 0 };
  char *text = gg_test_get (runner_address, "/test/endless");
  if (text != NULL)
    sscanf (text, "%u %" G_GUINT64_FORMAT, &endless.n_answers, &endless.n_bytes);
  g_free (text);
  return endless;
}

/* Waits until the router has answered or closed each connection. */
static void
drain_calls (const int *fds)
{
  gint64 end_us = g_get_monotonic_time () + TIMEOUT_MS * 1000;
  for (guint i = 0; i < N_CALLS; i++)
    {
      char bytes[65536];
      struct pollfd entry = { .fd = fds[i], .events = POLLIN };
      while (fds[i] >= 0 && g_get_monotonic_time () < end_us)
        if (poll (&entry, 1, 100) > 0 && read (fds[i], bytes, sizeof bytes) <= 0)
          break;
    }
}

/* Starts the router anew, so that its peak of memory is that of the case. */
static void
start_router (GgProof *proof)
{
  site_start_router (site, 0);
  gg_proof_check (proof, gg_wait_until (is_serving, NULL, TIMEOUT_MS));
}

/* Checks that the router has stayed within the memory, runs and serves. */
static void
check_router (GgProof *proof, const char *what, const Endless *before)
{
  gboolean is_served = gg_wait_until (is_serving, NULL, TIMEOUT_MS);
  guint peak_kb = gg_process_get_peak_kb (site->routers[0].process);
  Endless after = read_endless ();
  printf ("  %s: peak %u kB of %d, %u answers, %" G_GUINT64_FORMAT " MB\n", what, peak_kb,
          MACHINE_KB, after.n_answers - before->n_answers,
          (guint64) ((after.n_bytes - before->n_bytes) / 1000000));
  fflush (stdout);
  if (peak_kb == 0 || peak_kb >= MACHINE_KB || !is_served
      || gg_process_wait_exit (site->routers[0].process, 0))
    gg_proof_fail (proof, "%s: peak %u kB of %d, %s", what, peak_kb, MACHINE_KB,
                   is_served ? "served" : "not served");
}

static void
check_form (GgProof *proof, const char *route, const Form *form)
{
  int fds[N_CALLS];
  char *path = g_strdup_printf ("/%s/%s", route, form->name);
  set_answer (path, form->script);
  start_router (proof);
  Endless before = read_endless ();
  for (guint i = 0; i < N_CALLS; i++)
    {
      char *attempt = g_strdup_printf ("%s-%u", form->name, i);
      fds[i] = site_begin_call (site, 0, "GET", path, attempt);
      g_free (attempt);
    }
  gg_proof_check (proof, gg_wait_until (is_serving, NULL, TIMEOUT_MS));
  drain_calls (fds);
  check_router (proof, path, &before);
  for (guint i = 0; i < N_CALLS; i++)
    if (fds[i] >= 0)
      close (fds[i]);
  g_free (path);
}

static void
run_endless (GgProof *proof)
{
  for (guint i = 0; i < G_N_ELEMENTS (endless_forms); i++)
    check_form (proof, "answers", &endless_forms[i]);
}

static void
run_partial (GgProof *proof)
{
  for (guint i = 0; i < G_N_ELEMENTS (partial_forms); i++)
    check_form (proof, "answers", &partial_forms[i]);
}

static void
run_streams (GgProof *proof)
{
  for (guint i = 0; i < G_N_ELEMENTS (stream_forms); i++)
    check_form (proof, "streams", &stream_forms[i]);
}

static gboolean
has_endless (void *data)
{
  const Endless *before = data;
  return read_endless ().n_answers >= before->n_answers + N_ENDLESS;
}

/* Has the router probe the runner, since its requests fail. */
static gboolean
has_endless_probes (void *data)
{
  g_free (site_call (site, 0, "GET", "/answers/cut", "", ""));
  return has_endless (data);
}

/* @param condition that becomes true after enough requests of the router for @p path. */
static void
check_path (GgProof *proof, const char *path, const Form *form, GgCondition condition)
{
  char *what = g_strdup_printf ("%s, %s", path, form->name);
  set_answer (path, form->script);
  start_router (proof);
  Endless before = read_endless ();
  if (!gg_wait_until (condition, &before, ENDLESS_TIMEOUT_MS))
    gg_proof_fail (proof, "%s: %u answers without end are closed, expected %u", what,
                   read_endless ().n_answers - before.n_answers, N_ENDLESS);
  check_router (proof, what, &before);
  g_free (what);
}

static void
run_health_answers (GgProof *proof)
{
  set_answer ("/answers/cut", "{close}");
  for (guint i = 0; i < G_N_ELEMENTS (other_forms); i++)
    check_path (proof, "/health", &other_forms[i], has_endless_probes);
  set_answer ("/health", OK_HEAD "Content-Length: 0\r\n\r\n");
}

static void
put_runner (const char *key, const char *service, const char *fields)
{
  char *entry
      = g_strdup_printf ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
                         "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"born\":1%s}",
                         service, runner_address, SLOTS, fields);
  site_put (site, key, entry);
  g_free (entry);
}

/* The leader requests the report of a runner without layers before it orders it to load some. */
static void
run_reports (GgProof *proof)
{
  put_runner (MODEL_RUNNER_KEY, "reader", ",\"kind\":\"large\"");
  for (guint i = 0; i < G_N_ELEMENTS (other_forms); i++)
    check_path (proof, "/api/report", &other_forms[i], has_endless);
  site_delete (site, MODEL_RUNNER_KEY);
}

static void
run_orders (GgProof *proof)
{
  set_answer ("/api/report", OK_HEAD "{report}");
  put_runner (MODEL_RUNNER_KEY, "reader", ",\"kind\":\"large\"");
  for (guint i = 0; i < G_N_ELEMENTS (other_forms); i++)
    check_path (proof, "/api/order", &other_forms[i], has_endless);
  site_delete (site, MODEL_RUNNER_KEY);
}

static gboolean
set_up (void)
{
  site = site_create (1);
  if (site == NULL)
    return FALSE;
  runner_address = gg_process_reserve_address ();
  const char *args[] = { "--listen", runner_address, NULL };
  runner = gg_process_start ("gg-fake-script", args);
  gg_process_wait_listening (runner, START_TIMEOUT_MS);
  for (guint i = 0; i < N_IDS; i++)
    {
      char *key = g_strdup_printf ("servers/script-%u", i);
      put_runner (key, "script", "");
      g_free (key);
    }
  write_config ();
  return gg_wait_until (is_serving, NULL, TIMEOUT_MS);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "crashes-contained", "endless-answers", run_endless },
    { "crashes-contained", "partial-answers", run_partial },
    { "crashes-contained", "endless-streams", run_streams },
    { "crashes-contained", "endless-health-answers", run_health_answers },
    { "crashes-contained", "endless-reports", run_reports },
    { "crashes-contained", "endless-orders", run_orders },
  };
  int status = EXIT_FAILURE;
  if (set_up ())
    status = gg_prove_main ("endless answers", cases, G_N_ELEMENTS (cases), argc, argv);
  else
    fprintf (stderr, "the site does not serve\n");
  gg_process_destroy (runner);
  if (site != NULL)
    site_destroy (site);
  g_free (runner_address);
  return status;
}
