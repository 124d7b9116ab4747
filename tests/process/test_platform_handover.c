/* Guards the address for peers, at which requests are handed over: a sender that is no instance
 * must not have a request run there, and a caller's address must not take the fields of handed-over
 * requests for anything. */
#include "http_client.h"
#include "site.h"
#include "test_main.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ROUTERS 2
#define N_REPEATS 3

static Site *site;

static char *
print_request (const char *method, const char *fields)
{
  static int n_attempts;
  return g_strdup_printf ("%s /lookups/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n"
                          "X-Attempt-Id: forged-%d\r\n%sConnection: close\r\n"
                          "Content-Length: 1\r\n\r\nb",
                          method, SITE_HOST, SITE_KEY, n_attempts++, fields);
}

static char *
send_request (const char *address, const char *method, const char *fields)
{
  char *text = print_request (method, fields);
  char *answer = site_send_raw_to (address, text);
  g_free (text);
  return answer;
}

static guint64
read_counter (guint router, const char *name)
{
  char *text = gg_test_get (site->routers[router].metrics_address, "/metrics");
  char *label = g_strdup_printf ("\n%s ", name);
  const char *at = text != NULL ? strstr (text, label) : NULL;
  guint64 value = at != NULL ? g_ascii_strtoull (at + strlen (label), NULL, 10) : 0;
  g_free (label);
  g_free (text);
  return value;
}

/* Guards against a request that runs although its sender does not know the token, or names it
 * wrongly. */
static void
test_forged_tokens (void)
{
  static const char *const fields[] = {
    "Greengage-Handover: 0000000000000000 router-1\r\nGreengage-Runs: 0\r\n",
    "Greengage-Handover: ffffffffffffffff router-1\r\nGreengage-Runs: 0\r\n",
    "Greengage-Handover: 1 router-1\r\nGreengage-Runs: 0\r\n",
    "greengage-handover: 1 router-1\r\n",
    "Greengage-Handover:\r\nGreengage-Runs: 0\r\n",
    "Greengage-Handover: router-1\r\nGreengage-Runs: 0\r\n",
  };
  guint n_runs = site_count_runs (site, "desk");
  guint64 n_forged = read_counter (0, "greengage_router_handovers_forged_total");
  for (guint i = 0; i < N_REPEATS * G_N_ELEMENTS (fields); i++)
    {
      char *answer = send_request (site->routers[0].peers_address, i % 2 == 0 ? "POST" : "GET",
                                   fields[i % G_N_ELEMENTS (fields)]);
      CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
      CU_ASSERT_TRUE (g_str_has_prefix (answer, "HTTP/1.1 403 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\r\nGreengage-Outcome: declined\r\n"));
      g_free (answer);
    }
  CU_ASSERT_EQUAL (site_count_runs (site, "desk"), n_runs);
  CU_ASSERT_EQUAL (read_counter (0, "greengage_router_handovers_forged_total"),
                   n_forged + N_REPEATS * G_N_ELEMENTS (fields));
}

/* Guards against a caller's request that runs at the address for peers without any token. */
static void
test_no_token (void)
{
  guint n_runs = site_count_runs (site, "desk");
  char *answer = send_request (site->routers[0].peers_address, "POST", "");
  CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
  CU_ASSERT_TRUE (g_str_has_prefix (answer, "HTTP/1.1 404 "));
  CU_ASSERT_EQUAL (site_count_runs (site, "desk"), n_runs);
  g_free (answer);
}

/* Guards against a caller that names fields of handed-over requests: it must be served as any
 * other, and must not learn what instances tell each other. */
static void
test_fields_of_callers (void)
{
  guint n_runs = site_count_runs (site, "desk");
  char *answer = send_request (site->routers[0].callers_address, "POST",
                               "Greengage-Handover: 1 router-1\r\nGreengage-Runs: 9\r\n"
                               "Greengage-Outcome: not-run\r\n");
  CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
  CU_ASSERT_TRUE (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (answer, "Greengage-"));
  CU_ASSERT_EQUAL (site_count_runs (site, "desk"), n_runs + 1);
  g_free (answer);
}

/* Guards the documents at the same address, which instances read at their start. */
static void
test_documents (void)
{
  char *answer = site_send_raw_to (site->routers[0].peers_address,
                                   "GET /configuration HTTP/1.1\r\nHost: a\r\n"
                                   "Connection: close\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
  CU_ASSERT_TRUE (g_str_has_prefix (answer, "HTTP/1.1 200 "));
  g_free (answer);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "forged tokens", test_forged_tokens },
    { "no token", test_no_token },
    { "fields of callers", test_fields_of_callers },
    { "documents", test_documents },
  };
  site = site_create (N_ROUTERS);
  if (site == NULL)
    return 1;
  int status = gg_test_run ("platform handover", cases, G_N_ELEMENTS (cases));
  site_destroy (site);
  return status;
}
