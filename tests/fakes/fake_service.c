/* Fake plain service: records every call and answers with its sequence number. */
#include "common_runner.h"

#include <stdatomic.h>
#include <string.h>

static char *id;
static atomic_uint calls;

static const char *
get_header (const RunnerCall *call, const char *name)
{
  const char *value = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
  return value ? value : "-";
}

static void
handle (const RunnerCall *call, RunnerReply *reply)
{
  RunnerFaults faults = runner_faults ();
  const char *request = get_header (call, "Greengage-Request");
  const char *attempt = get_header (call, "Greengage-Attempt");
  if (faults.leaving || faults.busy)
    {
      runner_reply_reason (reply, 503, "reason", faults.leaving ? "leaving" : "busy");
      reply->headers[0] = "Greengage-Refused";
      reply->headers[1] = "1";
      return;
    }
  runner_add_outstanding (1);
  unsigned number = atomic_fetch_add (&calls, 1) + 1;
  char *body = g_strescape (call->body->str, NULL);
  runner_record ("%s %s %s %s %s", call->method, call->uri, request, attempt, body);
  g_free (body);
  runner_sleep_us (faults.delay_ms * UINT64_C (1000));
  runner_add_outstanding (-1);
  reply->status = 200;
  reply->ran = TRUE;
  reply->body = g_strdup_printf ("{\"number\":%u,\"runner\":\"%s\"}", number, id ? id : "-");
  reply->headers[0] = "Greengage-Request";
  reply->headers[1] = request;
  reply->headers[2] = "Greengage-Attempt";
  reply->headers[3] = attempt;
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "id", 0, 0, G_OPTION_ARG_STRING, &id, "Name in replies", "NAME" },
    G_OPTION_ENTRY_NULL,
  };
  RunnerProfile profile = { .version = "1", .tokens_per_s = 100 };
  char *listen = runner_parse_options (argc, argv, entries);
  return runner_serve (listen, &profile, handle);
}
