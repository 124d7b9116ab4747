/* Requests with a part in their prompts that ends each runner which begins to answer them: the
 * routers must find out together which part it is and send no more such requests, while sound
 * requests that share all other parts are served; also after a restart of all routers. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define N_ROUTERS 3
/* Three registered routers and two members in each of two data centres. */
#define N_REGISTERED 6
#define N_ALL_ROUTERS 10
/* Crashes after which the users count, and how long it may take all routers to know of them. */
#define COUNTED_CRASHES 5
#define CONTACT_MS 3000
/* Runners that may crash after that. */
#define MAX_LATER_CRASHES 3
#define ATTACK_MS 12000
#define ROUND_MS 60
#define AWAY_MS 3000
/* Leases of routers that the store rejects have ended, and their end is known, after this time. */
#define UNLISTED_MS 6000
#define TIMEOUT_MS 15000

typedef struct
{
  guint n_crashes;
  guint n_later_crashes;
  uint64_t counted_ms; /* when the last of the counted crashes was seen; 0: not yet */
  guint n_sound;       /* sound requests since the crashes are to be over */
  guint n_served;
} Tally;

static guint n_requests;
/* The part that ends runners; it also tells the stand-in at which moment. */
static const char *deadly_part = "dead";

/* Sends a request whose other parts are those of all requests; returns whether it was served. */
static gboolean
send_stream (Site *site, guint router, gboolean is_deadly)
{
  n_requests++;
  char *fields = g_strdup_printf ("X-Token-Count: 100,20\r\nX-Deadline-Ms: 3000\r\n"
                                  "X-Prefix-Hash: a1:40,%s%s%x:20,%x:40\r\n",
                                  is_deadly ? deadly_part : "", is_deadly ? ":10," : "",
                                  0x10000 + n_requests, 0x20000 + n_requests);
  char *answer = site_call (site, router, "POST", "/drafts/1", fields, "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200")
                       && strstr (answer, "id: 6\n") != NULL;
  g_free (answer);
  g_free (fields);
  return is_served;
}

static void
note_crashes (Tally *tally, guint n)
{
  uint64_t now_ms = gg_clock_now_ms ();
  tally->n_crashes += n;
  if (tally->counted_ms != 0 && now_ms > tally->counted_ms + CONTACT_MS)
    tally->n_later_crashes += n;
  if (tally->counted_ms == 0 && tally->n_crashes >= COUNTED_CRASHES)
    tally->counted_ms = now_ms;
}

/* Sends deadly and sound requests to all routers in turn, and starts crashed runners again. */
static void
attack (Site *site, Tally *tally, uint64_t for_ms)
{
  uint64_t begun_ms = gg_clock_now_ms ();
  for (guint i = 0; gg_clock_now_ms () < begun_ms + for_ms; i++)
    {
      send_stream (site, i % site->n_routers, TRUE);
      gboolean is_served = send_stream (site, (i + 1) % site->n_routers, FALSE);
      if (gg_clock_now_ms () > begun_ms + for_ms / 2)
        {
          tally->n_sound++;
          tally->n_served += is_served;
        }
      g_usleep (ROUND_MS * 1000);
      note_crashes (tally, site_revive_runners (site));
    }
}

static gboolean
is_served_everywhere (void *data)
{
  for (guint i = 0; i < N_ROUTERS; i++)
    if (!send_stream (data, i, FALSE))
      return FALSE;
  return TRUE;
}

static void
check_tally (GgProof *proof, const Tally *tally)
{
  if (tally->n_later_crashes > MAX_LATER_CRASHES)
    gg_proof_fail (proof, "%u runners crashed, %u of them too late", tally->n_crashes,
                   tally->n_later_crashes);
  /* Half as often as without the deadly requests, when all are served. */
  if (tally->n_served * 2 < tally->n_sound)
    gg_proof_fail (proof, "%u of %u sound requests were served", tally->n_served, tally->n_sound);
}

/* Guards against a part of prompts that takes down runner after runner, since no router sees more
 * than a few of the crashes. */
static void
run_crashing_part (GgProof *proof)
{
  Tally tally = { 0 };
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  attack (site, &tally, ATTACK_MS);
  check_tally (proof, &tally);
  site_destroy (site);
}

/* Guards against a part that stays unknown since the runner crashes before a byte of the answer has
 * left it. */
static void
run_crash_before_head (GgProof *proof)
{
  deadly_part = "deadb";
  run_crashing_part (proof);
  deadly_part = "dead";
}

/* Guards against a part that is taken for served, since the runner crashes only after the first
 * event of the answer. */
static void
run_crash_after_event (GgProof *proof)
{
  deadly_part = "deada";
  run_crashing_part (proof);
  deadly_part = "dead";
}

/* Guards against members that don't learn what the registered routers know: each of them would pass
 * on deadly requests of its own. */
static void
run_crashing_part_with_members (GgProof *proof)
{
  Tally tally = { 0 };
  Site *site = site_create_sized (N_ALL_ROUTERS, N_REGISTERED);
  if (!gg_proof_check (proof, site != NULL))
    return;
  attack (site, &tally, ATTACK_MS);
  check_tally (proof, &tally);
  site_destroy (site);
}

/* Guards against routers that have to find out again after all of them were killed, at the cost of
 * as many runners. */
static void
run_crashing_part_and_restart (GgProof *proof)
{
  Tally tally = { 0 };
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  attack (site, &tally, ATTACK_MS);
  for (guint i = 0; i < N_ROUTERS; i++)
    gg_process_signal (site->routers[i].process, SIGKILL);
  for (guint i = 0; i < N_ROUTERS; i++)
    {
      gg_process_wait_exit (site->routers[i].process, TIMEOUT_MS);
      site_start_router (site, i);
    }
  gg_proof_check (proof, gg_wait_until (is_served_everywhere, site, TIMEOUT_MS));
  attack (site, &tally, ATTACK_MS / 2);
  check_tally (proof, &tally);
  site_destroy (site);
}

/* Guards against a router that starts again while the store is away, and has to find out anew what
 * the others know. */
static void
run_crashing_part_and_store_away (GgProof *proof)
{
  Tally tally = { 0 };
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  attack (site, &tally, ATTACK_MS / 2);
  gg_process_signal (site->store, SIGUSR2);
  gg_process_signal (site->routers[0].process, SIGKILL);
  gg_process_wait_exit (site->routers[0].process, TIMEOUT_MS);
  site_start_router (site, 0);
  attack (site, &tally, AWAY_MS);
  gg_process_signal (site->store, SIGUSR2);
  gg_proof_check (proof, gg_wait_until (is_served_everywhere, site, TIMEOUT_MS));
  attack (site, &tally, ATTACK_MS / 2);
  if (tally.n_later_crashes > MAX_LATER_CRASHES)
    gg_proof_fail (proof, "%u runners crashed, %u of them too late", tally.n_crashes,
                   tally.n_later_crashes);
  site_destroy (site);
}

/* Guards against routers that the store rejects, which are no longer listed, and don't receive what
 * the others know. */
static void
run_crashing_part_and_rejected (GgProof *proof)
{
  static const gboolean is_rejected[2 * N_ROUTERS] = { TRUE, FALSE, TRUE, FALSE, TRUE };
  Tally tally = { 0 };
  Site *site = site_create_with_store_links (2 * N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  gg_proof_check (proof, site_cut_store (site, is_rejected, "reset"));
  g_usleep (UNLISTED_MS * 1000);
  attack (site, &tally, ATTACK_MS);
  check_tally (proof, &tally);
  site_destroy (site);
}

/* Whether every router has logged an event. */
static gboolean
has_logged_everywhere (const Site *site, const char *event)
{
  for (guint i = 0; i < site->n_routers; i++)
    {
      char *output = gg_process_read_output (site->routers[i].process);
      gboolean is_logged = strstr (output, event) != NULL;
      g_free (output);
      if (!is_logged)
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_quarantined_everywhere (void *site)
{
  return has_logged_everywhere (site, "event=part_quarantined");
}

static gboolean
is_released_everywhere (void *site)
{
  return has_logged_everywhere (site, "event=part_released");
}

/* Guards against a quarantine that operators can't end after a fix of the engine. */
static void
run_release_by_operator (GgProof *proof)
{
  Tally tally = { 0 };
  Site *site = site_create (N_ROUTERS);
  if (!gg_proof_check (proof, site != NULL))
    return;
  attack (site, &tally, ATTACK_MS / 2);
  gg_proof_check (proof, gg_wait_until (is_quarantined_everywhere, site, CONTACT_MS));
  g_usleep (CONTACT_MS * 1000); /* the leader has written the list */
  gg_proof_check (proof, gg_test_send ("POST", site->store_address, "/test/put",
                                       "{\"deletes\":[\"greengage/quarantine\"]}"));
  gg_proof_check (proof, gg_wait_until (is_released_everywhere, site, CONTACT_MS));
  site_destroy (site);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "crashes-contained", "crashing-part", run_crashing_part },
    { "crashes-contained", "crash-before-head", run_crash_before_head },
    { "crashes-contained", "crash-after-event", run_crash_after_event },
    { "crashes-contained", "crashing-part-with-members", run_crashing_part_with_members },
    { "crashes-contained", "crashing-part-and-restart", run_crashing_part_and_restart },
    { "crashes-contained", "crashing-part-and-store-away", run_crashing_part_and_store_away },
    { "crashes-contained", "crashing-part-and-routers-rejected", run_crashing_part_and_rejected },
    { "crashes-contained", "release-by-operator", run_release_by_operator },
  };
  return gg_prove_main ("platform crashing part", cases, G_N_ELEMENTS (cases), argc, argv);
}
