#include "base/event_log.h"

#include "base/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/* Limit of the output that waits for a slow reader; further lines are dropped. */
#define MAX_BUFFERED_BYTES (64 * 1024)
#define MAX_ORDINARY_PER_S 100
#define MS_PER_S 1000

static struct
{
  char *instance;
  int fd;
  GString *buffer;
  uint64_t second;
  uint32_t n_ordinary;   /* lines in this second */
  uint64_t n_unreported; /* dropped, and not yet reported by a log_lines_left_out line */
  uint64_t n_dropped;
} event_log = { .fd = STDOUT_FILENO };

void
gg_event_log_init (const char *instance, int fd)
{
  g_free (event_log.instance);
  event_log.instance = g_strdup (instance);
  event_log.fd = fd;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

static gboolean
is_over_rate (uint64_t now_ms)
{
  if (now_ms / MS_PER_S != event_log.second)
    {
      event_log.second = now_ms / MS_PER_S;
      event_log.n_ordinary = 0;
    }
  return ++event_log.n_ordinary > MAX_ORDINARY_PER_S;
}

static void
add_prefix (const char *event, uint64_t wall_ms)
{
  g_string_append_printf (event_log.buffer, "time=%" G_GUINT64_FORMAT ".%03u instance=%s event=%s ",
                          (guint64) (wall_ms / MS_PER_S), (guint) (wall_ms % MS_PER_S),
                          event_log.instance != NULL ? event_log.instance : "-", event);
}

/* Replaces control characters in the text from an offset on. */
static void
replace_controls (gsize from)
{
  for (char *c = event_log.buffer->str + from; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
}

void
gg_event_log_add (GgEventClass event_class, const char *event, const char *format, ...)
{
  if (event_log.buffer == NULL)
    event_log.buffer = g_string_new (NULL);
  uint64_t wall_ms = gg_clock_wall_ms ();
  if ((event_class == GG_EVENT_ORDINARY && is_over_rate (wall_ms))
      || event_log.buffer->len > MAX_BUFFERED_BYTES)
    {
      event_log.n_unreported++;
      event_log.n_dropped++;
      return;
    }
  if (event_log.n_unreported > 0)
    {
      add_prefix ("log_lines_left_out", wall_ms);
      g_string_append_printf (event_log.buffer, "count=%" G_GUINT64_FORMAT "\n",
                              (guint64) event_log.n_unreported);
      event_log.n_unreported = 0;
    }
  add_prefix (event, wall_ms);
  gsize from = event_log.buffer->len;
  va_list args;
  va_start (args, format);
  g_string_append_vprintf (event_log.buffer, format, args);
  va_end (args);
  replace_controls (from);
  g_string_append_c (event_log.buffer, '\n');
}

void
gg_event_log_format_id (const char *id, char text_out[GG_EVENT_LOG_ID_BYTES + 1])
{
  gboolean is_empty = id == NULL || *id == '\0';
  g_snprintf (text_out, GG_EVENT_LOG_ID_BYTES + 1, "%s", is_empty ? "-" : id);
  for (char *c = text_out; *c != '\0'; c++)
    if (*c == ' ')
      *c = '_';
    else if (g_ascii_iscntrl (*c))
      *c = '?';
}

void
gg_event_log_flush (void)
{
  if (event_log.buffer == NULL || event_log.buffer->len == 0)
    return;
  ssize_t n = write (event_log.fd, event_log.buffer->str, event_log.buffer->len);
  if (n > 0)
    g_string_erase (event_log.buffer, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (event_log.buffer, 0); /* the output can't be written any more */
}

uint64_t
gg_event_log_count_dropped (void)
{
  return event_log.n_dropped;
}
