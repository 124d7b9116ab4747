/* Guards against answers of runners that callers must not receive: refusals that the runner has not
 * confirmed, upon which a booking that ran is sent again and runs twice; answers that name no
 * request; and answers whose status is invalid. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <stdio.h>
#include <string.h>

/* Routers avoid a runner for a while after a failure, so each row uses the next service, and the
 * runner is listed there under several ids. */
#define N_SERVICES 64
#define N_IDS 8
#define N_CALLS 4
#define DEADLINE_MS 2500
/* What is known to bring no answer must not be waited for until the deadline. */
#define MAX_ANSWER_MS 2000
#define START_TIMEOUT_MS 5000

#define SERVED "HTTP/1.1 200 OK\r\n{id}{signed}{error}"
#define HAS_SIGNATURE "X-Response-Signature"

static Site *site;
static char *runner_address;

/* What a runner answers, as tests/fakes/fake_script.c reads it, and what the caller must get. */
typedef struct
{
  const char *name;
  const char *route;
  const char *script;
  guint status;
  gboolean is_signed; /* the runner's own answer, unchanged */
} Row;

typedef struct
{
  char *request;
  char *answer;
  uint64_t took_ms;
} Call;

static gpointer
run_call (gpointer data)
{
  Call *call = data;
  uint64_t sent_ms = gg_clock_now_ms ();
  call->answer = site_send_raw (site, 0, call->request);
  call->took_ms = gg_clock_now_ms () - sent_ms;
  return NULL;
}

static char *
print_request (const Row *row, guint service)
{
  static guint n_calls;
  return g_strdup_printf (
      "POST /%s/%u/1 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nAuthorization: Bearer %s\r\n"
      "X-Attempt-Id: call-%u\r\nX-Deadline-Ms: %u\r\nContent-Length: %zu\r\n\r\n%s",
      row->route, service, SITE_HOST, SITE_KEY, n_calls++, DEADLINE_MS, strlen (row->script),
      row->script);
}

/* Checks an answer, and prints what is wrong with it. */
static gboolean
is_expected (const Row *row, const Call *call)
{
  char *first_line = g_strdup_printf ("HTTP/1.1 %u ", row->status);
  gboolean is_ok = call->answer != NULL && g_str_has_prefix (call->answer, first_line)
                   && (strstr (call->answer, HAS_SIGNATURE) != NULL) == row->is_signed
                   && call->took_ms <= MAX_ANSWER_MS;
  if (!is_ok)
    fprintf (stderr, "/%s/, %s: %.12s after %u ms, expected %u\n", row->route, row->name,
             call->answer != NULL ? call->answer : "no answer", (guint) call->took_ms, row->status);
  g_free (first_line);
  return is_ok;
}

/* Sends the requests of a row at once, so that some go over new connections. */
static void
check_rows (GgProof *proof, const Row *rows, gsize n_rows)
{
  static guint service;
  for (gsize i = 0; i < n_rows; i++, service++)
    {
      Call calls[N_CALLS] = { 0 };
      guint n_expected = 0;
      GThread *threads[N_CALLS];
      g_assert (service < N_SERVICES);
      for (guint k = 0; k < N_CALLS; k++)
        {
          calls[k].request = print_request (&rows[i], service);
          threads[k] = g_thread_new ("call", run_call, &calls[k]);
        }
      for (guint k = 0; k < N_CALLS; k++)
        {
          g_thread_join (threads[k]);
          n_expected += is_expected (&rows[i], &calls[k]) ? 1 : 0;
          g_free (calls[k].request);
          g_free (calls[k].answer);
        }
      if (n_expected < N_CALLS)
        gg_proof_fail (proof, "/%s/, %s: %u of %u answers as expected", rows[i].route, rows[i].name,
                       n_expected, N_CALLS);
    }
}

/* Guards against a refusal status of a runner that has run the request. It is forwarded to callers
 * whose request may run once only if the runner states that it has not run. */
static void
run_unconfirmed_refusal (GgProof *proof)
{
  static const Row rows[] = {
    { "503", "bookings", "{503}{id}{signed}{error}", 502, FALSE },
    { "503-chunks", "bookings", "{503}{id}{signed}{chunked}4\r\nno.\n\r\n{end}", 502, FALSE },
    { "503-retry-after", "bookings", "{503}{id}{signed}Retry-After: 1\r\n{error}", 502, FALSE },
    { "429", "bookings", "HTTP/1.1 429 Slow down\r\n{id}{signed}{error}", 502, FALSE },
    { "408", "bookings", "HTTP/1.1 408 Too late\r\n{id}{signed}{error}", 502, FALSE },
    { "503", "once", "{503}{id}{signed}{error}", 502, FALSE },
    { "429", "once", "HTTP/1.1 429 Slow down\r\n{id}{signed}{error}", 502, FALSE },
    /* These state that the request did not run. */
    { "503-not-run", "bookings", "{503}{id}{not-run}{error}|" SERVED, 200, TRUE },
    { "421", "bookings", "HTTP/1.1 421 Not here\r\n{id}{error}|" SERVED, 200, TRUE },
    /* These promise nothing, or answer a request that may run again. */
    { "500", "bookings", "{500}{id}{signed}{error}", 500, TRUE },
    { "404", "bookings", "HTTP/1.1 404 Not Found\r\n{id}{signed}{error}", 404, TRUE },
    { "503-then-200", "lookups", "{503}{id}{signed}{error}|" SERVED, 200, TRUE },
    { "503", "lookups", "{503}{id}{signed}{error}", 503, TRUE },
    { "429", "lookups", "HTTP/1.1 429 Slow down\r\n{id}{signed}{error}", 429, TRUE },
  };
  check_rows (proof, rows, G_N_ELEMENTS (rows));
}

/* Guards against bytes in the place of the first answer on a connection that name no request. */
static void
run_unidentified_answer (GgProof *proof)
{
  static const Row rows[] = {
    { "503", "bookings", "{503}{error}{close}", 502, FALSE },
    { "503-not-run", "bookings", "{503}{not-run}{error}{close}", 502, FALSE },
    { "421", "bookings", "HTTP/1.1 421 Not here\r\n{error}{close}", 502, FALSE },
    { "429", "bookings", "HTTP/1.1 429 Slow down\r\n{error}{close}", 502, FALSE },
    { "404", "bookings", "HTTP/1.1 404 Not Found\r\n{error}{close}", 502, FALSE },
    { "500", "bookings", "{500}{error}{close}", 502, FALSE },
    { "200", "bookings", "HTTP/1.1 200 OK\r\n{signed}{error}{close}", 502, FALSE },
    { "503", "once", "{503}{error}{close}", 502, FALSE },
    { "503-then-200", "lookups", "{503}{error}{close}|" SERVED, 200, TRUE },
    { "404-then-200", "lookups", "HTTP/1.1 404 Not Found\r\n{error}{close}|" SERVED, 200, TRUE },
  };
  check_rows (proof, rows, G_N_ELEMENTS (rows));
}

/* Guards against an answer whose status is none. Its caller would get it, or wait until its time
 * limit for what follows an interim answer. */
static void
run_invalid_status (GgProof *proof)
{
  static const char *const statuses[] = { "000", "001", "099", "101", "600", "700", "999" };
  static const char *const bodies[] = { "\r\n", "{error}" };
  static const char *const routes[] = { "bookings", "lookups" };
  for (guint i = 0; i < G_N_ELEMENTS (statuses) * 4; i++)
    {
      const char *status = statuses[i / 4];
      gboolean may_repeat = i % 2 == 1;
      char *script = g_strdup_printf ("HTTP/1.1 %s Status\r\n{id}{signed}%s%s", status,
                                      bodies[i / 2 % 2], may_repeat ? "|" SERVED : "");
      const Row row = { status, routes[i % 2], script, may_repeat ? 200 : 502, may_repeat };
      check_rows (proof, &row, 1);
      g_free (script);
    }
}

static void
append_routes (GString *config, guint service)
{
  static const struct
  {
    const char *name;
    const char *kind;
  } routes[]
      = { { "lookups", "idempotent" }, { "bookings", "non_idempotent" }, { "once", "streaming" } };
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    g_string_append_printf (config,
                            "%s{\"name\":\"%s-%u\",\"host\":\"" SITE_HOST
                            "\",\"path_prefix\":\"/%s/%u/\",\"kind\":\"%s\",\"timeout_ms\":4000,"
                            "\"goal_ms\":500,\"service\":\"script-%u\",\"max_attempts\":3}",
                            service + i > 0 ? "," : "", routes[i].name, service, routes[i].name,
                            service, routes[i].kind, service);
}

static void
write_config (void)
{
  GString *config = g_string_new ("{\"version\":2,\"routes\":[");
  for (guint i = 0; i <= N_SERVICES; i++)
    append_routes (config, i);
  g_string_append (config, "],\"services\":[");
  for (guint i = 0; i <= N_SERVICES; i++)
    g_string_append_printf (
        config, "%s{\"name\":\"script-%u\",\"health_path\":\"/health\",\"max_conns\":1000}",
        i > 0 ? "," : "", i);
  g_string_append (config, "],\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
                           "\"header_timeout_ms\":1000,\"idle_timeout_ms\":5000},"
                           "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"" SITE_KEY "\"]}]}");
  site_put (site, "op/config", config->str);
  g_string_free (config, TRUE);
}

/* Lists the runner for each service, the last one is only to see that all are known. */
static void
list_runner (void)
{
  for (guint i = 0; i <= N_SERVICES; i++)
    for (guint k = 0; k < N_IDS; k++)
      {
        char *key = g_strdup_printf ("servers/script-%u-%u", i, k);
        char *entry = g_strdup_printf (
            "{\"service\":\"script-%u\",\"address\":\"%s\",\"zone\":\"north\",\"version\":\"v1\","
            "\"slots\":64,\"state\":\"ready\",\"born\":1000}",
            i, runner_address);
        site_put (site, key, entry);
        g_free (entry);
        g_free (key);
      }
}

static gboolean
is_serving (void *data)
{
  static const Row row = { "200", "lookups", SERVED, 200, TRUE };
  Call call = { .request = print_request (&row, N_SERVICES) };
  run_call (&call);
  gboolean is_served = call.answer != NULL && g_str_has_prefix (call.answer, "HTTP/1.1 200");
  g_free (call.request);
  g_free (call.answer);
  return is_served;
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "not-run", "unconfirmed-refusal", run_unconfirmed_refusal },
    { "own-answer", "unidentified-answer", run_unidentified_answer },
    { "own-answer", "invalid-status", run_invalid_status },
  };
  site = site_create (1);
  if (site == NULL)
    return 1;
  runner_address = gg_process_reserve_address ();
  const char *args[] = { "--listen", runner_address, NULL };
  GgProcess *runner = gg_process_start ("gg-fake-script", args);
  gg_process_wait_listening (runner, START_TIMEOUT_MS);
  write_config ();
  list_runner ();
  int status = 1;
  if (gg_wait_until (is_serving, NULL, START_TIMEOUT_MS))
    status = gg_prove_main ("runner answers", cases, G_N_ELEMENTS (cases), argc, argv);
  else
    fprintf (stderr, "the routes of the test are not served\n");
  gg_process_destroy (runner);
  site_destroy (site);
  g_free (runner_address);
  return status;
}
