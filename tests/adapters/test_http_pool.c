/* Guards against sending a call twice that must not run twice, waiting past the deadline, reporting
 * "not sent" for a request that is sent, and leaking connections. */
#include "adapters/http/http_pool.h"
#include "scripted_server.h"
#include "test_main.h"

#include <dirent.h>

#define READ_TIMEOUT_S 2

static GgHttpPool *
make_pool (void)
{
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  limits.max_reply_bytes = 1000;
  limits.read_timeout_s = READ_TIMEOUT_S;
  return gg_http_pool_create (&limits);
}

static GgHttpResult
post (GgHttpPool *pool,
      const char *address,
      gboolean may_repeat,
      uint64_t wait_ms,
      GgHttpReply *reply)
{
  static const char *const headers[] = { "X-Test", "a b", NULL };
  GgHttpRequest request = { .method = "POST",
                            .path = "/x",
                            .headers = headers,
                            .body = "ab",
                            .body_size_bytes = 2,
                            .may_repeat = may_repeat };
  return gg_http_pool_call (pool, address, &request, gg_clock_now_ms () + wait_ms, reply);
}

static GgHttpResult
post_only (GgHttpPool *pool, const char *address, gboolean may_repeat, uint64_t wait_ms)
{
  GgHttpReply reply;
  GgHttpResult result = post (pool, address, may_repeat, wait_ms, &reply);
  gg_http_reply_clear (&reply);
  return result;
}

static int
count_descriptors (void)
{
  int n = 0;
  DIR *folder = opendir ("/proc/self/fd");
  while (readdir (folder) != NULL)
    n++;
  closedir (folder);
  return n;
}

static char *
reply_ok (ScriptedServer *server, int number, const char *request)
{
  return make_reply (200, "X-Name: v\r\n", "text");
}

static char *
reply_first_then_close (ScriptedServer *server, int number, const char *request)
{
  return number == 1 ? make_reply (200, "", "") : REPLY_CLOSE;
}

static char *
reply_all_but_second (ScriptedServer *server, int number, const char *request)
{
  return number != 2 ? make_reply (200, "", "") : REPLY_CLOSE;
}

static char *
reply_never (ScriptedServer *server, int number, const char *request)
{
  return REPLY_NONE;
}

/* The server sends the reply byte by byte and never ends it. */
static char *
reply_trickling (ScriptedServer *server, int number, const char *request)
{
  return g_strdup (number % 2 == 0 ? "HTTP/1.1 200 S\r\nX-Trickle: 1" : "HTTP/1.1 200 X-Trickle");
}

static char *
reply_truncated (ScriptedServer *server, int number, const char *request)
{
  if (number == 1)
    return g_strdup ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nab");
  if (number == 2)
    return g_strdup ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab");
  char *body = g_strnfill (1001, 'a');
  char *reply = make_reply (200, "", body);
  g_free (body);
  return reply;
}

static void
test_reply_and_reuse (void)
{
  ScriptedServer server;
  server_start (&server, reply_ok);
  GgHttpPool *pool = make_pool ();
  for (int i = 0; i < 3; i++)
    {
      GgHttpReply reply;
      CU_ASSERT_EQUAL (post (pool, server.address, TRUE, 2000, &reply), GG_HTTP_OK);
      CU_ASSERT_EQUAL (reply.status, 200);
      CU_ASSERT_STRING_EQUAL (reply.body, "text");
      CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (reply.headers, "x-name"), "v");
      CU_ASSERT_EQUAL (reply.connection_was_fresh, i == 0);
      gg_http_reply_clear (&reply);
    }
  CU_ASSERT_EQUAL (server.connections, 1);
  gg_http_pool_discard (pool, server.address);
  CU_ASSERT_EQUAL (post_only (pool, server.address, TRUE, 2000), GG_HTTP_OK);
  CU_ASSERT_EQUAL (server.connections, 2);
  gg_http_pool_destroy (pool);
  CU_ASSERT_TRUE (wait_for_no_threads (2000));
  server_stop (&server);
}

/* neon sends a request again when a reused connection is closed without a reply. */
static void
test_at_most_once (void)
{
  ScriptedServer server;
  server_start (&server, reply_first_then_close);
  GgHttpPool *pool = make_pool ();
  CU_ASSERT_EQUAL (post_only (pool, server.address, TRUE, 2000), GG_HTTP_OK);
  CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 2000), GG_HTTP_IN_DOUBT);
  CU_ASSERT_EQUAL (server.requests, 2);

  GgHttpReply reply;
  CU_ASSERT_EQUAL (post (pool, server.address, TRUE, 2000, &reply), GG_HTTP_IN_DOUBT);
  gg_http_reply_clear (&reply);
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

/* A connection opened by an at-most-once call returns to the pool, but must not be reused for
 * another at-most-once call. */
static void
test_at_most_once_on_fresh_connection (void)
{
  ScriptedServer server;
  server_start (&server, reply_all_but_second);
  GgHttpPool *pool = make_pool ();
  CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 2000), GG_HTTP_OK);
  CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 2000), GG_HTTP_IN_DOUBT);
  CU_ASSERT_EQUAL (server.requests, 2);
  CU_ASSERT_EQUAL (server.connections, 2);
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

static void
test_repeat_is_reported (void)
{
  ScriptedServer server;
  server_start (&server, reply_all_but_second);
  GgHttpPool *pool = make_pool ();
  GgHttpReply reply;
  CU_ASSERT_EQUAL (post_only (pool, server.address, TRUE, 2000), GG_HTTP_OK);
  CU_ASSERT_EQUAL (post (pool, server.address, TRUE, 2000, &reply), GG_HTTP_OK);
  CU_ASSERT_TRUE (reply.was_repeated);
  CU_ASSERT_TRUE (reply.connection_was_fresh);
  CU_ASSERT_EQUAL (server.requests, 3);
  gg_http_reply_clear (&reply);
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

static void
call_unresponsive (GgHttpPool *pool, ScriptedServer *server)
{
  uint64_t start = gg_clock_now_ms ();
  for (int i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (post_only (pool, server->address, FALSE, 150), GG_HTTP_IN_DOUBT);
  CU_ASSERT_TRUE (gg_clock_now_ms () - start < 4 * 300);
}

static void
check_abandoned (ScriptedReply reply, int64_t expected_cancelled)
{
  ScriptedServer server;
  server_start (&server, reply);
  GgHttpPool *pool = make_pool ();
  int before = count_descriptors ();
  int64_t cancelled = gg_counters_sum ("greengage_http_cancelled_total");
  call_unresponsive (pool, &server);
  gg_http_pool_destroy (pool);
  CU_ASSERT_TRUE (wait_for_no_threads (READ_TIMEOUT_S * 1000 + 1000));
  CU_ASSERT_TRUE (wait_for (&server.open, 0, 1000));
  CU_ASSERT_EQUAL (count_descriptors (), before);
  CU_ASSERT_EQUAL (gg_counters_sum ("greengage_http_cancelled_total") - cancelled,
                   expected_cancelled);
  server_stop (&server);
}

static void
test_unresponsive_server (void)
{
  check_abandoned (reply_never, 0);
}

/* neon's read timeout never expires while each single read succeeds. */
static void
test_trickling_server (void)
{
  check_abandoned (reply_trickling, 4);
}

static void
test_refused_connection (void)
{
  ScriptedServer server;
  server_start (&server, reply_ok);
  GgHttpPool *pool = make_pool ();
  CU_ASSERT_EQUAL (post_only (pool, server.address, TRUE, 2000), GG_HTTP_OK);
  gg_http_pool_discard (pool, server.address);
  server_stop (&server);
  GgHttpReply reply;
  CU_ASSERT_EQUAL (post (pool, server.address, FALSE, 2000, &reply), GG_HTTP_NOT_SENT);
  CU_ASSERT_TRUE (reply.connection_was_fresh);
  CU_ASSERT_EQUAL (post_only (pool, server.address, TRUE, 2000), GG_HTTP_NOT_SENT);
  gg_http_pool_destroy (pool);
}

/* With a full backlog the kernel drops the first SYN, so the connection is established about a
 * second later, after the call has returned "not sent". */
static void
check_connection_after_deadline (const char *method, const char *body)
{
  ScriptedServer server;
  server_listen (&server, reply_ok, 0);
  GgHttpPool *pool = make_pool ();
  int before = count_descriptors ();
  CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 100), GG_HTTP_IN_DOUBT);
  GgHttpReply reply;
  GgHttpRequest request
      = { .method = method, .path = "/", .body = body, .body_size_bytes = body != NULL ? 2 : 0 };
  CU_ASSERT_EQUAL (
      gg_http_pool_call (pool, server.address, &request, gg_clock_now_ms () + 100, &reply),
      GG_HTTP_NOT_SENT);
  server_accept (&server);
  CU_ASSERT_TRUE (wait_for (&server.requests, 1, 1000));
  int bytes = server.bytes;
  CU_ASSERT_TRUE (wait_for (&server.connections, 2, 4000));
  CU_ASSERT_TRUE (wait_for_no_threads (READ_TIMEOUT_S * 1000 + 1000));
  CU_ASSERT_TRUE (wait_for (&server.open, 0, 1000));
  CU_ASSERT_EQUAL (server.requests, 1);
  CU_ASSERT_EQUAL (server.bytes, bytes);
  CU_ASSERT_EQUAL (count_descriptors (), before);
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

static void
test_connection_after_deadline (void)
{
  check_connection_after_deadline ("POST", "ab");
  check_connection_after_deadline ("DELETE", NULL);
}

static void
test_incomplete_replies (void)
{
  ScriptedServer server;
  server_start (&server, reply_truncated);
  GgHttpPool *pool = make_pool ();
  for (int i = 0; i < 3; i++)
    {
      uint64_t start = gg_clock_now_ms ();
      CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 2000), GG_HTTP_IN_DOUBT);
      CU_ASSERT_TRUE (gg_clock_now_ms () - start < 1000);
    }
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

static char *
reply_odd_status (ScriptedServer *server, int number, const char *request)
{
  static const char *const statuses[] = { "000", "001", "099", "600", "999" };
  return g_strdup_printf ("HTTP/1.1 %s Status\r\nContent-Length: 2\r\n\r\nok",
                          statuses[(number - 1) % (int) G_N_ELEMENTS (statuses)]);
}

/* Guards against a reply whose status is none being taken for an answer. */
static void
test_invalid_statuses (void)
{
  ScriptedServer server;
  server_start (&server, reply_odd_status);
  GgHttpPool *pool = make_pool ();
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (post_only (pool, server.address, FALSE, 2000), GG_HTTP_IN_DOUBT);
  gg_http_pool_destroy (pool);
  server_stop (&server);
}

static void
test_line_breaks_are_rejected (void)
{
  ScriptedServer server;
  server_start (&server, reply_ok);
  GgHttpPool *pool = make_pool ();
  static const char *const headers[] = { "X", "a\r\nY: b", NULL };
  GgHttpRequest requests[] = { { .method = "GET", .path = "/a b" },
                               { .method = "GET", .path = "/a\r\nX: y" },
                               { .method = "GET", .path = "/a", .headers = headers } };
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      GgHttpReply reply;
      uint64_t deadline = gg_clock_now_ms () + 1000;
      CU_ASSERT_EQUAL (gg_http_pool_call (pool, server.address, &requests[i], deadline, &reply),
                       GG_HTTP_NOT_SENT);
    }
  gg_http_pool_destroy (pool);
  server_stop (&server);
  CU_ASSERT_EQUAL (server.connections, 0);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "reply and reuse", test_reply_and_reuse },
    { "at most once", test_at_most_once },
    { "at most once on a fresh connection", test_at_most_once_on_fresh_connection },
    { "a repeat is reported", test_repeat_is_reported },
    { "unresponsive server", test_unresponsive_server },
    { "trickling server", test_trickling_server },
    { "refused connection", test_refused_connection },
    { "connection after the deadline", test_connection_after_deadline },
    { "incomplete replies", test_incomplete_replies },
    { "invalid statuses", test_invalid_statuses },
    { "line breaks are rejected", test_line_breaks_are_rejected },
  };
  return gg_test_run ("http pool", cases, G_N_ELEMENTS (cases));
}
