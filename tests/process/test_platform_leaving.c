/* Watches of the store that an outage or a lost reply has made useless: no request may reach a
 * runner later than the users' bound after its entry is gone, and a leader that dies is replaced in
 * time. A single router is used, since it has to watch the store by itself. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define PLAIN "X-Deadline-Ms: 1500\r\n"
#define TIMEOUT_MS 10000
/* A request must not reach a runner later than this after its entry is gone. */
#define DRAIN_MS 2000
/* For how long requests are sent after that. */
#define OBSERVED_MS 2500
/* The bound holds from this long after the end of an outage. */
#define CONTACT_MS 3000
/* Everything must work again this long after a failure. */
#define RECOVERY_MS 12000
/* Longer than the 3 s after which an entry that is not renewed expires. */
#define OUTAGE_MS 4000
/* Time for a pending watch to return a change, and to be sent again. */
#define RENEWAL_MS 900
/* Time for the layers of the models to be placed, which changes entries. */
#define SETTLE_MS 2000

/* Returns whether the look-up was served. */
static gboolean
send_lookup (void *site)
{
  char *answer = site_call (site, 0, "GET", "/lookups/1", PLAIN, "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

static void
send_for (Site *site, uint64_t ms)
{
  uint64_t end_ms = gg_clock_now_ms () + ms;
  while (gg_clock_now_ms () < end_ms)
    send_lookup (site);
}

/* Counts the requests that reach a runner later than the bound after the removal of its entry. */
static guint
count_late_requests (Site *site, SiteRunner *runner)
{
  uint64_t removed_ms = gg_clock_now_ms ();
  gg_process_signal (runner->process, SIGUSR2);
  send_for (site, DRAIN_MS);
  guint before = site_count_runs (site, runner->id);
  while (gg_clock_now_ms () < removed_ms + DRAIN_MS + OBSERVED_MS)
    send_lookup (site);
  return site_count_runs (site, runner->id) - before;
}

/* Makes the watch of the runners return, so that it is pending since a short time. */
static void
renew_watch (Site *site)
{
  g_usleep (SETTLE_MS * 1000);
  site_put (site, "servers/other", "not an entry of a runner");
  g_usleep (RENEWAL_MS * 1000);
}

/* Withdraws a runner when a fault of the store has been over for CONTACT_MS. */
static void
prove_leaving (GgProof *proof, Site *site)
{
  SiteRunner *runner = site_find_runner (site, "desk");
  uint64_t end_ms = gg_clock_now_ms () + CONTACT_MS;
  gg_proof_check (proof, gg_wait_until (send_lookup, site, TIMEOUT_MS));
  while (gg_clock_now_ms () < end_ms)
    send_lookup (site);
  guint before = site_count_runs (site, runner->id);
  send_for (site, RENEWAL_MS);
  gg_proof_check (proof, site_count_runs (site, runner->id) > before);
  gg_proof_check (proof, count_late_requests (site, runner) == 0);
}

static void
prove_after_outage (GgProof *proof, int outage_signal)
{
  Site *site = site_create (1);
  if (!gg_proof_check (proof, site != NULL))
    return;
  renew_watch (site);
  gg_process_signal (site->store, outage_signal);
  g_usleep (OUTAGE_MS * 1000);
  gg_process_signal (site->store, outage_signal);
  prove_leaving (proof, site);
  site_destroy (site);
}

/* Guards against a grace period for missing entries that begins with the late reply of a watch
 * instead of the end of the outage, and so covers a runner that leaves seconds after it. */
static void
run_store_refused (GgProof *proof)
{
  prove_after_outage (proof, SIGUSR2);
}

/* Guards against a watch that hangs on a connection which went silent in an outage, while another
 * call to the store has shown its end. */
static void
run_store_silent (GgProof *proof)
{
  prove_after_outage (proof, SIGHUP);
}

/* Guards against a watch of the runners whose reply was lost while all other calls to the store are
 * answered, so that nothing but its own time limit ends it. */
static void
run_reply_lost (GgProof *proof)
{
  Site *site = site_create (1);
  if (!gg_proof_check (proof, site != NULL))
    return;
  renew_watch (site);
  gg_proof_check (
      proof, gg_test_send ("POST", site->store_address, "/test/lose", "{\"prefix\":\"servers/\"}"));
  prove_leaving (proof, site);
  site_destroy (site);
}

static gboolean
is_leader_elected (void *data)
{
  char *output = gg_process_read_output (data);
  gboolean is_elected = strstr (output, "event=leader_elected") != NULL;
  g_free (output);
  return is_elected;
}

/* Guards against a watch of the registered routers whose reply was lost: the death of the leader
 * stays unknown until that watch ends, and meanwhile nobody places models. */
static void
run_leader_killed (GgProof *proof)
{
  Site *site = site_create (2);
  if (!gg_proof_check (proof, site != NULL))
    return;
  g_usleep (SETTLE_MS * 1000);
  guint leader = is_leader_elected (site->routers[0].process) ? 0 : 1;
  GgProcess *other = site->routers[1 - leader].process;
  gg_proof_check (proof, !is_leader_elected (other));
  gg_proof_check (proof, gg_test_send ("POST", site->store_address, "/test/lose",
                                       "{\"prefix\":\"greengage/\"}"));
  gg_process_signal (site->routers[leader].process, SIGKILL);
  gg_proof_check (proof, gg_wait_until (is_leader_elected, other, RECOVERY_MS));
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "leaving", "runner-left-after-store-refused", run_store_refused },
    { "leaving", "runner-left-after-store-silent", run_store_silent },
    { "leaving", "runner-left-after-reply-lost", run_reply_lost },
    { "layers-once", "leader-killed-after-reply-lost", run_leader_killed },
  };
  return gg_prove_main ("platform leaving", cases, G_N_ELEMENTS (cases), argc, argv);
}
