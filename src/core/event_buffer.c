#include "core/event_buffer.h"

#include <string.h>

#define MAX_EVENT_BYTES (256 * 1024)

struct _GgEventBuffer
{
  GByteArray *bytes;
  size_t start;   /* offset of the first event that was not returned yet */
  size_t scanned; /* bytes before this offset were searched for the end of that event */
};

GgEventBuffer *
gg_event_buffer_create (void)
{
  GgEventBuffer *self = g_new0 (GgEventBuffer, 1);
  self->bytes = g_byte_array_new ();
  return self;
}

void
gg_event_buffer_destroy (GgEventBuffer *self)
{
  if (self == NULL)
    return;
  g_byte_array_unref (self->bytes);
  g_free (self);
}

gboolean
gg_event_buffer_append (GgEventBuffer *self, const char *bytes, size_t size_bytes)
{
  if (self->start > 0)
    {
      g_byte_array_remove_range (self->bytes, 0, (guint) self->start);
      self->scanned -= self->start;
      self->start = 0;
    }
  g_byte_array_append (self->bytes, (const guint8 *) bytes, (guint) size_bytes);
  return self->bytes->len <= MAX_EVENT_BYTES;
}

/* Returns the size of the line terminator at @p i, or 0. */
static size_t
get_line_end (const GByteArray *bytes, size_t i)
{
  if (i < bytes->len && bytes->data[i] == '\n')
    return 1;
  if (i + 1 < bytes->len && bytes->data[i] == '\r' && bytes->data[i + 1] == '\n')
    return 2;
  return 0;
}

/* Returns the offset after the empty line that ends the event, or 0. */
static size_t
find_end (GgEventBuffer *self)
{
  for (size_t i = MAX (self->scanned, self->start); i < self->bytes->len; i++)
    {
      if (self->bytes->data[i] != '\n')
        continue;
      size_t empty = get_line_end (self->bytes, i + 1);
      if (empty > 0)
        return i + 1 + empty;
    }
  /* The last bytes may be the start of a terminator. */
  self->scanned = self->bytes->len > self->start + 2 ? self->bytes->len - 2 : self->start;
  return 0;
}

static void
read_id (GgStreamEvent *event, const char *value, size_t size_bytes)
{
  char text[32];
  guint64 id;
  size_t n = MIN (size_bytes, sizeof text - 1);
  memcpy (text, value, n);
  text[n] = '\0';
  event->has_id = g_ascii_string_to_unsigned (g_strstrip (text), 10, 0, G_MAXUINT64, &id, NULL);
  event->id = event->has_id ? id : 0;
}

/* Reads a line without its terminator. Names of fields are in lower case on all streams, so lines
 * of an HTTP head and sentences of an error are told from them. */
static void
read_line (GgStreamEvent *event, const char *line, size_t size_bytes)
{
  static const char id_field[] = "id:";
  size_t n = 0;
  while (n < size_bytes && line[n] != ':')
    {
      if (!g_ascii_islower (line[n]) && !g_ascii_isdigit (line[n]) && line[n] != '-'
          && line[n] != '_')
        event->is_valid = FALSE;
      n++;
    }
  if (size_bytes >= sizeof id_field - 1 && memcmp (line, id_field, sizeof id_field - 1) == 0)
    read_id (event, line + sizeof id_field - 1, size_bytes - (sizeof id_field - 1));
}

static void
read_lines (GgStreamEvent *event)
{
  const char *p = event->bytes;
  const char *end = event->bytes + event->size_bytes;
  event->is_valid = TRUE;
  while (p < end)
    {
      const char *line_end = memchr (p, '\n', (size_t) (end - p));
      size_t n = line_end != NULL ? (size_t) (line_end - p) : (size_t) (end - p);
      read_line (event, p, n > 0 && p[n - 1] == '\r' ? n - 1 : n);
      p += n + 1;
    }
}

gboolean
gg_event_buffer_next (GgEventBuffer *self, GgStreamEvent *event_out)
{
  size_t end = find_end (self);
  if (end == 0)
    return FALSE;
  *event_out = (GgStreamEvent){ .bytes = (const char *) self->bytes->data + self->start,
                                .size_bytes = end - self->start };
  read_lines (event_out);
  self->start = end;
  self->scanned = end;
  return TRUE;
}

size_t
gg_event_buffer_get_partial_bytes (const GgEventBuffer *self)
{
  return self->bytes->len - self->start;
}
