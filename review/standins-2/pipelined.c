/* Case 8: a planned stop. Callers that keep their channels have sent two look-ups on each, one
 * behind the other. The router reads both, answers the first and drops the second. */
#include "rig.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY "Authorization: Bearer key-of-school\r\n"
#define TENANTS "[{\"name\":\"school\",\"api_keys\":[\"key-of-school\"]}]"
#define HEALTH "\"health_path\":\"/health\","
#define N_CHANNELS 4
#define WORK_MS 600
#define TERM_AFTER_MS 100
#define LOSS_SLACK_MS 200
#define GRACE_MS 8000
#define SIGNED "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"

static bool
serve (Arrival *arrival)
{
  run (arrival);
  pause_ms (WORK_MS);
  return answer (arrival, 200, SIGNED, "berth 4 is free");
}

typedef struct
{
  int fd;
  char attempts[2][64];
  uint64_t sent_ms;
} Channel;

/* Sends two look-ups at once; both are inside the limits and may be repeated. */
static void
send_pair (Channel *self)
{
  Text text = { 0 };
  for (int i = 0; i < 2; i++)
    {
      new_attempt (self->attempts[i]);
      text_add (&text,
                "GET /lookups/%d HTTP/1.1\r\nHost: " HOST "\r\nX-Attempt-Id: %s\r\n"
                "X-Deadline-Ms: 4000\r\n" KEY "\r\n",
                i + 1, self->attempts[i]);
    }
  send_all (self->fd, text.bytes, text.length);
  self->sent_ms = now_ms ();
  note ("look-ups %s and %s are sent on one channel", self->attempts[0], self->attempts[1]);
  text_clear (&text);
}

/* Returns how the channel has ended: "in order" shows that the router had read all that was sent,
 * as a channel that is closed with unread bytes is reset. */
static const char *
get_end (int fd)
{
  char c;
  struct pollfd entry = { .fd = fd, .events = POLLIN };
  if (poll (&entry, 1, 500) <= 0)
    return "open";
  return recv (fd, &c, 1, MSG_PEEK) == 0 ? "closed in order" : "reset";
}

int
main (int argc, char **argv)
{
  rig_start (argc, argv);
  char *config = config_print (1, TENANTS, HEALTH);
  store_put ("op/config", config);
  free (config);
  runner_start ("desk-1", "desk", "north", serve);
  runner_start ("desk-2", "desk", "south", serve);
  Router *routers[] = { router_start ("router-1", "north"), router_start ("router-2", "south") };
  for (int i = 0; i < 2; i++)
    if (!router_wait_ready (routers[i], 15000))
      give_up ("%s is not ready", routers[i]->name);
  pause_ms (4000); /* more than contact_ms of calm */

  Channel channels[N_CHANNELS] = { 0 };
  for (int i = 0; i < N_CHANNELS; i++)
    {
      Message message;
      char fields[256], attempt[64];
      channels[i].fd = connect_to (routers[0]->callers);
      new_attempt (attempt);
      snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n" KEY, attempt);
      if (channels[i].fd < 0
          || !call (channels[i].fd, "GET", "/lookups/0", fields, NULL, &message, 4000)
          || message.status != 200)
        give_up ("no answer before the stop");
      note ("look-up %s, alone on its channel, is answered %d", attempt, message.status);
      message_clear (&message);
    }
  for (int i = 0; i < N_CHANNELS; i++)
    send_pair (&channels[i]);
  pause_ms (TERM_AFTER_MS);
  uint64_t term_ms = now_ms ();
  if (rig_has_trouble ())
    router_signal (routers[0], SIGTERM);

  int n_answered = 0, n_lost = 0;
  for (int i = 0; i < N_CHANNELS; i++)
    for (int k = 0; k < 2; k++)
      {
        Message message;
        bool is_answered
            = message_read (channels[i].fd, &message, true, GRACE_MS) && message.is_whole;
        uint64_t waited_ms = now_ms () - channels[i].sent_ms;
        if (is_answered)
          {
            note ("look-up %s is answered %d", channels[i].attempts[k], message.status);
            n_answered++;
          }
        else
          {
            const char *end = get_end (channels[i].fd);
            bool is_lost = waited_ms > LOSS_SLACK_MS && strcmp (end, "open") != 0;
            note ("look-up %s has no answer: channel %s, %llu ms after its last byte; runs: %d",
                  channels[i].attempts[k], end, (unsigned long long) waited_ms,
                  count_runs (channels[i].attempts[k]));
            n_lost += is_lost;
          }
        message_clear (&message);
      }
  if (rig_has_trouble ())
    while (router_is_alive (routers[0]) && now_ms () < term_ms + GRACE_MS)
      pause_ms (100);
  note ("of %d look-ups that were sent whole before the stop, %d were answered and %d lost",
        2 * N_CHANNELS, n_answered, n_lost);
  note (n_lost > 0 ? "LOST is broken" : "the rule held");
  rig_end ();
  if (n_answered < N_CHANNELS)
    return 2;
  return n_lost > 0 ? 1 : 0;
}
