/* Runners that name a rate limit while the store rejects the calls of some routers:
 * the routers know different lists of registered routers then, and must agree on who hands out the
 * permits all the same. The soak takes its seed from GG_SEED. */
#include "base/clock.h"
#include "http_client.h"
#include "prove.h"
#include "site.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_ROUTERS 6
#define N_CALLERS_EACH 2
#define N_DESKS 2
/* Requests a second. */
#define LIMIT 20.0
#define LIMIT_TEXT "20.0"
/* The users' rule: after this time, at most 1.5 times the limit and 5 requests in any window. */
#define CONTACT_MS 3000
#define WINDOW_MS 4000
#define MAX_FACTOR 1.5
#define MAX_EXTRA 5
/* The target while all routers run: most of the limit is used, and the callers of each router are
 * served at least half as often as on average. */
#define MIN_USE 0.9
#define MIN_PART 0.5
/* Leases have ended, and their end is known, after this time. */
#define LISTED_MS 5000
#define REJECTED_MS 9000
#define RETURNED_MS 3000
#define CALLER_PAUSE_MS 5
/* Callers that were refused come back after the Retry-After, but within a third of their deadline.
 */
#define MAX_RETURN_MS 500
#define SAMPLE_MS 50
/* Of the soak. */
#define SOAK_MS 30000
#define MAX_STEP_MS 3000
#define MAX_REJECTED 2
#define RESTART_PERCENT 20
#define DEFAULT_SEED 1

typedef struct Play Play;

typedef struct
{
  Play *play;
  guint router;
  guint n_served;
  guint n_served_late; /* since the play's late_ms */
  GThread *thread;
} Caller;

typedef struct
{
  uint64_t time_ms;
  guint n_runs[N_DESKS];
} Sample;

struct Play
{
  Site *site;
  const SiteRunner *desks[N_DESKS];
  Caller callers[N_ROUTERS * N_CALLERS_EACH];
  GArray *samples; /* Sample */
  gint is_over;
  uint64_t late_ms; /* 0: not yet */
};

static uint64_t
get_pause_ms (const char *answer)
{
  const char *retry_after = answer != NULL ? strstr (answer, "\r\nRetry-After: ") : NULL;
  if (retry_after == NULL)
    return CALLER_PAUSE_MS;
  double retry_after_s = g_ascii_strtod (strchr (retry_after, ':') + 1, NULL);
  return (uint64_t) CLAMP (retry_after_s * 1000, CALLER_PAUSE_MS, MAX_RETURN_MS);
}

static void *
run_caller (void *data)
{
  Caller *caller = data;
  while (!g_atomic_int_get (&caller->play->is_over))
    {
      char *answer = site_call (caller->play->site, caller->router, "GET", "/lookups/1",
                                "X-Deadline-Ms: 1500\r\n", "");
      if (answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200"))
        {
          caller->n_served++;
          caller->n_served_late
              += caller->play->late_ms != 0 && gg_clock_now_ms () >= caller->play->late_ms;
        }
      uint64_t pause_ms = get_pause_ms (answer);
      g_free (answer);
      g_usleep (pause_ms * 1000);
    }
  return NULL;
}

/* Starts a deployment whose callers send more than the limits allow, and waits until the routers
 * keep to them.
 * @param other_data_centre of the second desk; the first one is in the data centre of the first
 *   router. */
static Play *
begin (GgProof *proof, const char *other_data_centre)
{
  Play *play = g_new0 (Play, 1);
  play->site = site_create_with_store_links (N_ROUTERS);
  if (!gg_proof_check (proof, play->site != NULL))
    {
      g_free (play);
      return NULL;
    }
  play->desks[0] = site_find_runner (play->site, "desk-north");
  play->desks[1] = site_find_runner (play->site, "desk-south");
  if (strcmp (other_data_centre, play->desks[1]->data_centre) != 0)
    {
      gg_process_signal (play->desks[1]->process, SIGTERM);
      play->desks[1] = &play->site->runners[play->site->n_runners];
      site_add_desk (play->site, other_data_centre);
    }
  play->samples = g_array_new (FALSE, FALSE, sizeof (Sample));
  for (guint i = 0; i < N_DESKS; i++)
    site_set_limit (play->site, play->desks[i]->id, LIMIT_TEXT);
  for (guint i = 0; i < G_N_ELEMENTS (play->callers); i++)
    {
      play->callers[i] = (Caller){ .play = play, .router = i % N_ROUTERS };
      play->callers[i].thread = g_thread_new ("caller", run_caller, &play->callers[i]);
    }
  g_usleep (CONTACT_MS * 1000);
  return play;
}

/* Records what the runners run for a while. */
static void
observe (Play *play, uint64_t for_ms)
{
  uint64_t end_ms = gg_clock_now_ms () + for_ms;
  while (gg_clock_now_ms () < end_ms)
    {
      Sample sample = { .time_ms = gg_clock_now_ms () };
      for (guint i = 0; i < N_DESKS; i++)
        sample.n_runs[i] = site_count_runs (play->site, play->desks[i]->id);
      g_array_append_val (play->samples, sample);
      g_usleep (SAMPLE_MS * 1000);
    }
}

/* Ends the callers and checks the rule.
 * @param min_use least part of each limit that is to be used. */
static void
end (GgProof *proof, Play *play, double min_use)
{
  g_atomic_int_set (&play->is_over, TRUE);
  for (guint i = 0; i < G_N_ELEMENTS (play->callers); i++)
    g_thread_join (play->callers[i].thread);
  const Sample *samples = (const Sample *) play->samples->data;
  const Sample *last = &samples[play->samples->len - 1];
  for (guint k = 0; k < N_DESKS; k++)
    {
      guint worst = 0;
      guint first = 0;
      for (guint i = 0; i < play->samples->len; i++)
        {
          while (samples[first].time_ms + WINDOW_MS < samples[i].time_ms)
            first++;
          worst = MAX (worst, samples[i].n_runs[k] - samples[first].n_runs[k]);
        }
      double allowed = MAX_FACTOR * LIMIT * WINDOW_MS / 1000 + MAX_EXTRA;
      double use = (last->n_runs[k] - samples[0].n_runs[k])
                   / (LIMIT * (double) (last->time_ms - samples[0].time_ms) / 1000);
      printf ("  %s: at most %u requests in 4 s, %.2f of the limit used\n", play->desks[k]->id,
              worst, use);
      if (worst > allowed)
        gg_proof_fail (proof, "%s ran %u requests in 4 s, allowed %.0f", play->desks[k]->id, worst,
                       allowed);
      if (use < min_use)
        gg_proof_fail (proof, "%s ran only %.2f of its limit", play->desks[k]->id, use);
    }
}

/* The callers of each router were served their part since late_ms. */
static void
check_parts (GgProof *proof, const Play *play)
{
  guint n_served[N_ROUTERS] = { 0 };
  guint sum = 0;
  for (guint i = 0; i < G_N_ELEMENTS (play->callers); i++)
    {
      n_served[play->callers[i].router] += play->callers[i].n_served_late;
      sum += play->callers[i].n_served_late;
    }
  for (guint i = 0; i < N_ROUTERS; i++)
    if (n_served[i] < MIN_PART * sum / N_ROUTERS)
      gg_proof_fail (proof, "router %u served %u of %u requests", i, n_served[i], sum);
}

static void
destroy (Play *play)
{
  site_destroy (play->site);
  g_array_unref (play->samples);
  g_free (play);
}

static void
reject (GgProof *proof, Play *play, const char *mode)
{
  static const gboolean is_cut[N_ROUTERS] = { TRUE, FALSE, TRUE };
  gg_proof_check (proof, site_cut_store (play->site, is_cut, mode));
  observe (play, LISTED_MS);
  play->late_ms = gg_clock_now_ms ();
  observe (play, REJECTED_MS - LISTED_MS);
}

/* Guards against two routers that hand out the permits of the same runner, as the routers that the
 * store rejects go on with the allocator of before while the others follow its successor. */
static void
run_two_cut (GgProof *proof, const char *mode)
{
  static const gboolean none[N_ROUTERS] = { FALSE };
  Play *play = begin (proof, "south");
  if (play == NULL)
    return;
  reject (proof, play, mode);
  gg_proof_check (proof, site_cut_store (play->site, none, mode));
  observe (play, RETURNED_MS);
  end (proof, play, MIN_USE);
  check_parts (proof, play);
  destroy (play);
}

static void
run_two_rejected (GgProof *proof)
{
  run_two_cut (proof, "reset");
}

static void
run_two_unanswered (GgProof *proof)
{
  run_two_cut (proof, "silent");
}

/* Guards against callers who are refused since their router, which the store rejects, gets no
 * permits from itself or from others. */
static void
run_first_rejected (GgProof *proof)
{
  static const gboolean is_first_cut[N_ROUTERS] = { TRUE };
  Play *play = begin (proof, "north");
  if (play == NULL)
    return;
  gg_proof_check (proof, site_cut_store (play->site, is_first_cut, "reset"));
  observe (play, LISTED_MS);
  play->late_ms = gg_clock_now_ms ();
  observe (play, REJECTED_MS - LISTED_MS);
  end (proof, play, MIN_USE);
  check_parts (proof, play);
  destroy (play);
}

/* Guards against limited runners that stay unused after the router that hands out the permits has
 * stopped while the store rejected it, and against routers that do not find its successor. */
static void
run_allocator_stops (GgProof *proof)
{
  Play *play = begin (proof, "south");
  if (play == NULL)
    return;
  reject (proof, play, "reset");
  gg_process_signal (play->site->routers[0].process, SIGTERM);
  observe (play, WINDOW_MS);
  guint n_before = play->callers[2].n_served;
  observe (play, WINDOW_MS);
  /* A router that is still rejected. */
  gg_proof_check (proof, play->callers[2].n_served > n_before);
  end (proof, play, MIN_USE);
  destroy (play);
}

/* Chooses routers that the store rejects from now on. */
static void
change_rejected (GgProof *proof, Play *play, GRand *random)
{
  gboolean is_cut[N_ROUTERS] = { FALSE };
  for (gint n = g_rand_int_range (random, 0, MAX_REJECTED + 1); n > 0; n--)
    is_cut[g_rand_int_range (random, 0, N_ROUTERS)] = TRUE;
  gg_proof_check (
      proof, site_cut_store (play->site, is_cut, g_rand_boolean (random) ? "reset" : "silent"));
}

/* Guards against the same in series of such outages that overlap, beside routers that are stopped
 * or killed and started again. */
static void
run_soak (GgProof *proof)
{
  const char *text = g_getenv ("GG_SEED");
  guint32 seed = text != NULL ? (guint32) g_ascii_strtoull (text, NULL, 10) : DEFAULT_SEED;
  GRand *random = g_rand_new_with_seed (seed);
  Play *play = begin (proof, "south");
  if (play == NULL)
    return;
  guint n_restarts = 0;
  uint64_t end_ms = gg_clock_now_ms () + SOAK_MS;
  while (gg_clock_now_ms () < end_ms)
    {
      if (g_rand_int_range (random, 0, 100) < RESTART_PERCENT)
        {
          guint i = (guint) g_rand_int_range (random, 0, N_ROUTERS);
          GgProcess *process = play->site->routers[i].process;
          gg_process_signal (process, g_rand_boolean (random) ? SIGKILL : SIGTERM);
          observe (play, (uint64_t) g_rand_int_range (random, 0, MAX_STEP_MS));
          site_start_router (play->site, i);
          n_restarts++;
        }
      change_rejected (proof, play, random);
      observe (play, (uint64_t) g_rand_int_range (random, 0, MAX_STEP_MS));
    }
  printf ("  seed %u: %u restarts\n", seed, n_restarts);
  end (proof, play, 0);
  destroy (play);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  static const GgProofCase cases[] = {
    { "limit-kept", "two-routers-rejected-by-store", run_two_rejected },
    { "limit-kept", "two-routers-unanswered-by-store", run_two_unanswered },
    { "limit-kept", "first-router-rejected-by-store", run_first_rejected },
    { "limit-kept", "rejected-allocator-stops", run_allocator_stops },
    { "limit-kept", "soak", run_soak },
  };
  return gg_prove_main ("platform limit and store", cases, G_N_ELEMENTS (cases), argc, argv);
}
