#include "adapters/rpc/rpc_server.h"

#include "adapters/rpc/rpc_address.h"

#include <errno.h>
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc_com.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#define GG_RPC_SERVER_BACKLOG 64
#define GG_RPC_SERVER_POLL_MS 100
/* Size limit of a UDP payload; a digest must fit into one datagram. */
#define GG_RPC_SERVER_DATAGRAM_BYTES 65507
/* With these values, the connection of a caller that disappeared is closed after about a
 * minute. */
#define GG_RPC_SERVER_KEEPALIVE_IDLE_S 30
#define GG_RPC_SERVER_KEEPALIVE_INTERVAL_S 10
#define GG_RPC_SERVER_KEEPALIVE_PROBES 3

struct _GgRpcServer
{
  rpcprog_t program;
  rpcvers_t version;
  SVCXPRT *tcp;
  SVCXPRT *udp;
  uint16_t port;
  gboolean started;
  atomic_bool stopping;
  pthread_t thread;
};

static uint16_t
read_port (int fd)
{
  struct sockaddr_storage bound;
  socklen_t length = sizeof bound;
  if (getsockname (fd, (struct sockaddr *) &bound, &length) != 0)
    return 0;
  return ntohs (bound.ss_family == AF_INET6 ? ((struct sockaddr_in6 *) &bound)->sin6_port
                                            : ((struct sockaddr_in *) &bound)->sin_port);
}

static void
set_port (struct sockaddr_storage *address, uint16_t port)
{
  if (address->ss_family == AF_INET6)
    ((struct sockaddr_in6 *) address)->sin6_port = htons (port);
  else
    ((struct sockaddr_in *) address)->sin_port = htons (port);
}

static void
set_option (int fd, int level, int name, int value)
{
  (void) setsockopt (fd, level, name, &value, sizeof value);
}

/* Accepted connections inherit these options. */
static void
set_tcp_options (int fd)
{
  set_option (fd, SOL_SOCKET, SO_REUSEADDR, 1);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, GG_RPC_SERVER_KEEPALIVE_IDLE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, GG_RPC_SERVER_KEEPALIVE_INTERVAL_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, GG_RPC_SERVER_KEEPALIVE_PROBES);
}

static int
bind_socket (const struct sockaddr_storage *address, socklen_t length, int type)
{
  int fd = socket (address->ss_family, type | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (type == SOCK_STREAM)
    set_tcp_options (fd);
  gboolean bound = bind (fd, (const struct sockaddr *) address, length) == 0
                   && (type != SOCK_STREAM || listen (fd, GG_RPC_SERVER_BACKLOG) == 0);
  if (!bound)
    {
      int saved = errno;
      close (fd);
      errno = saved;
      return -1;
    }
  return fd;
}

static gboolean
create_transports (GgRpcServer *self, struct sockaddr_storage *address, socklen_t length)
{
  int tcp = bind_socket (address, length, SOCK_STREAM);
  if (tcp < 0)
    return FALSE;
  self->port = read_port (tcp);
  self->tcp = svc_vc_create (tcp, 0, 0);

  set_port (address, self->port);
  int udp = bind_socket (address, length, SOCK_DGRAM);
  if (udp < 0)
    return FALSE;
  self->udp = svc_dg_create (udp, GG_RPC_SERVER_DATAGRAM_BYTES, GG_RPC_SERVER_DATAGRAM_BYTES);
  return self->tcp != NULL && self->udp != NULL;
}

GgRpcServer *
gg_rpc_server_create (const char *address,
                      rpcprog_t program,
                      rpcvers_t version,
                      GgRpcDispatch dispatch,
                      int max_record_bytes,
                      GError **error)
{
  struct sockaddr_storage storage;
  socklen_t length = gg_rpc_address_parse (address, &storage);
  /* With a record size limit, libtirpc reads connections without blocking; otherwise a caller that
   * sends an incomplete message blocks the service thread for 35 s. */
  rpc_control (RPC_SVC_CONNMAXREC_SET, &max_record_bytes);

  GgRpcServer *self = g_new0 (GgRpcServer, 1);
  self->program = program;
  self->version = version;
  if (length != 0 && create_transports (self, &storage, length)
      && svc_reg (self->tcp, program, version, dispatch, NULL)
      && svc_reg (self->udp, program, version, dispatch, NULL))
    return self;

  int saved = errno;
  g_set_error (error, G_IO_ERROR, g_io_error_from_errno (saved), "cannot serve on %s: %s", address,
               length == 0 ? "not of the form IP:PORT" : g_strerror (saved));
  gg_rpc_server_destroy (self);
  return NULL;
}

static void
serve_once (struct pollfd **fds, int *capacity)
{
  int n = svc_max_pollfd;
  if (n > *capacity)
    {
      *capacity = n;
      *fds = g_renew (struct pollfd, *fds, n);
    }
  memcpy (*fds, svc_pollfd, (size_t) n * sizeof **fds);
  int ready = poll (*fds, (nfds_t) n, GG_RPC_SERVER_POLL_MS);
  if (ready > 0)
    svc_getreq_poll (*fds, ready);
}

static void *
serve (void *data)
{
  GgRpcServer *self = data;
  struct pollfd *fds = NULL;
  int capacity = 0;
  while (!atomic_load (&self->stopping))
    serve_once (&fds, &capacity);
  g_free (fds);
  return NULL;
}

void
gg_rpc_server_start (GgRpcServer *self)
{
  int failure = pthread_create (&self->thread, NULL, serve, self);
  g_assert (failure == 0);
  self->started = TRUE;
}

void
gg_rpc_server_destroy (GgRpcServer *self)
{
  if (self == NULL)
    return;
  atomic_store (&self->stopping, true);
  if (self->started)
    pthread_join (self->thread, NULL);
  svc_unreg (self->program, self->version);
  if (self->tcp != NULL)
    svc_destroy (self->tcp);
  if (self->udp != NULL)
    svc_destroy (self->udp);
  g_free (self);
}

uint16_t
gg_rpc_server_get_port (const GgRpcServer *self)
{
  return self->port;
}
