#include "daemons/routerd/problem.h"

#include "base/json.h"

#include <string.h>

void
gg_problem_reply (GgServerConnection *connection,
                  uint32_t status,
                  const char *detail,
                  uint64_t retry_after_s)
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
  if (retry_after_s > 0)
    gg_message_head_add_uint (head, "Retry-After", retry_after_s);
  gg_server_connection_reply (connection, head, body, strlen (body));
  gg_message_head_destroy (head);
  g_free (body);
}
