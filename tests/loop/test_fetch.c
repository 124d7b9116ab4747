/* Calls with a time limit: a large document that arrives slowly but steadily must be read to its
 * end, since each new try would take as long; one that stops or drips must end. */
#include "base/clock.h"
#include "loop/fetch.h"
#include "loop/server.h"
#include "loop_fixture.h"
#include "process.h"
#include "test_main.h"

#include <string.h>

#define TIMEOUT_MS 100
#define LIMIT_MS 5000
#define PART_MS 40

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
fetch (Peer *p, guint n_parts)
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
          .max_body_bytes = 1 << 20 };
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
  uint64_t took_ms = fetch (&p, 6);
  CU_ASSERT_TRUE (took_ms > TIMEOUT_MS);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_ANSWERED);
  CU_ASSERT_EQUAL (p.size_bytes, 24);
}

/* Progress extends the time limit, but not without end. */
static void
test_document_that_drips_ends (void)
{
  Peer p;
  uint64_t took_ms = fetch (&p, 1000);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_TIMED_OUT);
  CU_ASSERT_TRUE (took_ms <= TIMEOUT_MS * 10);
}

static void
test_silent_peer_times_out (void)
{
  Peer p;
  fetch (&p, 0);
  CU_ASSERT_EQUAL (p.end, GG_FETCH_TIMED_OUT);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "slow document with progress is read", test_slow_document_with_progress_is_read },
    { "document that drips ends", test_document_that_drips_ends },
    { "silent peer times out", test_silent_peer_times_out },
  };
  return gg_test_run ("loop fetch", cases, G_N_ELEMENTS (cases));
}
