/* Callers that read slowly or not at all for some seconds, in the middle of an answer or a stream,
 * also beside changes of the configuration. They must get the whole answer. */
#include "base/clock.h"
#include "process.h"
#include "site.h"
#include "test_main.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define N_CALLERS 12
#define START_TIMEOUT_MS 5000
#define N_EVENTS 40
#define EVENT_BYTES 200000
/* Of a part of a plain answer, which has five. */
#define PART_BYTES 49000
/* Streams of different sizes end with full and with empty buffers. */
#define EVENT_STEP_BYTES 2000
#define DEADLINE_MS "30000"
/* Longer than the time limit of outgoing connections for unacknowledged output. */
#define PAUSE_MS 6000
#define READ_BYTES 65536
#define LONG_IDLE_MS 15000
#define SHORT_IDLE_MS 1000
#define CONFIG_MS 700
#define CALL_TIMEOUT_MS 30000

static Site *site;
static GgProcess *runner;
static char *runner_address;
static guint version = 2;

typedef struct
{
  const char *script; /* what the runner sends, as tests/fakes/fake_script.c reads it */
  guint part_bytes;
  guint step_bytes;  /* by which the parts of the next caller are smaller */
  uint64_t pause_ms; /* without reading after the first bytes */
  uint64_t read_ms;  /* between two readings */
  guint index;
  gboolean is_whole;
} Caller;

static void
write_config (uint64_t idle_timeout_ms)
{
  char *config = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"streams\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/streams/\","
      "\"kind\":\"streaming\",\"timeout_ms\":" DEADLINE_MS ",\"goal_ms\":500,\"priority\":1,"
      "\"service\":\"script\",\"max_attempts\":1,\"stream_resume\":false,\"gap_target_ms\":200}],"
      "\"services\":[{\"name\":\"script\",\"health_path\":\"/health\",\"max_conns\":1000}],"
      "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":65536,"
      "\"header_timeout_ms\":1000,\"idle_timeout_ms\":%u},"
      "\"tenants\":[{\"name\":\"school\",\"api_keys\":[\"" SITE_KEY "\"]}]}",
      version++, (guint) idle_timeout_ms);
  site_put (site, "op/config", config);
  g_free (config);
}

/* Reads until the end of the answer, which is the connection's or the last chunk.
 * @return whether it came. */
static gboolean
read_answer (const Caller *self, int fd)
{
  static const char last_chunk[] = "\r\n0\r\n\r\n";
  uint64_t end_ms = gg_clock_now_ms () + CALL_TIMEOUT_MS;
  GString *text = g_string_new (NULL);
  char *bytes = g_malloc (READ_BYTES);
  size_t whole_bytes = 5 * (size_t) self->part_bytes;
  gboolean is_whole = FALSE;
  struct pollfd entry = { .fd = fd, .events = POLLIN };
  while (!is_whole && gg_clock_now_ms () < end_ms && poll (&entry, 1, CALL_TIMEOUT_MS) > 0)
    {
      ssize_t n = read (fd, bytes, READ_BYTES);
      if (n <= 0)
        break;
      gboolean is_first = text->len == 0;
      g_string_append_len (text, bytes, n);
      g_usleep ((is_first ? self->pause_ms : self->read_ms) * 1000);
      is_whole = strstr (text->str, "chunked") != NULL ? g_str_has_suffix (text->str, last_chunk)
                                                       : text->len > whole_bytes;
    }
  g_string_free (text, TRUE);
  g_free (bytes);
  return is_whole;
}

static void *
run_caller (void *data)
{
  Caller *self = data;
  char *request = g_strdup_printf (
      "POST /streams/1?size=%u HTTP/1.1\r\nHost: " SITE_HOST "\r\nAuthorization: Bearer " SITE_KEY
      "\r\nX-Attempt-Id: call-%u-%u\r\nX-Deadline-Ms: " DEADLINE_MS
      "\r\nContent-Length: %zu\r\n\r\n%s",
      self->part_bytes, version, self->index, strlen (self->script), self->script);
  int fd = site_connect (site, 0);
  if (fd >= 0 && send (fd, request, strlen (request), MSG_NOSIGNAL) == (ssize_t) strlen (request))
    self->is_whole = read_answer (self, fd);
  close (fd);
  g_free (request);
  return NULL;
}

/* Plays callers, with a new configuration every CONFIG_MS if @p has_changes.
 * @return the number of whole answers. */
static guint
run (const Caller *caller, uint64_t idle_timeout_ms, gboolean has_changes)
{
  Caller callers[N_CALLERS];
  GThread *threads[N_CALLERS];
  guint n_whole = 0;
  for (guint i = 0; i < N_CALLERS; i++)
    {
      callers[i] = *caller;
      callers[i].index = i;
      callers[i].part_bytes -= i * caller->step_bytes;
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  uint64_t end_ms = gg_clock_now_ms () + PAUSE_MS;
  while (has_changes && gg_clock_now_ms () < end_ms)
    {
      write_config (idle_timeout_ms);
      gg_process_signal (site->routers[0].process, SIGHUP);
      g_usleep (CONFIG_MS * 1000);
    }
  for (guint i = 0; i < N_CALLERS; i++)
    {
      g_thread_join (threads[i]);
      n_whole += callers[i].is_whole;
    }
  printf ("  %u of %d answers whole\n", n_whole, N_CALLERS);
  return n_whole;
}

static char *
print_stream (void)
{
  GString *script = g_string_new ("{stream}{chunked}");
  for (guint i = 1; i <= N_EVENTS; i++)
    g_string_append_printf (script, "{event %u}", i);
  g_string_append (script, "{end}");
  return g_string_free (script, FALSE);
}

#define PLAIN_SCRIPT                                                                               \
  "HTTP/1.1 200 OK\r\n{id}{signed}Content-Type: text/plain\r\n{length 1}{raw events 1}"

/* Guards against plain answers that are cut since their caller pauses. */
static void
test_answers_to_callers_that_pause (void)
{
  Caller caller = { .script = PLAIN_SCRIPT, .part_bytes = PART_BYTES, .pause_ms = PAUSE_MS };
  CU_ASSERT_EQUAL (run (&caller, LONG_IDLE_MS, FALSE), N_CALLERS);
  CU_ASSERT_EQUAL (run (&caller, LONG_IDLE_MS, TRUE), N_CALLERS);
}

/* Guards against streams that are cut since their caller pauses. */
static void
test_streams_to_callers_that_pause (void)
{
  char *script = print_stream ();
  Caller caller = { .script = script, .part_bytes = EVENT_BYTES, .pause_ms = PAUSE_MS };
  CU_ASSERT_EQUAL (run (&caller, LONG_IDLE_MS, FALSE), N_CALLERS);
  CU_ASSERT_EQUAL (run (&caller, LONG_IDLE_MS, TRUE), N_CALLERS);
  g_free (script);
}

/* Guards against answers to slow callers that are cut since a new configuration has a shorter idle
 * time-out. */
static void
test_slow_callers_beside_shorter_idle_timeout (void)
{
  char *script = print_stream ();
  Caller caller = {
    .script = script, .part_bytes = EVENT_BYTES, .step_bytes = EVENT_STEP_BYTES, .read_ms = 100
  };
  CU_ASSERT_EQUAL (run (&caller, SHORT_IDLE_MS, TRUE), N_CALLERS);
  g_free (script);
}

static gboolean
is_serving (void *data)
{
  char *answer = site_call (site, 0, "POST", "/streams/1", "", "{stream}{chunked}{events 1}{end}");
  gboolean is_served = answer != NULL && g_str_has_prefix (answer, "HTTP/1.1 200");
  g_free (answer);
  return is_served;
}

static gboolean
set_up (void)
{
  site = site_create (1);
  if (site == NULL)
    return FALSE;
  runner_address = gg_process_reserve_address ();
  const char *args[] = { "--listen", runner_address, NULL };
  runner = gg_process_start ("gg-fake-script", args);
  gg_process_wait_listening (runner, START_TIMEOUT_MS);
  char *entry = g_strdup_printf ("{\"service\":\"script\",\"address\":\"%s\",\"zone\":\"north\","
                                 "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"born\":1}",
                                 runner_address);
  site_put (site, "servers/script-0", entry);
  g_free (entry);
  write_config (LONG_IDLE_MS);
  return gg_wait_until (is_serving, NULL, START_TIMEOUT_MS);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "answers to callers that pause", test_answers_to_callers_that_pause },
    { "streams to callers that pause", test_streams_to_callers_that_pause },
    { "slow callers beside a shorter idle time-out",
      test_slow_callers_beside_shorter_idle_timeout },
  };
  if (!set_up ())
    {
      fprintf (stderr, "the site does not serve\n");
      return EXIT_FAILURE;
    }
  int status = gg_test_run ("platform slow callers", cases, G_N_ELEMENTS (cases));
  gg_process_destroy (runner);
  g_free (runner_address);
  site_destroy (site);
  return status;
}
