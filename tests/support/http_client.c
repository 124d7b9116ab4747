#include "http_client.h"

#include "base/clock.h"
#include "base/settings.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 10000
#define HEADER_END "\r\n\r\n"

struct _GgEventStream
{
  int fd;
  unsigned status;
  GHashTable *headers; /* lower-case name to value */
  GString *raw;        /* received, not yet decoded */
  GString *text;       /* decoded, not yet returned */
  size_t chunk_left;   /* missing bytes of the current chunk */
  gboolean chunked;
  gboolean ended;
  gboolean is_truncated;
};

static GgHttpPool *
get_pool (void)
{
  static GgHttpPool *pool;
  static const GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  if (!pool)
    pool = gg_http_pool_create (&limits);
  return pool;
}

GgHttpResult
gg_test_call (const char *method,
              const char *address,
              const char *path,
              const char *const *headers,
              const char *body,
              GgHttpReply *reply_out)
{
  GgHttpRequest request = {
    .method = method,
    .path = path,
    .headers = headers,
    .body = body,
    .body_size_bytes = body ? strlen (body) : 0,
  };
  memset (reply_out, 0, sizeof *reply_out);
  return gg_http_pool_call (get_pool (), address, &request, gg_clock_now_ms () + CALL_TIMEOUT_MS,
                            reply_out);
}

char *
gg_test_get (const char *address, const char *path)
{
  GgHttpReply reply;
  char *body = NULL;
  if (gg_test_call ("GET", address, path, NULL, NULL, &reply) == GG_HTTP_OK && reply.status == 200)
    body = g_steal_pointer (&reply.body);
  gg_http_reply_clear (&reply);
  return body;
}

gboolean
gg_test_send (const char *method, const char *address, const char *path, const char *body)
{
  GgHttpReply reply;
  gboolean done = gg_test_call (method, address, path, NULL, body, &reply) == GG_HTTP_OK
                  && reply.status == 200;
  gg_http_reply_clear (&reply);
  return done;
}

void
gg_event_clear (GgEvent *self)
{
  g_free (self->id);
  g_free (self->name);
  g_free (self->data);
  memset (self, 0, sizeof *self);
}

/* Appends the next received bytes to raw.
 * @return FALSE at the deadline or at the end of the stream. */
static gboolean
receive (GgEventStream *self, uint64_t deadline_ms)
{
  uint64_t now = gg_clock_now_ms ();
  struct pollfd entry = { .fd = self->fd, .events = POLLIN };
  char part[4096];
  if (poll (&entry, 1, deadline_ms > now ? (int) (deadline_ms - now) : 0) <= 0)
    return FALSE;
  ssize_t n = recv (self->fd, part, sizeof part, 0);
  if (n > 0)
    g_string_append_len (self->raw, part, n);
  else if (self->chunked || n < 0)
    self->is_truncated = TRUE;
  else
    self->ended = TRUE;
  return n > 0;
}

/* Moves the data of complete and partial chunks from raw to text. */
static void
decode (GgEventStream *self)
{
  while (self->raw->len > 0 && !self->ended)
    {
      if (self->chunked && self->chunk_left == 0)
        {
          if (g_str_has_prefix (self->raw->str, "\r\n"))
            g_string_erase (self->raw, 0, 2);
          const char *line_end = strstr (self->raw->str, "\r\n");
          if (!line_end)
            return;
          self->chunk_left = strtoul (self->raw->str, NULL, 16);
          self->ended = self->chunk_left == 0;
          g_string_erase (self->raw, 0, line_end + 2 - self->raw->str);
          continue;
        }
      size_t n = self->chunked ? MIN (self->chunk_left, self->raw->len) : self->raw->len;
      g_string_append_len (self->text, self->raw->str, (gssize) n);
      g_string_erase (self->raw, 0, (gssize) n);
      self->chunk_left -= self->chunked ? n : 0;
    }
}

static gboolean
connect_to (GgEventStream *self, const char *address)
{
  char *host = NULL;
  uint16_t port = 0;
  struct sockaddr_in target = { .sin_family = AF_INET };
  gboolean valid = gg_address_parse (address, &host, &port)
                   && inet_pton (AF_INET, host, &target.sin_addr) == 1;
  target.sin_port = htons (port);
  g_free (host);
  self->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  return valid && connect (self->fd, (struct sockaddr *) &target, sizeof target) == 0;
}

static void
send_request (GgEventStream *self,
              const char *method,
              const char *address,
              const char *path,
              const char *const *headers,
              const char *body)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                   "Content-Length: %zu\r\n",
                   method, path, address, body ? strlen (body) : 0);
  for (size_t i = 0; headers && headers[i]; i += 2)
    g_string_append_printf (text, "%s: %s\r\n", headers[i], headers[i + 1]);
  g_string_append_printf (text, "\r\n%s", body ? body : "");
  (void) send (self->fd, text->str, text->len, MSG_NOSIGNAL);
  g_string_free (text, TRUE);
}

static gboolean
read_header (GgEventStream *self)
{
  uint64_t deadline = gg_clock_now_ms () + CALL_TIMEOUT_MS;
  const char *end = NULL;
  while (!(end = strstr (self->raw->str, HEADER_END)))
    if (!receive (self, deadline))
      return FALSE;
  char *header = g_strndup (self->raw->str, (size_t) (end - self->raw->str));
  g_string_erase (self->raw, 0, end + strlen (HEADER_END) - self->raw->str);
  char **lines = g_strsplit (header, "\r\n", -1);
  const char *status = strchr (lines[0], ' ');
  self->status = status ? (unsigned) strtoul (status, NULL, 10) : 0;
  for (size_t i = 1; lines[i]; i++)
    {
      char **pair = g_strsplit (lines[i], ":", 2);
      if (pair[0] && pair[1])
        g_hash_table_insert (self->headers, g_ascii_strdown (pair[0], -1),
                             g_strdup (g_strstrip (pair[1])));
      g_strfreev (pair);
    }
  g_strfreev (lines);
  g_free (header);
  const char *coding = gg_event_stream_get_header (self, "transfer-encoding");
  self->chunked = coding && g_ascii_strcasecmp (coding, "chunked") == 0;
  return TRUE;
}

GgEventStream *
gg_event_stream_open (const char *method,
                      const char *address,
                      const char *path,
                      const char *const *headers,
                      const char *body)
{
  GgEventStream *self = g_new0 (GgEventStream, 1);
  self->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->raw = g_string_new (NULL);
  self->text = g_string_new (NULL);
  if (connect_to (self, address))
    {
      send_request (self, method, address, path, headers, body);
      if (read_header (self))
        return self;
    }
  gg_event_stream_close (self);
  return NULL;
}

void
gg_event_stream_close (GgEventStream *self)
{
  if (!self)
    return;
  close (self->fd);
  g_hash_table_unref (self->headers);
  g_string_free (self->raw, TRUE);
  g_string_free (self->text, TRUE);
  g_free (self);
}

unsigned
gg_event_stream_get_status (const GgEventStream *self)
{
  return self->status;
}

const char *
gg_event_stream_get_header (const GgEventStream *self, const char *name)
{
  char *lower = g_ascii_strdown (name, -1);
  const char *value = g_hash_table_lookup (self->headers, lower);
  g_free (lower);
  return value;
}

/* Several data lines of one event are joined by line feeds. */
static void
parse_field (GgEvent *event, const char *line)
{
  char **pair = g_strsplit (line, ":", 2);
  const char *value = pair[0] && pair[1] ? pair[1] : "";
  value += *value == ' ';
  char **field = NULL;
  if (g_strcmp0 (pair[0], "id") == 0)
    field = &event->id;
  else if (g_strcmp0 (pair[0], "event") == 0)
    field = &event->name;
  else if (g_strcmp0 (pair[0], "data") == 0)
    field = &event->data;
  if (field)
    {
      char *joined = *field ? g_strconcat (*field, "\n", value, NULL) : g_strdup (value);
      g_free (*field);
      *field = joined;
    }
  g_strfreev (pair);
}

static gboolean
next_event (GgEventStream *self, GgEvent *event_out)
{
  const char *end = strstr (self->text->str, "\n\n");
  if (!end)
    return FALSE;
  char *block = g_strndup (self->text->str, (size_t) (end - self->text->str));
  g_string_erase (self->text, 0, end + 2 - self->text->str);
  char **lines = g_strsplit (block, "\n", -1);
  memset (event_out, 0, sizeof *event_out);
  for (size_t i = 0; lines[i]; i++)
    parse_field (event_out, lines[i]);
  g_strfreev (lines);
  g_free (block);
  return TRUE;
}

GgEventResult
gg_event_stream_next (GgEventStream *self, uint64_t timeout_ms, GgEvent *event_out)
{
  uint64_t deadline = gg_clock_now_ms () + timeout_ms;
  for (;;)
    {
      decode (self);
      if (next_event (self, event_out))
        return GG_EVENT_READ;
      if (self->ended || self->is_truncated)
        return self->ended ? GG_EVENT_ENDED : GG_EVENT_TRUNCATED;
      if (!receive (self, deadline) && !self->ended && !self->is_truncated)
        return GG_EVENT_TIMEOUT;
    }
}
