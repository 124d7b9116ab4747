/* Guards against accepting the reply to another call, trusting a refusal although an earlier copy
 * of the request may have run, and steps that take longer than the time budget of a token. */
#include "ports/stage.h"

#include "adapters/http/http_pool.h"
#include "scripted_server.h"
#include "test_main.h"

#define N_TIMED_STEPS 500

static ScriptedServer server;
static GgHttpPool *pool;
static GgStageClient *client;

static void
set_up (ScriptedReply reply)
{
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  server_start (&server, reply);
  pool = gg_http_pool_create (&limits);
  client = gg_stage_client_create (pool);
}

static void
tear_down (void)
{
  gg_stage_client_destroy (client);
  gg_http_pool_destroy (pool);
  CU_ASSERT_TRUE (wait_for_no_threads (2000));
  server_stop (&server);
}

static GgStageResult
step_once (GgStageReply *reply)
{
  static const char *const inputs[] = { "a \"b\"", "c" };
  GgStageStep step = { .epoch = 3,
                       .model = "reader",
                       .version = "1",
                       .end_layer = 4,
                       .position = 7,
                       .inputs = inputs,
                       .n_inputs = 2 };
  memset (&step.request, 1, sizeof step.request);
  memset (&step.attempt, 2, sizeof step.attempt);
  return gg_stage_client_step (client, server.address, &step, gg_clock_now_ms () + 1000, reply);
}

#define ID_1 "01010101010101010101010101010101"
#define ID_2 "02020202020202020202020202020202"
#define STEP_REPLY(attempt, position, outputs)                                                     \
  "{\"request\":\"" ID_1 "\",\"attempt\":\"" attempt "\",\"epoch\":3,\"position\":" position       \
  ",\"outputs\":[" outputs "],\"end\":true}"

static char *
reply_step (ScriptedServer *self, int number, const char *request)
{
  return make_reply (200, "", STEP_REPLY (ID_2, "7", "\"x\",\"y\""));
}

static char *
reply_wrong (ScriptedServer *self, int number, const char *request)
{
  static const char *const bodies[] = {
    STEP_REPLY (ID_1, "7", "\"x\",\"y\""), /* another attempt */
    STEP_REPLY (ID_2, "8", "\"x\",\"y\""), /* another position */
    STEP_REPLY (ID_2, "7", "\"x\""),       /* too few outputs */
    STEP_REPLY (ID_2, "7", "\"x\",5"),     /* not a string */
    "{\"outputs\":[\"x\",\"y\"]}",         /* no ids */
    "[]",
    "no JSON",
  };
  return number <= (int) G_N_ELEMENTS (bodies) ? make_reply (200, "", bodies[number - 1]) : NULL;
}

static char *
reply_refusal (ScriptedServer *self, int number, const char *request)
{
  switch (number)
    {
    case 1:
      return make_reply (503, "", "{\"reason\":\"leaving\"}");
    case 2:
      return make_reply (409, "", "{\"reason\":\"position\"}");
    case 3:
      return make_reply (409, "", "{\"reason\":\"version\"}");
    case 4:
      return make_reply (410, "", "{\"reason\":\"cancelled\"}");
    case 5:
      return make_reply (503, "", "{\"reason\":\"busy\",\"attempt\":\"" ID_1 "\"}");
    case 6:
      return make_reply (200, "", STEP_REPLY (ID_2, "7", "\"x\",\"y\""));
    case 7: /* neon sends the step again */
      return REPLY_CLOSE;
    default:
      return make_reply (503, "", "{\"reason\":\"busy\"}");
    }
}

static char *
reply_transfer (ScriptedServer *self, int number, const char *request)
{
  if (g_str_has_prefix (request, "GET /v1/stage/kv?attempt=" ID_2))
    return make_reply (200, "", "{\"kv\":\"cache\"}");
  if (g_str_has_prefix (request, "POST /v1/stage/cancel") && strstr (request, ID_2) != NULL)
    atomic_fetch_add (&self->value, 1);
  return make_reply (200, "", "{\"attempt\":\"" ID_2 "\"}");
}

static void
test_step (void)
{
  set_up (reply_step);
  GgStageReply reply;
  CU_ASSERT_EQUAL (step_once (&reply), GG_STAGE_OK);
  CU_ASSERT_EQUAL (reply.outputs->len, 2);
  CU_ASSERT_STRING_EQUAL (g_ptr_array_index (reply.outputs, 1), "y");
  CU_ASSERT_TRUE (reply.end);
  gg_stage_reply_clear (&reply);

  uint64_t start = gg_clock_now_us ();
  for (int i = 0; i < N_TIMED_STEPS; i++)
    {
      step_once (&reply);
      gg_stage_reply_clear (&reply);
    }
  uint64_t mean_us = (gg_clock_now_us () - start) / N_TIMED_STEPS;
  g_print ("(mean step %" G_GUINT64_FORMAT " us) ", (guint64) mean_us);
  /* A delayed ACK or a new connection for each step would add milliseconds. The limit allows for
   * sanitizers and busy machines. */
  CU_ASSERT_TRUE (mean_us < 2000);
  CU_ASSERT_EQUAL (server.connections, 1);
  tear_down ();
}

static void
test_wrong_replies (void)
{
  set_up (reply_wrong);
  int64_t before = gg_counters_sum ("greengage_wrong_replies_total");
  for (int i = 1; i <= 7; i++)
    {
      GgStageReply reply;
      CU_ASSERT_EQUAL (step_once (&reply), GG_STAGE_IN_DOUBT);
      CU_ASSERT_PTR_NULL (reply.outputs);
      gg_stage_reply_clear (&reply);
      /* The connection that returned the wrong reply is not reused. */
      CU_ASSERT_EQUAL (server.connections, i);
    }
  CU_ASSERT_EQUAL (gg_counters_sum ("greengage_wrong_replies_total") - before, 3);
  tear_down ();
}

static void
test_refusals (void)
{
  static const struct
  {
    GgStageResult result;
    GgStageRefusal refusal;
  } expected[] = {
    { GG_STAGE_REFUSED, GG_STAGE_REFUSAL_LEAVING }, { GG_STAGE_REFUSED, GG_STAGE_REFUSAL_LINEAGE },
    { GG_STAGE_REFUSED, GG_STAGE_REFUSAL_VERSION }, { GG_STAGE_IN_DOUBT, GG_STAGE_REFUSAL_NONE },
    { GG_STAGE_IN_DOUBT, GG_STAGE_REFUSAL_NONE },   { GG_STAGE_OK, GG_STAGE_REFUSAL_NONE },
    { GG_STAGE_IN_DOUBT, GG_STAGE_REFUSAL_BUSY },
  };
  set_up (reply_refusal);
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      GgStageReply reply;
      CU_ASSERT_EQUAL (step_once (&reply), expected[i].result);
      CU_ASSERT_EQUAL (reply.refusal, expected[i].refusal);
      gg_stage_reply_clear (&reply);
    }
  CU_ASSERT_EQUAL (server.requests, 8);
  tear_down ();
}

static void
test_transfer_and_cancel (void)
{
  set_up (reply_transfer);
  GgId attempt;
  memset (&attempt, 2, sizeof attempt);
  char *kv = NULL;
  uint64_t deadline = gg_clock_now_ms () + 2000;
  CU_ASSERT_EQUAL (gg_stage_client_export (client, server.address, &attempt, deadline, &kv),
                   GG_STAGE_OK);
  CU_ASSERT_STRING_EQUAL (kv, "cache");
  CU_ASSERT_EQUAL (gg_stage_client_import (client, server.address, &attempt, 4, kv, deadline),
                   GG_STAGE_OK);
  g_free (kv);
  gg_stage_client_cancel (client, server.address, &attempt);
  CU_ASSERT_TRUE (wait_for (&server.value, 1, 2000));
  tear_down ();
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "step", test_step },
    { "wrong replies", test_wrong_replies },
    { "refusals", test_refusals },
    { "transfer and cancel", test_transfer_and_cancel },
  };
  return gg_test_run ("stage client", cases, G_N_ELEMENTS (cases));
}
