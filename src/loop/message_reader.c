#include "loop/message_reader.h"

#include <http_parser.h>
#include <string.h>

#define HTTP_1_1 1
/* RFC 9110, section 15: valid status codes are those from 100 to 599. */
#define MIN_STATUS 100
#define FIRST_FINAL_STATUS 200
#define MAX_STATUS 599
#define SWITCHING_PROTOCOLS 101
/* Result of on_head() upon which http_parser expects no body. */
#define NO_BODY 1
/* An interim response counts as at least this much of the head that follows it: a server could send
 * them without end. */
#define INTERIM_BYTES 64
/* The buffers of a head that were larger than this are freed with it: idle connections would keep
 * them. */
#define KEPT_BUFFER_BYTES 1024

struct _GgMessageReader
{
  http_parser parser;
  GgMessageFunc func;
  void *data;
  size_t max_head_bytes;
  size_t head_bytes;   /* of the current message and the interim responses before it */
  GgMessageHead *head; /* NULL once it has been delivered */
  GString *target;
  GString *name;
  GString *value;
  gboolean is_value; /* the last fragment was part of a value */
  gboolean is_bodiless;
  gboolean is_after_interim; /* the message before the current one was an interim response */
  gboolean is_in_message;
  gboolean is_complete;
  gboolean is_stopped;
  gboolean is_head_too_large;
};

static int
fail_head_size (GgMessageReader *self)
{
  self->is_head_too_large = TRUE;
  return 1;
}

static void
reset_buffer (GString **buffer)
{
  if ((*buffer)->allocated_len > KEPT_BUFFER_BYTES)
    {
      g_string_free (*buffer, TRUE);
      *buffer = g_string_new (NULL);
    }
  else
    g_string_truncate (*buffer, 0);
}

static int
on_begin (http_parser *parser)
{
  GgMessageReader *self = parser->data;
  gg_message_head_destroy (self->head);
  self->head = gg_message_head_create ();
  g_string_truncate (self->target, 0);
  g_string_truncate (self->name, 0);
  g_string_truncate (self->value, 0);
  self->is_value = FALSE;
  if (!self->is_after_interim)
    self->head_bytes = 0;
  self->is_in_message = TRUE;
  return 0;
}

static gboolean
count_head_bytes (GgMessageReader *self, size_t n)
{
  self->head_bytes += n;
  return self->head_bytes <= self->max_head_bytes;
}

static int
on_target (http_parser *parser, const char *at, size_t n)
{
  GgMessageReader *self = parser->data;
  if (!count_head_bytes (self, n))
    return fail_head_size (self);
  g_string_append_len (self->target, at, (gssize) n);
  return 0;
}

static void
end_field (GgMessageReader *self)
{
  if (self->name->len > 0)
    gg_message_head_add (self->head, self->name->str, self->value->str);
  g_string_truncate (self->name, 0);
  g_string_truncate (self->value, 0);
  self->is_value = FALSE;
}

static int
on_name (http_parser *parser, const char *at, size_t n)
{
  GgMessageReader *self = parser->data;
  if (!count_head_bytes (self, n))
    return fail_head_size (self);
  if (self->head == NULL) /* trailers after a chunked body are dropped */
    return 0;
  if (self->is_value)
    end_field (self);
  g_string_append_len (self->name, at, (gssize) n);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t n)
{
  GgMessageReader *self = parser->data;
  if (!count_head_bytes (self, n))
    return fail_head_size (self);
  if (self->head == NULL)
    return 0;
  self->is_value = TRUE;
  g_string_append_len (self->value, at, (gssize) n);
  return 0;
}

static gboolean
emit (GgMessageReader *self, const GgMessageEvent *event)
{
  if (!self->func (self->data, event))
    self->is_stopped = TRUE;
  return !self->is_stopped;
}

static gboolean
is_interim (const http_parser *parser)
{
  return parser->type == HTTP_RESPONSE && parser->status_code < FIRST_FINAL_STATUS;
}

/* After a 101 the bytes belong to another protocol, which no request has offered to switch to. */
static gboolean
is_status_valid (guint status)
{
  return status >= MIN_STATUS && status <= MAX_STATUS && status != SWITCHING_PROTOCOLS;
}

static int
on_head (http_parser *parser)
{
  GgMessageReader *self = parser->data;
  end_field (self);
  /* Upgrades are not supported, so the Upgrade field is ignored. */
  parser->upgrade = 0;
  if (parser->type == HTTP_RESPONSE && !is_status_valid (parser->status_code))
    return -1;
  /* An interim response has no body, whatever its head says. */
  if (is_interim (parser))
    return NO_BODY;
  GgMessageHead *head = self->head;
  self->head = NULL;
  if (parser->type == HTTP_REQUEST)
    {
      gg_message_head_set_method (head, http_method_str (parser->method));
      gg_message_head_set_target (head, self->target->str);
    }
  else
    gg_message_head_set_status (head, parser->status_code);
  reset_buffer (&self->target);
  reset_buffer (&self->name);
  reset_buffer (&self->value);
  GgMessageEvent event = { .kind = GG_MESSAGE_HEAD, .head = head };
  if (!emit (self, &event))
    return -1;
  return self->is_bodiless ? NO_BODY : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t n)
{
  GgMessageReader *self = parser->data;
  GgMessageEvent event = { .kind = GG_MESSAGE_BODY, .body = { at, n } };
  return emit (self, &event) ? 0 : -1;
}

static int
on_complete (http_parser *parser)
{
  GgMessageReader *self = parser->data;
  self->is_after_interim = is_interim (parser);
  if (self->is_after_interim)
    return count_head_bytes (self, INTERIM_BYTES) ? 0 : fail_head_size (self);
  self->is_in_message = FALSE;
  self->is_complete = TRUE;
  http_parser_pause (parser, 1);
  GgMessageEvent event
      = { .kind = GG_MESSAGE_END, .is_keep_alive = http_should_keep_alive (parser) != 0 };
  emit (self, &event);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

GgMessageReader *
gg_message_reader_create (GgMessageDirection direction,
                          size_t max_head_bytes,
                          GgMessageFunc func,
                          void *data)
{
  GgMessageReader *self = g_new0 (GgMessageReader, 1);
  http_parser_init (&self->parser, direction == GG_MESSAGE_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  self->parser.data = self;
  self->func = func;
  self->data = data;
  self->max_head_bytes = max_head_bytes;
  self->target = g_string_new (NULL);
  self->name = g_string_new (NULL);
  self->value = g_string_new (NULL);
  return self;
}

void
gg_message_reader_destroy (GgMessageReader *self)
{
  if (self == NULL)
    return;
  gg_message_head_destroy (self->head);
  g_string_free (self->target, TRUE);
  g_string_free (self->name, TRUE);
  g_string_free (self->value, TRUE);
  g_free (self);
}

static GgReadResult
get_result (GgMessageReader *self)
{
  if (self->is_stopped)
    return GG_READ_STOPPED;
  if (self->is_complete)
    return GG_READ_COMPLETE;
  if (self->is_head_too_large)
    return GG_READ_HEAD_TOO_LARGE;
  return HTTP_PARSER_ERRNO (&self->parser) == HPE_OK ? GG_READ_OK : GG_READ_MALFORMED;
}

GgReadResult
gg_message_reader_feed (GgMessageReader *self,
                        const char *bytes,
                        size_t size_bytes,
                        size_t *used_out)
{
  self->is_complete = FALSE;
  if (HTTP_PARSER_ERRNO (&self->parser) == HPE_PAUSED)
    http_parser_pause (&self->parser, 0);
  *used_out = http_parser_execute (&self->parser, &callbacks, bytes, size_bytes);
  return get_result (self);
}

GgReadResult
gg_message_reader_finish (GgMessageReader *self)
{
  if (!self->is_in_message)
    return GG_READ_COMPLETE;
  self->is_complete = FALSE;
  http_parser_execute (&self->parser, &callbacks, NULL, 0);
  GgReadResult result = get_result (self);
  return result == GG_READ_OK ? GG_READ_MALFORMED : result;
}

gboolean
gg_message_reader_is_in_message (const GgMessageReader *self)
{
  return self->is_in_message;
}

size_t
gg_message_reader_get_held_bytes (const GgMessageReader *self)
{
  if (self->head == NULL)
    return 0;
  return gg_message_head_get_memory (self->head) + self->target->allocated_len
         + self->name->allocated_len + self->value->allocated_len;
}

void
gg_message_reader_expect_no_body (GgMessageReader *self, gboolean is_bodiless)
{
  self->is_bodiless = is_bodiless;
}
