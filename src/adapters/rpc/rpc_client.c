#include "adapters/rpc/rpc_client.h"

#include "adapters/rpc/rpc_address.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define GG_RPC_BUFFER_SIZE_BYTES 65536
#define GG_RPC_UDP_RETRY_MS 200

static gboolean
wait_connected (int fd, uint64_t timeout_ms)
{
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  if (poll (&p, 1, (int) timeout_ms) != 1)
    return FALSE;
  int failure = 0;
  socklen_t size = sizeof failure;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0;
}

/* clnt_vc_create() on an unconnected socket would block in connect(2) without a time limit. */
static int
connect_tcp (const struct sockaddr_storage *address, socklen_t length, uint64_t timeout_ms)
{
  int fd = socket (address->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  int result = connect (fd, (const struct sockaddr *) address, length);
  if (result != 0 && (errno != EINPROGRESS || !wait_connected (fd, timeout_ms)))
    {
      close (fd);
      return -1;
    }
  int flags = fcntl (fd, F_GETFL);
  (void) fcntl (fd, F_SETFL, flags & ~O_NONBLOCK);
  return fd;
}

static struct timeval
to_timeval (uint64_t ms)
{
  return (struct timeval){ .tv_sec = (time_t) (ms / 1000),
                           .tv_usec = (suseconds_t) (ms % 1000) * 1000 };
}

CLIENT *
gg_rpc_client_create (const char *address,
                      rpcprog_t program,
                      rpcvers_t version,
                      GgRpcTransport transport,
                      uint64_t timeout_ms)
{
  struct sockaddr_storage storage;
  socklen_t length = gg_rpc_address_parse (address, &storage);
  if (length == 0)
    return NULL;
  struct netbuf target = { .maxlen = sizeof storage, .len = length, .buf = &storage };

  CLIENT *client = NULL;
  int fd = -1;
  switch (transport)
    {
    case GG_RPC_TCP:
      fd = connect_tcp (&storage, length, timeout_ms);
      if (fd >= 0)
        client = clnt_vc_create (fd, &target, program, version, 0, 0);
      break;
    case GG_RPC_UDP:
      fd = socket (storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      if (fd >= 0)
        client = clnt_dg_create (fd, &target, program, version, GG_RPC_BUFFER_SIZE_BYTES,
                                 GG_RPC_BUFFER_SIZE_BYTES);
      break;
    }
  if (client == NULL)
    {
      if (fd >= 0)
        close (fd);
      return NULL;
    }

  struct timeval timeout = to_timeval (timeout_ms);
  struct timeval retry = to_timeval (GG_RPC_UDP_RETRY_MS);
  clnt_control (client, CLSET_FD_CLOSE, NULL);
  clnt_control (client, CLSET_TIMEOUT, (char *) &timeout);
  if (transport == GG_RPC_UDP)
    clnt_control (client, CLSET_RETRY_TIMEOUT, (char *) &retry);
  return client;
}

void
gg_rpc_client_destroy (CLIENT *client)
{
  if (client != NULL)
    clnt_destroy (client);
}
