/* A store that comes back from an older copy: revisions are given out again, and what was written
 * last is gone. What is written after that must reach all routers, also while fewer changes follow
 * than were lost; nothing that they know to have ended may come back; and there is one leader, with
 * a higher fencing token than all before. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define N_ROUTERS 6
/* Three registered routers and two members in each of two data centres. */
#define N_REGISTERED 6
#define N_ALL_ROUTERS 10
#define PLAIN "X-Deadline-Ms: 1500\r\n"
/* Bounds of the users: a configuration is in force, and a leaving runner unused, after this time.
 */
#define APPLY_MS 2000
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define OBSERVED_MS 2500
/* A leader is elected again within this time. */
#define ELECTION_MS 8000
#define SETTLE_MS 2500
/* Writes after the copy: the store's revision falls back by so many, which is more than follow
 * within the time of a case. */
#define N_LOST_WRITES 800

static gboolean
is_status (Site *site, guint router, const char *status)
{
  char *answer = site_call (site, router, "GET", "/lookups/1", PLAIN, "");
  gboolean is = answer != NULL && g_str_has_prefix (answer, status);
  g_free (answer);
  return is;
}

static gboolean
is_key_accepted_everywhere (void *data)
{
  Site *site = data;
  for (guint i = 0; i < site->n_routers; i++)
    if (!is_status (site, i, "HTTP/1.1 200"))
      return FALSE;
  return TRUE;
}

static gboolean
is_key_refused_everywhere (void *data)
{
  Site *site = data;
  for (guint i = 0; i < site->n_routers; i++)
    if (!is_status (site, i, "HTTP/1.1 401"))
      return FALSE;
  return TRUE;
}

static void
send_to_store (const Site *site, const char *target)
{
  if (!gg_test_send ("POST", site->store_address, target, "{}"))
    g_printerr ("site: the store did not answer %s\n", target);
}

static void
write_much (const Site *site)
{
  for (guint i = 0; i < N_LOST_WRITES; i++)
    {
      char *value = g_strdup_printf ("%u", i);
      site_put (site, "other/key", value);
      g_free (value);
    }
}

/* Restores the store after a short outage. */
static void
restore (const Site *site)
{
  gg_process_signal (site->store, SIGUSR2);
  g_usleep (300 * 1000);
  send_to_store (site, "/test/restore");
  gg_process_signal (site->store, SIGUSR2);
}

static Site *
create_site (GgProof *proof, gboolean has_members)
{
  Site *site
      = has_members ? site_create_sized (N_ALL_ROUTERS, N_REGISTERED) : site_create (N_ROUTERS);
  if (gg_proof_check (proof, site != NULL))
    g_usleep (SETTLE_MS * 1000);
  return site;
}

/* Takes the key away after the restore, when no other writes follow. */
static void
prove_configuration (GgProof *proof, gboolean has_members)
{
  Site *site = create_site (proof, has_members);
  if (site == NULL)
    return;
  send_to_store (site, "/test/copy");
  write_much (site);
  site_write_config (site, 2, TRUE);
  gg_proof_check (proof, gg_wait_until (is_key_accepted_everywhere, site, APPLY_MS));
  restore (site);
  gg_proof_check (proof, gg_wait_until (is_key_accepted_everywhere, site, CONTACT_MS));
  g_usleep (CONTACT_MS * 1000);
  site_write_config (site, 3, FALSE);
  gg_proof_check (proof, gg_wait_until (is_key_refused_everywhere, site, APPLY_MS));
  site_destroy (site);
}

/* Guards against routers that drop a configuration since its revision is not above the one that
 * they knew before the store was restored. */
static void
run_configuration (GgProof *proof)
{
  prove_configuration (proof, FALSE);
}

/* The same for members, which learn of it from reports of their source. */
static void
run_configuration_with_members (GgProof *proof)
{
  prove_configuration (proof, TRUE);
}

/* Guards against a key that works again since the restored store holds an older configuration. */
static void
run_key_stays_withdrawn (GgProof *proof)
{
  Site *site = create_site (proof, TRUE);
  if (site == NULL)
    return;
  send_to_store (site, "/test/copy");
  write_much (site);
  site_write_config (site, 2, FALSE);
  gg_proof_check (proof, gg_wait_until (is_key_refused_everywhere, site, APPLY_MS));
  restore (site);
  uint64_t end_ms = gg_clock_now_ms () + CONTACT_MS;
  while (gg_clock_now_ms () < end_ms)
    for (guint i = 0; i < site->n_routers; i++)
      gg_proof_check (proof, !is_status (site, i, "HTTP/1.1 200"));
  site_destroy (site);
}

/* Sends look-ups to all routers, and returns how many a runner has run. */
static guint
count_runs (Site *site, const char *runner, uint64_t for_ms)
{
  guint before = site_count_runs (site, runner);
  uint64_t end_ms = gg_clock_now_ms () + for_ms;
  for (guint i = 0; gg_clock_now_ms () < end_ms; i++)
    is_status (site, i % site->n_routers, "HTTP/1.1 200");
  return site_count_runs (site, runner) - before;
}

/* Guards against a leaving that part of the routers never learns, since its revision was given out
 * before the store was restored. */
static void
run_runner_leaves_after_restore (GgProof *proof)
{
  Site *site = create_site (proof, TRUE);
  if (site == NULL)
    return;
  const SiteRunner *runner = site_find_runner (site, "desk");
  send_to_store (site, "/test/copy");
  write_much (site);
  g_usleep (SETTLE_MS * 1000);
  restore (site);
  g_usleep (CONTACT_MS * 1000);
  gg_proof_check (proof, count_runs (site, runner->id, OBSERVED_MS) > 0);
  gg_process_signal (runner->process, SIGUSR2);
  count_runs (site, runner->id, DRAIN_MS);
  gg_proof_check (proof, count_runs (site, runner->id, OBSERVED_MS) == 0);
  site_destroy (site);
}

/* Guards against a runner that had left and is used again since the restored store lists it. The
 * stand-in of the runner writes nothing more, so its entry stays. */
static void
run_runner_stays_gone (GgProof *proof)
{
  Site *site = create_site (proof, TRUE);
  if (site == NULL)
    return;
  const SiteRunner *runner = site_find_runner (site, "desk");
  send_to_store (site, "/test/copy");
  write_much (site);
  gg_process_signal (runner->process, SIGUSR2);
  count_runs (site, runner->id, DRAIN_MS);
  restore (site);
  gg_proof_check (proof, count_runs (site, runner->id, OBSERVED_MS) == 0);
  site_destroy (site);
}

typedef struct
{
  guint n_elected;
  uint64_t fence;   /* the highest one */
  gboolean is_same; /* two elections had the same one */
} Elections;

static Elections
read_elections (const Site *site)
{
  Elections elections = { 0 };
  GHashTable *fences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < site->n_routers; i++)
    {
      char *output = gg_process_read_output (site->routers[i].process);
      for (const char *at = output; (at = strstr (at, "event=leader_elected fence=")) != NULL;)
        {
          at = strchr (at + strlen ("event="), '=') + 1;
          char *end = NULL;
          uint64_t fence = g_ascii_strtoull (at, &end, 10);
          elections.is_same |= !g_hash_table_add (fences, g_strndup (at, (gsize) (end - at)));
          elections.fence = MAX (elections.fence, fence);
          elections.n_elected++;
        }
      g_free (output);
    }
  g_hash_table_unref (fences);
  return elections;
}

typedef struct
{
  const Site *site;
  guint n_before;
} Awaited;

static gboolean
has_new_leader (void *data)
{
  const Awaited *awaited = data;
  return read_elections (awaited->site).n_elected > awaited->n_before;
}

static guint
find_leader (const Site *site)
{
  for (guint i = 0; i < site->n_routers; i++)
    {
      char *output = gg_process_read_output (site->routers[i].process);
      gboolean is_leader = strstr (output, "event=leader_elected") != NULL;
      g_free (output);
      if (is_leader)
        return i;
    }
  return 0;
}

/* Guards against two leaders with one fencing token: the second one is elected under a revision
 * that the store has given out before, while the first one is suspended and still believes to lead.
 */
static void
run_fence_grows (GgProof *proof)
{
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  Elections before = read_elections (site);
  Awaited awaited = { site, before.n_elected };
  guint leader = find_leader (site);
  send_to_store (site, "/test/copy");
  write_much (site);
  gg_process_signal (site->routers[leader].process, SIGKILL);
  gg_process_wait_exit (site->routers[leader].process, CONTACT_MS);
  site_start_router (site, leader);
  gg_proof_check (proof, before.n_elected > 0);
  awaited.n_before = read_elections (site).n_elected;
  gg_proof_check (proof, gg_wait_until (has_new_leader, &awaited, ELECTION_MS));
  Elections lost = read_elections (site);
  awaited.n_before = lost.n_elected;
  restore (site);
  gg_proof_check (proof, gg_wait_until (has_new_leader, &awaited, ELECTION_MS));
  Elections after = read_elections (site);
  gg_proof_check (proof, !after.is_same);
  gg_proof_check (proof, lost.fence > before.fence && after.fence > lost.fence);
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "config", "store-restored", run_configuration },
    { "config", "store-restored-with-members", run_configuration_with_members },
    { "config", "key-stays-withdrawn-after-restore", run_key_stays_withdrawn },
    { "leaving", "runner-leaves-after-restore", run_runner_leaves_after_restore },
    { "leaving", "runner-stays-gone-after-restore", run_runner_stays_gone },
    { "layers-once", "fence-grows-over-a-restore", run_fence_grows },
  };
  return gg_prove_main ("platform restored", cases, G_N_ELEMENTS (cases), argc, argv);
}
