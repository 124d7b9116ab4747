#include "loop/server.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "loop/socket.h"
#include "loop/message_reader.h"

#include <errno.h>
#include <event2/event.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* After the last answer of a connection, input is read and dropped for this long: closing with
 * unread input resets the connection, and the client could lose the answer. */
#define LINGER_MS 1000
/* Reading pauses when more pipelined bytes than this are buffered while a request is open. With 64
 * KiB, 1,400 clients that sent 100 kB behind an open request took 208 MB. */
#define MAX_PIPELINED_BYTES 16384
/* An idle connection with input that was not read yet is looked at again after this time. */
#define UNREAD_INPUT_MS 10
/* Most connections accepted per wake-up, so that a burst of them does not stall open streams. */
#define ACCEPTS_PER_WAKE 64
/* If no descriptor is available for a new connection, accepting continues after this time. */
#define ACCEPT_PAUSE_MS 50
/* Share of the connections that is kept when descriptors run out, as outgoing connections need some
 * as well; with fewer than the minimum it is not these that use them up. */
#define KEPT_CONNECTIONS_PERCENT 75
#define MIN_KEPT_CONNECTIONS 64
/* The bound that such a shortage sets ends after this time without another one. */
#define SHORTAGE_MS 30000
/* A connection that is idle for less than this is likely to be about to send a request. */
#define MIN_IDLE_MS 1000
/* Idle connections that are looked at before an incomplete request gives way instead. */
#define MAX_IDLE_TRIES 8
#define STATUS_BAD_REQUEST 400
#define STATUS_TIMEOUT 408
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEAD_TOO_LARGE 431
#define STATUS_UNAVAILABLE 503
/* Why a connection ended with unsent output. */
#define CAUSE_CLOSED "closed"
#define CAUSE_RESET "reset"
#define CAUSE_TIMED_OUT "timed_out"
#define CAUSE_STOPPED "stopped"
#define CAUSE_MEMORY "memory"

typedef enum
{
  STATE_IDLE,      /* no byte of a request received */
  STATE_READING,   /* a request is partly received */
  STATE_ANSWERING, /* the owner is answering the request */
  STATE_SENDING,   /* the answer is complete, but not sent; limited by the socket */
  STATE_LINGERING, /* the last answer was sent; input is discarded */
} ConnectionState;

static GgMetricFamily unsent_total
    = GG_COUNTER_FAMILY ("greengage_router_answers_unsent_total",
                         "Connections that ended before all of an answer was sent",
                         "cause");

struct _GgLoopServer
{
  GgLoop *loop;
  GgServerFunc func;
  void *data;
  GgServerLimits limits;
  int listener;
  struct event *accept_event;
  GgLoopTimer *accept_timer; /* runs while accepting is paused */
  GHashTable *connections;   /* set of GgServerConnection */
  guint max_connections;
  guint n_kept;             /* bound in a shortage of descriptors; 0 for none */
  uint64_t shortage_ms;     /* when descriptors ran out last (monotonic) */
  GgBufferAccount *buffers; /* NULL for none */
  GgServerGaveWayFunc gave_way;
  void *gave_way_data;
  gboolean is_accepting;
  gboolean is_release_pending;
  gboolean is_closing;
};

struct _GgServerConnection
{
  GgLoopServer *server;
  GgLoopSocket *socket; /* NULL once closed */
  GgMessageReader *reader;
  GgLoopTimer *timer; /* timeout of the current state */
  ConnectionState state;
  GgMessageHead *head;
  GByteArray *body;
  GByteArray *pipelined; /* input received after the open request; NULL for none */
  GgBufferHolder holder;
  size_t delivered_bytes;  /* of the open request, which its owner has */
  size_t answer_bytes;     /* of its answer, which its owner has not written yet */
  uint64_t state_since_ms; /* since when it is idle, reading, sending or lingering (monotonic) */
  uint32_t rejected_status;
  gboolean is_discarding; /* what else the client sends is dropped */
  gboolean is_keep_alive; /* the connection stays open after this answer */
  gboolean is_head_only;  /* answer without a body (HEAD) */
  gboolean is_chunked;
  size_t unacknowledged_bytes; /* at the start of the timer, while idle or lingering */
  void *data;
};

static void
free_connection (void *data)
{
  GgServerConnection *self = data;
  gg_message_reader_destroy (self->reader);
  gg_loop_timer_destroy (self->timer);
  gg_message_head_destroy (self->head);
  if (self->body != NULL)
    g_byte_array_unref (self->body);
  if (self->pipelined != NULL)
    g_byte_array_unref (self->pipelined);
  g_free (self);
}

/* Returns the input that is held for a request that is not complete, or for later ones. */
static size_t
count_input (const GgServerConnection *self)
{
  size_t n_bytes = self->reader != NULL ? gg_message_reader_get_held_bytes (self->reader) : 0;
  if (self->head != NULL)
    n_bytes += gg_message_head_get_memory (self->head);
  if (self->body != NULL)
    n_bytes += self->body->len;
  if (self->pipelined != NULL)
    n_bytes += self->pipelined->len;
  return n_bytes;
}

static void
update_holder (GgServerConnection *self)
{
  if (self->server->buffers == NULL)
    return;
  size_t releasable_bytes = 0;
  if (self->socket != NULL)
    releasable_bytes = count_input (self) + gg_loop_socket_get_pending (self->socket);
  /* The answer is received no faster than the client accepts it. */
  if (releasable_bytes > 0)
    releasable_bytes += self->answer_bytes;
  gg_buffer_account_set (self->server->buffers, &self->holder,
                         MAX (releasable_bytes, self->answer_bytes) + self->delivered_bytes,
                         releasable_bytes, gg_clock_now_ms ());
}

static void
note_progress (GgServerConnection *self)
{
  if (self->server->buffers != NULL)
    gg_buffer_holder_note_progress (&self->holder, gg_clock_now_ms ());
}

static void
resume_accepting (GgLoopServer *self)
{
  if (self->is_accepting || self->accept_event == NULL)
    return;
  self->is_accepting = TRUE;
  event_add (self->accept_event, NULL);
}

static void
pause_accepting (GgLoopServer *self)
{
  self->is_accepting = FALSE;
  event_del (self->accept_event);
  gg_loop_timer_start (self->accept_timer, ACCEPT_PAUSE_MS);
}

static void
on_accept_timer (void *data)
{
  resume_accepting (data);
}

static void
close_connection (GgServerConnection *self, gboolean is_abort)
{
  if (self->socket == NULL)
    return;
  gg_loop_socket_destroy (self->socket, is_abort);
  self->socket = NULL;
  self->delivered_bytes = 0;
  self->answer_bytes = 0;
  update_holder (self);
  gg_loop_timer_stop (self->timer);
  g_hash_table_remove (self->server->connections, self);
  gg_loop_defer (self->server->loop, free_connection, self);
}

/* Starts the timer of a connection whose output was handed to the kernel. */
static void
start_sent_timer (GgServerConnection *self, uint64_t timeout_ms)
{
  self->unacknowledged_bytes = gg_loop_socket_get_unacknowledged (self->socket);
  gg_loop_timer_start (self->timer, timeout_ms);
}

static void
set_idle (GgServerConnection *self)
{
  self->state = STATE_IDLE;
  self->state_since_ms = gg_clock_now_ms ();
  start_sent_timer (self, self->server->limits.idle_timeout_ms);
}

static void
emit (GgServerConnection *self, const GgServerEvent *event)
{
  self->server->func (self->server->data, self, event);
}

/* Releases what was received of a request that is not delivered. */
static void
discard_input (GgServerConnection *self)
{
  self->is_discarding = TRUE;
  gg_message_reader_destroy (self->reader);
  self->reader = NULL;
  gg_message_head_destroy (self->head);
  self->head = NULL;
  g_clear_pointer (&self->body, g_byte_array_unref);
  g_clear_pointer (&self->pipelined, g_byte_array_unref);
  update_holder (self);
}

static void
linger (GgServerConnection *self)
{
  self->state = STATE_LINGERING;
  self->state_since_ms = gg_clock_now_ms ();
  discard_input (self);
  gg_loop_socket_shutdown (self->socket);
  /* Reading is paused if the client has sent much behind its last request. */
  gg_loop_socket_set_reading (self->socket, TRUE);
  start_sent_timer (self, LINGER_MS);
}

static void
reject (GgServerConnection *self, uint32_t status)
{
  gg_loop_timer_stop (self->timer);
  self->state = STATE_ANSWERING;
  self->is_keep_alive = FALSE;
  discard_input (self);
  GgServerEvent event = { .kind = GG_SERVER_REJECTED, .status = status };
  emit (self, &event);
}

static gboolean
receive_head (GgServerConnection *self, GgMessageHead *head)
{
  self->head = head;
  self->is_head_only = strcmp (gg_message_head_get_method (head), "HEAD") == 0;
  uint64_t length_bytes = 0;
  if (gg_message_head_get_uint (head, "Content-Length", &length_bytes)
      && length_bytes > self->server->limits.max_body_bytes)
    {
      self->rejected_status = STATUS_BODY_TOO_LARGE;
      return FALSE;
    }
  const char *expectation = gg_message_head_get (head, "Expect");
  if (expectation != NULL && g_ascii_strcasecmp (expectation, "100-continue") == 0)
    {
      static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
      gg_loop_socket_write (self->socket, interim, sizeof interim - 1);
    }
  return TRUE;
}

static gboolean
receive_body (GgServerConnection *self, const char *bytes, size_t size_bytes)
{
  if (self->body == NULL)
    self->body = g_byte_array_new ();
  if (self->body->len + size_bytes > self->server->limits.max_body_bytes)
    {
      self->rejected_status = STATUS_BODY_TOO_LARGE;
      return FALSE;
    }
  g_byte_array_append (self->body, (const guint8 *) bytes, (guint) size_bytes);
  return TRUE;
}

static gboolean
on_message (void *data, const GgMessageEvent *event)
{
  GgServerConnection *self = data;
  switch (event->kind)
    {
    case GG_MESSAGE_HEAD:
      return receive_head (self, event->head);
    case GG_MESSAGE_BODY:
      return receive_body (self, event->body.bytes, event->body.size_bytes);
    case GG_MESSAGE_END:
      self->is_keep_alive = event->is_keep_alive;
      return TRUE;
    }
  return FALSE;
}

static void
deliver_request (GgServerConnection *self)
{
  GgServerEvent event
      = { .kind = GG_SERVER_REQUEST, .request = { .head = self->head, .body = self->body } };
  if (self->server->buffers != NULL)
    self->delivered_bytes
        = gg_message_head_get_memory (self->head) + (self->body != NULL ? self->body->len : 0);
  self->head = NULL;
  self->body = NULL;
  self->state = STATE_ANSWERING;
  gg_loop_timer_stop (self->timer);
  update_holder (self);
  emit (self, &event);
}

static void give_way (GgServerConnection *self, GgServerGaveWay cause);

static GgServerConnection *
get_connection (GgBufferHolder *holder)
{
  return (GgServerConnection *) ((char *) holder - G_STRUCT_OFFSET (GgServerConnection, holder));
}

/* Releases memory until the connection, whose request is not complete, may keep what it holds.
 * @return FALSE if it has itself given way. */
static gboolean
make_room (GgServerConnection *self)
{
  GgBufferAccount *buffers = self->server->buffers;
  if (buffers == NULL)
    return TRUE;
  update_holder (self);
  note_progress (self);
  while (gg_buffer_account_is_exceeded (buffers, self->holder.held_bytes))
    {
      GgBufferHolder *holder
          = gg_buffer_account_choose (buffers, self->holder.held_bytes, gg_clock_now_ms ());
      GgServerConnection *chosen = holder != NULL ? get_connection (holder) : self;
      give_way (chosen, GG_SERVER_GAVE_WAY_MEMORY);
      if (chosen == self)
        return FALSE;
    }
  return TRUE;
}

static void
release_memory (void *data)
{
  GgLoopServer *self = data;
  GgBufferHolder *holder = NULL;
  self->is_release_pending = FALSE;
  while (gg_buffer_account_is_exceeded (self->buffers, G_MAXUINT64)
         && (holder = gg_buffer_account_choose (self->buffers, G_MAXUINT64, gg_clock_now_ms ()))
                != NULL)
    give_way (get_connection (holder), GG_SERVER_GAVE_WAY_MEMORY);
}

/* Has memory released later in the same iteration of the loop, as the owner of an open request is
 * not prepared for the end of its connection now. */
static void
schedule_release (GgServerConnection *self)
{
  GgLoopServer *server = self->server;
  if (server->buffers == NULL || server->is_release_pending
      || !gg_buffer_account_is_exceeded (server->buffers, G_MAXUINT64))
    return;
  server->is_release_pending = TRUE;
  gg_loop_defer (server->loop, release_memory, server);
}

/* Accounts for output, or a part of an answer that is being received, if it is more than a little:
 * most of it is sent in the same iteration of the loop. */
static void
note_output (GgServerConnection *self)
{
  if (self->server->buffers == NULL
      || (self->holder.held_bytes == 0 && self->answer_bytes <= GG_BUFFER_SMALL_BYTES
          && gg_loop_socket_get_pending (self->socket) <= GG_BUFFER_SMALL_BYTES))
    return;
  update_holder (self);
  schedule_release (self);
}

static void
buffer_pipelined (GgServerConnection *self, const char *bytes, size_t size_bytes)
{
  if (size_bytes == 0)
    return;
  if (self->pipelined == NULL)
    self->pipelined = g_byte_array_new ();
  g_byte_array_append (self->pipelined, (const guint8 *) bytes, (guint) size_bytes);
  if (self->pipelined->len > MAX_PIPELINED_BYTES)
    gg_loop_socket_set_reading (self->socket, FALSE);
  update_holder (self);
  note_progress (self);
  schedule_release (self);
}

static void
read_request (GgServerConnection *self, const char *bytes, size_t size_bytes)
{
  if (self->state == STATE_IDLE)
    {
      self->state = STATE_READING;
      self->state_since_ms = gg_clock_now_ms ();
      gg_loop_timer_start (self->timer, self->server->limits.head_timeout_ms);
    }
  size_t used = 0;
  GgReadResult result = gg_message_reader_feed (self->reader, bytes, size_bytes, &used);
  switch (result)
    {
    case GG_READ_OK:
      make_room (self);
      break;
    case GG_READ_COMPLETE:
      if (!make_room (self))
        break;
      buffer_pipelined (self, bytes + used, size_bytes - used);
      deliver_request (self);
      break;
    case GG_READ_STOPPED:
      reject (self, self->rejected_status);
      break;
    case GG_READ_MALFORMED:
      reject (self, STATUS_BAD_REQUEST);
      break;
    case GG_READ_HEAD_TOO_LARGE:
      reject (self, STATUS_HEAD_TOO_LARGE);
      break;
    }
}

/* Logs a connection that ends with unsent output. A time-out concerns output that was pending, or
 * that the kernel had accepted.
 * @param error that ended the connection; 0 for none. */
static void
note_unsent (const GgServerConnection *self, const char *cause, int error)
{
  size_t pending_bytes = gg_loop_socket_get_pending (self->socket);
  if (pending_bytes == 0 && error != ETIMEDOUT)
    return;
  gboolean is_client = strcmp (cause, CAUSE_CLOSED) == 0 || strcmp (cause, CAUSE_RESET) == 0
                       || strcmp (cause, CAUSE_MEMORY) == 0;
  gg_metric_family_add (&unsent_total, cause, 1);
  gg_event_log_add (is_client ? GG_EVENT_ORDINARY : GG_EVENT_NOTABLE, "answer_unsent",
                    "cause=%s complete=%d pending_bytes=%u", cause, self->state != STATE_ANSWERING,
                    (unsigned) pending_bytes);
}

static void
on_disconnected (GgServerConnection *self, const char *cause, int error)
{
  GgServerEvent event = { .kind = GG_SERVER_DISCONNECTED, .is_stalled = error == ETIMEDOUT };
  gboolean was_open = self->state == STATE_ANSWERING;
  note_unsent (self, cause, error);
  /* A reset also releases what the kernel has accepted. */
  close_connection (self, error == ETIMEDOUT);
  if (!was_open)
    return;
  emit (self, &event);
}

/* A request that is not complete has not run, so it can be refused; for lack of connections it is
 * cut off at once, as a refusal would keep the descriptor for a while. A client that does not
 * accept its answer, or sends more before it has it, is disconnected. */
static void
give_way (GgServerConnection *self, GgServerGaveWay cause)
{
  GgLoopServer *server = self->server;
  if (server->gave_way != NULL)
    server->gave_way (server->gave_way_data, cause);
  if (cause == GG_SERVER_GAVE_WAY_CONNECTIONS && self->state == STATE_SENDING)
    on_disconnected (self, CAUSE_TIMED_OUT, ETIMEDOUT);
  else if (cause == GG_SERVER_GAVE_WAY_CONNECTIONS)
    close_connection (self, self->state == STATE_READING);
  else if (self->state == STATE_READING)
    reject (self, STATUS_UNAVAILABLE);
  else
    on_disconnected (self, CAUSE_MEMORY, ETIMEDOUT);
}

/* Processes input that arrived while the previous request was open. */
static void
read_pipelined (GgServerConnection *self)
{
  GByteArray *pipelined = g_steal_pointer (&self->pipelined);
  gg_loop_socket_set_reading (self->socket, TRUE);
  read_request (self, (const char *) pipelined->data, pipelined->len);
  g_byte_array_unref (pipelined);
}

/* The time without a request starts when the answer has been sent: a caller that still receives it
 * is not idle. */
static void
on_sent (GgServerConnection *self)
{
  if (!self->is_keep_alive)
    {
      linger (self);
      return;
    }
  set_idle (self);
  /* In the next iteration of the loop: requests that are answered at once would follow each other
   * in this one until none is left, which blocked the loop for half a minute when 2,000 clients had
   * sent 16 KB each. */
  if (self->pipelined != NULL)
    gg_loop_timer_start (self->timer, 0);
}

static void
on_drained (GgServerConnection *self)
{
  GgServerEvent event = { .kind = GG_SERVER_DRAINED };
  update_holder (self);
  note_progress (self);
  if (self->state == STATE_SENDING)
    on_sent (self);
  else if (self->state == STATE_ANSWERING)
    emit (self, &event);
}

static void
on_data (GgServerConnection *self, const char *bytes, size_t size_bytes)
{
  if (self->is_discarding)
    return;
  switch (self->state)
    {
    case STATE_IDLE:
    case STATE_READING:
      if (self->pipelined != NULL)
        buffer_pipelined (self, bytes, size_bytes);
      else
        read_request (self, bytes, size_bytes);
      break;
    case STATE_ANSWERING:
    case STATE_SENDING:
      buffer_pipelined (self, bytes, size_bytes);
      break;
    case STATE_LINGERING:
      break;
    }
}

static void
on_socket (void *data, const GgSocketEvent *event)
{
  GgServerConnection *self = data;
  switch (event->kind)
    {
    case GG_SOCKET_CONNECTED:
      break;
    case GG_SOCKET_DATA:
      on_data (self, event->bytes, event->size_bytes);
      break;
    case GG_SOCKET_DRAINED:
      on_drained (self);
      break;
    case GG_SOCKET_EOF:
      on_disconnected (self, CAUSE_CLOSED, 0);
      break;
    case GG_SOCKET_RESET:
      on_disconnected (self, event->error == ETIMEDOUT ? CAUSE_TIMED_OUT : CAUSE_RESET,
                       event->error);
      break;
    }
}

/* Whether the client has received output since the timer started. The kernel holds up to some
 * megabytes of an answer, so a client may still receive it long after all was handed over. */
static gboolean
is_receiving (const GgServerConnection *self)
{
  return gg_loop_socket_get_unacknowledged (self->socket) < self->unacknowledged_bytes;
}

static void
on_timeout (void *data)
{
  GgServerConnection *self = data;
  switch (self->state)
    {
    case STATE_IDLE:
      /* The loop may have been busy since a request arrived. */
      if (self->pipelined != NULL)
        read_pipelined (self);
      else if (gg_loop_socket_has_input (self->socket))
        gg_loop_timer_start (self->timer, UNREAD_INPUT_MS);
      else if (is_receiving (self))
        start_sent_timer (self, self->server->limits.idle_timeout_ms);
      else
        close_connection (self, FALSE);
      break;
    case STATE_LINGERING:
      if (is_receiving (self))
        start_sent_timer (self, LINGER_MS);
      else
        close_connection (self, FALSE);
      break;
    case STATE_READING:
      reject (self, STATUS_TIMEOUT);
      break;
    case STATE_ANSWERING:
    case STATE_SENDING:
      break;
    }
}

static void
accept_one (GgLoopServer *self, int fd)
{
  GgServerConnection *connection = g_new0 (GgServerConnection, 1);
  connection->server = self;
  connection->socket = gg_loop_socket_adopt (self->loop, fd, on_socket, connection);
  connection->reader = gg_message_reader_create (GG_MESSAGE_REQUESTS, self->limits.max_head_bytes,
                                                 on_message, connection);
  connection->timer = gg_loop_timer_create (self->loop, on_timeout, connection);
  g_hash_table_add (self->connections, connection);
  set_idle (connection);
}

/* Order in which connections give way to new ones. */
typedef enum
{
  WAIT_IDLE,    /* no request for a while */
  WAIT_READING, /* a request is not complete */
  WAIT_RECENT,  /* has just connected, or may not have received its last answer */
  WAIT_UNREAD,  /* has had the time that a request may take for the rest of its complete answer */
  WAIT_NONE,    /* is being answered */
} WaitClass;

static WaitClass
get_wait_class (const GgServerConnection *self, uint64_t now_ms)
{
  switch (self->state)
    {
    case STATE_IDLE:
      return now_ms - self->state_since_ms >= MIN_IDLE_MS ? WAIT_IDLE : WAIT_RECENT;
    case STATE_READING:
      return WAIT_READING;
    case STATE_LINGERING:
      return WAIT_RECENT;
    case STATE_SENDING:
      /* Clients that accept a few bytes now and then would keep out all others. */
      return now_ms - self->state_since_ms >= self->server->limits.head_timeout_ms ? WAIT_UNREAD
                                                                                   : WAIT_NONE;
    case STATE_ANSWERING:
      break;
    }
  return WAIT_NONE;
}

/* Returns the connection of the first class that has one, of these the one that has waited longest;
 * NULL if all are being answered. */
static GgServerConnection *
find_longest_waiting (const GgLoopServer *self, uint64_t now_ms)
{
  GgServerConnection *chosen = NULL;
  WaitClass chosen_class = WAIT_NONE;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      GgServerConnection *connection = key;
      WaitClass wait_class = get_wait_class (connection, now_ms);
      if (wait_class < chosen_class
          || (wait_class != WAIT_NONE && wait_class == chosen_class
              && connection->state_since_ms < chosen->state_since_ms))
        {
          chosen = connection;
          chosen_class = wait_class;
        }
    }
  return chosen;
}

/* Returns the connection that gives way to a new one; NULL if all are being answered. An idle one
 * whose client has sent a request that was not read yet, or still receives its last answer, counts
 * as used just now. */
static GgServerConnection *
find_waiting (const GgLoopServer *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgServerConnection *waiting = NULL;
  for (guint i = 0; i < MAX_IDLE_TRIES; i++)
    {
      waiting = find_longest_waiting (self, now_ms);
      if (waiting == NULL || get_wait_class (waiting, now_ms) != WAIT_IDLE
          || (!gg_loop_socket_has_input (waiting->socket)
              && gg_loop_socket_get_unacknowledged (waiting->socket) == 0))
        return waiting;
      waiting->state_since_ms = now_ms;
    }
  return waiting;
}

static guint
get_max_connections (const GgLoopServer *self)
{
  gboolean is_short = self->n_kept > 0 && gg_clock_now_ms () - self->shortage_ms < SHORTAGE_MS;
  return is_short ? MIN (self->n_kept, self->max_connections) : self->max_connections;
}

/* Ends connections that wait until there are fewer than @p max_connections.
 * @return FALSE if all others are being answered. */
static gboolean
make_connection_room (GgLoopServer *self, guint max_connections)
{
  while (g_hash_table_size (self->connections) >= max_connections)
    {
      GgServerConnection *waiting = find_waiting (self);
      if (waiting == NULL)
        return FALSE;
      give_way (waiting, GG_SERVER_GAVE_WAY_CONNECTIONS);
    }
  return TRUE;
}

/* The listener stays readable, so without a pause the loop would not block any more. ENFILE is a
 * shortage of the whole machine, which this process can't end. */
static void
on_accept_failed (GgLoopServer *self, int error)
{
  guint n = g_hash_table_size (self->connections);
  if (error == EMFILE && n > MIN_KEPT_CONNECTIONS)
    {
      self->n_kept = MAX (n * KEPT_CONNECTIONS_PERCENT / 100, MIN_KEPT_CONNECTIONS);
      self->shortage_ms = gg_clock_now_ms ();
      make_connection_room (self, self->n_kept);
    }
  if (error != EAGAIN && error != EINTR && error != ECONNABORTED)
    pause_accepting (self);
}

static gboolean
has_new_connection (int listener)
{
  struct pollfd entry = { .fd = listener, .events = POLLIN };
  return poll (&entry, 1, 0) > 0;
}

static void
on_acceptable (evutil_socket_t listener, short what, void *data)
{
  GgLoopServer *self = data;
  for (int i = 0; i < ACCEPTS_PER_WAKE; i++)
    {
      guint max_connections = get_max_connections (self);
      if (g_hash_table_size (self->connections) >= max_connections)
        {
          if (!has_new_connection (listener))
            return;
          if (!make_connection_room (self, max_connections))
            {
              pause_accepting (self);
              return;
            }
        }
      int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          on_accept_failed (self, errno);
          return;
        }
      accept_one (self, fd);
    }
}

GgLoopServer *
gg_loop_server_create (GgLoop *loop,
                       const char *address,
                       const GgServerLimits *limits,
                       GgServerFunc func,
                       void *data,
                       GError **error)
{
  int listener = gg_loop_socket_listen (address, error);
  if (listener < 0)
    return NULL;
  GgLoopServer *self = g_new0 (GgLoopServer, 1);
  self->loop = loop;
  self->func = func;
  self->data = data;
  self->limits = *limits;
  self->listener = listener;
  self->connections = g_hash_table_new (NULL, NULL);
  self->max_connections = G_MAXUINT;
  self->accept_timer = gg_loop_timer_create (loop, on_accept_timer, self);
  self->accept_event
      = event_new (gg_loop_get_base (loop), listener, EV_READ | EV_PERSIST, on_acceptable, self);
  resume_accepting (self);
  return self;
}

/* Returns whether there is neither an open request, nor unsent output, nor unread input. */
static gboolean
is_idle (const GgServerConnection *self)
{
  return self->state == STATE_IDLE && self->pipelined == NULL
         && !gg_loop_socket_has_input (self->socket);
}

static void
close_idle (GgLoopServer *self)
{
  GList *connections = g_hash_table_get_keys (self->connections);
  for (GList *l = connections; l != NULL; l = l->next)
    {
      GgServerConnection *connection = l->data;
      if (is_idle (connection))
        close_connection (connection, FALSE);
    }
  g_list_free (connections);
}

static void
free_server (void *data)
{
  GgLoopServer *self = data;
  g_hash_table_unref (self->connections);
  gg_loop_timer_destroy (self->accept_timer);
  g_free (self);
}

void
gg_loop_server_stop_listening (GgLoopServer *self)
{
  if (self->accept_event == NULL)
    return;
  event_free (self->accept_event);
  self->accept_event = NULL;
  gg_loop_timer_stop (self->accept_timer);
  close (self->listener);
}

void
gg_loop_server_destroy (GgLoopServer *self)
{
  if (self == NULL)
    return;
  GList *connections = g_hash_table_get_keys (self->connections);
  for (GList *l = connections; l != NULL; l = l->next)
    on_disconnected (l->data, CAUSE_STOPPED, 0);
  g_list_free (connections);
  gg_loop_server_stop_listening (self);
  gg_loop_defer (self->loop, free_server, self);
}

void
gg_loop_server_set_limits (GgLoopServer *self, const GgServerLimits *limits)
{
  self->limits = *limits;
}

void
gg_loop_server_set_capacity (GgLoopServer *self,
                             GgBufferAccount *buffers,
                             guint max_connections,
                             GgServerGaveWayFunc func,
                             void *data)
{
  self->buffers = buffers;
  self->max_connections = max_connections;
  self->gave_way = func;
  self->gave_way_data = data;
}

void
gg_loop_server_set_closing (GgLoopServer *self)
{
  self->is_closing = TRUE;
}

void
gg_loop_server_close_idle (GgLoopServer *self)
{
  close_idle (self);
}

guint
gg_loop_server_count_busy (const GgLoopServer *self)
{
  guint n = 0;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (!is_idle (key))
        n++;
    }
  return n;
}

void
gg_loop_server_foreach_open (GgLoopServer *self, void (*func) (void *data))
{
  GList *connections = g_hash_table_get_keys (self->connections);
  for (GList *l = connections; l != NULL; l = l->next)
    {
      const GgServerConnection *connection = l->data;
      if (connection->state == STATE_ANSWERING && connection->data != NULL)
        func (connection->data);
    }
  g_list_free (connections);
}

void
gg_server_connection_set_data (GgServerConnection *self, void *data)
{
  self->data = data;
}

void *
gg_server_connection_get_data (const GgServerConnection *self)
{
  return self->data;
}

size_t
gg_server_connection_get_pending (const GgServerConnection *self)
{
  return self->socket != NULL ? gg_loop_socket_get_pending (self->socket) : 0;
}

static void
write_head (GgServerConnection *self, const GgMessageHead *head, const char *framing)
{
  if (self->server->is_closing)
    self->is_keep_alive = FALSE;
  gg_loop_socket_set_output_timeout (self->socket, self->server->limits.idle_timeout_ms);
  GString *text = g_string_sized_new (512);
  gg_message_head_print (head, text);
  g_string_truncate (text, text->len - 2); /* the empty line must follow the framing fields */
  g_string_append (text, framing);
  g_string_append (text, self->is_keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
  gg_loop_socket_write (self->socket, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
check_sent (void *data)
{
  GgServerConnection *self = data;
  if (self->socket != NULL && self->state == STATE_SENDING
      && gg_loop_socket_get_pending (self->socket) == 0)
    on_sent (self);
}

static void
finish (GgServerConnection *self)
{
  self->data = NULL;
  self->state = STATE_SENDING;
  self->state_since_ms = gg_clock_now_ms ();
  self->delivered_bytes = 0;
  self->answer_bytes = 0;
  update_holder (self);
  /* The end of an answer to HEAD adds no output, so nothing may be left to be sent. */
  if (gg_loop_socket_get_pending (self->socket) == 0)
    gg_loop_defer (self->server->loop, check_sent, self);
}

void
gg_server_connection_reply (GgServerConnection *self,
                            const GgMessageHead *head,
                            const void *body,
                            size_t size_bytes)
{
  char framing[48];
  g_snprintf (framing, sizeof framing, "Content-Length: %" G_GSIZE_FORMAT "\r\n", size_bytes);
  write_head (self, head, framing);
  if (size_bytes > 0 && !self->is_head_only)
    gg_loop_socket_write (self->socket, body, size_bytes);
  finish (self);
}

void
gg_server_connection_begin (GgServerConnection *self, const GgMessageHead *head)
{
  write_head (self, head, "Transfer-Encoding: chunked\r\n");
}

void
gg_server_connection_write (GgServerConnection *self, const void *bytes, size_t size_bytes)
{
  if (size_bytes == 0 || self->is_head_only)
    return;
  char size[24];
  int n = g_snprintf (size, sizeof size, "%" G_GSIZE_MODIFIER "x\r\n", size_bytes);
  gg_loop_socket_write (self->socket, size, (size_t) n);
  gg_loop_socket_write (self->socket, bytes, size_bytes);
  gg_loop_socket_write (self->socket, "\r\n", 2);
  note_output (self);
}

void
gg_server_connection_end (GgServerConnection *self)
{
  if (!self->is_head_only)
    gg_loop_socket_write (self->socket, "0\r\n\r\n", 5);
  finish (self);
}

void
gg_server_connection_set_answer_bytes (GgServerConnection *self, size_t size_bytes)
{
  gboolean is_small = MAX (self->answer_bytes, size_bytes) <= GG_BUFFER_SMALL_BYTES;
  self->answer_bytes = size_bytes;
  if (!is_small)
    note_output (self);
}

void
gg_server_connection_abort (GgServerConnection *self)
{
  close_connection (self, TRUE);
}
