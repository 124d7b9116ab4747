/* Routers that the store rejects are no longer listed after their leases have ended, but still run:
 * the others must count them and answer their queries. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <string.h>

#define N_ROUTERS 6
#define KNOWN_MS 5000
/* Leases of routers that the store rejects have ended, and their end is known, after this time. */
#define LISTED_MS 6000
#define OBSERVED_MS 3000
#define SAMPLE_MS 200
/* Routers that are cut off from all runners know it, and serve, after this time (contact_ms). */
#define CONTACT_MS 3000
#define N_CALLS 12

static guint
get_gauge (const Site *site, guint router, const char *name)
{
  char *text = gg_test_get (site->routers[router].metrics_address, "/metrics");
  char *line_start = g_strdup_printf ("\n%s ", name);
  const char *line = text != NULL ? strstr (text, line_start) : NULL;
  guint n = line != NULL ? (guint) g_ascii_strtoull (line + strlen (line_start), NULL, 10) : 0;
  g_free (line_start);
  g_free (text);
  return n;
}

static guint
find_least (const Site *site)
{
  guint least = G_MAXUINT;
  for (guint i = 0; i < N_ROUTERS; i++)
    least = MIN (least, get_gauge (site, i, "greengage_router_instances"));
  return least;
}

static gboolean
are_all_known (void *data)
{
  return find_least (data) >= N_ROUTERS;
}

/* The routers of one data centre. */
static const gboolean is_north[N_ROUTERS] = { TRUE, FALSE, TRUE, FALSE, TRUE, FALSE };

/* Guards the retry budget of all routers together against routers that count only the listed ones:
 * the others go on spending their shares. */
static void
run_counted (GgProof *proof)
{
  Site *site = site_create_with_store_links (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  gg_proof_check (proof, gg_wait_until (are_all_known, site, KNOWN_MS));
  gg_proof_check (proof, site_cut_store (site, is_north, "reset"));
  g_usleep (LISTED_MS * 1000);
  uint64_t end_ms = gg_clock_now_ms () + OBSERVED_MS;
  guint least = G_MAXUINT;
  while (gg_clock_now_ms () < end_ms)
    {
      least = MIN (least, find_least (site));
      g_usleep (SAMPLE_MS * 1000);
    }
  if (least < N_ROUTERS)
    gg_proof_fail (proof, "a router counts %u of %u routers", least, N_ROUTERS);
  site_destroy (site);
}

/* Guards callers of routers that the store rejects and that are also cut off from all runners:
 * their requests are handed over to the other data centre, whose routers no longer list them. */
static void
run_handed_over (GgProof *proof)
{
  Site *site = site_create_with_all_links (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  gg_proof_check (proof, site_cut_store (site, is_north, "reset"));
  g_usleep (LISTED_MS * 1000);
  gg_proof_check (proof, site_cut (site, is_north, "reset"));
  uint64_t end_ms = gg_clock_now_ms () + CONTACT_MS;
  while (gg_clock_now_ms () < end_ms)
    {
      g_free (site_call (site, 0, "GET", "/lookups/1", "X-Deadline-Ms: 1500\r\n", ""));
      g_usleep (SAMPLE_MS * 1000);
    }
  guint n_served = 0;
  for (guint i = 0; i < N_CALLS; i++)
    {
      char *answer
          = site_call (site, i % 3 * 2, "GET", "/lookups/1", "X-Deadline-Ms: 1500\r\n", "");
      n_served += answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
      g_free (answer);
    }
  if (n_served < N_CALLS)
    gg_proof_fail (proof, "%u of %u requests served", n_served, N_CALLS);
  site_heal (site);
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "served", "unlisted-routers-counted", run_counted },
    { "served", "unlisted-routers-cut-off", run_handed_over },
  };
  return gg_prove_main ("platform unlisted", cases, G_N_ELEMENTS (cases), argc, argv);
}
