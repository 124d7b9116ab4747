/* Guards against sending a booking twice, returning the answer to another call, and trusting a
 * refusal although an earlier copy of the request may have run. */
#include "ports/service.h"

#include "adapters/http/http_pool.h"
#include "scripted_server.h"
#include "test_main.h"

#define ID_1 "01010101010101010101010101010101"
#define ID_2 "02020202020202020202020202020202"
#define IDS(attempt) "Greengage-Request: " ID_1 "\r\nGreengage-Attempt: " attempt "\r\n"

#define TRACE "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

static ScriptedServer server;
static GgHttpPool *pool;
static GgServiceClient *client;

static char *
reply_script (ScriptedServer *self, int number, const char *request)
{
  if (strstr (request, "GET /refuse") != NULL || strstr (request, "POST /refuse") != NULL)
    return make_reply (503, "Greengage-Refused: 1\r\n", "{\"reason\":\"leaving\"}");
  if (strstr (request, " /other") != NULL)
    return make_reply (200, IDS (ID_1), "other");
  if (strstr (request, " /plain") != NULL)
    return make_reply (200, "", "no ids");
  if (strstr (request, " /drop") != NULL)
    {
      gboolean is_first = atomic_fetch_add (&self->value, 1) == 0;
      return is_first ? REPLY_CLOSE : make_reply (503, "Greengage-Refused: 1\r\n", "");
    }
  gboolean is_as_sent
      = strstr (request, IDS (ID_2) "Content-Type: a/b\r\ntraceparent: " TRACE "\r\n") != NULL
        && g_str_has_suffix (request, "\r\n\r\nbook");
  return make_reply (is_as_sent ? 201 : 400, IDS (ID_2) "Content-Type: c/d\r\n", "done");
}

static GgServiceResult
call (const char *path, gboolean idempotent, GgServiceReply *reply)
{
  GgServiceCall c = { .method = "POST",
                      .path = path,
                      .content_type = "a/b",
                      .traceparent = TRACE,
                      .body = "book",
                      .body_size_bytes = 4,
                      .idempotent = idempotent };
  memset (&c.request, 1, sizeof c.request);
  memset (&c.attempt, 2, sizeof c.attempt);
  return gg_service_client_call (client, server.address, &c, gg_clock_now_ms () + 1000, reply);
}

static GgServiceResult
call_only (const char *path, gboolean idempotent)
{
  GgServiceReply reply;
  GgServiceResult result = call (path, idempotent, &reply);
  gg_service_reply_clear (&reply);
  return result;
}

static void
test_calls (void)
{
  GgServiceReply reply;
  CU_ASSERT_EQUAL (call ("/berths?x=1", FALSE, &reply), GG_SERVICE_OK);
  CU_ASSERT_EQUAL (reply.status, 201);
  CU_ASSERT_STRING_EQUAL (reply.body, "done");
  CU_ASSERT_STRING_EQUAL (reply.content_type, "c/d");
  gg_service_reply_clear (&reply);
  CU_ASSERT_EQUAL (call ("/refuse", TRUE, &reply), GG_SERVICE_REFUSED);
  CU_ASSERT_TRUE (reply.leaving);
  gg_service_reply_clear (&reply);
}

static void
test_wrong_ids (void)
{
  int64_t before = gg_counters_sum ("greengage_wrong_replies_total");
  CU_ASSERT_EQUAL (call_only ("/other", TRUE), GG_SERVICE_IN_DOUBT);
  CU_ASSERT_EQUAL (call_only ("/plain", TRUE), GG_SERVICE_IN_DOUBT);
  CU_ASSERT_EQUAL (gg_counters_sum ("greengage_wrong_replies_total") - before, 2);
}

static void
test_at_most_once (void)
{
  CU_ASSERT_EQUAL (call_only ("/berths", TRUE), GG_SERVICE_OK);
  int requests = server.requests;
  CU_ASSERT_EQUAL (call_only ("/drop", FALSE), GG_SERVICE_IN_DOUBT);
  CU_ASSERT_EQUAL (server.requests, requests + 1);
}

static void
test_refusal_of_repeat (void)
{
  atomic_store (&server.value, 0);
  CU_ASSERT_EQUAL (call_only ("/berths", TRUE), GG_SERVICE_OK);
  CU_ASSERT_EQUAL (call_only ("/drop", TRUE), GG_SERVICE_IN_DOUBT);
  CU_ASSERT_EQUAL (server.value, 2);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "calls", test_calls },
    { "wrong ids", test_wrong_ids },
    { "at most once", test_at_most_once },
    { "refusal of a repeat", test_refusal_of_repeat },
  };
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  server_start (&server, reply_script);
  pool = gg_http_pool_create (&limits);
  client = gg_service_client_create (pool);
  int status = gg_test_run ("service client", cases, G_N_ELEMENTS (cases));
  gg_service_client_destroy (client);
  gg_http_pool_destroy (pool);
  wait_for_no_threads (2000);
  server_stop (&server);
  return status;
}
