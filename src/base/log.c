#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

static const char *program_name = "greengage";

void
gg_log_init (const char *program)
{
  program_name = program;
}

void
gg_log (int priority, const char *format, ...)
{
  char line[1024];
  int used = snprintf (line, sizeof line, "<%d>%s[%d]: ", LOG_DAEMON | priority, program_name,
                       (int) getpid ());
  va_list args;
  va_start (args, format);
  int added = vsnprintf (line + used, sizeof line - (size_t) used - 1, format, args);
  va_end (args);

  size_t length = (size_t) used + (size_t) (added > 0 ? added : 0);
  if (length > sizeof line - 2)
    length = sizeof line - 2;
  line[length++] = '\n';
  /* A single write per line, so that lines of different threads don't interleave. */
  ssize_t ignored = write (STDERR_FILENO, line, length);
  (void) ignored;
}
