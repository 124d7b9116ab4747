#include "loop/datagram.h"

#include "loop/address.h"

#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BYTES 2048

struct _GgDatagramSocket
{
  int fd;
  struct event *event;
  GgDatagramFunc func;
  void *data;
};

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  GgDatagramSocket *self = data;
  char bytes[MAX_BYTES];
  ssize_t n = recv (fd, bytes, sizeof bytes, 0);
  if (n > 0)
    self->func (self->data, bytes, (size_t) n);
}

GgDatagramSocket *
gg_datagram_socket_create (
    GgLoop *loop, const char *address, GgDatagramFunc func, void *data, GError **error)
{
  struct sockaddr_in local;
  if (!gg_address_resolve (address, &local, error))
    return NULL;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *) &local, sizeof local) != 0)
    {
      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (errno), "can't bind %s: %s",
                   address, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  GgDatagramSocket *self = g_new0 (GgDatagramSocket, 1);
  self->fd = fd;
  self->func = func;
  self->data = data;
  self->event = event_new (gg_loop_get_base (loop), fd, EV_READ | EV_PERSIST, on_readable, self);
  event_add (self->event, NULL);
  return self;
}

void
gg_datagram_socket_destroy (GgDatagramSocket *self)
{
  if (self == NULL)
    return;
  event_free (self->event);
  close (self->fd);
  g_free (self);
}

void
gg_datagram_socket_send (GgDatagramSocket *self,
                         const char *address,
                         const void *bytes,
                         size_t size_bytes)
{
  struct sockaddr_in target;
  if (!gg_address_resolve (address, &target, NULL))
    return;
  ssize_t ignored
      = sendto (self->fd, bytes, size_bytes, 0, (struct sockaddr *) &target, sizeof target);
  (void) ignored;
}
