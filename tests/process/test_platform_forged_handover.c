/* Requests that claim to be handed over by another router, sent by callers: at the address for
 * callers such a request is one like any other, at the address for routers it must not run. Handed
 * over requests skip what the first router has checked already, so a caller that could forge one
 * would use that. */
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <string.h>

#define N_ROUTERS 2
#define FIELD "Greengage-Handover"

static const char *const tokens[]
    = { "1234", "0", "1", "-1", "18446744073709551615", "18446744073709551616", "x", "" };

static const struct
{
  const char *method;
  const char *target;
} requests[] = {
  { "GET", "/lookups/forged" },
  { "POST", "/bookings/forged" },
  { "POST", "/drafts/forged" },
};

static const char authorization[] = "Bearer " SITE_KEY;

static char *
read_peer_address (const Site *site, guint router)
{
  GKeyFile *file = g_key_file_new ();
  char *address = NULL;
  if (g_key_file_load_from_file (file, site->routers[router].settings_path, G_KEY_FILE_NONE, NULL))
    address = g_key_file_get_string (file, "listen", "peers", NULL);
  g_key_file_unref (file);
  return address;
}

/* Guards against a caller's request that is refused, or run more than once, because of a field that
 * only routers send, and against a key that is not checked because of it. */
static void
run_at_callers_address (GgProof *proof)
{
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  for (guint i = 0; i < G_N_ELEMENTS (tokens); i++)
    for (guint k = 0; k < G_N_ELEMENTS (requests); k++)
      {
        guint n_runs = site_count_runs (site, "");
        char *fields = g_strdup_printf ("X-Token-Count: 10,6\r\n" FIELD ": %s\r\n", tokens[i]);
        char *answer
            = site_call (site, i % N_ROUTERS, requests[k].method, requests[k].target, fields, "");
        n_runs = site_count_runs (site, "") - n_runs;
        if (answer == NULL || !g_str_has_prefix (answer, "HTTP/1.1 200") || n_runs != 1)
          gg_proof_fail (proof, "token \"%s\", %s: %u runs, answer %s", tokens[i],
                         requests[k].target, n_runs, answer != NULL ? answer : "none");
        if (answer != NULL && strstr (answer, FIELD) != NULL)
          gg_proof_fail (proof, "the field came back: %s", answer);
        g_free (answer);
        g_free (fields);
      }
  guint n_runs = site_count_runs (site, "");
  char *answer = site_send_raw (site, 0,
                                "GET /lookups/forged HTTP/1.1\r\nHost: " SITE_HOST "\r\n"
                                "Connection: close\r\nAuthorization: Bearer key-of-nobody\r\n"
                                "X-Attempt-Id: forged\r\n" FIELD ": 1234\r\n\r\n");
  gg_proof_check (proof, answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 401"));
  gg_proof_check (proof, site_count_runs (site, "") == n_runs);
  g_free (answer);
  site_destroy (site);
}

/* Guards against requests that run although no router has handed them over: a program that reaches
 * the address for routers could pass by the callers' limits, or run a booking twice. */
static void
run_at_peers_address (GgProof *proof)
{
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  char *address = read_peer_address (site, 0);
  /* Proves that the address takes requests at all. */
  char *document = gg_test_get (address, "/configuration");
  gg_proof_check (proof, document != NULL);
  g_free (document);
  guint n_runs = site_count_runs (site, "");
  for (guint i = 0; i < G_N_ELEMENTS (tokens); i++)
    for (guint k = 0; k < G_N_ELEMENTS (requests); k++)
      {
        const char *headers[]
            = { "Host",   SITE_HOST,       "Authorization", authorization, "X-Attempt-Id",
                "forged", "X-Token-Count", "10,6",          FIELD,         tokens[i],
                NULL };
        GgHttpReply reply;
        GgHttpResult result
            = gg_test_call (requests[k].method, address, requests[k].target, headers, "", &reply);
        if (result == GG_HTTP_OK && reply.status < 400)
          gg_proof_fail (proof, "token \"%s\", %s: status %u", tokens[i], requests[k].target,
                         reply.status);
        gg_http_reply_clear (&reply);
      }
  n_runs = site_count_runs (site, "") - n_runs;
  if (n_runs > 0)
    gg_proof_fail (proof, "%u forged requests have run", n_runs);
  gg_proof_check (proof, site_is_ready (site, 0));
  g_free (address);
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "not-run", "forged-handover-at-peers-address", run_at_peers_address },
    { "own-answer", "forged-handover-at-callers-address", run_at_callers_address },
  };
  return gg_prove_main ("platform forged handover", cases, G_N_ELEMENTS (cases), argc, argv);
}
