/* A router judges its own links to the runners. Sound links must cause no probes; when no runner
 * answers and no peer reaches one, probes must be few, the links must not count as down, and the
 * runners must be used again as soon as they answer. */
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ROUTERS 2
#define N_LOOKUPS 60
#define FROZEN_MS 2000
/* By then a router must doubt its links. */
#define DOUBT_MS 1000
/* Three at the beginning and one each 300 ms, for all links and once more for a single service. */
#define MAX_PROBES 20
#define FIELDS "X-Deadline-Ms: 5000\r\n"

static Site *site;

/* Returns the value of a counter of a router; -1 if it is not exported. */
static int
get_counter (guint router, const char *name)
{
  char *text = gg_test_get (site->routers[router].metrics_address, "/metrics");
  char *label = g_strconcat ("\n", name, " ", NULL);
  const char *at = text != NULL ? strstr (text, label) : NULL;
  int value = at != NULL ? atoi (at + strlen (label)) : -1;
  g_free (label);
  g_free (text);
  return value;
}

static gboolean
is_lookup_served (guint router)
{
  char *answer = site_call (site, router, "GET", "/lookups/1", FIELDS, "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

static void
signal_runners (int signal_number)
{
  for (guint i = 0; i < site->n_runners; i++)
    gg_process_signal (site->runners[i].process, signal_number);
}

/* Guards against probes that load the runners although nothing is wrong. */
static void
run_sound_links (GgProof *proof)
{
  int before = get_counter (0, "greengage_router_link_probes_total");
  guint n_served = 0;
  for (guint i = 0; i < N_LOOKUPS; i++)
    n_served += is_lookup_served (0) ? 1 : 0;
  gg_proof_check (proof, n_served == N_LOOKUPS);
  gg_proof_check (proof, get_counter (0, "greengage_router_link_probes_total") == before);
  gg_proof_check (proof, get_counter (0, "greengage_router_links_state") == 0);
}

static gpointer
send_lookup (gpointer data)
{
  (void) data;
  is_lookup_served (0);
  return NULL;
}

/* Guards against routers that take an outage of all runners for a fault of their own links, probe
 * without bound, or avoid the runners after they have come back. */
static void
run_outage_of_all_runners (GgProof *proof)
{
  int before = get_counter (0, "greengage_router_link_probes_total");
  signal_runners (SIGSTOP);
  GThread *thread = g_thread_new ("lookup", send_lookup, NULL);
  g_usleep (DOUBT_MS * 1000);
  gg_proof_check (proof, get_counter (0, "greengage_router_links_state") == 1);
  g_usleep ((FROZEN_MS - DOUBT_MS) * 1000);
  int n_probes = get_counter (0, "greengage_router_link_probes_total") - before;
  gg_proof_check (proof, n_probes >= 2 && n_probes <= MAX_PROBES);
  signal_runners (SIGCONT);
  g_thread_join (thread);
  gg_proof_check (proof, is_lookup_served (0));
  gg_proof_check (proof, get_counter (0, "greengage_router_links_state") == 0);
  gg_proof_check (proof, get_counter (0, "greengage_router_links_down_total") == 0);
  printf ("probes in %d ms: %d\n", FROZEN_MS, n_probes);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "own-answer", "sound-links", run_sound_links },
    { "own-answer", "outage-of-all-runners", run_outage_of_all_runners },
  };
  site = site_create (N_ROUTERS);
  if (site == NULL)
    return 1;
  int status = gg_prove_main ("platform links", cases, G_N_ELEMENTS (cases), argc, argv);
  site_destroy (site);
  return status;
}
