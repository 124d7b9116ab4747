/* Calls with a time limit: a large document that arrives slowly but steadily must be read to its
 * end, since each new try would take as long; one that stops or drips must end. An answer that
 * breaks off is never reported as whole: reports and orders of runners and the documents of peers
 * are read with it. */
#include "base/clock.h"
#include "loop/fetch.h"
#include "loop/server.h"
#include "loop_fixture.h"
#include "process.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 100
/* A reset waits until the peer has read, so only each fifth cut is one. */
#define RESET_STEP 5
#define RESET_WAIT_US 5000
#define MAX_REQUEST_BYTES 1024
#define LIMIT_MS 5000
#define PART_MS 40
/* Longer than all parts, and than two of them. */
#define LARGE_BYTES (1 << 20)
#define SMALL_BYTES 10

/* A server that sends its answer in parts. */
typedef struct
{
  GgLoop *loop;
  char *address;
  GgLoopServer *server;
  GgServerConnection *connection; /* NULL before the request and after its end */
  GgLoopTimer *timer;
  guint n_parts; /* still to be sent; the answer ends with the last one */
  gboolean has_ended;
  GgFetchEnd end;
  size_t size_bytes;
} Peer;

static void
on_part_due (void *data)
{
  Peer *p = data;
  if (p->connection == NULL || p->n_parts == 0)
    return;
  gg_server_connection_write (p->connection, "part", 4);
  if (--p->n_parts == 0)
    {
      gg_server_connection_end (p->connection);
      p->connection = NULL;
      return;
    }
  gg_loop_timer_start (p->timer, PART_MS);
}

static void
on_server_event (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  Peer *p = data;
  if (event->kind == GG_SERVER_DISCONNECTED)
    p->connection = NULL;
  if (event->kind != GG_SERVER_REQUEST)
    return;
  gg_message_head_destroy (event->request.head);
  p->connection = connection;
  GgMessageHead *head = gg_message_head_create_response (200);
  gg_server_connection_begin (connection, head);
  gg_message_head_destroy (head);
  on_part_due (p);
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  Peer *p = data;
  p->has_ended = TRUE;
  p->end = result->end;
  p->size_bytes = result->body_bytes;
}

/* Fetches an answer of some parts.
 * @return how long that took. */
static uint64_t
fetch (Peer *p, guint n_parts, size_t max_body_bytes)
{
  const GgServerLimits limits = { 4096, 0, LIMIT_MS, LIMIT_MS };
  *p = (Peer){ .loop = gg_loop_create (), .address = gg_process_reserve_address () };
  p->n_parts = n_parts;
  p->timer = gg_loop_timer_create (p->loop, on_part_due, p);
  p->server = gg_loop_server_create (p->loop, p->address, &limits, on_server_event, p, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p->server);
  GgLoopClient *client = gg_loop_client_create (p->loop);
  GgMessageHead *head = gg_message_head_create_request ("GET", "/");
  const GgFetchRequest request
      = { .call = { .address = p->address, .head = head, .connect_timeout_ms = LIMIT_MS },
          .timeout_ms = TIMEOUT_MS,
          .max_body_bytes = max_body_bytes };
  uint64_t started_ms = gg_clock_now_ms ();
  gg_loop_fetch (p->loop, client, &request, on_fetched, p);
  CU_ASSERT_TRUE (loop_fixture_run (p->loop, &p->has_ended, LIMIT_MS));
  uint64_t took_ms = gg_clock_now_ms () - started_ms;
  gg_message_head_destroy (head);
  gg_loop_client_destroy (client);
  gg_loop_server_destroy (p->server);
  gg_loop_timer_destroy (p->timer);
  gg_loop_run_deferred (p->loop);
  gg_loop_destroy (p->loop);
  g_free (p->address);
  return took_ms;
}

static void
test_slow_document_with_progress_is_read (void)
{
  Peer p;
  uint64_t took_ms = fetch (&p, 6, LARGE_BYTES);
  CU_ASSERT_TRUE (took_ms > TIMEOUT_MS);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_ANSWERED);
  CU_ASSERT_EQUAL (p.size_bytes, 24);
}

/* Progress extends the time limit, but not without end. */
static void
test_document_that_drips_ends (void)
{
  Peer p;
  uint64_t took_ms = fetch (&p, 1000, LARGE_BYTES);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_TIMED_OUT);
  CU_ASSERT_TRUE (took_ms <= TIMEOUT_MS * 10);
}

static void
test_silent_peer_times_out (void)
{
  Peer p;
  fetch (&p, 0, LARGE_BYTES);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_TIMED_OUT);
}

/* Answers one call with some bytes, and closes or resets the connection. */
typedef struct
{
  int listener;
  char *address;
  const char *text;
  size_t size_bytes;
  gboolean is_reset;
} CuttingPeer;

static void *
answer_once (void *data)
{
  CuttingPeer *p = data;
  char request[MAX_REQUEST_BYTES];
  const struct linger reset = { .l_onoff = 1 };
  int fd = accept (p->listener, NULL, NULL);
  if (recv (fd, request, sizeof request, 0) > 0)
    send (fd, p->text, p->size_bytes, MSG_NOSIGNAL);
  if (p->is_reset)
    {
      g_usleep (RESET_WAIT_US);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
  close (fd);
  return NULL;
}

static void
listen_for_calls (CuttingPeer *p)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  p->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int result = bind (p->listener, (const struct sockaddr *) &address, sizeof address)
               | listen (p->listener, 1)
               | getsockname (p->listener, (struct sockaddr *) &address, &size);
  CU_ASSERT_EQUAL_FATAL (result, 0);
  p->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

static GgFetchEnd
fetch_cut_answer (CuttingPeer *p)
{
  Peer caller = { .loop = gg_loop_create () };
  GgLoopClient *client = gg_loop_client_create (caller.loop);
  GgMessageHead *head = gg_message_head_create_request ("GET", "/");
  const GgFetchRequest request
      = { .call = { .address = p->address, .head = head, .connect_timeout_ms = LIMIT_MS },
          .timeout_ms = LIMIT_MS,
          .max_body_bytes = 1 << 20 };
  GThread *thread = g_thread_new ("peer", answer_once, p);
  gg_loop_fetch (caller.loop, client, &request, on_fetched, &caller);
  CU_ASSERT_TRUE (loop_fixture_run (caller.loop, &caller.has_ended, LIMIT_MS));
  g_thread_join (thread);
  gg_message_head_destroy (head);
  gg_loop_client_destroy (client);
  gg_loop_run_deferred (caller.loop);
  gg_loop_destroy (caller.loop);
  return caller.end;
}

/* Guards against an answer whose head, body, chunk size or trailers break off being read as whole:
 * an order would count as accepted, or a document as the whole list. */
static void
test_answer_cut_anywhere_is_lost (void)
{
  static const char *const answers[] = {
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n"
    "{\"seq\":null}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "00a;x=1\r\n{\"seq\":nul\r\n2\r\nl}\r\n0\r\nX-Sum: 7\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
    "HTTP/1.1 409 State\r\nContent-Length: 2\r\n\r\n{}",
  };
  CuttingPeer p = { 0 };
  listen_for_calls (&p);
  for (guint i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      p.text = answers[i];
      for (size_t n = 1; n < strlen (answers[i]); n++)
        for (guint is_reset = 0; is_reset <= (n % RESET_STEP == 0 ? 1 : 0); is_reset++)
          {
            p.size_bytes = n;
            p.is_reset = is_reset != 0;
            CU_ASSERT_EQUAL (fetch_cut_answer (&p), GG_FETCH_LOST);
          }
      p.size_bytes = strlen (p.text);
      p.is_reset = FALSE;
      CU_ASSERT_EQUAL (fetch_cut_answer (&p), GG_FETCH_ANSWERED);
    }
  close (p.listener);
  g_free (p.address);
}

/* Guards against reading on, and keeping what was read, when an answer without an end is longer
 * than the caller can use. */
static void
test_too_long_document_ends (void)
{
  Peer p;
  fetch (&p, 1000, SMALL_BYTES);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_LOST);
  CU_ASSERT_TRUE (p.size_bytes <= SMALL_BYTES);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "slow document with progress is read", test_slow_document_with_progress_is_read },
    { "document that drips ends", test_document_that_drips_ends },
    { "too long document ends", test_too_long_document_ends },
    { "silent peer times out", test_silent_peer_times_out },
    { "answer cut anywhere is lost", test_answer_cut_anywhere_is_lost },
  };
  return gg_test_run ("loop fetch", cases, G_N_ELEMENTS (cases));
}
