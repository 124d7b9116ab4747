/* Routers that rely on a few registered ones: they must not call the store, must get changes in
 * time also when the registered ones die or hang, and must not use a revoked key after a restart.
 */
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define STREAM "X-Token-Count: 100,20\r\nX-Deadline-Ms: 5000\r\n"
#define PLAIN "X-Deadline-Ms: 1500\r\n"
/* Three registered routers and two members in each of two data centres. Even numbers are in one
 * data centre, odd ones in the other. */
#define N_REGISTERED 6
#define N_ROUTERS 10
#define TIMEOUT_MS 10000
#define QUIET_MS 2500
/* A configuration must be in force this soon, also if the source has just failed. */
#define APPLY_MS 2000

static Site *site;
static gboolean is_down[N_ROUTERS];

static guint64
count_store_calls (guint router)
{
  char *text = gg_test_get (site->routers[router].metrics_address, "/metrics");
  const char *name = "greengage_router_store_calls_total{";
  guint64 n = 0;
  for (const char *line = text; line != NULL && (line = strstr (line, name)) != NULL; line++)
    n += g_ascii_strtoull (strchr (line, ' '), NULL, 10);
  g_free (text);
  return n;
}

/* Whether no member has called the store for a while. */
static gboolean
is_store_left_alone (void *data)
{
  guint64 before[N_ROUTERS];
  for (guint i = N_REGISTERED; i < N_ROUTERS; i++)
    before[i] = count_store_calls (i);
  g_usleep (QUIET_MS * 1000);
  for (guint i = N_REGISTERED; i < N_ROUTERS; i++)
    if (count_store_calls (i) != before[i])
      return FALSE;
  return TRUE;
}

static gboolean
has_status (guint router, const char *status)
{
  char *answer = site_call (site, router, "GET", "/lookups/1", PLAIN, "");
  char *expected = g_strconcat ("HTTP/1.1 ", status, NULL);
  gboolean is_equal = answer != NULL && g_str_has_prefix (answer, expected);
  g_free (expected);
  g_free (answer);
  return is_equal;
}

static gboolean
has_status_everywhere (void *status)
{
  for (guint i = 0; i < N_ROUTERS; i++)
    if (!is_down[i] && !has_status (i, status))
      return FALSE;
  return TRUE;
}

static gboolean
is_ready_everywhere (void *data)
{
  for (guint i = 0; i < N_ROUTERS; i++)
    if (!is_down[i] && !site_is_ready (site, i))
      return FALSE;
  return TRUE;
}

static void
kill_router (guint i)
{
  gg_process_signal (site->routers[i].process, SIGKILL);
  gg_process_wait_exit (site->routers[i].process, TIMEOUT_MS);
  is_down[i] = TRUE;
}

static void
start_router (guint i)
{
  site_start_router (site, i);
  is_down[i] = FALSE;
}

static void
run_quiet (GgProof *proof)
{
  gg_proof_check (proof, gg_wait_until (is_store_left_alone, NULL, TIMEOUT_MS));
  site_write_config (site, 2, FALSE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "401", APPLY_MS));
  site_write_config (site, 3, TRUE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "200", APPLY_MS));
  gg_proof_check (proof, gg_wait_until (is_store_left_alone, NULL, TIMEOUT_MS));
}

/* The source of one data centre is killed, then the one that took its place hangs. */
static void
run_sources_lost (GgProof *proof)
{
  kill_router (0);
  site_write_config (site, 4, FALSE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "401", APPLY_MS));
  gg_process_signal (site->routers[2].process, SIGSTOP);
  is_down[2] = TRUE;
  site_write_config (site, 5, TRUE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "200", APPLY_MS));
  gg_process_signal (site->routers[2].process, SIGCONT);
  is_down[2] = FALSE;
  start_router (0);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "200", TIMEOUT_MS));
}

/* All registered routers are killed: the members serve on, take over and receive changes. */
static void
run_all_registered_lost (GgProof *proof)
{
  for (guint i = 0; i < N_REGISTERED; i++)
    kill_router (i);
  g_usleep (APPLY_MS * 1000);
  site_write_config (site, 6, FALSE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "401", APPLY_MS));
  site_write_config (site, 7, TRUE);
  gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "200", APPLY_MS));
  for (guint i = 0; i < N_REGISTERED; i++)
    start_router (i);
  gg_proof_check (proof, gg_wait_until (is_ready_everywhere, NULL, TIMEOUT_MS));
}

/* A member starts again just after a key was revoked: it never accepts the key, whichever peer it
 * reads the configuration from. */
static void
run_restart_after_revocation (GgProof *proof)
{
  for (guint round = 0; round < 4; round++)
    {
      guint member = N_REGISTERED + round % (N_ROUTERS - N_REGISTERED);
      guint n_accepted = 0;
      kill_router (member);
      site_write_config (site, 8 + 2 * round, FALSE);
      start_router (member);
      for (guint i = 0; i < 20; i++)
        {
          n_accepted += has_status (member, "200");
          g_usleep (20 * 1000);
        }
      gg_proof_check (proof, n_accepted == 0);
      gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "401", TIMEOUT_MS));
      site_write_config (site, 9 + 2 * round, TRUE);
      gg_proof_check (proof, gg_wait_until (has_status_everywhere, (void *) "200", APPLY_MS));
    }
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "config", "platform-members-quiet", run_quiet },
    { "config", "platform-sources-lost", run_sources_lost },
    { "config", "platform-all-registered-lost", run_all_registered_lost },
    { "config", "platform-restart-after-revocation", run_restart_after_revocation },
  };
  site = site_create_sized (N_ROUTERS, N_REGISTERED);
  if (site == NULL)
    return 1;
  int status = gg_prove_main ("platform members", cases, G_N_ELEMENTS (cases), argc, argv);
  site_destroy (site);
  return status;
}
