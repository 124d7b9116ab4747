#include "daemons/entryd/caller_reply.h"

#include "base/counters.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <stdatomic.h>
#include <string.h>

static atomic_bool closing_connections;

static GgCounter replies_ok = GG_COUNTER ("greengage_replies_total{class=\"2xx\"}",
                                          "Replies to callers by class of status");
static GgCounter replies_client = GG_COUNTER ("greengage_replies_total{class=\"4xx\"}",
                                              "Replies to callers by class of status");
static GgCounter replies_server = GG_COUNTER ("greengage_replies_total{class=\"5xx\"}",
                                              "Replies to callers by class of status");

void
gg_caller_reply_set_closing (gboolean closing)
{
  atomic_store (&closing_connections, closing);
}

static void
count_reply (uint32_t status)
{
  if (status >= 500)
    gg_counter_add (&replies_server, 1);
  else if (status >= 400)
    gg_counter_add (&replies_client, 1);
  else
    gg_counter_add (&replies_ok, 1);
}

enum MHD_Result
gg_caller_reply_queue (struct MHD_Connection *connection,
                       const GgId *request_id,
                       uint32_t status,
                       struct MHD_Response *response)
{
  if (request_id != NULL)
    {
      char text[GG_ID_TEXT_LENGTH + 1];
      gg_id_format (request_id, text);
      MHD_add_response_header (response, "Greengage-Request", text);
    }
  if (atomic_load (&closing_connections))
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  count_reply (status);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static char *
format_problem (const GgProblem *problem)
{
  JsonBuilder *builder = json_builder_new ();
  json_builder_begin_object (builder);
  gg_json_add_string (builder, "type", "about:blank");
  gg_json_add_string (builder, "title", problem->title);
  gg_json_add_uint (builder, "status", problem->status);
  gg_json_add_string (builder, "detail", problem->detail);
  if (problem->field != NULL)
    {
      gg_json_add_string (builder, "field", problem->field);
    }
  gg_json_add_string (builder, "outcome", gg_outcome_to_string (problem->outcome));
  json_builder_end_object (builder);
  return gg_json_print (builder);
}

static void
add_retry_after (struct MHD_Response *response, uint64_t retry_after_ms)
{
  if (retry_after_ms == 0)
    return;
  char seconds[24];
  g_snprintf (seconds, sizeof seconds, "%" G_GUINT64_FORMAT,
              (guint64) (retry_after_ms + 999) / 1000);
  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

enum MHD_Result
gg_caller_reply_problem (struct MHD_Connection *connection,
                         const GgId *request_id,
                         const GgProblem *problem)
{
  char *body = format_problem (problem);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (body), body, MHD_RESPMEM_MUST_COPY);
  g_free (body);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/problem+json");
  MHD_add_response_header (response, "Greengage-Outcome", gg_outcome_to_string (problem->outcome));
  if (problem->status == MHD_HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
  add_retry_after (response, problem->retry_after_ms);
  return gg_caller_reply_queue (connection, request_id, problem->status, response);
}

enum MHD_Result
gg_caller_reply_body (struct MHD_Connection *connection,
                      const GgId *request_id,
                      uint32_t status,
                      const char *content_type,
                      const char *body,
                      size_t size_bytes,
                      GgOutcome outcome)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size_bytes, (void *) body, MHD_RESPMEM_MUST_COPY);
  if (content_type != NULL && *content_type != '\0')
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  MHD_add_response_header (response, "Greengage-Outcome", gg_outcome_to_string (outcome));
  return gg_caller_reply_queue (connection, request_id, status, response);
}
