/* Fake network link: relays TCP connections in one poll loop. SIGUSR1 permanently stops forwarding
 * on all open connections without closing them, SIGUSR2 resets them, SIGHUP cuts the link (resets
 * open connections and refuses new ones) or restores it. It prints the line "applied" after each.
 * --delay-us is the one-way delay in microseconds. */
#include "base/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define HOST_MAX 64
#define N_FIXED 2 /* poll entries for signals and the listener */

typedef struct
{
  int fd;
  gboolean read_ended;
  size_t used;     /**< Bytes read from this side that the other side has not accepted yet. */
  uint64_t due_us; /**< When they may be forwarded. */
  char buffer[BUFFER_BYTES];
} Side;

typedef struct
{
  Side sides[2];          /**< Client, target. */
  gboolean is_blackholed; /**< Stays open, but forwards nothing. */
} Link;

static struct sockaddr_in listen_address;
static struct sockaddr_in target_address;
static int listener = -1;
static int delay_us;
static GPtrArray *links;

static gboolean
parse_address (const char *text, struct sockaddr_in *address_out)
{
  char host[HOST_MAX];
  unsigned port = 0;
  *address_out = (struct sockaddr_in){ .sin_family = AF_INET };
  gboolean valid = text && sscanf (text, "%63[0-9.]:%u", host, &port) == 2 && port <= G_MAXUINT16
                   && inet_pton (AF_INET, host, &address_out->sin_addr) == 1;
  address_out->sin_port = htons ((uint16_t) port);
  return valid;
}

static gboolean
open_listener (void)
{
  int one = 1;
  socklen_t size = sizeof listen_address;
  listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (listener, (struct sockaddr *) &listen_address, size) == 0
         && listen (listener, SOMAXCONN) == 0
         && getsockname (listener, (struct sockaddr *) &listen_address, &size) == 0;
}

static void
link_free (void *data)
{
  Link *link = data;
  close (link->sides[0].fd);
  close (link->sides[1].fd);
  g_free (link);
}

/* Makes the coming close() of the link reset both of its connections. */
static void
prepare_reset (Link *link)
{
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  for (int i = 0; i < 2; i++)
    setsockopt (link->sides[i].fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

static void
reset_all (void)
{
  for (guint i = 0; i < links->len; i++)
    prepare_reset (links->pdata[i]);
  g_ptr_array_set_size (links, 0);
}

static void
accept_link (void)
{
  int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0)
    return;
  int one = 1;
  Link *link = g_new0 (Link, 1);
  link->sides[0].fd = fd;
  link->sides[1].fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  for (int i = 0; i < 2; i++)
    setsockopt (link->sides[i].fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  g_ptr_array_add (links, link);
  struct sockaddr *target = (struct sockaddr *) &target_address;
  if (connect (link->sides[1].fd, target, sizeof target_address) != 0 && errno != EINPROGRESS)
    {
      prepare_reset (link);
      g_ptr_array_remove (links, link);
    }
}

static gboolean
is_due (const Side *side, uint64_t now_us)
{
  return side->due_us <= now_us;
}

/* Forwards bytes from one side to the other; returns FALSE if the link must be reset. */
static gboolean
forward (Side *from, Side *to, short from_events, short to_events)
{
  if (from->used == 0 && !from->read_ended && (from_events & (POLLIN | POLLHUP | POLLERR)))
    {
      ssize_t n = recv (from->fd, from->buffer, BUFFER_BYTES, 0);
      if (n < 0 && errno != EAGAIN)
        return FALSE;
      from->read_ended = n == 0;
      from->used = n > 0 ? (size_t) n : 0;
      from->due_us = delay_us > 0 ? gg_clock_now_us () + (uint64_t) delay_us : 0;
      to_events |= POLLOUT;
      if (from->read_ended)
        shutdown (to->fd, SHUT_WR);
    }
  if (from->used == 0 || !is_due (from, gg_clock_now_us ()) || !(to_events & (POLLOUT | POLLERR)))
    return TRUE;
  ssize_t n = send (to->fd, from->buffer, from->used, MSG_NOSIGNAL);
  if (n < 0)
    return errno == EAGAIN;
  from->used -= (size_t) n;
  memmove (from->buffer, from->buffer + n, from->used);
  return TRUE;
}

static short
get_wanted_events (const Side *side, const Side *other, uint64_t now_us)
{
  short events = side->used == 0 && !side->read_ended ? POLLIN : 0;
  return (short) (events | (other->used > 0 && is_due (other, now_us) ? POLLOUT : 0));
}

/* Returns the time until the first delayed bytes are due, or NULL if there are none. */
static const struct timespec *
get_poll_timeout (uint64_t now_us, struct timespec *span)
{
  uint64_t due_us = G_MAXUINT64;
  for (guint i = 0; i < links->len; i++)
    for (int side = 0; side < 2; side++)
      {
        const Side *from = &((const Link *) links->pdata[i])->sides[side];
        if (from->used > 0 && !is_due (from, now_us))
          due_us = MIN (due_us, from->due_us);
      }
  if (due_us == G_MAXUINT64)
    return NULL;
  uint64_t left_us = due_us - now_us;
  span->tv_sec = (time_t) (left_us / 1000000);
  span->tv_nsec = (long) (left_us % 1000000) * 1000;
  return span;
}

static void
serve_links (const struct pollfd *polled, guint n)
{
  for (guint i = n; i-- > 0;)
    {
      Link *link = links->pdata[i];
      Side *client = &link->sides[0];
      Side *target = &link->sides[1];
      short client_events = polled[2 * i].revents;
      short target_events = polled[2 * i + 1].revents;
      if (link->is_blackholed)
        continue;
      gboolean works = forward (client, target, client_events, target_events)
                       && forward (target, client, target_events, client_events);
      gboolean ended = client->read_ended && target->read_ended;
      if (!works)
        prepare_reset (link);
      if (!works || (ended && client->used == 0 && target->used == 0))
        g_ptr_array_remove_index (links, i);
    }
}

static void
handle_signal (uint32_t number)
{
  if (number == SIGUSR1)
    for (guint i = 0; i < links->len; i++)
      ((Link *) links->pdata[i])->is_blackholed = TRUE;
  else if (number == SIGUSR2)
    reset_all ();
  else if (number == SIGHUP && listener >= 0)
    {
      close (listener);
      listener = -1;
      reset_all ();
    }
  else if (number == SIGHUP)
    (void) open_listener ();
  else
    exit (0);
  printf ("applied\n");
  fflush (stdout);
}

static int
open_signals (void)
{
  sigset_t set;
  sigemptyset (&set);
  const int numbers[] = { SIGUSR1, SIGUSR2, SIGHUP, SIGTERM, SIGINT };
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    sigaddset (&set, numbers[i]);
  sigprocmask (SIG_BLOCK, &set, NULL);
  return signalfd (-1, &set, SFD_CLOEXEC);
}

static void
poll_once (int signals, GArray *polled)
{
  uint64_t now_us = delay_us > 0 ? gg_clock_now_us () : 0;
  struct timespec span;
  g_array_set_size (polled, 0);
  struct pollfd entry = { .fd = signals, .events = POLLIN };
  g_array_append_val (polled, entry);
  entry.fd = listener; /* poll() ignores negative descriptors */
  g_array_append_val (polled, entry);
  for (guint i = 0; i < links->len; i++)
    for (int side = 0; side < 2; side++)
      {
        const Link *link = links->pdata[i];
        entry.fd = link->is_blackholed ? -1 : link->sides[side].fd;
        entry.events = get_wanted_events (&link->sides[side], &link->sides[1 - side], now_us);
        /* Without wanted events, poll() would report a hang-up over and over. */
        if (entry.events == 0)
          entry.fd = -1;
        g_array_append_val (polled, entry);
      }
  struct pollfd *entries = (struct pollfd *) polled->data;
  if (ppoll (entries, polled->len, get_poll_timeout (now_us, &span), NULL) < 0)
    return;
  serve_links (entries + N_FIXED, links->len);
  if (entries[1].revents)
    accept_link ();
  struct signalfd_siginfo info;
  if (entries[0].revents && read (signals, &info, sizeof info) == sizeof info)
    handle_signal (info.ssi_signo);
}

int
main (int argc, char **argv)
{
  char *listen_text = NULL;
  char *target_text = NULL;
  const GOptionEntry options[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "Address of the link", "IP:PORT" },
    { "to", 0, 0, G_OPTION_ARG_STRING, &target_text, "Address of the target", "IP:PORT" },
    { "delay-us", 0, 0, G_OPTION_ARG_INT, &delay_us, "One-way delay of the link", "N" },
    G_OPTION_ENTRY_NULL,
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, options, NULL);
  gboolean parsed = g_option_context_parse (context, &argc, &argv, NULL);
  g_option_context_free (context);
  if (!parsed || !parse_address (listen_text, &listen_address)
      || !parse_address (target_text, &target_address))
    {
      fputs ("gg-fake-relay: expected --listen IP:PORT --to IP:PORT\n", stderr);
      return 2;
    }
  /* The default timer slack of 50 us would lengthen short delays. */
  prctl (PR_SET_TIMERSLACK, 1, 0, 0, 0);
  int signals = open_signals ();
  links = g_ptr_array_new_with_free_func (link_free);
  if (!open_listener ())
    {
      fprintf (stderr, "gg-fake-relay: can't listen on %s\n", listen_text);
      return 1;
    }
  char host[INET_ADDRSTRLEN];
  inet_ntop (AF_INET, &listen_address.sin_addr, host, sizeof host);
  printf ("listening %s:%u\n", host, ntohs (listen_address.sin_port));
  fflush (stdout);
  GArray *polled = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  for (;;)
    poll_once (signals, polled);
}
