/* Links between routers and runners: forwards connections from public addresses to the runners
 * behind them (--links "PUBLIC=RUNNER,PUBLIC=RUNNER"), and cuts some routers off from all of them.
 * GET /test/cut/MODE/PID,PID,... at its own address (--listen) begins a cut of the processes, GET
 * /test/heal ends it. The kernel tells which process a connection comes from. The modes:
 * "silent": open connections and new ones carry nothing until the cut ends, and go on then unless
 * they have been reset;
 * "reset": open connections are reset, new ones as well, as soon as they are accepted;
 * "refuse-new": open connections live on, new ones are reset as soon as they are accepted.
 * GET /test/count returns the number of connections that were cut since the start. */
#include "fake_loop.h"
#include "loop/address.h"

#include <dirent.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CUT_TARGET "/test/cut/"

typedef enum
{
  CUT_NONE,
  CUT_SILENT,
  CUT_RESET,
  CUT_REFUSE_NEW,
} CutMode;

static struct
{
  GgFakeLoop *fake;
  GHashTable *connections; /* set of Connection */
  CutMode mode;
  char **pids; /* of the routers that are cut off */
  guint n_cut;
  int diag_fd;
} links;

typedef struct
{
  struct bufferevent *router_end;
  struct bufferevent *runner_end;
  gboolean is_silent;
  gboolean is_ending; /* closes once the output to the other end is sent */
} Connection;

static void
close_end (struct bufferevent *end, gboolean is_reset)
{
  struct linger linger = { .l_onoff = 1 };
  if (is_reset)
    setsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  bufferevent_free (end);
}

static void
close_connection (Connection *self, gboolean is_reset)
{
  g_hash_table_remove (links.connections, self);
  close_end (self->router_end, is_reset);
  close_end (self->runner_end, is_reset);
  g_free (self);
}

static struct bufferevent *
get_other_end (const Connection *self, const struct bufferevent *end)
{
  return end == self->router_end ? self->runner_end : self->router_end;
}

static void
on_input (struct bufferevent *end, void *data)
{
  bufferevent_write_buffer (get_other_end (data, end), bufferevent_get_input (end));
}

static void
on_sent (struct bufferevent *end, void *data)
{
  Connection *self = data;
  if (self->is_ending && evbuffer_get_length (bufferevent_get_output (self->router_end)) == 0
      && evbuffer_get_length (bufferevent_get_output (self->runner_end)) == 0)
    close_connection (self, FALSE);
}

static void
on_end (struct bufferevent *end, short what, void *data)
{
  Connection *self = data;
  struct bufferevent *other = get_other_end (self, end);
  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  if ((what & BEV_EVENT_ERROR) != 0 || self->is_ending)
    close_connection (self, (what & BEV_EVENT_ERROR) != 0);
  else if (evbuffer_get_length (bufferevent_get_output (other)) == 0)
    close_connection (self, FALSE);
  else
    self->is_ending = TRUE;
}

/* Returns the inode of the socket at the other end of @p fd; 0 if there is none. */
static uint32_t
find_peer_inode (int fd)
{
  struct sockaddr_in own;
  struct sockaddr_in peer;
  socklen_t size = sizeof own;
  if (getsockname (fd, (struct sockaddr *) &own, &size) != 0
      || getpeername (fd, (struct sockaddr *) &peer, &size) != 0)
    return 0;
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_req_v2 body;
  } request
      = { .head = { .nlmsg_len = sizeof request,
                    .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                    .nlmsg_flags = NLM_F_REQUEST },
          .body = { .sdiag_family = AF_INET, .sdiag_protocol = IPPROTO_TCP, .idiag_states = ~0U } };
  request.body.id.idiag_sport = peer.sin_port;
  request.body.id.idiag_dport = own.sin_port;
  request.body.id.idiag_src[0] = peer.sin_addr.s_addr;
  request.body.id.idiag_dst[0] = own.sin_addr.s_addr;
  request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_msg body;
    char rest[1024];
  } reply;
  if (send (links.diag_fd, &request, sizeof request, 0) != (ssize_t) sizeof request
      || recv (links.diag_fd, &reply, sizeof reply, 0)
             < (ssize_t) (sizeof reply.head + sizeof reply.body)
      || reply.head.nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  return reply.body.idiag_inode;
}

static gboolean
has_socket (const char *pid, uint32_t inode)
{
  char *folder = g_strdup_printf ("/proc/%s/fd", pid);
  char *expected = g_strdup_printf ("socket:[%u]", inode);
  DIR *entries = opendir (folder);
  gboolean is_found = FALSE;
  const struct dirent *entry;
  while (!is_found && entries != NULL && (entry = readdir (entries)) != NULL)
    {
      char text[64];
      ssize_t n = readlinkat (dirfd (entries), entry->d_name, text, sizeof text - 1);
      is_found
          = n > 0 && (size_t) n == strlen (expected) && strncmp (text, expected, (size_t) n) == 0;
    }
  if (entries != NULL)
    closedir (entries);
  g_free (expected);
  g_free (folder);
  return is_found;
}

/* Returns whether the other end of @p fd belongs to a router that is cut off. */
static gboolean
is_cut_off (int fd)
{
  if (links.mode == CUT_NONE)
    return FALSE;
  uint32_t inode = find_peer_inode (fd);
  for (char **pid = links.pids; inode != 0 && *pid != NULL; pid++)
    if (has_socket (*pid, inode))
      return TRUE;
  return FALSE;
}

static void
set_silent (Connection *self, gboolean is_silent)
{
  self->is_silent = is_silent;
  if (is_silent)
    {
      bufferevent_disable (self->router_end, EV_READ | EV_WRITE);
      bufferevent_disable (self->runner_end, EV_READ | EV_WRITE);
    }
  else
    {
      bufferevent_enable (self->router_end, EV_READ | EV_WRITE);
      bufferevent_enable (self->runner_end, EV_READ | EV_WRITE);
    }
}

static void
cut_connection (Connection *self)
{
  links.n_cut++;
  switch (links.mode)
    {
    case CUT_SILENT:
      set_silent (self, TRUE);
      break;
    case CUT_RESET:
      close_connection (self, TRUE);
      break;
    case CUT_NONE:
    case CUT_REFUSE_NEW:
      break;
    }
}

static void
begin_cut (CutMode mode, const char *pids)
{
  links.mode = mode;
  g_strfreev (links.pids);
  links.pids = g_strsplit (pids, ",", -1);
  GList *all = g_hash_table_get_keys (links.connections);
  for (GList *l = all; l != NULL; l = l->next)
    if (is_cut_off (bufferevent_getfd (((Connection *) l->data)->router_end)))
      cut_connection (l->data);
  g_list_free (all);
}

static gboolean
is_reset (struct bufferevent *end)
{
  int failure = 0;
  socklen_t size = sizeof failure;
  return getsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_ERROR, &failure, &size) != 0
         || failure != 0;
}

static void
end_cut (void)
{
  links.mode = CUT_NONE;
  GList *all = g_hash_table_get_keys (links.connections);
  for (GList *l = all; l != NULL; l = l->next)
    {
      Connection *connection = l->data;
      if (!connection->is_silent)
        continue;
      /* What a router sent before it reset the connection does not arrive any more. */
      if (is_reset (connection->router_end) || is_reset (connection->runner_end))
        close_connection (connection, TRUE);
      else
        set_silent (connection, FALSE);
    }
  g_list_free (all);
}

static struct bufferevent *
create_end (struct event_base *base, evutil_socket_t fd, Connection *connection)
{
  struct bufferevent *end = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (end, on_input, on_sent, on_end, connection);
  return end;
}

static void
set_no_delay (const struct bufferevent *end)
{
  int one = 1;
  setsockopt (bufferevent_getfd ((struct bufferevent *) end), IPPROTO_TCP, TCP_NODELAY, &one,
              sizeof one);
}

static void
on_accepted (struct evconnlistener *listener,
             evutil_socket_t fd,
             struct sockaddr *peer,
             int size,
             void *data)
{
  const struct sockaddr_in *target = data;
  struct event_base *base = evconnlistener_get_base (listener);
  gboolean is_cut = is_cut_off (fd);
  Connection *connection = g_new0 (Connection, 1);
  connection->router_end = create_end (base, fd, connection);
  if (is_cut && links.mode != CUT_SILENT)
    {
      links.n_cut++;
      close_end (connection->router_end, TRUE);
      g_free (connection);
      return;
    }
  connection->runner_end = create_end (base, -1, connection);
  g_hash_table_add (links.connections, connection);
  set_silent (connection, FALSE);
  /* A failure is reported to on_end() later. */
  bufferevent_socket_connect (connection->runner_end, (const struct sockaddr *) target,
                              sizeof *target);
  set_no_delay (connection->router_end);
  set_no_delay (connection->runner_end);
  if (is_cut)
    cut_connection (connection);
}

static gboolean
add_link (const char *text)
{
  char **addresses = g_strsplit (text, "=", 2);
  struct sockaddr_in own;
  struct sockaddr_in *target = g_new0 (struct sockaddr_in, 1);
  gboolean is_added
      = addresses[0] != NULL && addresses[1] != NULL
        && gg_address_resolve (addresses[0], &own, NULL)
        && gg_address_resolve (addresses[1], target, NULL)
        && evconnlistener_new_bind (gg_loop_get_base (gg_fake_loop_get_loop (links.fake)),
                                    on_accepted, target, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                    -1, (struct sockaddr *) &own, sizeof own)
               != NULL;
  if (!is_added)
    g_free (target);
  g_strfreev (addresses);
  return is_added;
}

static CutMode
parse_mode (const char *text)
{
  if (g_str_has_prefix (text, "silent/"))
    return CUT_SILENT;
  if (g_str_has_prefix (text, "reset/"))
    return CUT_RESET;
  return g_str_has_prefix (text, "refuse-new/") ? CUT_REFUSE_NEW : CUT_NONE;
}

static void
on_request (GgServerConnection *connection,
            const char *method,
            const char *target,
            JsonObject *body)
{
  char text[32] = "";
  uint32_t status = 200;
  if (g_str_has_prefix (target, CUT_TARGET))
    {
      const char *mode = target + strlen (CUT_TARGET);
      if (parse_mode (mode) != CUT_NONE)
        begin_cut (parse_mode (mode), strchr (mode, '/') + 1);
      else
        status = 400;
    }
  else if (strcmp (target, "/test/heal") == 0)
    end_cut ();
  else if (strcmp (target, "/test/count") == 0)
    g_snprintf (text, sizeof text, "%u", links.n_cut);
  else
    status = 404;
  gg_fake_loop_reply (connection, status, text);
}

int
main (int argc, char **argv)
{
  links.fake = gg_fake_loop_create (argc, argv, on_request, NULL);
  links.connections = g_hash_table_new (NULL, NULL);
  links.diag_fd = socket (AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  const char *list = gg_fake_loop_get_option (links.fake, "links");
  char **all = g_strsplit (list != NULL ? list : "", ",", -1);
  for (char **link = all; *link != NULL; link++)
    if (!add_link (*link))
      {
        fprintf (stderr, "can't serve the link %s\n", *link);
        return 2;
      }
  g_strfreev (all);
  if (links.diag_fd < 0)
    {
      fprintf (stderr, "the kernel does not tell the owners of sockets\n");
      return 2;
    }
  return gg_fake_loop_run (links.fake);
}
