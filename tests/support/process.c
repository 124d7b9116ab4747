#include "process.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/pidfd.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_MS 5
#define EXEC_FAILED 127
#define SIGNALLED 128
/* Below the ephemeral port range, so that no outgoing connection takes a reserved port before its
 * program binds it. */
#define FIRST_PORT 20000
#define END_PORT 32000

struct _GgProcess
{
  char *program;
  pid_t pid;
  int pid_fd;
  int output_fd;
  int errors_fd;
  int status;
  char *address;
};

static GPtrArray *running;

static void
exec_child (const char *path, char **argv, pid_t parent, int output_fd, int errors_fd)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (EXEC_FAILED);
  sigset_t none;
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  dup2 (output_fd, STDOUT_FILENO);
  dup2 (errors_fd, STDERR_FILENO);
  execv (path, argv);
  static const char message[] = "can't execute ";
  (void) !write (STDERR_FILENO, message, strlen (message));
  (void) !write (STDERR_FILENO, path, strlen (path));
  _exit (EXEC_FAILED);
}

GgProcess *
gg_process_start (const char *program, const char *const *args)
{
  const char *folder = g_getenv ("GG_BIN");
  GPtrArray *argv = g_ptr_array_new ();
  GgProcess *self = g_new0 (GgProcess, 1);
  char *path = g_path_is_absolute (program)
                   ? g_strdup (program)
                   : g_build_filename (folder ? folder : ".", program, NULL);
  g_ptr_array_add (argv, path);
  for (size_t i = 0; args[i]; i++)
    g_ptr_array_add (argv, (char *) args[i]);
  g_ptr_array_add (argv, NULL);
  self->program = g_strdup (program);
  self->status = -1;
  /* Unlike a pipe, a memfd never blocks a program whose output is not read. */
  self->output_fd = memfd_create ("output", MFD_CLOEXEC);
  self->errors_fd = memfd_create ("errors", MFD_CLOEXEC);
  pid_t parent = getpid ();
  self->pid = fork ();
  if (self->pid == 0)
    exec_child (path, (char **) argv->pdata, parent, self->output_fd, self->errors_fd);
  g_assert (self->pid > 0);
  self->pid_fd = pidfd_open (self->pid, 0);
  if (!running)
    running = g_ptr_array_new ();
  g_ptr_array_add (running, self);
  g_ptr_array_unref (argv);
  g_free (path);
  return self;
}

void
gg_process_signal (GgProcess *self, int signal_number)
{
  if (self->status < 0)
    kill (self->pid, signal_number);
}

gboolean
gg_process_wait_exit (GgProcess *self, uint64_t timeout_ms)
{
  if (self->status >= 0)
    return TRUE;
  struct pollfd entry = { .fd = self->pid_fd, .events = POLLIN };
  int status = 0;
  if (poll (&entry, 1, (int) timeout_ms) <= 0 || waitpid (self->pid, &status, 0) != self->pid)
    return FALSE;
  self->status = WIFEXITED (status) ? WEXITSTATUS (status) : SIGNALLED + WTERMSIG (status);
  return TRUE;
}

int
gg_process_get_status (GgProcess *self)
{
  (void) gg_process_wait_exit (self, 0);
  return self->status;
}

uint64_t
gg_process_get_cpu_ms (const GgProcess *self)
{
  char *path = g_strdup_printf ("/proc/%d/stat", gg_process_get_id (self));
  char *text = NULL;
  uint64_t ticks = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      /* The name, in parentheses, may contain spaces; utime and stime are fields 14 and 15. */
      unsigned long user = 0;
      unsigned long system = 0;
      const char *fields = strrchr (text, ')');
      if (fields != NULL
          && sscanf (fields, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                     &system)
                 == 2)
        ticks = user + system;
    }
  g_free (text);
  g_free (path);
  return ticks * 1000 / (uint64_t) sysconf (_SC_CLK_TCK);
}

guint
gg_process_get_peak_kb (const GgProcess *self)
{
  char *path = g_strdup_printf ("/proc/%d/status", gg_process_get_id (self));
  char *text = NULL;
  guint peak_kb = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      const char *line = strstr (text, "VmHWM:");
      peak_kb = line != NULL ? (guint) atoi (line + strlen ("VmHWM:")) : 0;
    }
  g_free (path);
  g_free (text);
  return peak_kb;
}

int
gg_process_get_id (const GgProcess *self)
{
  return self->pid;
}

void
gg_process_destroy (GgProcess *self)
{
  if (!self)
    return;
  gg_process_signal (self, SIGKILL);
  (void) gg_process_wait_exit (self, INT32_MAX);
  g_ptr_array_remove_fast (running, self);
  close (self->pid_fd);
  close (self->output_fd);
  close (self->errors_fd);
  g_free (self->program);
  g_free (self->address);
  g_free (self);
}

void
gg_process_kill_all (void)
{
  for (guint i = 0; running && i < running->len; i++)
    gg_process_signal (running->pdata[i], SIGKILL);
  for (guint i = 0; running && i < running->len; i++)
    (void) gg_process_wait_exit (running->pdata[i], INT32_MAX);
}

static char *
read_all (int fd)
{
  GString *text = g_string_new (NULL);
  char part[4096];
  ssize_t n = 0;
  while ((n = pread (fd, part, sizeof part, (off_t) text->len)) > 0)
    g_string_append_len (text, part, n);
  return g_string_free (text, FALSE);
}

char *
gg_process_read_output (const GgProcess *self)
{
  return read_all (self->output_fd);
}

char *
gg_process_read_errors (const GgProcess *self)
{
  return read_all (self->errors_fd);
}

static gboolean
is_listening_or_ended (void *data)
{
  GgProcess *self = data;
  char *text = gg_process_read_output (self);
  char **lines = g_strsplit (text, "\n", -1);
  for (size_t i = 0; lines[i] && lines[i + 1]; i++)
    if (!self->address && g_str_has_prefix (lines[i], "listening "))
      self->address = g_strdup (lines[i] + strlen ("listening "));
  g_strfreev (lines);
  g_free (text);
  return self->address || gg_process_get_status (self) >= 0;
}

const char *
gg_process_wait_listening (GgProcess *self, uint64_t timeout_ms)
{
  (void) gg_wait_until (is_listening_or_ended, self, timeout_ms);
  return self->address;
}

int
gg_process_run (const char *program,
                const char *const *args,
                uint64_t timeout_ms,
                char **output_out)
{
  GgProcess *self = gg_process_start (program, args);
  (void) gg_process_wait_exit (self, timeout_ms);
  int status = self->status;
  if (output_out)
    {
      char *output = gg_process_read_output (self);
      char *errors = gg_process_read_errors (self);
      *output_out = g_strconcat (output, errors, NULL);
      g_free (output);
      g_free (errors);
    }
  gg_process_destroy (self);
  return status;
}

static gboolean
port_is_free (uint16_t port, int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int one = 1;
  /* Ignore connections of an earlier run in TIME_WAIT. */
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  gboolean is_free = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
  close (fd);
  return is_free;
}

/* Binds an abstract socket named after the port, which stays open until the program ends and keeps
 * concurrent test programs from choosing the same port. */
static gboolean
claim_port (uint16_t port)
{
  struct sockaddr_un name = { .sun_family = AF_UNIX };
  int length = snprintf (name.sun_path + 1, sizeof name.sun_path - 1, "gg-test-port-%u", port);
  int fd = socket (AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t size = (socklen_t) (offsetof (struct sockaddr_un, sun_path) + 1 + (size_t) length);
  if (bind (fd, (struct sockaddr *) &name, size) == 0)
    return TRUE;
  close (fd);
  return FALSE;
}

char *
gg_process_reserve_address (void)
{
  static uint16_t next = FIRST_PORT;
  for (; next < END_PORT; next++)
    if (claim_port (next) && port_is_free (next, SOCK_STREAM) && port_is_free (next, SOCK_DGRAM))
      return g_strdup_printf ("127.0.0.1:%u", next++);
  g_error ("no free port from %d to %d", FIRST_PORT, END_PORT);
}

gboolean
gg_wait_until (GgCondition condition, void *data, uint64_t timeout_ms)
{
  uint64_t deadline = gg_clock_now_ms () + timeout_ms;
  while (!condition (data))
    {
      if (gg_clock_now_ms () >= deadline)
        return FALSE;
      g_usleep (POLL_MS * 1000);
    }
  return TRUE;
}
