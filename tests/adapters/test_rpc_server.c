/* Guards the RPC server: a connection that sends an incomplete message must not block other
 * callers, and both transports must answer on one port. */
#include "adapters/rpc/rpc_client.h"
#include "adapters/rpc/rpc_server.h"
#include "base/clock.h"
#include "entry.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#define TIMEOUT_MS 2000
#define MAX_RECORD_BYTES (4 * 1024 * 1024 + 65536)
#define LARGE_TEXT_BYTES (4 * 1024 * 1024 - 16)

extern void gg_entry_program_1 (struct svc_req *request, SVCXPRT *transport);

bool_t
gg_entry_stream_read_1_svc (gg_entry_stream_query query,
                            gg_entry_stream_part *part,
                            struct svc_req *request)
{
  memset (part, 0, sizeof *part);
  part->detail = strdup (query.request_id);
  return TRUE;
}

bool_t
gg_entry_status_1_svc (gg_entry_text *text, struct svc_req *request)
{
  *text = malloc (LARGE_TEXT_BYTES + 1);
  memset (*text, 'x', LARGE_TEXT_BYTES);
  (*text)[LARGE_TEXT_BYTES] = '\0';
  return TRUE;
}

bool_t
gg_entry_dump_1_svc (gg_entry_text *text, struct svc_req *request)
{
  *text = strdup ("dump");
  return TRUE;
}

bool_t
gg_entry_drain_1_svc (bool_t *done, struct svc_req *request)
{
  *done = TRUE;
  return TRUE;
}

int
gg_entry_program_1_freeresult (SVCXPRT *transport, xdrproc_t proc, caddr_t result)
{
  xdr_free (proc, result);
  return TRUE;
}

static char address[32];

static void
check_dump (GgRpcTransport transport)
{
  CLIENT *client
      = gg_rpc_client_create (address, GG_ENTRY_PROGRAM, GG_ENTRY_V1, transport, TIMEOUT_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (client);
  for (int i = 0; i < 20; i++)
    {
      char *text = NULL;
      CU_ASSERT_EQUAL (gg_entry_dump_1 (&text, client), RPC_SUCCESS);
      CU_ASSERT_STRING_EQUAL (text, "dump");
      free (text);
    }
  gg_rpc_client_destroy (client);
}

static void
test_both_transports (void)
{
  check_dump (GG_RPC_TCP);
  check_dump (GG_RPC_UDP);
}

static int
connect_raw (void)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  inet_pton (AF_INET, "127.0.0.1", &target.sin_addr);
  target.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *) &target, sizeof target), 0);
  return fd;
}

static void
test_partial_message (void)
{
  int idle = connect_raw ();
  int partial = connect_raw ();
  /* A record mark that announces 40 bytes, then 6 of them. */
  CU_ASSERT_EQUAL (write (partial, "\x80\0\0\x28\0\0\0\1\0\0", 10), 10);
  usleep (50 * 1000);
  uint64_t start_ms = gg_clock_now_ms ();
  test_both_transports ();
  CU_ASSERT_TRUE (gg_clock_now_ms () - start_ms < TIMEOUT_MS);
  close (idle);
  close (partial);
}

static void
test_large_messages (void)
{
  CLIENT *client
      = gg_rpc_client_create (address, GG_ENTRY_PROGRAM, GG_ENTRY_V1, GG_RPC_TCP, TIMEOUT_MS);
  char *text = NULL;
  CU_ASSERT_EQUAL (gg_entry_status_1 (&text, client), RPC_SUCCESS);
  CU_ASSERT_EQUAL (strlen (text), LARGE_TEXT_BYTES);
  free (text);
  gg_rpc_client_destroy (client);
}

static void
test_address_in_use (void)
{
  GError *error = NULL;
  CU_ASSERT_PTR_NULL (gg_rpc_server_create (address, GG_ENTRY_PROGRAM, GG_ENTRY_V1 + 1,
                                            gg_entry_program_1, MAX_RECORD_BYTES, &error));
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "in use"));
  g_error_free (error);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "both transports", test_both_transports },
    { "partial message", test_partial_message },
    { "large messages", test_large_messages },
    { "address in use", test_address_in_use },
  };
  GgRpcServer *server = gg_rpc_server_create ("127.0.0.1:0", GG_ENTRY_PROGRAM, GG_ENTRY_V1,
                                              gg_entry_program_1, MAX_RECORD_BYTES, NULL);
  g_assert (server != NULL);
  gg_rpc_server_start (server);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", gg_rpc_server_get_port (server));
  int status = gg_test_run ("rpc server", cases, G_N_ELEMENTS (cases));
  gg_rpc_server_destroy (server);
  return status;
}
