/* Sessions of processes on the users' platform, from callers to runners: the answers for each kind
 * of request, that a request that can't be repeated runs once, that a stream is continued, that a
 * stop interrupts no request, that a revoked key is refused, and that the state is restored from
 * the store alone. */
#include "golden.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define STREAM "X-Token-Count: 100,20\r\nX-Deadline-Ms: 5000\r\n"
#define PLAIN "X-Deadline-Ms: 1500\r\n"
#define TIMEOUT_MS 10000
/* The third router is in the data centre of the first one. */
#define DELEGATED_ROUTER 2
/* A router that watches by itself ends two watches or more in this time. */
#define QUIET_WATCH_MS 2500
#define OUTAGE_MS 3500
/* Longer than a runner may be silent before a second run is started beside its stream. */
#define FREEZE_MS 1200
#define SLOW_READS "{\"ms\":600}"
/* A configuration must be in force everywhere this long after it was written. */
#define APPLY_MS 5000
#define TEAMS_FIELD "\"tenants\":"

/* All cases share one site; the one that kills all processes is the last. */
static Site *site;

/* Appends a call with its answer to the golden session. The number in the attempt id, which grows
 * from case to case, is replaced. */
static void
record (GgGolden *golden, const char *method, const char *target, const char *fields)
{
  char *answer = site_call (site, 0, method, target, fields, "b=1");
  GString *text = g_string_new (answer != NULL ? answer : "(no answer)");
  g_string_replace (text, "\r\n", "\n", 0);
  char *attempt = strstr (text->str, "attempt-");
  if (attempt != NULL)
    {
      gsize at = (gsize) (attempt - text->str) + strlen ("attempt-");
      g_string_erase (text, (gssize) at, (gssize) strspn (text->str + at, "0123456789"));
      g_string_insert (text, (gssize) at, "N");
    }
  gg_golden_append (golden, "> %s %s\n%s\n", method, target, text->str);
  g_string_free (text, TRUE);
  g_free (answer);
}

/* A stream that breaks off is continued from another runner; an answer without the runner's
 * signature does not count as one. */
static void
run_streaming (GgProof *proof)
{
  GgGolden *golden = gg_golden_create ("platform-streaming");
  record (golden, "POST", "/drafts/1", STREAM);
  record (golden, "POST", "/drafts/cut", STREAM);
  record (golden, "POST", "/drafts/unsigned", STREAM);
  gg_golden_finish (golden, proof);
}

/* The runner that is to continue a stream does not know it: the caller must not take its partial
 * answer for a complete one, and the router must not crash. */
static void
run_stream_unknown (GgProof *proof)
{
  char *answer = site_call (site, 0, "POST", "/drafts/cut-forget", STREAM, "");
  gg_proof_check (proof, answer != NULL && strstr (answer, "id: 2\n") != NULL);
  gg_proof_check (proof, answer != NULL && g_str_has_suffix (answer, "(cut)"));
  g_free (answer);
  answer = site_call (site, 0, "POST", "/drafts/1", STREAM, "");
  gg_proof_check (proof, answer != NULL && strstr (answer, "id: 6\n") != NULL);
  g_free (answer);
}

/* Guards against a stream that ends before its first event being passed on as a complete answer, as
 * one does whose runner crashes when it begins and whose answer ends with its connection. */
static void
run_stream_empty (GgProof *proof)
{
  char *answer = site_call (site, 0, "POST", "/drafts/empty", STREAM, "");
  gg_proof_check (proof, answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 502"));
  g_free (answer);
}

static gpointer
continue_runners (gpointer data)
{
  g_usleep (FREEZE_MS * 1000);
  for (guint i = 0; i < site->n_runners; i++)
    gg_process_signal (site->runners[i].process, SIGCONT);
  return NULL;
}

/* Guards a stream whose runner falls silent in the middle of an event against a second run beside
 * it that has nothing left to send: that event is missing, so the stream must not look complete. */
static void
run_stream_open_event (GgProof *proof)
{
  GThread *thread = g_thread_new ("continue", continue_runners, NULL);
  char *answer = site_call (site, 0, "POST", "/drafts/freeze-nothing-left", STREAM, "");
  g_thread_join (thread);
  gg_proof_check (proof, answer != NULL && strstr (answer, "id: 2\n") != NULL);
  gg_proof_check (
      proof,
      answer != NULL && (strstr (answer, "id: 6\n") != NULL || g_str_has_suffix (answer, "(cut)")));
  g_free (answer);
}

/* A booking can't be repeated: it runs once even if its answer is lost or is an error, and not at
 * all if the runners refuse it. */
static void
run_bookings (GgProof *proof)
{
  GgGolden *golden = gg_golden_create ("platform-bookings");
  guint before = site_count_runs (site, "desk");
  record (golden, "POST", "/bookings/1", PLAIN);
  gg_proof_check (proof, site_count_runs (site, "desk") == before + 1);
  record (golden, "POST", "/bookings/refuse", PLAIN);
  gg_proof_check (proof, site_count_runs (site, "desk") == before + 1);
  record (golden, "POST", "/bookings/lose", PLAIN);
  record (golden, "POST", "/bookings/fail", PLAIN);
  gg_proof_check (proof, site_count_runs (site, "desk") == before + 3);
  gg_golden_finish (golden, proof);
}

/* A look-up is idempotent: it is sent a second time if its answer is lost or is an error. */
static void
run_lookups (GgProof *proof)
{
  GgGolden *golden = gg_golden_create ("platform-lookups");
  guint before = site_count_runs (site, "desk");
  record (golden, "GET", "/lookups/1?q=2", PLAIN);
  record (golden, "GET", "/lookups/lose", PLAIN);
  record (golden, "GET", "/lookups/fail", PLAIN);
  gg_proof_check (proof, site_count_runs (site, "desk") == before + 5);
  gg_golden_finish (golden, proof);
}

/* Requests that are malformed or not allowed, to which the router itself answers. */
static void
run_own_answers (GgProof *proof)
{
  GgGolden *golden = gg_golden_create ("platform-own-answers");
  static const char *const texts[] = {
    "GET /nothing/ HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\n",
    "GET /lookups/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\n"
    "Authorization: Bearer nobody\r\nConnection: close\r\n\r\n",
    "GET /lookups/1 HTTP/1.1\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\n",
    "POST /lookups/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /lookups/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 99999999\r\n\r\n",
  };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *answer = site_send_raw (site, 0, texts[i]);
      GString *text = g_string_new (answer != NULL ? answer : "(no answer)");
      g_string_replace (text, "\r\n", "\n", 0);
      gg_golden_append (golden, "> %.*s\n%s\n", (int) strcspn (texts[i], "\r"), texts[i],
                        text->str);
      g_string_free (text, TRUE);
      g_free (answer);
    }
  gg_golden_finish (golden, proof);
}

static gboolean
is_refused_everywhere (void *data)
{
  for (guint i = 0; i < site->n_routers; i++)
    {
      char *answer = site_call (site, i, "GET", "/lookups/1", PLAIN, "");
      gboolean is_refused = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 401");
      g_free (answer);
      if (!is_refused)
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_served (void *data)
{
  for (guint i = 0; i < site->n_routers; i++)
    {
      char *answer = site_call (site, i, "POST", "/drafts/1", STREAM, "");
      gboolean ok = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
      g_free (answer);
      if (!ok)
        return FALSE;
    }
  return TRUE;
}

/* A revoked key is refused by every router within the time that the users require. */
static void
run_key_revoked (GgProof *proof)
{
  site_write_config (site, 2, FALSE);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, 2000));
  site_write_config (site, 3, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 2000));
}

static gboolean
is_unready (void *data)
{
  return !site_is_ready (site, 0);
}

/* In a store outage keys can't be proven valid any more, so requests with a key are refused as not
 * run and the router is not ready; both end with the outage. */
static void
run_store_outage (GgProof *proof)
{
  gg_process_signal (site->store, SIGUSR2);
  gg_proof_check (proof, gg_wait_until (is_unready, NULL, 6000));
  char *answer = site_call (site, 0, "GET", "/lookups/1", PLAIN, "");
  gg_proof_check (proof, answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 503")
                             && strstr (answer, "keys_not_fresh") != NULL);
  g_free (answer);
  gg_process_signal (site->store, SIGUSR2);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 5000));
}

/* The store drops its history of changes just before a configuration is written: the configuration
 * takes effect in spite of that. */
static void
run_history_dropped (GgProof *proof)
{
  gg_process_signal (site->store, SIGUSR1);
  site_write_config (site, 4, FALSE);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, 4000));
  site_write_config (site, 5, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 4000));
}

static guint64
count_watches (guint router)
{
  char *text = gg_test_get (site->routers[router].metrics_address, "/metrics");
  const char *name = "greengage_router_store_calls_total{call=\"watch\"} ";
  const char *line = text != NULL ? strstr (text, name) : NULL;
  guint64 n = line != NULL ? g_ascii_strtoull (line + strlen (name), NULL, 10) : 0;
  g_free (text);
  return n;
}

static gboolean
has_no_own_watch (void *data)
{
  guint64 before = count_watches (DELEGATED_ROUTER);
  g_usleep (QUIET_WATCH_MS * 1000);
  return before > 0 && count_watches (DELEGATED_ROUTER) - before <= 1;
}

static gboolean
is_refused_by_delegated_router (void *data)
{
  char *answer = site_call (site, DELEGATED_ROUTER, "GET", "/lookups/1", PLAIN, "");
  gboolean is_refused = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 401");
  g_free (answer);
  return is_refused;
}

/* The third router relies on the first one, which is in its data centre, and does not watch the
 * store itself. When the first one hangs, a revoked key is still refused in time, and requests are
 * served after it. */
static void
run_delegate_hung (GgProof *proof)
{
  gg_proof_check (proof, gg_wait_until (has_no_own_watch, NULL, TIMEOUT_MS));
  gg_process_signal (site->routers[0].process, SIGSTOP);
  site_write_config (site, 6, FALSE);
  gg_proof_check (proof, gg_wait_until (is_refused_by_delegated_router, NULL, 2000));
  gg_process_signal (site->routers[0].process, SIGCONT);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, 2000));
  site_write_config (site, 7, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 2000));
}

/* Calls to the store hang during an outage. A configuration that is written just after the outage
 * takes effect in time also at a router that relies on a delegate and has a call still hanging. */
static void
run_change_after_outage (GgProof *proof)
{
  gg_proof_check (proof, gg_wait_until (has_no_own_watch, NULL, TIMEOUT_MS));
  gg_process_signal (site->store, SIGUSR2);
  g_usleep (OUTAGE_MS * 1000);
  gg_process_signal (site->store, SIGUSR2);
  site_write_config (site, 8, FALSE);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, 2000));
  site_write_config (site, 9, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 4000));
}

/* Guards against reads of the configuration that are begun anew with each report of a source, since
 * they take longer than a read of a small document from a fast store: the router that relies on the
 * source would keep the old configuration for as long as reads are slow. */
static void
run_reads_slow_after_outage (GgProof *proof)
{
  gg_proof_check (proof, gg_wait_until (has_no_own_watch, NULL, TIMEOUT_MS));
  gg_process_signal (site->store, SIGUSR2);
  g_usleep (OUTAGE_MS * 1000);
  gg_test_send ("POST", site->store_address, "/test/delay", SLOW_READS);
  gg_process_signal (site->store, SIGUSR2);
  site_write_config (site, 10, FALSE);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, APPLY_MS));
  gg_test_send ("POST", site->store_address, "/test/delay", "{\"ms\":0}");
  site_write_config (site, 11, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 4000));
}

/* Guards against a configuration whose list of teams is empty being taken for one that requires no
 * keys: the one that removes the last team would open all routes to revoked and to made-up keys. */
static void
run_last_team_removed (GgProof *proof)
{
  char *config = site_print_config (12, TRUE);
  char *teams = strstr (config, TEAMS_FIELD);
  g_assert (teams != NULL);
  teams[strlen (TEAMS_FIELD)] = '\0';
  char *text = g_strconcat (config, "[]}", NULL);
  site_put (site, "op/config", text);
  gg_proof_check (proof, gg_wait_until (is_refused_everywhere, NULL, APPLY_MS));
  site_write_config (site, 13, TRUE);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, 4000));
  g_free (text);
  g_free (config);
}

/* A stop during a stream: the stream is served to its end, and the process exits by itself. */
static void
run_stop (GgProof *proof)
{
  const SiteRouter *router = &site->routers[1];
  gg_process_signal (router->process, SIGTERM);
  char *answer = site_call (site, 1, "POST", "/drafts/1", STREAM, "");
  gg_proof_check (proof, answer != NULL && strstr (answer, "id: 6\n") != NULL);
  gg_proof_check (proof, answer != NULL && strstr (answer, "(cut)") == NULL);
  g_free (answer);
  gg_proof_check (proof, !site_is_ready (site, 1));
  gg_proof_check (proof, gg_process_wait_exit (router->process, 5000));
  gg_proof_check (proof, gg_process_get_status (router->process) == 0);
  site_start_router (site, 1);
  gg_proof_check (proof, gg_wait_until (is_served, NULL, TIMEOUT_MS));
}

/* All routers are killed and started again: the state is restored from the store alone. */
static void
run_everything_killed (GgProof *proof)
{
  for (guint i = 0; i < site->n_routers; i++)
    gg_process_signal (site->routers[i].process, SIGKILL);
  for (guint i = 0; i < site->n_routers; i++)
    {
      gg_process_wait_exit (site->routers[i].process, TIMEOUT_MS);
      site_start_router (site, i);
    }
  gg_proof_check (proof, gg_wait_until (is_served, NULL, TIMEOUT_MS));
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "own-answer", "platform-streaming", run_streaming },
    { "own-answer", "platform-stream-forgotten", run_stream_unknown },
    { "own-answer", "platform-stream-empty", run_stream_empty },
    { "own-answer", "platform-stream-open-event", run_stream_open_event },
    { "at-most-once", "platform-bookings", run_bookings },
    { "own-answer", "platform-lookups", run_lookups },
    { "not-run", "platform-own-answers", run_own_answers },
    { "config", "platform-key-taken-away", run_key_revoked },
    { "config", "platform-store-away", run_store_outage },
    { "config", "platform-history-forgotten", run_history_dropped },
    { "config", "platform-source-frozen", run_delegate_hung },
    { "config", "platform-change-after-outage", run_change_after_outage },
    { "config", "platform-reads-slow-after-outage", run_reads_slow_after_outage },
    { "config", "platform-last-team-removed", run_last_team_removed },
    { "graceful-stop", "platform-stop", run_stop },
    { "graceful-stop", "platform-everything-killed", run_everything_killed },
  };
  site = site_create (3);
  if (site == NULL)
    return 1;
  int status = gg_prove_main ("platform", cases, G_N_ELEMENTS (cases), argc, argv);
  site_destroy (site);
  return status;
}
