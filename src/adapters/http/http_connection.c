#include "adapters/http/http_connection.h"

#include "base/clock.h"
#include "base/settings.h"

#include <ne_request.h>
#include <ne_session.h>
#include <string.h>

/* RFC 9110, section 15: the valid status codes of final responses. */
#define GG_HTTP_MIN_FINAL_STATUS 200
#define GG_HTTP_MAX_STATUS 599
#define GG_HTTP_NO_CONTENT 204
#define GG_HTTP_NOT_MODIFIED 304

struct _GgHttpConnection
{
  ne_session *session;
  ne_request *request; /* during a dispatch */
  ne_inet_addr *target;
  const ne_inet_addr *targets[1]; /* neon keeps a reference to the array */
  uint32_t timeout_s;
  gboolean open;
  GgHttpExchange *exchange; /* during a dispatch; not owned */
  ne_buffer *head;          /* of the request being sent; owned by neon */
  size_t body_sent_bytes;
  gboolean withheld; /* the caller returned before anything was sent */
  GString *body;
};

static void
capture_head (ne_request *request, void *data, ne_buffer *head)
{
  GgHttpConnection *self = data;
  self->head = head;
}

/* neon can't abort between connecting and sending. With an empty head and a body provider that
 * fails, no byte is sent. */
static void
withhold_request (GgHttpConnection *self)
{
  self->withheld = TRUE;
  ne_buffer_clear (self->head);
}

static ssize_t
provide_body (void *data, char *buffer, size_t size)
{
  GgHttpConnection *self = data;
  const GgHttpExchange *ex = self->exchange;
  if (self->withheld)
    return -1;
  if (size == 0) /* rewind */
    {
      self->body_sent_bytes = 0;
      return 0;
    }
  size_t n = MIN (size, ex->body_size_bytes - self->body_sent_bytes);
  if (n > 0)
    memcpy (buffer, ex->body + self->body_sent_bytes, n);
  self->body_sent_bytes += n;
  return (ssize_t) n;
}

/* Cancellation is disabled while neon connects, since a thread that is cancelled between socket(2)
 * and neon's recording of the descriptor leaks it. Connecting has its own timeout. */
static void
note_status (void *data, ne_session_status status, const ne_session_status_info *info)
{
  GgHttpConnection *self = data;
  if (status == ne_status_disconnected)
    {
      self->open = FALSE;
      pthread_setcancelstate (PTHREAD_CANCEL_DISABLE, NULL);
    }
  else if (status == ne_status_connecting)
    {
      pthread_setcancelstate (PTHREAD_CANCEL_DISABLE, NULL);
      gg_http_exchange_note_connecting (self->exchange);
    }
  else if (status == ne_status_connected)
    {
      self->open = TRUE;
      if (!gg_http_exchange_note_connected (self->exchange))
        withhold_request (self);
      pthread_setcancelstate (PTHREAD_CANCEL_ENABLE, NULL);
    }
}

static ne_inet_addr *
parse_target (const char *host)
{
  gboolean is_ipv6 = strchr (host, ':') != NULL;
  return ne_iaddr_parse (host, is_ipv6 ? ne_iaddr_ipv6 : ne_iaddr_ipv4);
}

GgHttpConnection *
gg_http_connection_create (const char *address, uint32_t timeout_s)
{
  char *host = NULL;
  uint16_t port;
  if (!gg_address_parse (address, &host, &port))
    return NULL;
  GgHttpConnection *self = g_new0 (GgHttpConnection, 1);
  self->target = parse_target (host);
  self->targets[0] = self->target;
  g_free (host);

  /* The Host header needs the brackets of an IPv6 address; the name is never resolved. */
  char *name = g_strndup (address, (gsize) (strrchr (address, ':') - address));
  self->session = ne_session_create ("http", name, port);
  g_free (name);
  ne_set_addrlist2 (self->session, port, self->targets, 1);
  self->timeout_s = timeout_s;
  ne_set_connect_timeout (self->session, (int) timeout_s);
  ne_set_notifier (self->session, note_status, self);
  ne_hook_pre_send (self->session, capture_head, self);
  return self;
}

/* neon 0.32 frees the head after it has read the status line; until then it may need the head to
 * send the request again. */
static void
free_cancelled_request (GgHttpConnection *self)
{
  if (self->head != NULL && ne_get_status (self->request)->code == 0)
    ne_buffer_destroy (self->head);
  ne_request_destroy (self->request);
}

void
gg_http_connection_destroy (GgHttpConnection *self)
{
  if (self == NULL)
    return;
  if (self->request != NULL)
    free_cancelled_request (self);
  ne_session_destroy (self->session);
  ne_iaddr_free (self->target);
  if (self->body != NULL)
    g_string_free (self->body, TRUE);
  g_free (self);
}

gboolean
gg_http_connection_is_open (const GgHttpConnection *self)
{
  return self->open;
}

static int
read_block (void *data, const char *block, size_t size)
{
  GgHttpConnection *self = data;
  if (self->body->len + size > self->exchange->max_reply_bytes
      || gg_http_exchange_is_abandoned (self->exchange))
    return -1;
  g_string_append_len (self->body, block, (gssize) size);
  return 0;
}

static int
start_body (void *data, ne_request *request, const ne_status *status)
{
  GgHttpConnection *self = data;
  g_string_truncate (self->body, 0);
  return 1;
}

static void
set_up_request (GgHttpConnection *self)
{
  GgHttpExchange *ex = self->exchange;
  ne_request *req = ne_request_create (self->session, ex->method, ex->path);
  self->request = req;
  /* neon 0.32 sends a request with this flag again on a new connection if a reused one fails.
   * Without the flag it closes a reused connection and opens a new one for each request. So the
   * flag is set only for requests that may run twice. */
  ne_set_request_flag (req, NE_REQFLAG_IDEMPOTENT, ex->may_repeat);
  for (char **h = ex->headers; h != NULL && h[0] != NULL && h[1] != NULL; h += 2)
    ne_add_request_header (req, h[0], h[1]);
  if (ex->body != NULL)
    ne_set_request_body_provider (req, (ne_off_t) ex->body_size_bytes, provide_body, self);
  ne_add_response_body_reader (req, start_body, read_block, self);

  uint64_t now = gg_clock_now_ms ();
  uint64_t left_s = ex->deadline_ms > now ? (ex->deadline_ms - now) / 1000 + 1 : 0;
  ne_set_read_timeout (self->session, (int) CLAMP (left_s, self->timeout_s, G_MAXINT / 1000));
}

static GHashTable *
copy_headers (ne_request *request)
{
  GHashTable *headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const char *name;
  const char *value;
  void *cursor = NULL;
  while ((cursor = ne_response_header_iterate (request, cursor, &name, &value)) != NULL)
    g_hash_table_replace (headers, g_ascii_strdown (name, -1), g_strdup (value));
  return headers;
}

/* A body that ends with the connection can't be distinguished from a truncated one. */
static gboolean
is_delimited (const GgHttpExchange *exchange)
{
  const GgHttpReply *reply = &exchange->reply;
  return reply->status == GG_HTTP_NO_CONTENT || reply->status == GG_HTTP_NOT_MODIFIED
         || strcmp (exchange->method, "HEAD") == 0
         || g_hash_table_contains (reply->headers, "content-length")
         || g_hash_table_contains (reply->headers, "transfer-encoding");
}

static gboolean
read_reply (GgHttpConnection *self)
{
  GgHttpReply *reply = &self->exchange->reply;
  reply->status = (uint32_t) ne_get_status (self->request)->code;
  reply->headers = copy_headers (self->request);
  reply->body_size_bytes = self->body->len;
  reply->body = g_string_free (self->body, FALSE);
  self->body = NULL;
  return reply->status >= GG_HTTP_MIN_FINAL_STATUS && reply->status <= GG_HTTP_MAX_STATUS
         && is_delimited (self->exchange);
}

gboolean
gg_http_connection_dispatch (GgHttpConnection *self, GgHttpExchange *exchange)
{
  self->exchange = exchange;
  self->body = g_string_new (NULL);
  self->withheld = FALSE;
  self->head = NULL;
  set_up_request (self);

  if (self->open)
    pthread_setcancelstate (PTHREAD_CANCEL_ENABLE, NULL);
  int failed = ne_request_dispatch (self->request);
  pthread_setcancelstate (PTHREAD_CANCEL_DISABLE, NULL);

  gboolean is_complete = failed == NE_OK && read_reply (self);
  if (!is_complete)
    ne_close_connection (self->session);
  ne_request_destroy (self->request);
  self->request = NULL;
  if (self->body != NULL)
    g_string_free (self->body, TRUE);
  self->body = NULL;
  self->exchange = NULL;
  return is_complete;
}
