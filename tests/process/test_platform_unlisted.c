/* Routers that the store turns away are no longer listed after their leases have ended, but still
 * run: the others must go on reckoning with them. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <string.h>

#define N_ROUTERS 6
#define KNOWN_MS 5000
/* Leases of routers that the store turns away have ended, and their end is known, after this time.
 */
#define LISTED_MS 6000
#define OBSERVED_MS 3000
#define SAMPLE_MS 200

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

/* Guards the retry budget of all routers together against routers that count only the listed ones:
 * the others go on spending their shares. */
static void
run_counted (GgProof *proof)
{
  /* The routers of one data centre. */
  static const gboolean is_cut[N_ROUTERS] = { TRUE, FALSE, TRUE, FALSE, TRUE, FALSE };
  Site *site = site_create_with_store_links (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  gg_proof_check (proof, gg_wait_until (are_all_known, site, KNOWN_MS));
  gg_proof_check (proof, site_cut_store (site, is_cut, "reset"));
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

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "served", "unlisted-routers-counted", run_counted },
  };
  return gg_prove_main ("platform unlisted", cases, G_N_ELEMENTS (cases), argc, argv);
}
