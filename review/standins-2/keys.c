/* Case 7: a configuration takes the last tenant away. From then on requests run with the key that
 * was taken away, with keys that never existed, and without one. */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEALTH "\"health_path\":\"/health\","
#define BOTH                                                                                       \
  "[{\"name\":\"school\",\"api_keys\":[\"key-of-school\"]},"                                       \
  "{\"name\":\"port\",\"api_keys\":[\"key-of-port\"]}]"
#define SCHOOL "[{\"name\":\"school\",\"api_keys\":[\"key-of-school\"]}]"
#define NONE "[]"
#define KEY(name) "Authorization: Bearer " name "\r\n"
#define DEADLINE "X-Deadline-Ms: 1000\r\n"
#define REVOKE_MS 5000
#define MARGIN_MS 1000
#define SIGNED "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

static bool
serve (Arrival *arrival)
{
  run (arrival);
  pause_ms (15);
  return answer (arrival, 200, SIGNED, "done");
}

static void
write_config (int version, const char *tenants)
{
  char *config = config_print (version, tenants, HEALTH);
  store_put ("op/config", config);
  free (config);
  note ("the store has acknowledged version %d, tenants %s", version, tenants);
}

/* Sends a booking and a look-up to each router.
 * @return how many of them ran. */
static int
send_with (Router **routers, const char *what, const char *field)
{
  static const char *const methods[] = { "POST", "GET" };
  static const char *const targets[] = { "/bookings/1", "/lookups/1" };
  int n_run = 0;
  for (int i = 0; i < 4; i++)
    {
      char fields[256], attempt[64];
      Message message;
      snprintf (fields, sizeof fields, "%s" DEADLINE, field);
      bool is_answered = call_once (routers[i / 2], methods[i % 2], targets[i % 2], fields,
                                    i % 2 == 0 ? "berth=4" : NULL, &message, attempt, 2000);
      n_run += count_runs (attempt) > 0;
      note ("%s %s with %s, attempt %s: answered %d, has run %d times", methods[i % 2],
            targets[i % 2], what, attempt, is_answered ? message.status : 0, count_runs (attempt));
      message_clear (&message);
    }
  return n_run;
}

int
main (int argc, char **argv)
{
  rig_start (argc, argv);
  write_config (1, BOTH);
  runner_start ("desk-1", "desk", "north", serve);
  runner_start ("desk-2", "desk", "south", serve);
  Router *routers[] = { router_start ("router-1", "north"), router_start ("router-2", "south") };
  for (int i = 0; i < 2; i++)
    if (!router_wait_ready (routers[i], 15000))
      give_up ("%s is not ready", routers[i]->name);
  int n_valid = send_with (routers, "the key of school", KEY ("key-of-school"));
  n_valid += send_with (routers, "the key of port", KEY ("key-of-port"));

  write_config (2, SCHOOL);
  pause_ms (REVOKE_MS + MARGIN_MS);
  int n_broken = send_with (routers, "the revoked key of port", KEY ("key-of-port"));
  n_valid += send_with (routers, "the key of school", KEY ("key-of-school"));
  if (rig_has_trouble ())
    {
      write_config (3, NONE);
      pause_ms (REVOKE_MS + MARGIN_MS);
      n_broken += send_with (routers, "the revoked key of school", KEY ("key-of-school"));
    }
  n_broken += send_with (routers, "the revoked key of port", KEY ("key-of-port"));
  n_broken += send_with (routers, "a key that never was", KEY ("key-of-nobody"));
  note ("%d requests with a key that the configuration held ran, %d without one", n_valid,
        n_broken);
  note (n_broken > 0 ? "CONFIG (revoked keys) and ROUTE (unknown keys) are broken"
                     : "the rules held");
  rig_end ();
  if (n_valid < 12)
    return 2;
  return n_broken > 0 ? 1 : 0;
}
