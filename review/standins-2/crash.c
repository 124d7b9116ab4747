/* Case 9: all runners of a service without a health path crash and come back. Each router that
 * sends requests to them ends by a segmentation fault, and again after each start. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define KEY "Authorization: Bearer key-of-school\r\n"
#define TENANTS "[{\"name\":\"school\",\"api_keys\":[\"key-of-school\"]}]"
#define DEADLINE "X-Deadline-Ms: 1000\r\n"
#define N_ROUTERS 2
#define N_RUNNERS 3
#define CALM_MS 4000
#define DOWN_MS 4500
/* The entry of a silent runner goes after three heartbeat intervals. */
#define EXPIRY_MS 3600
#define AFTER_MS 4000
#define CALL_MS 60
#define RESTART_MS 400
#define MAX_ENDS 3
#define SIGNED "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

static bool
serve (Arrival *arrival)
{
  run (arrival);
  pause_ms (15);
  return answer (arrival, 200, SIGNED, "done");
}

int
main (int argc, char **argv)
{
  rig_start (argc, argv);
  char *config = config_print (1, TENANTS, "");
  store_put ("op/config", config);
  free (config);
  Runner *runners[N_RUNNERS];
  Router *routers[N_ROUTERS];
  for (int i = 0; i < N_RUNNERS; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "desk-%d", i + 1);
      runners[i] = runner_start (id, "desk", i % 2 == 0 ? "north" : "south", serve);
    }
  for (int i = 0; i < N_ROUTERS; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "router-%d", i + 1);
      routers[i] = router_start (name, i % 2 == 0 ? "north" : "south");
    }
  for (int i = 0; i < N_ROUTERS; i++)
    if (!router_wait_ready (routers[i], 15000))
      give_up ("%s is not ready", routers[i]->name);

  uint64_t start_ms = now_ms ();
  uint64_t ended_ms[N_ROUTERS] = { 0 };
  int n_ends[N_ROUTERS] = { 0 };
  int n_before = 0, n_after = 0;
  bool is_down = false, is_expired = false, is_back = false;
  for (int n = 0; now_ms () < start_ms + CALM_MS + DOWN_MS + AFTER_MS; n++)
    {
      uint64_t passed_ms = now_ms () - start_ms;
      if (!is_down && passed_ms >= CALM_MS)
        {
          is_down = true;
          for (int i = 0; i < N_RUNNERS && rig_has_trouble (); i++)
            runner_kill (runners[i]);
        }
      if (!is_expired && passed_ms >= CALM_MS + EXPIRY_MS)
        {
          is_expired = true;
          for (int i = 0; i < N_RUNNERS && rig_has_trouble (); i++)
            {
              char key[64];
              snprintf (key, sizeof key, "servers/%.40s", runners[i]->id);
              store_delete (key);
            }
        }
      if (!is_back && passed_ms >= CALM_MS + DOWN_MS)
        {
          is_back = true;
          for (int i = 0; i < N_RUNNERS && rig_has_trouble (); i++)
            runner_restart (runners[i]);
        }
      /* The platform starts a process that has ended after a short delay. */
      for (int i = 0; i < N_ROUTERS; i++)
        if (ended_ms[i] != 0 && now_ms () >= ended_ms[i] + RESTART_MS)
          {
            ended_ms[i] = 0;
            router_start_again (routers[i]);
          }
        else if (ended_ms[i] == 0 && !router_is_alive (routers[i]))
          {
            ended_ms[i] = now_ms ();
            n_ends[i]++;
          }
      Message message = { 0 };
      char attempt[64];
      bool is_answered = call_once (routers[n % N_ROUTERS], "GET", "/lookups/1", KEY DEADLINE, NULL,
                                    &message, attempt, 1000);
      int status = is_answered ? message.status : 0;
      message_clear (&message);
      n_before += status == 200 && !is_down;
      n_after += status == 200 && is_back;
      if (status != 200)
        note ("look-up %s at %s: %d", attempt, routers[n % N_ROUTERS]->name, status);
      pause_ms (CALL_MS);
    }
  int n_broken = 0;
  for (int i = 0; i < N_ROUTERS; i++)
    {
      note ("%s has ended by itself %d times", routers[i]->name, n_ends[i]);
      n_broken += n_ends[i] >= MAX_ENDS;
    }
  note ("%d look-ups were served before, %d after the runners were back", n_before, n_after);
  note (n_broken >= 2 ? "Fault: on two machines a process has ended by itself three times"
                      : "the rule held");
  rig_end ();
  if (n_before < 10)
    return 2;
  return n_broken >= 2 ? 1 : 0;
}
