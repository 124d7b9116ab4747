#include "base/event_log.h"

#include "base/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

/* Held for a reader that is slow; more than that is dropped. */
#define MAX_HELD_BYTES (64 * 1024)
#define MAX_ORDINARY_PER_S 100
#define MS_PER_S 1000

static struct
{
  char *instance;
  int fd;
  GString *held;
  uint64_t second;
  uint32_t n_ordinary; /* in this second */
  uint64_t n_left_out; /* not yet said */
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
  g_string_append_printf (event_log.held, "time=%" G_GUINT64_FORMAT ".%03u instance=%s event=%s ",
                          (guint64) (wall_ms / MS_PER_S), (guint) (wall_ms % MS_PER_S),
                          event_log.instance != NULL ? event_log.instance : "-", event);
}

void
gg_event_log_add (GgEventClass event_class, const char *event, const char *format, ...)
{
  if (event_log.held == NULL)
    event_log.held = g_string_new (NULL);
  uint64_t wall_ms = gg_clock_wall_ms ();
  if ((event_class == GG_EVENT_ORDINARY && is_over_rate (wall_ms))
      || event_log.held->len > MAX_HELD_BYTES)
    {
      event_log.n_left_out++;
      event_log.n_dropped++;
      return;
    }
  if (event_log.n_left_out > 0)
    {
      add_prefix ("log_lines_left_out", wall_ms);
      g_string_append_printf (event_log.held, "count=%" G_GUINT64_FORMAT "\n",
                              (guint64) event_log.n_left_out);
      event_log.n_left_out = 0;
    }
  add_prefix (event, wall_ms);
  va_list args;
  va_start (args, format);
  g_string_append_vprintf (event_log.held, format, args);
  va_end (args);
  g_string_append_c (event_log.held, '\n');
}

void
gg_event_log_flush (void)
{
  if (event_log.held == NULL || event_log.held->len == 0)
    return;
  ssize_t n = write (event_log.fd, event_log.held->str, event_log.held->len);
  if (n > 0)
    g_string_erase (event_log.held, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (event_log.held, 0); /* nobody reads any more */
}

uint64_t
gg_event_log_count_dropped (void)
{
  return event_log.n_dropped;
}
