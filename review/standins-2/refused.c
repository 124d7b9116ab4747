/* Case 6: a runner that fails a part of its requests makes the booking and then answers 503 without
 * X-Not-Executed. Callers are told 503, which promises that the booking was not made, and book
 * again. With HOW=spoiled the 503 is not the runner's answer at all: it stands in the place of a
 * spoiled one and has neither the attempt's id nor a signature. */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY "Authorization: Bearer key-of-school\r\n"
#define TENANTS "[{\"name\":\"school\",\"api_keys\":[\"key-of-school\"]}]"
#define HEALTH "\"health_path\":\"/health\","
#define WORK_MS 15
#define DEADLINE "X-Deadline-Ms: 1000\r\n"
#define MAX_ORDERS 1200
#define N_ORDERS 160
#define ORDER_MS 75
#define GREY_FROM_MS 3000
#define GREY_MS 6500
/* Of the requests of the grey runner. */
#define GREY_SHARE 0.4
/* With HOW=spoiled: of the answers of one runner, for 5 s at a time, with pauses. */
#define N_ORDERS_SPOILED 1200
#define ORDER_SPOILED_MS 15
#define SPOILED_SHARE 0.02
#define SPOILED_MS 5000
#define SPOILED_PAUSE_MS 1000
/* Runners close a channel now and then, so that there are answers that are the first on theirs. */
#define CLOSE_EVERY 8
#define SIGNED "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

static uint64_t play_ms;
static bool is_spoiling;

static bool
is_troubled (void)
{
  uint64_t now = now_ms ();
  if (!rig_has_trouble () || play_ms == 0)
    return false;
  if (is_spoiling)
    return (now - play_ms) % (SPOILED_MS + SPOILED_PAUSE_MS) < SPOILED_MS;
  return now >= play_ms + GREY_FROM_MS && now < play_ms + GREY_FROM_MS + GREY_MS;
}

static bool
serve (Arrival *arrival)
{
  run (arrival);
  pause_ms (WORK_MS);
  bool is_last = is_spoiling && arrival->number % CLOSE_EVERY == 0;
  return answer (arrival, 200, is_last ? SIGNED "Connection: close\r\n" : SIGNED, "booked")
         && !is_last;
}

/* Whether this answer of the troubled runner is one of those that fail. */
static bool
is_failing (const Arrival *arrival)
{
  static unsigned n, n_failed;
  if (!is_troubled ())
    return false;
  unsigned number = __sync_add_and_fetch (&n, 1);
  if (!is_spoiling)
    return (number - 1) % 5 < 5 * GREY_SHARE;
  if (arrival->number != 1 || n_failed + 1 > number * SPOILED_SHARE)
    return false;
  n_failed++;
  return true;
}

/* Runs each request, whatever becomes of its answer. */
static bool
serve_troubled (Arrival *arrival)
{
  static const char spoiled[] = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  if (!is_failing (arrival))
    return serve (arrival);
  run (arrival);
  pause_ms (WORK_MS);
  note ("%s has run %s and answers 503, without X-Not-Executed", arrival->runner->id,
        arrival->attempt);
  if (is_spoiling)
    return send_all (arrival->fd, spoiled, sizeof spoiled - 1);
  return answer (arrival, 503, SIGNED, "the booking was stored, its confirmation failed");
}

/* Statuses that promise that the request has not run. */
static bool
is_promise (int status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

int
main (int argc, char **argv)
{
  const char *how = getenv ("HOW");
  rig_start (argc, argv);
  is_spoiling = how != NULL && strcmp (how, "spoiled") == 0;
  int n_orders = is_spoiling ? N_ORDERS_SPOILED : N_ORDERS;
  char *config = config_print (1, TENANTS, HEALTH);
  store_put ("op/config", config);
  free (config);
  runner_start ("desk-1", "desk", "north", serve_troubled);
  runner_start ("desk-2", "desk", "south", serve);
  runner_start ("desk-3", "desk", "south", serve);
  Router *routers[] = { router_start ("router-1", "north"), router_start ("router-2", "south") };
  for (int i = 0; i < 2; i++)
    if (!router_wait_ready (routers[i], 15000))
      give_up ("%s is not ready", routers[i]->name);

  static char refused[MAX_ORDERS * 2][64];
  int n_refused = 0, n_broken = 0, n_twice = 0, n_served = 0;
  play_ms = now_ms ();
  for (int i = 0; i < n_orders; i++)
    {
      int n_runs = 0;
      /* One retry, after a promise alone, on a new channel at the other router. */
      for (int try = 0; try < 2; try++)
        {
          Message message;
          char attempt[64];
          bool is_answered = call_once (routers[(i + try) % 2], "POST", "/bookings/1", KEY DEADLINE,
                                        "berth=4", &message, attempt, 2000);
          int status = is_answered ? message.status : 0;
          message_clear (&message);
          n_runs += count_runs (attempt);
          if (status != 200)
            note ("order %d, attempt %s: answered %d; has run %d times", i, attempt, status,
                  count_runs (attempt));
          n_served += status == 200;
          if (!is_promise (status))
            break;
          snprintf (refused[n_refused++], sizeof refused[0], "%s", attempt);
        }
      n_twice += n_runs > 1;
      pause_ms (is_spoiling ? ORDER_SPOILED_MS : ORDER_MS);
    }
  pause_ms (1000);
  for (int i = 0; i < n_refused; i++)
    n_broken += count_runs (refused[i]) > 0;
  note ("%d orders, %d served; %d attempts answered 429, 503, 408 or 421, of which %d have run; "
        "%d orders booked twice",
        n_orders, n_served, n_refused, n_broken, n_twice);
  note (n_broken > 0 ? "REFUSED is broken" : "the rule held");
  rig_end ();
  if (n_served < n_orders / 2)
    return 2;
  return n_broken > 0 ? 1 : 0;
}
