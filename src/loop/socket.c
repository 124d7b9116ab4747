#include "loop/socket.h"

#include "loop/address.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
/* TCP_USER_TIMEOUT of outgoing connections: they fail when output stays unacknowledged for this
 * long. Without it, a connection to a runner or an instance that lost power hangs for minutes. The
 * kernel applies it to a peer that acknowledges but has no room as well, so accepted connections,
 * whose peers may read slowly, don't have it. */
#define USER_TIMEOUT_MS 4000
#define MS_PER_S 1000
#define US_PER_MS 1000
#define LISTEN_BACKLOG 1024

struct _GgLoopSocket
{
  GgLoop *loop;
  GgSocketFunc func;
  void *data;
  int fd; /* -1 once destroyed */
  struct event *read_event;
  struct event *write_event;
  struct evbuffer *output; /* NULL before the first write */
  uint64_t output_timeout_ms;
  gboolean is_connecting;
  gboolean is_flush_scheduled;
};

static void
emit (GgLoopSocket *self, GgSocketEventKind kind)
{
  GgSocketEvent event = { .kind = kind };
  self->func (self->data, &event);
}

static void
emit_reset (GgLoopSocket *self, int error)
{
  GgSocketEvent event
      = { .kind = GG_SOCKET_RESET, .is_refused = error == ECONNREFUSED, .error = error };
  self->func (self->data, &event);
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  GgLoopSocket *self = data;
  char bytes[READ_BYTES];
  ssize_t n = read (fd, bytes, sizeof bytes);
  if (n > 0)
    {
      GgSocketEvent event = { .kind = GG_SOCKET_DATA, .bytes = bytes, .size_bytes = (size_t) n };
      self->func (self->data, &event);
      return;
    }
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  int error = errno;
  event_del (self->read_event);
  if (n == 0)
    emit (self, GG_SOCKET_EOF);
  else
    emit_reset (self, error);
}

/* Waits until the kernel accepts more output. Only output that it accepts starts the time limit
 * anew. */
static void
wait_writable (GgLoopSocket *self, gboolean has_progress)
{
  struct timeval limit
      = { .tv_sec = (time_t) (self->output_timeout_ms / MS_PER_S),
          .tv_usec = (suseconds_t) (self->output_timeout_ms % MS_PER_S) * US_PER_MS };
  gboolean is_new = has_progress || !event_pending (self->write_event, EV_WRITE, NULL);
  event_add (self->write_event, is_new && self->output_timeout_ms > 0 ? &limit : NULL);
}

/* @param is_late the time limit of the output has passed. */
static void
flush (GgLoopSocket *self, gboolean is_late)
{
  if (self->output == NULL || evbuffer_get_length (self->output) == 0)
    return;
  int n = evbuffer_write (self->output, self->fd);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      emit_reset (self, errno);
      return;
    }
  if (evbuffer_get_length (self->output) > 0)
    {
      /* The kernel reports room only when a good part of its buffer is free, so output may be
       * accepted here although it did not. */
      if (is_late && n <= 0)
        emit_reset (self, ETIMEDOUT);
      else
        wait_writable (self, n > 0);
      return;
    }
  event_del (self->write_event);
  emit (self, GG_SOCKET_DRAINED);
}

static void
on_writable (evutil_socket_t fd, short what, void *data)
{
  GgLoopSocket *self = data;
  if (!self->is_connecting)
    {
      flush (self, (what & EV_TIMEOUT) != 0);
      return;
    }
  int failure = 0;
  socklen_t size = sizeof failure;
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &failure, &size);
  self->is_connecting = FALSE;
  if (failure != 0)
    {
      emit_reset (self, failure);
      return;
    }
  event_add (self->read_event, NULL);
  emit (self, GG_SOCKET_CONNECTED);
  if (self->fd >= 0)
    flush (self, FALSE);
}

static GgLoopSocket *
create (GgLoop *loop, int fd, GgSocketFunc func, void *data)
{
  GgLoopSocket *self = g_new0 (GgLoopSocket, 1);
  struct event_base *base = gg_loop_get_base (loop);
  self->loop = loop;
  self->func = func;
  self->data = data;
  self->fd = fd;
  self->read_event = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, self);
  self->write_event = event_new (base, fd, EV_WRITE, on_writable, self);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return self;
}

GgLoopSocket *
gg_loop_socket_connect (GgLoop *loop, const char *address, GgSocketFunc func, void *data)
{
  struct sockaddr_in target;
  if (!gg_address_resolve (address, &target, NULL))
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  GgLoopSocket *self = create (loop, fd, func, data);
  unsigned timeout_ms = USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  self->is_connecting = TRUE;
  /* An immediate failure is also reported by the write event. */
  int ignored = connect (fd, (struct sockaddr *) &target, sizeof target);
  (void) ignored;
  event_add (self->write_event, NULL);
  return self;
}

GgLoopSocket *
gg_loop_socket_adopt (GgLoop *loop, int fd, GgSocketFunc func, void *data)
{
  GgLoopSocket *self = create (loop, fd, func, data);
  event_add (self->read_event, NULL);
  return self;
}

static void
free_socket (void *data)
{
  g_free (data);
}

void
gg_loop_socket_destroy (GgLoopSocket *self, gboolean is_abort)
{
  if (self == NULL)
    return;
  /* With a linger time of 0, close() resets the connection. */
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  if (is_abort)
    setsockopt (self->fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  event_free (self->read_event);
  event_free (self->write_event);
  if (self->output != NULL)
    evbuffer_free (self->output);
  self->output = NULL;
  close (self->fd);
  self->fd = -1;
  gg_loop_defer (self->loop, free_socket, self);
}

static void
run_scheduled_flush (void *data)
{
  GgLoopSocket *self = data;
  self->is_flush_scheduled = FALSE;
  if (self->fd >= 0 && !self->is_connecting)
    flush (self, FALSE);
}

static struct evbuffer *
get_output (GgLoopSocket *self)
{
  if (self->output == NULL)
    self->output = evbuffer_new ();
  return self->output;
}

static void
schedule_flush (GgLoopSocket *self)
{
  if (self->is_flush_scheduled || self->is_connecting)
    return;
  self->is_flush_scheduled = TRUE;
  gg_loop_defer (self->loop, run_scheduled_flush, self);
}

void
gg_loop_socket_write (GgLoopSocket *self, const void *bytes, size_t size_bytes)
{
  evbuffer_add (get_output (self), bytes, size_bytes);
  schedule_flush (self);
}

static void
unref_array (const void *bytes, size_t size_bytes, void *array)
{
  g_byte_array_unref (array);
}

void
gg_loop_socket_write_array (GgLoopSocket *self, GByteArray *bytes)
{
  evbuffer_add_reference (get_output (self), bytes->data, bytes->len, unref_array,
                          g_byte_array_ref (bytes));
  schedule_flush (self);
}

void
gg_loop_socket_set_output_timeout (GgLoopSocket *self, uint64_t timeout_ms)
{
  self->output_timeout_ms = timeout_ms;
}

size_t
gg_loop_socket_get_pending (const GgLoopSocket *self)
{
  return self->output != NULL ? evbuffer_get_length (self->output) : 0;
}

size_t
gg_loop_socket_get_unacknowledged (const GgLoopSocket *self)
{
  int n = 0;
  return ioctl (self->fd, SIOCOUTQ, &n) == 0 && n > 0 ? (size_t) n : 0;
}

gboolean
gg_loop_socket_has_input (const GgLoopSocket *self)
{
  struct pollfd entry = { .fd = self->fd, .events = POLLIN };
  return poll (&entry, 1, 0) > 0;
}

void
gg_loop_socket_shutdown (GgLoopSocket *self)
{
  shutdown (self->fd, SHUT_WR);
}

void
gg_loop_socket_set_reading (GgLoopSocket *self, gboolean is_reading)
{
  if (self->is_connecting)
    return;
  if (is_reading)
    event_add (self->read_event, NULL);
  else
    event_del (self->read_event);
}

int
gg_loop_socket_listen (const char *address, GError **error)
{
  struct sockaddr_in local;
  if (!gg_address_resolve (address, &local, error))
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *) &local, sizeof local) != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      g_set_error (error, G_FILE_ERROR, g_file_error_from_errno (errno), "can't listen on %s: %s",
                   address, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}
