/* Guards against rejecting the whole instance list because of one malformed instance, and against
 * reading a broken list as an empty one. */
#include "ports/instance_list.h"

#include "scripted_server.h"
#include "test_main.h"

#define RUNNER(id, more)                                                                           \
  "{\"id\":\"" id "\",\"incarnation\":7,\"role\":\"runner\",\"address\":\"127.0.0.1:9\","          \
  "\"data_centre\":\"rubavu\",\"service\":\"reader\",\"first_layer\":2,\"end_layer\":4" more "}"

static const char *const bodies[] = {
  "{\"instances\":[" RUNNER ("a", ",\"state\":\"leaving\"") "," RUNNER (
      "b", ",\"state\":\"lost\"") ",5," RUNNER ("c", ",\"state\":\"live\"") "]}",
  "{\"instances\":[]}",
  "{\"instances\":[5]}",
  "{\"instances\":5}",
  "{}",
  "",
};

static char *
reply_list (ScriptedServer *self, int number, const char *request)
{
  gboolean known = g_str_has_prefix (request, "GET /v1/instances HTTP");
  int status = number <= (int) G_N_ELEMENTS (bodies) ? 200 : 500;
  return known ? make_reply (status, "", bodies[(number - 1) % G_N_ELEMENTS (bodies)]) : NULL;
}

static void
check_members (const GArray *members)
{
  CU_ASSERT_EQUAL_FATAL (members->len, 2);
  const GgMember *a = &g_array_index (members, GgMember, 0);
  const GgMember *c = &g_array_index (members, GgMember, 1);
  CU_ASSERT_STRING_EQUAL (a->id, "a");
  CU_ASSERT_EQUAL (a->incarnation, 7);
  CU_ASSERT_EQUAL (a->role, GG_MEMBER_RUNNER);
  CU_ASSERT_EQUAL (a->state, GG_MEMBER_LEAVING);
  CU_ASSERT_STRING_EQUAL (a->address, "127.0.0.1:9");
  CU_ASSERT_STRING_EQUAL (a->service, "reader");
  CU_ASSERT_EQUAL (a->first_layer, 2);
  CU_ASSERT_EQUAL (a->end_layer, 4);
  CU_ASSERT_STRING_EQUAL (c->id, "c");
  CU_ASSERT_EQUAL (c->state, GG_MEMBER_LIVE);
}

static void
test_read (void)
{
  ScriptedServer server;
  server_start (&server, reply_list);
  GgInstanceList *list = gg_instance_list_create (server.address);
  GArray *members = NULL;
  CU_ASSERT_TRUE_FATAL (gg_instance_list_read (list, gg_clock_now_ms () + 1000, &members));
  check_members (members);
  g_array_unref (members);
  CU_ASSERT_TRUE_FATAL (gg_instance_list_read (list, gg_clock_now_ms () + 1000, &members));
  CU_ASSERT_EQUAL (members->len, 0);
  g_array_unref (members);
  for (size_t i = 2; i <= G_N_ELEMENTS (bodies); i++)
    {
      CU_ASSERT_FALSE (gg_instance_list_read (list, gg_clock_now_ms () + 1000, &members));
      CU_ASSERT_PTR_NULL (members);
    }
  gg_instance_list_destroy (list);
  CU_ASSERT_TRUE (wait_for_no_threads (2000));
  server_stop (&server);
}

int
main (void)
{
  static const GgTestCase cases[] = { { "read", test_read } };
  return gg_test_run ("instance list", cases, G_N_ELEMENTS (cases));
}
