/* Guards against sending a write twice, reporting an unknown outcome as a definite one, returning
 * the value of another key, and exceeding the deadline on an unresponsive connection. */
#include "ports/kv.h"

#include "scripted_server.h"
#include "test_main.h"

#define ITEM(key, text, version)                                                                   \
  "{\"Key\":\"" key "\",\"Value\":" text ",\"ModifyIndex\":" version "}"
#define ITEM_A ITEM ("p/a b", "\"b25l\"", "5") /* "one" */

static ScriptedServer server;
static GgKv *kv;

static void
set_up (ScriptedReply reply)
{
  server_start (&server, reply);
  const char *const addresses[] = { server.address, NULL };
  kv = gg_kv_create (addresses);
}

static void
tear_down (void)
{
  gg_kv_destroy (kv);
  CU_ASSERT_TRUE (wait_for_no_threads (2000));
  server_stop (&server);
}

static uint64_t
after (uint64_t ms)
{
  return gg_clock_now_ms () + ms;
}

static char *
reply_reads (ScriptedServer *self, int number, const char *request)
{
  if (g_str_has_prefix (request, "GET /v1/kv/p/a%20b HTTP"))
    return make_reply (200, "", "[" ITEM_A "]");
  if (g_str_has_prefix (request, "GET /v1/kv/p/?recurse HTTP"))
    return make_reply (200, "", "[" ITEM_A "," ITEM ("p/c", "null", "6") "]");
  if (g_str_has_prefix (request, "GET /v1/kv/p/other HTTP"))
    return make_reply (200, "", "[" ITEM_A "]");
  if (g_str_has_prefix (request, "GET /v1/kv/p/broken HTTP"))
    return make_reply (200, "", "{}");
  if (g_str_has_prefix (request, "GET /v1/kv/p/down HTTP"))
    return make_reply (500, "", "no leader");
  return make_reply (404, "", "");
}

static char *
reply_writes (ScriptedServer *self, int number, const char *request)
{
  if (strstr (request, "cas=4 ") != NULL)
    return make_reply (200, "", "false");
  if (strstr (request, "cas=6 ") != NULL)
    return REPLY_CLOSE;
  if (strstr (request, "cas=7 ") != NULL)
    return make_reply (500, "", "");
  return make_reply (200, "", strstr (request, "\r\n\r\none") != NULL ? "true" : "false");
}

static char *
reply_all_but_second (ScriptedServer *self, int number, const char *request)
{
  return number == 2 ? REPLY_NONE : make_reply (200, "", "[" ITEM_A "]");
}

static char *
reply_watch (ScriptedServer *self, int number, const char *request)
{
  if (strstr (request, "?index=") == NULL)
    return make_reply (404, "X-Consul-Index: 3\r\n", "");
  /* 1000 ms less 50 ms and a sixteenth, less the time already spent */
  gboolean valid = strstr (request, "p/a%20b?index=3&wait=0.8") != NULL
                   || strstr (request, "p/a%20b?index=4&wait=0.8") != NULL;
  return valid ? make_reply (200, "", "[" ITEM_A "]") : make_reply (400, "", "");
}

static void
test_reads (void)
{
  set_up (reply_reads);
  GgKvValue value;
  CU_ASSERT_EQUAL (gg_kv_get (kv, "p/a b", after (1000), &value), GG_KV_OK);
  CU_ASSERT_STRING_EQUAL (value.text, "one");
  CU_ASSERT_EQUAL (value.version, 5);
  gg_kv_value_clear (&value);
  CU_ASSERT_EQUAL (gg_kv_get (kv, "p/none", after (1000), &value), GG_KV_ABSENT);
  CU_ASSERT_PTR_NULL (value.text);
  gg_kv_value_clear (&value);

  static const char *const failing[] = { "p/other", "p/broken", "p/down" };
  for (size_t i = 0; i < G_N_ELEMENTS (failing); i++)
    CU_ASSERT_EQUAL (gg_kv_get (kv, failing[i], after (1000), &value), GG_KV_UNREACHABLE);

  GArray *values;
  CU_ASSERT_EQUAL (gg_kv_list (kv, "none/", after (1000), &values), GG_KV_ABSENT);
  CU_ASSERT_EQUAL (gg_kv_list (kv, "p/", after (1000), &values), GG_KV_OK);
  CU_ASSERT_EQUAL_FATAL (values->len, 2);
  CU_ASSERT_STRING_EQUAL (g_array_index (values, GgKvValue, 1).text, "");
  g_array_unref (values);
  tear_down ();
}

static void
test_writes (void)
{
  set_up (reply_writes);
  int64_t conflicts = gg_counters_sum ("greengage_kv_conflicts_total");
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 0, after (1000)), GG_KV_OK);
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 4, after (1000)), GG_KV_CONFLICT);
  CU_ASSERT_EQUAL (gg_counters_sum ("greengage_kv_conflicts_total") - conflicts, 1);
  /* The reply to the write is lost; neon must not repeat the write. */
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 6, after (1000)), GG_KV_IN_DOUBT);
  CU_ASSERT_EQUAL (server.requests, 3);
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 7, after (1000)), GG_KV_IN_DOUBT);

  char *too_long = g_strnfill (1024 * 1024 + 1, 'a');
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", too_long, 0, after (1000)), GG_KV_UNREACHABLE);
  g_free (too_long);
  CU_ASSERT_EQUAL (server.requests, 4);
  tear_down ();
}

/* The second read is not answered on the reused connection, and must still leave time for a fresh
 * one before its deadline. */
static void
test_unresponsive_connection (void)
{
  set_up (reply_all_but_second);
  GgKvValue value;
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (gg_kv_get (kv, "p/a b", after (400), &value), GG_KV_OK);
      gg_kv_value_clear (&value);
    }
  CU_ASSERT_EQUAL (server.connections, 2);
  gg_kv_destroy (kv);
  CU_ASSERT_TRUE (wait_for_no_threads (7000));
  server_stop (&server);
}

static void
test_addresses_in_turn (void)
{
  ScriptedServer stopped;
  server_start (&stopped, reply_reads);
  server_stop (&stopped);
  server_start (&server, reply_writes);
  const char *const addresses[] = { stopped.address, server.address, NULL };
  kv = gg_kv_create (addresses);
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 0, after (1000)), GG_KV_OK);
  tear_down ();

  const char *const stopped_only[] = { stopped.address, NULL };
  kv = gg_kv_create (stopped_only);
  GgKvValue value;
  CU_ASSERT_EQUAL (gg_kv_put_if_version (kv, "k", "one", 0, after (500)), GG_KV_UNREACHABLE);
  CU_ASSERT_EQUAL (gg_kv_get (kv, "k", after (500), &value), GG_KV_UNREACHABLE);
  gg_kv_destroy (kv);
  CU_ASSERT_TRUE (wait_for_no_threads (2000));
}

static void
test_watch (void)
{
  set_up (reply_watch);
  int64_t calls = gg_counters_sum ("greengage_kv_calls_total");
  GgKvValue value;
  CU_ASSERT_EQUAL (gg_kv_watch (kv, "p/a b", 4, after (1000), &value), GG_KV_OK);
  CU_ASSERT_EQUAL (value.version, 5);
  gg_kv_value_clear (&value);
  CU_ASSERT_EQUAL (gg_counters_sum ("greengage_kv_calls_total") - calls, 1);
  /* A watch for the creation of a key blocks on the index at which the key was absent. */
  CU_ASSERT_EQUAL (gg_kv_watch (kv, "p/a b", 0, after (1000), &value), GG_KV_OK);
  CU_ASSERT_EQUAL (server.requests, 3);
  gg_kv_value_clear (&value);
  tear_down ();
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "reads", test_reads },
    { "writes", test_writes },
    { "unresponsive connection", test_unresponsive_connection },
    { "addresses in turn", test_addresses_in_turn },
    { "watch", test_watch },
  };
  return gg_test_run ("kv client", cases, G_N_ELEMENTS (cases));
}
