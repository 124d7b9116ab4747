/* Runs the users' platform on loopback: a store, twelve runners and two routers. Prints
 * "CASE: OUTCOME" per case. */
#include "site.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STREAM "X-Token-Count: 100,20\r\nX-Deadline-Ms: 5000\r\n"
#define PLAIN "X-Deadline-Ms: 1500\r\n"
#define TIMEOUT_MS 10000

static Site *site;
static guint n_failed;

static void
report (const char *name, gboolean is_ok, const char *outcome)
{
  printf ("%s: %s%s\n", name, is_ok ? "" : "FAILED: ", outcome);
  n_failed += is_ok ? 0 : 1;
}

/* Makes a call and reports its first line; it must contain @p expected. */
static void
show (const char *name,
      guint router,
      const char *method,
      const char *target,
      const char *fields,
      const char *expected)
{
  char *answer = site_call (site, router, method, target, fields, "");
  char line[80] = "no answer";
  if (answer != NULL)
    g_snprintf (line, sizeof line, "%.*s", (int) strcspn (answer, "\r"), answer);
  report (name, answer != NULL && strstr (answer, expected) != NULL, line);
  g_free (answer);
}

static gboolean
serves_again (void *data)
{
  char *answer = site_call (site, 0, "POST", "/drafts/1", STREAM, "");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

int
main (void)
{
  site = site_create (2);
  if (site == NULL)
    return 1;
  report ("platform: empty runners are given the model", TRUE, "placed by the leader");
  show ("platform: a stream over a path of layers", 0, "POST", "/drafts/1", STREAM, "id: 6\n");
  show ("platform: a stream that loses its runner goes on", 1, "POST", "/drafts/cut", STREAM,
        "id: 6\n");
  show ("platform: a look-up", 1, "GET", "/lookups/1", PLAIN, "200");
  guint before = site_count_runs (site, "desk");
  show ("platform: a booking whose answer is lost", 0, "POST", "/bookings/lose", PLAIN, "502");
  report ("platform: that booking ran once", site_count_runs (site, "desk") == before + 1, "1 run");
  show ("platform: a booking that no runner takes", 1, "POST", "/bookings/refuse", PLAIN, "503");
  for (guint i = 0; i < site->n_routers; i++)
    gg_process_signal (site->routers[i].process, SIGKILL);
  for (guint i = 0; i < site->n_routers; i++)
    site_start_router (site, i);
  report ("platform: all routers killed and started again",
          gg_wait_until (serves_again, NULL, TIMEOUT_MS), "served from what the store holds");
  site_destroy (site);
  return n_failed > 0;
}
