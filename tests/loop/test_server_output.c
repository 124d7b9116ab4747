/* Output of the server to callers that read slowly, pause or never read. A whole answer must reach
 * every caller that goes on reading; one that doesn't must not keep connection and memory for ever.
 * Outgoing connections are given up sooner. */
#include "base/clock.h"
#include "loop/address.h"
#include "loop/server.h"
#include "loop/socket.h"
#include "loop_fixture.h"
#include "process.h"
#include "test_main.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CALLERS 12
#define TICK_MS 10
#define READ_BYTES 65536
#define LONG_IDLE_MS 15000
#define SHORT_IDLE_MS 300
/* Longer than the time limit of outgoing connections for unacknowledged output. */
#define PAUSE_MS 6000
#define SMALL_BYTES 200000
#define N_PIPELINED 20
#define PIPELINED_BYTES (4 * 1024 * 1024)
/* More than the kernel's buffers hold. */
#define LARGE_BYTES (16 * 1024 * 1024)
#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
#define HEAD_REQUEST "HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define LAST_REQUEST "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

typedef struct
{
  int fd;
  size_t received_bytes;
  gboolean is_closed; /* by the server, in order */
  gboolean is_reset;
} Caller;

typedef struct
{
  /* What to play. */
  const char *request;
  guint n_callers;
  guint n_requests; /* of each caller, all at once */
  size_t answer_bytes;
  uint64_t idle_timeout_ms;
  uint64_t pause_ms; /* without reading after the first bytes */
  uint64_t limit_ms;
  /* What happened. */
  GgLoopServer *server;
  GgLoopTimer *tick;
  GgServerConnection
      *head_connection; /* with an answer to HEAD that has not ended; NULL for none */
  Caller callers[MAX_CALLERS];
  uint64_t started_ms;
  guint n_received; /* requests */
  guint n_busy;     /* connections that the server still serves */
  gboolean done;
} Play;

static void
on_server (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  Play *play = data;
  if (event->kind != GG_SERVER_REQUEST)
    return;
  char *body = g_malloc0 (play->answer_bytes);
  GgMessageHead *head = gg_message_head_create_response (200);
  play->n_received++;
  if (strcmp (gg_message_head_get_method (event->request.head), "HEAD") == 0)
    {
      gg_server_connection_begin (connection, head);
      play->head_connection = connection;
    }
  else
    gg_server_connection_reply (connection, head, body, play->answer_bytes);
  gg_message_head_destroy (head);
  gg_message_head_destroy (event->request.head);
  g_free (body);
}

static void
read_some (Caller *self)
{
  static char bytes[READ_BYTES];
  ssize_t n = recv (self->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n > 0)
    self->received_bytes += (size_t) n;
  self->is_closed |= n == 0;
  self->is_reset |= n < 0 && errno != EAGAIN;
}

static void
on_tick (void *data)
{
  Play *play = data;
  uint64_t elapsed_ms = gg_clock_now_ms () - play->started_ms;
  guint n_open = 0;
  for (guint i = 0; i < play->n_callers; i++)
    {
      Caller *caller = &play->callers[i];
      gboolean is_paused = caller->received_bytes > 0 && elapsed_ms < play->pause_ms;
      if (!is_paused && !caller->is_closed && !caller->is_reset)
        read_some (caller);
      n_open += caller->received_bytes <= play->n_requests * play->answer_bytes
                && !caller->is_closed && !caller->is_reset;
    }
  if (play->head_connection != NULL
      && gg_server_connection_get_pending (play->head_connection) == 0)
    {
      gg_server_connection_end (play->head_connection);
      play->head_connection = NULL;
    }
  play->n_busy = gg_loop_server_count_busy (play->server);
  play->done = n_open == 0 || elapsed_ms >= play->limit_ms;
  gg_loop_timer_start (play->tick, TICK_MS);
}

static int
send_requests (const Play *play, const char *address)
{
  struct sockaddr_in target;
  CU_ASSERT_TRUE (gg_address_resolve (address, &target, NULL));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *) &target, sizeof target), 0);
  for (guint i = 0; i < play->n_requests; i++)
    CU_ASSERT_TRUE (send (fd, play->request, strlen (play->request), MSG_NOSIGNAL) > 0);
  return fd;
}

/* Plays until all callers have their answers or their end.
 * @return the number of callers with all of their answers. */
static guint
run (Play *play)
{
  GgLoop *loop = gg_loop_create ();
  GgServerLimits limits = { .max_head_bytes = 1000,
                            .max_body_bytes = 100,
                            .head_timeout_ms = 2000,
                            .idle_timeout_ms = play->idle_timeout_ms };
  char *address = gg_process_reserve_address ();
  guint n_whole = 0;
  play->server = gg_loop_server_create (loop, address, &limits, on_server, play, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (play->server);
  play->started_ms = gg_clock_now_ms ();
  for (guint i = 0; i < play->n_callers; i++)
    play->callers[i].fd = send_requests (play, address);
  play->tick = gg_loop_timer_create (loop, on_tick, play);
  gg_loop_timer_start (play->tick, TICK_MS);
  CU_ASSERT_TRUE (loop_fixture_run (loop, &play->done, play->limit_ms + 1000));
  for (guint i = 0; i < play->n_callers; i++)
    {
      n_whole += play->callers[i].received_bytes > play->n_requests * play->answer_bytes;
      close (play->callers[i].fd);
    }
  printf ("  %u of %u callers have whole answers, %u requests received, %u busy after %u ms\n",
          n_whole, play->n_callers, play->n_received, play->n_busy,
          (guint) (gg_clock_now_ms () - play->started_ms));
  gg_loop_timer_destroy (play->tick);
  gg_loop_server_destroy (play->server);
  gg_loop_destroy (loop);
  g_free (address);
  return n_whole;
}

/* Guards against answers that are cut by the kernel's time limit for unacknowledged output, since
 * their callers do not read for a while. */
static void
test_callers_that_pause (void)
{
  Play play = { .request = REQUEST,
                .n_callers = MAX_CALLERS,
                .n_requests = 1,
                .answer_bytes = LARGE_BYTES,
                .idle_timeout_ms = LONG_IDLE_MS,
                .pause_ms = PAUSE_MS,
                .limit_ms = 5 * PAUSE_MS };
  CU_ASSERT_EQUAL (run (&play), MAX_CALLERS);
}

/* Guards against answers that are cut since their connection counts as idle while callers read. */
static void
test_callers_that_read_slowly (void)
{
  Play play = { .request = REQUEST,
                .n_callers = MAX_CALLERS,
                .n_requests = 1,
                .answer_bytes = LARGE_BYTES,
                .idle_timeout_ms = SHORT_IDLE_MS,
                .limit_ms = 5 * PAUSE_MS };
  CU_ASSERT_EQUAL (run (&play), MAX_CALLERS);
}

/* Guards against callers that never read and keep their connection, whether or not it stays open
 * after the answer. */
static void
test_callers_that_never_read (void)
{
  static const char *const requests[] = { REQUEST, LAST_REQUEST };
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      Play play = { .request = requests[i],
                    .n_callers = MAX_CALLERS,
                    .n_requests = 1,
                    .answer_bytes = LARGE_BYTES,
                    .idle_timeout_ms = SHORT_IDLE_MS,
                    .pause_ms = 6 * SHORT_IDLE_MS,
                    .limit_ms = 5 * SHORT_IDLE_MS };
      CU_ASSERT_EQUAL (run (&play), 0);
      CU_ASSERT_EQUAL (play.n_busy, 0);
    }
}

/* Guards against answers in the kernel's buffers that are dropped by the idle time-out. */
static void
test_answers_that_the_kernel_holds (void)
{
  Play play = { .request = REQUEST,
                .n_callers = MAX_CALLERS,
                .n_requests = 1,
                .answer_bytes = SMALL_BYTES,
                .idle_timeout_ms = SHORT_IDLE_MS,
                .pause_ms = PAUSE_MS,
                .limit_ms = 2 * PAUSE_MS };
  CU_ASSERT_EQUAL (run (&play), MAX_CALLERS);
}

/* Guards against a connection that never closes, since its answer to HEAD ends without output. */
static void
test_answer_to_head (void)
{
  Play play = { .request = HEAD_REQUEST,
                .n_callers = 1,
                .n_requests = 1,
                .answer_bytes = SMALL_BYTES,
                .idle_timeout_ms = SHORT_IDLE_MS,
                .limit_ms = 5 * SHORT_IDLE_MS };
  run (&play);
  CU_ASSERT_TRUE (play.callers[0].is_closed);
}

/* Guards against memory that a caller fills with answers which it does not read. */
static void
test_requests_without_reading (void)
{
  Play play = { .request = REQUEST,
                .n_callers = 1,
                .n_requests = N_PIPELINED,
                .answer_bytes = PIPELINED_BYTES,
                .idle_timeout_ms = LONG_IDLE_MS,
                .pause_ms = PAUSE_MS,
                .limit_ms = 5 * SHORT_IDLE_MS };
  CU_ASSERT_EQUAL (run (&play), 0);
  /* The kernel's buffers hold the first answers. */
  CU_ASSERT_TRUE (play.n_received <= N_PIPELINED / 4);
  Play reading = { .request = REQUEST,
                   .n_callers = 1,
                   .n_requests = N_PIPELINED,
                   .answer_bytes = SMALL_BYTES,
                   .idle_timeout_ms = LONG_IDLE_MS,
                   .limit_ms = 5 * PAUSE_MS };
  CU_ASSERT_EQUAL (run (&reading), 1);
}

typedef struct
{
  int error;
  gboolean done;
} Outgoing;

static void
on_outgoing (void *data, const GgSocketEvent *event)
{
  Outgoing *outgoing = data;
  if (event->kind != GG_SOCKET_RESET)
    return;
  outgoing->error = event->error;
  outgoing->done = TRUE;
}

/* Guards against connections to a runner or an instance that hang for longer than its loss may
 * take to show. A peer without room stands for one without power. */
static void
test_outgoing_connection (void)
{
  Outgoing outgoing = { 0 };
  GgLoop *loop = gg_loop_create ();
  char *address = gg_process_reserve_address ();
  int listener = gg_loop_socket_listen (address, NULL);
  char *bytes = g_malloc0 (LARGE_BYTES);
  GgLoopSocket *socket = gg_loop_socket_connect (loop, address, on_outgoing, &outgoing);
  gg_loop_socket_write (socket, bytes, LARGE_BYTES);
  uint64_t started_ms = gg_clock_now_ms ();
  CU_ASSERT_TRUE (loop_fixture_run (loop, &outgoing.done, PAUSE_MS));
  CU_ASSERT_EQUAL (outgoing.error, ETIMEDOUT);
  printf ("  given up after %u ms\n", (guint) (gg_clock_now_ms () - started_ms));
  gg_loop_socket_destroy (socket, TRUE);
  close (listener);
  gg_loop_destroy (loop);
  g_free (bytes);
  g_free (address);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "callers that pause", test_callers_that_pause },
    { "callers that read slowly", test_callers_that_read_slowly },
    { "callers that never read", test_callers_that_never_read },
    { "answers that the kernel holds", test_answers_that_the_kernel_holds },
    { "answer to HEAD", test_answer_to_head },
    { "requests without reading", test_requests_without_reading },
    { "outgoing connection", test_outgoing_connection },
  };
  return gg_test_run ("loop server output", cases, G_N_ELEMENTS (cases));
}
