/* Guards the requests that are sent to runners: a caller must not be able to set the team, the
 * runner or the path, its key must not be forwarded, and all else must be forwarded unchanged. */
#include "ports/relay_wire.h"
#include "test_main.h"

#include <string.h>

static GgMessageHead *
create_request (void)
{
  GgMessageHead *head = gg_message_head_create_request ("POST", "/a%2Fb?c=1");
  gg_message_head_add (head, "Host", "h.example");
  gg_message_head_add (head, "X-Attempt-Id", "id1");
  gg_message_head_add (head, "authorization", "bearer key1");
  gg_message_head_add (head, "X-Tenant", "forged");
  gg_message_head_add (head, "x-target-instance", "forged");
  gg_message_head_add (head, "X-Hop-Count", "forged");
  gg_message_head_add (head, "X-Request-Urgency", "0");
  gg_message_head_add (head, "X-Deadline-Ms", "20000");
  gg_message_head_add (head, "X-Token-Count", "1460,80");
  gg_message_head_add (head, "X-Prefix-Hash", "5c:800,91:410");
  gg_message_head_add (head, "Connection", "keep-alive, X-Private");
  gg_message_head_add (head, "X-Private", "1");
  gg_message_head_add (head, "Transfer-Encoding", "chunked");
  gg_message_head_add (head, "X-Other", "kept");
  gg_message_head_add (head, "greengage-handover", "1 forged");
  gg_message_head_add (head, "Greengage-Runs", "9");
  return head;
}

static void
test_caller (void)
{
  GgMessageHead *head = create_request ();
  GgCallerFields fields;
  gg_relay_wire_read_caller_fields (head, &fields);
  CU_ASSERT_STRING_EQUAL (fields.key, "key1");
  CU_ASSERT_STRING_EQUAL (fields.attempt_id, "id1");
  CU_ASSERT_EQUAL (fields.time_left_ms, 20000);
  CU_ASSERT_EQUAL (fields.prompt_tokens, 1460);
  CU_ASSERT_EQUAL (fields.max_answer_tokens, 80);
  CU_ASSERT_FALSE (fields.has_last_event);
  gg_message_head_destroy (head);
}

/* Guards the evidence against parts that crash runners: the last part belongs to one request alone
 * and must be left out, and a part that is no number must not be confused with another one. */
static void
test_parts (void)
{
  static const struct
  {
    const char *text;
    uint32_t n;
    uint64_t first;
  } cases[] = {
    { "5c:800", 0, 0 },
    { "5c:800,91:410", 1, 0x5c },
    { "5c1e07a2:800, 91bd3f06:410,e4402b7d:250", 2, 0x5c1e07a2 },
    { "", 0, 0 },
    { ",,", 0, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgCallerFields fields;
      GgMessageHead *head = gg_message_head_create_request ("POST", "/");
      gg_message_head_add (head, "X-Prefix-Hash", cases[i].text);
      gg_relay_wire_read_caller_fields (head, &fields);
      CU_ASSERT_EQUAL (fields.parts.n, cases[i].n);
      CU_ASSERT_EQUAL (fields.parts.ids[0], cases[i].first);
      CU_ASSERT_STRING_EQUAL (fields.prompt, cases[i].text);
      gg_message_head_destroy (head);
    }
  GgCallerFields fields;
  GgMessageHead *head = gg_message_head_create_request ("POST", "/");
  gg_message_head_add (head, "X-Prefix-Hash",
                       "one:1,two:2,ffffffffffffffff:3,10000000000000000:4,5:5");
  gg_relay_wire_read_caller_fields (head, &fields);
  CU_ASSERT_EQUAL (fields.parts.n, 4);
  CU_ASSERT_NOT_EQUAL (fields.parts.ids[0], fields.parts.ids[1]);
  CU_ASSERT_NOT_EQUAL (fields.parts.ids[2], fields.parts.ids[3]);
  gg_message_head_destroy (head);
}

static void
test_request (void)
{
  GgMessageHead *head = create_request ();
  GgFleetRunner a = { .refs = 1, .record = { .address = (char *) "10.0.0.1:80" } };
  GgFleetRunner b = { .refs = 1, .record = { .address = (char *) "10.0.0.2:80" } };
  GgLayerPath path = { .hops = { { &a, { 0, 20 } }, { &b, { 20, 80 } } }, .n_hops = 2 };
  GgRelaySend send = { .runner_id = "i-1",
                       .team = "t1",
                       .time_left_ms = 900,
                       .path = &path,
                       .has_last_event = TRUE,
                       .last_event_id = 12,
                       .urgency = 4 };
  GgMessageHead *out = gg_relay_wire_build_request (head, &send, 3);
  GString *text = g_string_new (NULL);
  gg_message_head_print (out, text);
  CU_ASSERT_STRING_EQUAL (text->str, "POST /a%2Fb?c=1 HTTP/1.1\r\n"
                                     "Host: h.example\r\n"
                                     "X-Attempt-Id: id1\r\n"
                                     "X-Token-Count: 1460,80\r\n"
                                     "X-Prefix-Hash: 5c:800,91:410\r\n"
                                     "X-Other: kept\r\n"
                                     "Content-Length: 3\r\n"
                                     "X-Deadline-Ms: 900\r\n"
                                     "X-Target-Instance: i-1\r\n"
                                     "X-Tenant: t1\r\n"
                                     "Last-Event-Id: 12\r\n"
                                     "X-Hop-Count: 10.0.0.1:80=0-20,10.0.0.2:80=20-80\r\n"
                                     "X-Request-Urgency: 4\r\n\r\n");
  g_string_free (text, TRUE);
  gg_message_head_destroy (out);
  gg_message_head_destroy (head);
}

/* Guards a request that is handed over to another instance: it must arrive as its caller sent it,
 * with the key, and without handover fields that the caller forged. */
static void
test_handover (void)
{
  GgMessageHead *head = create_request ();
  GgHandoverFields fields = { .token = 0xabc,
                              .instance = "router 1",
                              .n_runs = 1,
                              .time_left_ms = 900,
                              .has_last_event = TRUE,
                              .last_event_id = 12 };
  GgHandoverFields read;
  GgMessageHead *out = gg_relay_wire_build_handover (head, &fields, 3);
  GString *text = g_string_new (NULL);
  gg_message_head_print (out, text);
  CU_ASSERT_STRING_EQUAL (text->str, "POST /a%2Fb?c=1 HTTP/1.1\r\n"
                                     "Host: h.example\r\n"
                                     "X-Attempt-Id: id1\r\n"
                                     "authorization: bearer key1\r\n"
                                     "X-Tenant: forged\r\n"
                                     "x-target-instance: forged\r\n"
                                     "X-Hop-Count: forged\r\n"
                                     "X-Request-Urgency: 0\r\n"
                                     "X-Token-Count: 1460,80\r\n"
                                     "X-Prefix-Hash: 5c:800,91:410\r\n"
                                     "X-Other: kept\r\n"
                                     "Content-Length: 3\r\n"
                                     "X-Deadline-Ms: 900\r\n"
                                     "Last-Event-Id: 12\r\n"
                                     "Greengage-Handover: 0000000000000abc router 1\r\n"
                                     "Greengage-Runs: 1\r\n\r\n");
  CU_ASSERT_TRUE (gg_relay_wire_is_handover (out));
  CU_ASSERT_TRUE (gg_relay_wire_read_handover (out, &read));
  CU_ASSERT_EQUAL (read.token, 0xabc);
  CU_ASSERT_EQUAL (read.n_runs, 1);
  CU_ASSERT_STRING_EQUAL (read.instance, "router 1");
  g_string_free (text, TRUE);
  gg_message_head_destroy (out);
  gg_message_head_destroy (head);
}

/* Guards against a handed-over request without the number of its runs, which could run too often.
 */
static void
test_malformed_handover (void)
{
  static const struct
  {
    const char *token;
    const char *runs;
  } cases[] = { { "abc r", NULL }, { "abc r", "x" }, { "abc r", "-1" },        { "", "0" },
                { "abc", "0" },    { "abc ", "0" },  { "-abc r", "0" },        { " abc r", "0" },
                { "xyz r", "0" },  { NULL, "0" },    { "abc r", "4294967296" } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgMessageHead *head = gg_message_head_create_request ("POST", "/");
      GgHandoverFields fields;
      if (cases[i].token != NULL)
        gg_message_head_add (head, "Greengage-Handover", cases[i].token);
      if (cases[i].runs != NULL)
        gg_message_head_add (head, "Greengage-Runs", cases[i].runs);
      CU_ASSERT_FALSE (gg_relay_wire_read_handover (head, &fields));
      gg_message_head_destroy (head);
    }
}

/* Guards against a runner that states the outcome of a handed-over request: one that has run would
 * be sent again. An answer without a known outcome must count as one that may have run. */
static void
test_outcome (void)
{
  GgMessageHead *forged = gg_message_head_create_response (200);
  CU_ASSERT_EQUAL (gg_relay_wire_read_outcome (forged), GG_HANDOVER_UNKNOWN);
  gg_message_head_add (forged, "greengage-outcome", "not-run");
  GgMessageHead *answer = gg_relay_wire_copy_answer (forged);
  CU_ASSERT_EQUAL (gg_relay_wire_read_outcome (answer), GG_HANDOVER_UNKNOWN);
  for (guint i = GG_HANDOVER_UNKNOWN; i <= GG_HANDOVER_COMPLETE; i++)
    {
      GgMessageHead *head = gg_message_head_create_response (503);
      CU_ASSERT_EQUAL (gg_relay_wire_read_outcome (head), GG_HANDOVER_DECLINED);
      gg_relay_wire_add_outcome (head, (GgHandoverOutcome) i);
      CU_ASSERT_EQUAL (gg_relay_wire_read_outcome (head), (GgHandoverOutcome) i);
      gg_message_head_destroy (head);
    }
  gg_message_head_add (answer, "Greengage-Outcome", "other");
  CU_ASSERT_EQUAL (gg_relay_wire_read_outcome (answer), GG_HANDOVER_UNKNOWN);
  gg_message_head_destroy (answer);
  gg_message_head_destroy (forged);
}

static void
test_runner_answer (void)
{
  GgMessageHead *head = gg_message_head_create_response (503);
  GgRunnerAnswerFields fields;
  gg_relay_wire_read_answer_fields (head, &fields);
  CU_ASSERT_FALSE (fields.is_refused); /* a 503 without the runner's field may have run */
  static const struct
  {
    uint32_t status;
    gboolean has_refusal_status;
  } statuses[] = { { 200, FALSE }, { 404, FALSE }, { 408, TRUE },  { 421, TRUE }, { 429, TRUE },
                   { 500, FALSE }, { 502, FALSE }, { 504, FALSE }, { 503, TRUE } };
  for (guint i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      gg_message_head_set_status (head, statuses[i].status);
      gg_relay_wire_read_answer_fields (head, &fields);
      CU_ASSERT_EQUAL (fields.has_refusal_status, statuses[i].has_refusal_status);
    }
  gg_message_head_add (head, "X-Not-Executed", "1");
  gg_message_head_add (head, "At-Server", "10.0.0.9:80");
  gg_relay_wire_read_answer_fields (head, &fields);
  CU_ASSERT_TRUE (fields.is_refused);
  CU_ASSERT_STRING_EQUAL (fields.faulty_address, "10.0.0.9:80");
  gg_message_head_set_status (head, 421);
  gg_relay_wire_read_answer_fields (head, &fields);
  CU_ASSERT_TRUE (fields.is_misdirected);
  gg_message_head_destroy (head);
}

static void
test_report (void)
{
  static const char text[]
      = "{\"busy\":true,\"seq\":2,\"layers\":{\"from_rev\":1,\"to\":9},\"born\":5,\"pace\":2.5,"
        "\"is_stalled\":[{\"id\":\"a1\",\"address\":\"10.0.0.7:80\"},{}]}";
  GgRunnerReport report;
  CU_ASSERT_TRUE (gg_relay_wire_read_report (text, sizeof text - 1, &report));
  CU_ASSERT_TRUE (report.is_busy);
  CU_ASSERT_EQUAL (report.n_orders, 2);
  CU_ASSERT_EQUAL (report.range.end_layer, 9);
  CU_ASSERT_EQUAL (report.slowdown, 2.5);
  CU_ASSERT_EQUAL_FATAL (report.stalled->len, 1);
  const GgStalledRequest *stalled = g_ptr_array_index (report.stalled, 0);
  CU_ASSERT_STRING_EQUAL (stalled->attempt_id, "a1");
  CU_ASSERT_STRING_EQUAL (stalled->address, "10.0.0.7:80");
  gg_runner_report_clear (&report);
  CU_ASSERT_FALSE (gg_relay_wire_read_report ("{\"busy\":1}", 10, &report));
  CU_ASSERT_FALSE (gg_relay_wire_read_report ("x", 1, &report));
}

static void
test_place_order (void)
{
  char *body = NULL;
  GgLayerRange range = { 20, 31 };
  GgMessageHead *head = gg_relay_wire_build_placement_order ("i-1", &range, 412, 2, &body);
  CU_ASSERT_STRING_EQUAL (body, "{\"op\":\"place\",\"from_rev\":20,\"to\":31,"
                                "\"handoff_mode\":\"queue\",\"expected\":2,\"fencing_token\":412}");
  gg_message_head_destroy (head);
  g_free (body);
}

static GgRunnerAnswerFields
read_rate_limit (const char *value, const char *second)
{
  GgMessageHead *head = gg_message_head_create_response (200);
  GgRunnerAnswerFields fields;
  if (value != NULL)
    gg_message_head_add (head, "server-limit", value);
  if (second != NULL)
    gg_message_head_add (head, "Server-Limit", second);
  gg_relay_wire_read_answer_fields (head, &fields);
  gg_message_head_destroy (head);
  return fields;
}

/* Guards against a runner that is taken for leaving by a value that does not say so, or that stays
 * in use although it says so. */
static void
test_leaving (void)
{
  static const struct
  {
    const char *values[2];
    gboolean is_leaving;
    gboolean is_malformed;
  } cases[] = {
    { { NULL, NULL }, FALSE, FALSE },  { { "1", NULL }, TRUE, FALSE },
    { { "1", "1" }, TRUE, FALSE },     { { "0", "1" }, TRUE, TRUE },
    { { "0", NULL }, FALSE, TRUE },    { { "", NULL }, FALSE, TRUE },
    { { "true", NULL }, FALSE, TRUE }, { { "11", NULL }, FALSE, TRUE },
    { { "1, 1", NULL }, FALSE, TRUE }, { { "-1", NULL }, FALSE, TRUE },
    { { "1.0", "yes" }, FALSE, TRUE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgMessageHead *head = gg_message_head_create_response (i % 2 == 0 ? 200 : 503);
      GgRunnerAnswerFields fields;
      for (guint k = 0; k < 2 && cases[i].values[k] != NULL; k++)
        gg_message_head_add (head, k == 0 ? "Server-Leaving" : "server-leaving",
                             cases[i].values[k]);
      gg_relay_wire_read_answer_fields (head, &fields);
      CU_ASSERT_EQUAL (fields.is_leaving, cases[i].is_leaving);
      CU_ASSERT_EQUAL (fields.is_leaving_malformed, cases[i].is_malformed);
      gg_message_head_destroy (head);
    }
}

/* Guards against a time that is misread: a runner would be left alone for ever, or not at all. */
static void
test_retry_after (void)
{
  static const struct
  {
    uint32_t status;
    const char *values[2];
    uint64_t ms;
    gboolean is_malformed;
  } cases[] = {
    { 503, { NULL, NULL }, 0, FALSE },
    { 503, { "2", NULL }, 2000, FALSE },
    { 503, { "0.25", NULL }, 250, FALSE },
    { 503, { "0", NULL }, 0, FALSE },
    { 503, { "1", "3" }, 3000, FALSE },
    { 503, { "soon", "3" }, 3000, TRUE },
    { 503, { "-1", NULL }, 0, TRUE },
    { 503, { "", NULL }, 0, TRUE },
    { 503, { "99999999999999", NULL }, G_MAXUINT32, FALSE },
    { 503, { "Fri, 31 Dec 1999 23:59:59 GMT", NULL }, 0, FALSE },
    { 503, { "Fri, 31 Dec 1999", NULL }, 0, TRUE },
    { 429, { "2", NULL }, 0, FALSE },
    { 200, { "2", NULL }, 0, FALSE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgMessageHead *head = gg_message_head_create_response (cases[i].status);
      GgRunnerAnswerFields fields;
      for (guint k = 0; k < 2 && cases[i].values[k] != NULL; k++)
        gg_message_head_add (head, k == 0 ? "Retry-After" : "retry-after", cases[i].values[k]);
      gg_relay_wire_read_answer_fields (head, &fields);
      CU_ASSERT_EQUAL (fields.has_retry_after, cases[i].ms > 0);
      CU_ASSERT_EQUAL (fields.retry_after_ms, cases[i].ms);
      CU_ASSERT_EQUAL (fields.is_retry_after_malformed, cases[i].is_malformed);
      gg_message_head_destroy (head);
    }
}

/* A date counts from now. */
static void
test_retry_after_date (void)
{
  GgMessageHead *head = gg_message_head_create_response (503);
  GgRunnerAnswerFields fields;
  GDateTime *now = g_date_time_new_now_utc ();
  GDateTime *later = g_date_time_add_seconds (now, 30);
  char *text = g_date_time_format (later, "%a, %d %b %Y %H:%M:%S GMT");
  gg_message_head_add (head, "Retry-After", text);
  gg_relay_wire_read_answer_fields (head, &fields);
  CU_ASSERT_TRUE (fields.has_retry_after);
  CU_ASSERT_TRUE (fields.retry_after_ms > 25000 && fields.retry_after_ms <= 30000);
  g_free (text);
  g_date_time_unref (later);
  g_date_time_unref (now);
  gg_message_head_destroy (head);
}

/* Guards against a limit that is misread: a malformed value must neither set a limit nor look like
 * an answer without one. */
static void
test_rate_limit (void)
{
  static const struct
  {
    const char *value;
    const char *second;
    gboolean has_limit;
    gboolean is_malformed;
    uint32_t milli;
  } cases[] = {
    { NULL, NULL, FALSE, FALSE, 0 },   { "13.6", NULL, TRUE, FALSE, 13600 },
    { "1", NULL, TRUE, FALSE, 1000 },  { " 0.5 ", NULL, TRUE, FALSE, 500 },
    { "0", NULL, TRUE, FALSE, 0 },     { "99999999999999999999", NULL, TRUE, FALSE, G_MAXUINT32 },
    { "7.5", "2", TRUE, FALSE, 2000 }, { "2", "x", TRUE, TRUE, 2000 },
    { "", NULL, FALSE, TRUE, 0 },      { "-1", NULL, FALSE, TRUE, 0 },
    { "+1", NULL, FALSE, TRUE, 0 },    { "1e3", NULL, FALSE, TRUE, 0 },
    { ".5", NULL, FALSE, TRUE, 0 },    { "1.", NULL, FALSE, TRUE, 0 },
    { "0x10", NULL, FALSE, TRUE, 0 },  { "nan", NULL, FALSE, TRUE, 0 },
    { "2, 3", NULL, FALSE, TRUE, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GgRunnerAnswerFields fields = read_rate_limit (cases[i].value, cases[i].second);
      CU_ASSERT_EQUAL (fields.has_rate_limit, cases[i].has_limit);
      CU_ASSERT_EQUAL (fields.is_rate_limit_malformed, cases[i].is_malformed);
      CU_ASSERT_EQUAL (fields.rate_limit_milli, cases[i].milli);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "rate limit", test_rate_limit },   { "leaving", test_leaving },
    { "retry after", test_retry_after }, { "retry after a date", test_retry_after_date },
    { "caller", test_caller },           { "parts", test_parts },
    { "request", test_request },         { "runner answer", test_runner_answer },
    { "report", test_report },           { "place order", test_place_order },
    { "handover", test_handover },       { "malformed handover", test_malformed_handover },
    { "outcome", test_outcome },
  };
  return gg_test_run ("relay wire", cases, G_N_ELEMENTS (cases));
}
