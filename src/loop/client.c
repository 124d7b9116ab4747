#include "loop/client.h"

#include "loop/socket.h"
#include "loop/message_reader.h"
#include "base/clock.h"

#include <string.h>

#define MAX_HEAD_BYTES 65536
/* A body that is larger is sent without a copy, which is not worth it for a small one. */
#define COPIED_BODY_BYTES 16384
#define MS_PER_S 1000
/* A connection is closed this long before the keep-alive timeout announced by the peer, so that a
 * request does not race with the close. */
#define KEEP_ALIVE_MARGIN_MS 500
/* Used if the peer announces no timeout. */
#define KEEP_ALIVE_DEFAULT_MS 60000

struct _GgLoopClient
{
  GgLoop *loop;
  GHashTable *idle;  /* address -> GQueue of GgLoopCall, most recently used first */
  GHashTable *calls; /* set of all GgLoopCall, including idle ones */
  uint64_t n_connections;
};

/* A connection and its current call. */
struct _GgLoopCall
{
  GgLoopClient *client;
  uint64_t number; /* of the connection, unique in the client */
  char *address;
  GgLoopSocket *socket; /* NULL once closed */
  GgMessageReader *reader;
  GgLoopTimer *timer; /* connect timeout; while idle, the keep-alive timeout */
  GgCallFunc func;    /* NULL while idle */
  void *data;
  const char *foreign_field; /* of answers to other calls; NULL for none */
  uint64_t idle_since_ms;
  uint64_t keep_alive_ms;
  guint n_answers; /* received completely, including skipped ones */
  gboolean is_connected;
  gboolean is_skipping;    /* the current answer belongs to another call */
  gboolean has_skipped;    /* so did an earlier one: the peer answers more than it is asked */
  gboolean is_keep_alive;  /* the peer keeps the connection open after this answer */
  gboolean is_out_of_sync; /* bytes followed the answer, or the request was not fully sent */
};

static void
free_queue (void *data)
{
  g_queue_free (data);
}

GgLoopClient *
gg_loop_client_create (GgLoop *loop)
{
  GgLoopClient *self = g_new0 (GgLoopClient, 1);
  self->loop = loop;
  self->idle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_queue);
  self->calls = g_hash_table_new (NULL, NULL);
  return self;
}

static void
free_call (void *data)
{
  GgLoopCall *self = data;
  gg_message_reader_destroy (self->reader);
  gg_loop_timer_destroy (self->timer);
  g_free (self->address);
  g_free (self);
}

static void
remove_idle (GgLoopCall *self)
{
  GQueue *queue = g_hash_table_lookup (self->client->idle, self->address);
  if (queue == NULL)
    return;
  g_queue_remove (queue, self);
  if (queue->length == 0)
    g_hash_table_remove (self->client->idle, self->address);
}

static void
close_call (GgLoopCall *self)
{
  if (self->socket == NULL)
    return;
  gg_loop_socket_destroy (self->socket, FALSE);
  self->socket = NULL;
  gg_loop_timer_stop (self->timer);
  if (self->func == NULL)
    remove_idle (self);
  g_hash_table_remove (self->client->calls, self);
  gg_loop_defer (self->client->loop, free_call, self);
}

void
gg_loop_client_destroy (GgLoopClient *self)
{
  if (self == NULL)
    return;
  GList *calls = g_hash_table_get_keys (self->calls);
  for (GList *l = calls; l != NULL; l = l->next)
    close_call (l->data);
  g_list_free (calls);
  g_hash_table_unref (self->calls);
  g_hash_table_unref (self->idle);
  g_free (self);
}

static void
end_call (GgLoopCall *self, GgCallEnd end)
{
  GgCallFunc func = self->func;
  void *data = self->data;
  close_call (self);
  GgCallEvent event = { .kind = GG_CALL_END, .end = end };
  func (data, &event);
}

static uint64_t
read_keep_alive_ms (const GgMessageHead *head)
{
  const char *text = gg_message_head_get (head, "Keep-Alive");
  const char *timeout = text != NULL ? strstr (text, "timeout=") : NULL;
  if (timeout == NULL)
    return KEEP_ALIVE_DEFAULT_MS;
  uint64_t keep_alive_ms = g_ascii_strtoull (timeout + strlen ("timeout="), NULL, 10) * MS_PER_S;
  return keep_alive_ms > KEEP_ALIVE_MARGIN_MS ? keep_alive_ms - KEEP_ALIVE_MARGIN_MS : 0;
}

static void
set_idle (GgLoopCall *self)
{
  self->func = NULL;
  self->idle_since_ms = gg_clock_now_ms ();
  /* Reading may be paused since the end of the answer came with bytes that filled the receiver. */
  gg_loop_socket_set_reading (self->socket, TRUE);
  GQueue *queue = g_hash_table_lookup (self->client->idle, self->address);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (self->client->idle, g_strdup (self->address), queue);
    }
  g_queue_push_head (queue, self);
  gg_loop_timer_start (self->timer, self->keep_alive_ms);
}

static void
complete (GgLoopCall *self)
{
  GgCallFunc func = self->func;
  void *data = self->data;
  if (self->is_keep_alive && !self->is_out_of_sync && !self->has_skipped && self->keep_alive_ms > 0)
    set_idle (self);
  else
    close_call (self);
  GgCallEvent event = { .kind = GG_CALL_END, .end = GG_CALL_COMPLETE };
  func (data, &event);
}

static gboolean
is_foreign (const GgLoopCall *self, const GgMessageHead *head)
{
  return self->foreign_field != NULL && gg_message_head_get (head, self->foreign_field) != NULL;
}

static gboolean
on_message (void *data, const GgMessageEvent *event)
{
  GgLoopCall *self = data;
  GgCallEvent out = { 0 };
  switch (event->kind)
    {
    case GG_MESSAGE_HEAD:
      self->keep_alive_ms = read_keep_alive_ms (event->head);
      self->is_skipping = is_foreign (self, event->head);
      if (self->is_skipping)
        {
          gg_message_head_destroy (event->head);
          return TRUE;
        }
      out.kind = GG_CALL_HEAD;
      out.head = event->head;
      self->is_skipping = !self->func (self->data, &out);
      return self->socket != NULL;
    case GG_MESSAGE_BODY:
      if (self->is_skipping)
        return TRUE;
      out.kind = GG_CALL_BODY;
      out.body.bytes = event->body.bytes;
      out.body.size_bytes = event->body.size_bytes;
      self->func (self->data, &out);
      return self->socket != NULL;
    case GG_MESSAGE_END:
      self->n_answers++;
      self->is_keep_alive = event->is_keep_alive;
      return TRUE;
    }
  return FALSE;
}

static void
on_answer_complete (GgLoopCall *self, gboolean has_more)
{
  if (self->is_skipping)
    {
      self->is_skipping = FALSE;
      self->has_skipped = TRUE;
      if (!self->is_keep_alive)
        end_call (self, GG_CALL_BROKEN);
      return;
    }
  /* If the answer came before the request was sent completely, the peer would read the rest of
   * it as another request. */
  self->is_out_of_sync = has_more || gg_loop_socket_get_pending (self->socket) > 0;
  complete (self);
}

/* Reports the memory of a head of which only a part has been received. */
static void
report_head_part (GgLoopCall *self)
{
  GgCallEvent event = { .kind = GG_CALL_HEAD_PART,
                        .held_bytes = gg_message_reader_get_held_bytes (self->reader) };
  if (event.held_bytes > 0)
    self->func (self->data, &event);
}

static void
on_data (GgLoopCall *self, const char *bytes, size_t size_bytes)
{
  while (size_bytes > 0)
    {
      if (self->func == NULL)
        {
          /* Unsolicited data: the connection must not be reused. */
          close_call (self);
          return;
        }
      size_t used = 0;
      GgReadResult result = gg_message_reader_feed (self->reader, bytes, size_bytes, &used);
      if (self->socket == NULL)
        return;
      bytes += used;
      size_bytes -= used;
      switch (result)
        {
        case GG_READ_OK:
          report_head_part (self);
          return;
        case GG_READ_COMPLETE:
          on_answer_complete (self, size_bytes > 0);
          if (self->socket == NULL)
            return;
          break;
        case GG_READ_STOPPED:
        case GG_READ_MALFORMED:
        case GG_READ_HEAD_TOO_LARGE:
          end_call (self, GG_CALL_MALFORMED);
          return;
        }
    }
}

static void
on_closed (GgLoopCall *self, gboolean is_orderly)
{
  if (self->func == NULL)
    {
      close_call (self);
      return;
    }
  if (!self->is_connected)
    {
      end_call (self, GG_CALL_UNREACHABLE);
      return;
    }
  gboolean is_complete = is_orderly && gg_message_reader_is_in_message (self->reader)
                         && gg_message_reader_finish (self->reader) == GG_READ_COMPLETE;
  if (self->socket == NULL)
    return;
  if (is_complete && !self->is_skipping)
    complete (self);
  else
    end_call (self, GG_CALL_BROKEN);
}

static void
on_socket (void *data, const GgSocketEvent *event)
{
  GgLoopCall *self = data;
  switch (event->kind)
    {
    case GG_SOCKET_CONNECTED:
      self->is_connected = TRUE;
      gg_loop_timer_stop (self->timer);
      break;
    case GG_SOCKET_DATA:
      on_data (self, event->bytes, event->size_bytes);
      break;
    case GG_SOCKET_DRAINED:
      break;
    case GG_SOCKET_EOF:
      on_closed (self, TRUE);
      break;
    case GG_SOCKET_RESET:
      on_closed (self, FALSE);
      break;
    }
}

static void
on_timeout (void *data)
{
  GgLoopCall *self = data;
  if (self->func == NULL)
    close_call (self);
  else if (!self->is_connected)
    end_call (self, GG_CALL_UNREACHABLE);
}

static void
report_unreachable (void *data)
{
  GgLoopCall *self = data;
  if (self->func == NULL)
    {
      free_call (self);
      return;
    }
  GgCallFunc func = self->func;
  void *func_data = self->data;
  free_call (self);
  GgCallEvent event = { .kind = GG_CALL_END, .end = GG_CALL_UNREACHABLE };
  func (func_data, &event);
}

static GgLoopCall *
open_call (GgLoopClient *self, const GgCallRequest *request)
{
  GgLoopCall *call = g_new0 (GgLoopCall, 1);
  call->client = self;
  call->number = ++self->n_connections;
  call->address = g_strdup (request->address);
  call->reader = gg_message_reader_create (GG_MESSAGE_RESPONSES, MAX_HEAD_BYTES, on_message, call);
  call->timer = gg_loop_timer_create (self->loop, on_timeout, call);
  call->socket = gg_loop_socket_connect (self->loop, request->address, on_socket, call);
  if (call->socket == NULL)
    {
      gg_loop_defer (self->loop, report_unreachable, call);
      return call;
    }
  g_hash_table_add (self->calls, call);
  gg_loop_timer_start (call->timer, request->connect_timeout_ms);
  return call;
}

static gboolean
is_used (const GgUsedConnections *used, uint64_t number)
{
  for (guint i = 0; used != NULL && i < used->n; i++)
    if (used->numbers[i] == number)
      return TRUE;
  return FALSE;
}

static void
note_used (GgUsedConnections *used, uint64_t number)
{
  if (used != NULL && used->n < GG_USED_CONNECTIONS_MAX)
    used->numbers[used->n++] = number;
}

static GgLoopCall *
find_idle (GgLoopClient *self, const GgCallRequest *request)
{
  uint64_t now_ms = gg_clock_now_ms ();
  const GQueue *queue = g_hash_table_lookup (self->idle, request->address);
  for (const GList *l = queue != NULL ? queue->head : NULL; l != NULL; l = l->next)
    {
      GgLoopCall *call = l->data;
      if (now_ms - call->idle_since_ms > request->max_idle_ms)
        return NULL;
      if (!is_used (request->used, call->number))
        return call;
    }
  return NULL;
}

static GgLoopCall *
reuse_idle (GgLoopClient *self, const GgCallRequest *request)
{
  gboolean is_full = request->used != NULL && request->used->n == GG_USED_CONNECTIONS_MAX;
  GgLoopCall *call = request->max_idle_ms > 0 && !is_full ? find_idle (self, request) : NULL;
  if (call == NULL)
    return NULL;
  remove_idle (call);
  gg_loop_timer_stop (call->timer);
  return call;
}

static void
send_request (GgLoopCall *self, const GgCallRequest *request)
{
  gboolean is_copied = request->body_array == NULL || request->body_bytes <= COPIED_BODY_BYTES;
  GString *text = g_string_sized_new (1024 + (is_copied ? request->body_bytes : 0));
  gg_message_head_print (request->head, text);
  if (is_copied && request->body_bytes > 0)
    g_string_append_len (text, request->body, (gssize) request->body_bytes);
  gg_message_reader_expect_no_body (
      self->reader, strcmp (gg_message_head_get_method (request->head), "HEAD") == 0);
  gg_loop_socket_write (self->socket, text->str, text->len);
  g_string_free (text, TRUE);
  if (!is_copied)
    gg_loop_socket_write_array (self->socket, request->body_array);
}

GgLoopCall *
gg_loop_client_call (GgLoopClient *self, const GgCallRequest *request, GgCallFunc func, void *data)
{
  GgLoopCall *call = reuse_idle (self, request);
  if (call == NULL)
    call = open_call (self, request);
  note_used (request->used, call->number);
  call->func = func;
  call->data = data;
  call->foreign_field = request->foreign_field;
  call->is_skipping = FALSE;
  call->is_out_of_sync = FALSE;
  if (call->socket != NULL)
    send_request (call, request);
  return call;
}

gboolean
gg_loop_call_is_first_answer (const GgLoopCall *call)
{
  return call->n_answers == 0;
}

void
gg_loop_client_close_idle (GgLoopClient *self, const char *address)
{
  GQueue *queue;
  while ((queue = g_hash_table_lookup (self->idle, address)) != NULL)
    close_call (g_queue_peek_head (queue));
}

void
gg_loop_call_cancel (GgLoopCall *call)
{
  if (call == NULL)
    return;
  if (call->socket == NULL)
    call->func = NULL; /* report_unreachable() is still deferred */
  else
    close_call (call);
}

void
gg_loop_call_set_reading (GgLoopCall *call, gboolean is_reading)
{
  if (call->socket != NULL)
    gg_loop_socket_set_reading (call->socket, is_reading);
}
