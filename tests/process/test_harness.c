/* The test harness itself: if a fake or an event reader hid a fault, the tests that rely on it
 * would pass wrongly. */
#include "cluster.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define START_TIMEOUT_MS 5000
#define EVENT_TIMEOUT_MS 2000
#define SHORT_TIMEOUT_MS 100

static GgProcess *
start (const char *program, const char *const *args, const char **address_out)
{
  GgProcess *process = gg_process_start (program, args);
  *address_out = gg_process_wait_listening (process, START_TIMEOUT_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (*address_out);
  return process;
}

static GgProcess *
start_engine (const char **address_out)
{
  const char *args[] = { "--listen", "127.0.0.1:0", "--layers", "0-4", NULL };
  return start ("gg-fake-engine", args, address_out);
}

/* Returns the part of the reply with the outputs; NULL unless the status is 200. */
static char *
step (const char *address, const char *attempt, uint32_t position, const char *inputs)
{
  GgHttpReply reply;
  char *body = g_strdup_printf ("{\"request\":\"r\",\"attempt\":\"%s\",\"epoch\":1,\"model\":"
                                "\"reader\",\"version\":\"1\",\"first_layer\":0,\"end_layer\":4,"
                                "\"position\":%u,\"inputs\":%s}",
                                attempt, position, inputs);
  gg_test_call ("POST", address, "/v1/stage/step", NULL, body, &reply);
  char *outputs = NULL;
  if (reply.status == 200 && strstr (reply.body, "\"outputs\""))
    outputs = g_strdup (strstr (reply.body, "\"outputs\""));
  gg_http_reply_clear (&reply);
  g_free (body);
  return outputs;
}

/* A replay that loses an input, or an engine that runs a position twice, must be detected. */
static void
test_engine_depends_on_cache (void)
{
  const char *address = NULL;
  GgProcess *engine = start_engine (&address);
  char *first = step (address, "a", 0, "[\"one\"]");
  char *second = step (address, "a", 1, "[\"two\"]");
  char *again = step (address, "a", 1, "[\"two\"]");
  char *replayed_first = step (address, "b", 0, "[\"one\"]");
  char *replayed = step (address, "b", 1, "[\"two\"]");
  char *other_first = step (address, "c", 0, "[\"other\"]");
  char *other = step (address, "c", 1, "[\"two\"]");
  CU_ASSERT_PTR_NOT_NULL_FATAL (second);
  CU_ASSERT_PTR_NULL (again);
  CU_ASSERT_EQUAL (g_strcmp0 (second, replayed), 0);
  CU_ASSERT_NOT_EQUAL (g_strcmp0 (second, other), 0);
  CU_ASSERT_TRUE (gg_test_send ("POST", address, "/v1/stage/cancel", "{\"attempt\":\"a\"}"));
  char *cancelled = step (address, "a", 2, "[\"three\"]");
  CU_ASSERT_PTR_NULL (cancelled);
  char *texts[] = { first, second, again, replayed_first, replayed, other_first, other, cancelled };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    g_free (texts[i]);
  gg_process_destroy (engine);
}

/* A reply without an execution, or an execution without a record, would hide a duplicate. */
static void
test_service_drops_after_run (void)
{
  const char *address = NULL;
  const char *args[] = { "--listen", "127.0.0.1:0", NULL };
  GgProcess *service = start ("gg-fake-service", args, &address);
  CU_ASSERT_TRUE (gg_test_send ("POST", address, "/control", "{\"drop_after_run\":1}"));
  CU_ASSERT_FALSE (gg_test_send ("POST", address, "/berths", "x"));
  CU_ASSERT_TRUE (gg_test_send ("POST", address, "/control", "{\"busy\":true}"));
  CU_ASSERT_FALSE (gg_test_send ("POST", address, "/berths", "y"));
  char *records = gg_test_get (address, "/records");
  CU_ASSERT_EQUAL (g_strcmp0 (records, "POST /berths - - x\n"), 0);
  g_free (records);
  gg_process_destroy (service);
}

static int
connect_to (const char *address)
{
  const char *port = strchr (address, ':') + 1;
  struct sockaddr_in target = { .sin_family = AF_INET,
                                .sin_port = htons ((uint16_t) g_ascii_strtoull (port, NULL, 10)),
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval limit = { .tv_usec = SHORT_TIMEOUT_MS * 1000 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return connect (fd, (struct sockaddr *) &target, sizeof target) == 0 ? fd : -1;
}

static ssize_t
request_load (int fd)
{
  static const char request[] = "GET /v1/load HTTP/1.1\r\nHost: x\r\n\r\n";
  char reply[1024];
  (void) send (fd, request, strlen (request), MSG_NOSIGNAL);
  return recv (fd, reply, sizeof reply, 0);
}

static gboolean
is_refused (void *data)
{
  int fd = connect_to (data);
  if (fd >= 0)
    close (fd);
  return fd < 0;
}

static gboolean
answers (void *data)
{
  char *load = gg_test_get (data, "/v1/load");
  g_free (load);
  return load != NULL;
}

static gboolean
is_unresponsive (void *data)
{
  return request_load (*(int *) data) < 0;
}

/* SIGUSR1 must not affect new connections, or tests would inject another fault than they name. */
static void
test_relay (void)
{
  const char *target = NULL;
  const char *address = NULL;
  GgProcess *engine = start_engine (&target);
  const char *args[] = { "--listen", "127.0.0.1:0", "--to", target, NULL };
  GgProcess *relay = start ("gg-fake-relay", args, &address);
  int open_before = connect_to (address);
  CU_ASSERT_TRUE (request_load (open_before) > 0);
  gg_process_signal (relay, SIGUSR1);
  CU_ASSERT_TRUE (gg_wait_until (is_unresponsive, &open_before, EVENT_TIMEOUT_MS));
  CU_ASSERT_TRUE (answers ((void *) address));
  gg_process_signal (relay, SIGHUP);
  CU_ASSERT_TRUE (gg_wait_until (is_refused, (void *) address, EVENT_TIMEOUT_MS));
  gg_process_signal (relay, SIGHUP);
  CU_ASSERT_TRUE (gg_wait_until (answers, (void *) address, EVENT_TIMEOUT_MS));
  close (open_before);
  gg_process_destroy (relay);
  gg_process_destroy (engine);
}

typedef struct
{
  int listener;
  int resume_pipe[2]; /* pipe; one byte releases the rest of the reply */
} EventServer;

static void
send_text (int fd, const char *text)
{
  (void) send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Splits events across chunks and omits the last chunk. */
static void *
serve_events (void *data)
{
  EventServer *server = data;
  int fd = accept (server->listener, NULL, NULL);
  char byte = 0;
  char request[4096];
  /* Closing a socket with unread data resets the connection, and the reader could lose the last
   * event. */
  (void) read (fd, request, sizeof request);
  send_text (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "12\r\nid: 1\ndata: one\n\ni\r\n");
  (void) read (server->resume_pipe[0], &byte, 1);
  send_text (fd, "6\r\nd: 2\nd\r\n1");
  send_text (fd, "8\r\nata: two\ndata: lines\n\nX\n\r\n");
  close (fd);
  return NULL;
}

/* The reader must return each event as it arrives, to detect stalled streams, and must report a
 * truncated stream, not take it as complete. */
static void
test_event_reader (void)
{
  EventServer server = { .listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
  struct sockaddr_in local = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof local;
  CU_ASSERT_EQUAL_FATAL (bind (server.listener, (struct sockaddr *) &local, size), 0);
  listen (server.listener, 1);
  getsockname (server.listener, (struct sockaddr *) &local, &size);
  CU_ASSERT_EQUAL_FATAL (pipe (server.resume_pipe), 0);
  pthread_t thread;
  pthread_create (&thread, NULL, serve_events, &server);
  char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (local.sin_port));
  GgEventStream *stream = gg_event_stream_open ("GET", address, "/", NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stream);
  GgEvent event;
  CU_ASSERT_EQUAL_FATAL (gg_event_stream_next (stream, EVENT_TIMEOUT_MS, &event), GG_EVENT_READ);
  CU_ASSERT_STRING_EQUAL (event.id, "1");
  CU_ASSERT_STRING_EQUAL (event.data, "one");
  gg_event_clear (&event);
  CU_ASSERT_EQUAL (gg_event_stream_next (stream, SHORT_TIMEOUT_MS, &event), GG_EVENT_TIMEOUT);
  CU_ASSERT_EQUAL (write (server.resume_pipe[1], "x", 1), 1);
  CU_ASSERT_EQUAL_FATAL (gg_event_stream_next (stream, EVENT_TIMEOUT_MS, &event), GG_EVENT_READ);
  CU_ASSERT_STRING_EQUAL (event.id, "2");
  CU_ASSERT_STRING_EQUAL (event.data, "two\nlines");
  gg_event_clear (&event);
  CU_ASSERT_EQUAL (gg_event_stream_next (stream, EVENT_TIMEOUT_MS, &event), GG_EVENT_TRUNCATED);
  gg_event_stream_close (stream);
  pthread_join (thread, NULL);
  close (server.listener);
  close (server.resume_pipe[0]);
  close (server.resume_pipe[1]);
  g_free (address);
}

/* A lost exit status, or a process that outlives the test, would hide a crash. */
static void
test_processes_end (void)
{
  const char *none[] = { NULL };
  char *output = NULL;
  CU_ASSERT_EQUAL (gg_process_run ("gg-fake-relay", none, START_TIMEOUT_MS, &output), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "expected --listen"));
  g_free (output);
  const char *address = NULL;
  GgProcess *engine = start_engine (&address);
  int id = gg_process_get_id (engine);
  CU_ASSERT_FALSE (gg_process_wait_exit (engine, SHORT_TIMEOUT_MS));
  gg_process_kill_all ();
  CU_ASSERT_EQUAL (gg_process_get_status (engine), 128 + SIGKILL);
  CU_ASSERT_NOT_EQUAL (kill (id, 0), 0);
  gg_process_destroy (engine);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "engine depends on its cache", test_engine_depends_on_cache },
    { "service drops after run", test_service_drops_after_run },
    { "relay", test_relay },
    { "event reader", test_event_reader },
    { "processes end", test_processes_end },
  };
  return gg_test_run ("harness", cases, G_N_ELEMENTS (cases));
}
