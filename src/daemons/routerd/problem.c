#include "daemons/routerd/problem.h"

#include "base/json.h"

#include <string.h>

#define MS_PER_S 1000
/* For a request that was rejected as requests of others take up the memory for input. */
#define REJECTED_RETRY_AFTER_MS 1000

/* @p outcome is NULL for a request that was not handed over. */
static void
reply (GgServerConnection *connection,
       uint32_t status,
       const char *detail,
       uint64_t retry_after_ms,
       const GgHandoverOutcome *outcome)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  gg_json_add_string (b, "type", "about:blank");
  gg_json_add_uint (b, "status", status);
  gg_json_add_string (b, "detail", detail);
  json_builder_end_object (b);
  char *body = gg_json_print (b);
  GgMessageHead *head = gg_message_head_create_response (status);
  gg_message_head_add (head, "Content-Type", "application/problem+json");
  if (retry_after_ms > 0)
    {
      char text[32];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT ".%03u",
                  (guint64) (retry_after_ms / MS_PER_S), (guint) (retry_after_ms % MS_PER_S));
      gg_message_head_add (head, "Retry-After", text);
    }
  if (outcome != NULL)
    gg_relay_wire_add_outcome (head, *outcome);
  gg_server_connection_reply (connection, head, body, strlen (body));
  gg_message_head_destroy (head);
  g_free (body);
}

void
gg_problem_reply (GgServerConnection *connection,
                  uint32_t status,
                  const char *detail,
                  uint64_t retry_after_ms)
{
  reply (connection, status, detail, retry_after_ms, NULL);
}

void
gg_problem_reply_handover (GgServerConnection *connection,
                           uint32_t status,
                           const char *detail,
                           uint64_t retry_after_ms,
                           GgHandoverOutcome outcome)
{
  reply (connection, status, detail, retry_after_ms, &outcome);
}

void
gg_problem_reply_rejected (GgServerConnection *connection, uint32_t status)
{
  const char *detail = "malformed_request";
  uint64_t retry_after_ms = 0;
  if (status == 408)
    detail = "head_timeout";
  else if (status == 413)
    detail = "body_too_large";
  else if (status == 431)
    detail = "head_too_large";
  else if (status == 503)
    {
      detail = "no_memory_for_input";
      retry_after_ms = REJECTED_RETRY_AFTER_MS;
    }
  gg_problem_reply (connection, status, detail, retry_after_ms);
}
