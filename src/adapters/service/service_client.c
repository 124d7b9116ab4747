#include "ports/service.h"

#include "adapters/http/http_json.h"
#include "base/counters.h"

#include <string.h>

#define GG_SERVICE_STATUS_UNAVAILABLE 503

static GgCounter calls = GG_COUNTER ("greengage_service_calls_total", "Calls to plain services");
static GgCounter refused = GG_COUNTER ("greengage_service_failures_total{result=\"refused\"}",
                                       "Calls to plain services without an answer");
static GgCounter not_sent = GG_COUNTER ("greengage_service_failures_total{result=\"not_sent\"}",
                                        "Calls to plain services without an answer");
static GgCounter in_doubt = GG_COUNTER ("greengage_service_failures_total{result=\"in_doubt\"}",
                                        "Calls to plain services without an answer");
static GgCounter wrong_ids = GG_COUNTER ("greengage_wrong_replies_total{from=\"service\"}",
                                         "Replies discarded because their ids belong to another "
                                         "call");

struct _GgServiceClient
{
  GgHttpPool *pool;
};

GgServiceClient *
gg_service_client_create (GgHttpPool *pool)
{
  GgServiceClient *self = g_new0 (GgServiceClient, 1);
  self->pool = pool;
  return self;
}

void
gg_service_client_destroy (GgServiceClient *self)
{
  g_free (self);
}

void
gg_service_reply_clear (GgServiceReply *self)
{
  g_free (self->content_type);
  g_free (self->body);
  memset (self, 0, sizeof *self);
}

static const char *
get_header (const GgHttpReply *http, const char *name)
{
  return g_hash_table_lookup (http->headers, name);
}

static gboolean
header_matches (const GgHttpReply *http, const char *name, const GgId *id, gboolean if_absent)
{
  const char *text = get_header (http, name);
  if (text == NULL)
    return if_absent;
  GgId found;
  return gg_id_parse (&found, text) && gg_id_equal (&found, id);
}

static gboolean
ids_match (const GgHttpReply *http, const GgServiceCall *call, gboolean if_absent)
{
  return header_matches (http, "greengage-request", &call->request, if_absent)
         && header_matches (http, "greengage-attempt", &call->attempt, if_absent);
}

static gboolean
is_refusal (const GgHttpReply *http)
{
  return http->status == GG_SERVICE_STATUS_UNAVAILABLE
         && g_strcmp0 (get_header (http, "greengage-refused"), "1") == 0;
}

static gboolean
has_leaving_reason (const GgHttpReply *http)
{
  JsonObject *object = gg_http_json_parse_object (http);
  if (object == NULL)
    return FALSE;
  gboolean leaving = strcmp (gg_http_json_get_text (object, "reason"), "leaving") == 0;
  json_object_unref (object);
  return leaving;
}

static void
move_reply (GgHttpReply *http, GgServiceReply *reply_out)
{
  reply_out->status = http->status;
  reply_out->content_type = g_strdup (get_header (http, "content-type"));
  reply_out->body = g_steal_pointer (&http->body);
  reply_out->body_size_bytes = http->body_size_bytes;
}

/* A refusal may lack ids, but an id that it carries must match the call. The refusal of a request
 * that neon sent twice does not tell whether the first copy was executed. */
static GgServiceResult
read_reply (GgHttpReply *http, const GgServiceCall *call, GgServiceReply *reply_out)
{
  gboolean refusal = is_refusal (http);
  if (!ids_match (http, call, refusal))
    {
      gg_counter_add (&wrong_ids, 1);
      return GG_SERVICE_IN_DOUBT;
    }
  if (refusal)
    {
      reply_out->leaving = has_leaving_reason (http);
      return http->was_repeated ? GG_SERVICE_IN_DOUBT : GG_SERVICE_REFUSED;
    }
  move_reply (http, reply_out);
  return GG_SERVICE_OK;
}

static GgServiceResult
to_service_result (GgHttpResult result)
{
  return result == GG_HTTP_NOT_SENT ? GG_SERVICE_NOT_SENT : GG_SERVICE_IN_DOUBT;
}

/* After a call in doubt, the idle connections to this service are closed, as they may be broken
 * too. */
static void
note_result (GgServiceClient *self, const char *address, GgServiceResult result)
{
  switch (result)
    {
    case GG_SERVICE_OK:
      break;
    case GG_SERVICE_REFUSED:
      gg_counter_add (&refused, 1);
      break;
    case GG_SERVICE_NOT_SENT:
      gg_counter_add (&not_sent, 1);
      break;
    case GG_SERVICE_IN_DOUBT:
      gg_counter_add (&in_doubt, 1);
      gg_http_pool_discard (self->pool, address);
      break;
    }
}

static GgHttpResult
send_call (GgServiceClient *self,
           const char *address,
           const GgServiceCall *call,
           uint64_t deadline_ms,
           GgHttpReply *http)
{
  char request_id[GG_ID_TEXT_LENGTH + 1];
  char attempt_id[GG_ID_TEXT_LENGTH + 1];
  gg_id_format (&call->request, request_id);
  gg_id_format (&call->attempt, attempt_id);
  const char *headers[9] = { "Greengage-Request", request_id, "Greengage-Attempt", attempt_id };
  size_t n = 4;
  if (call->content_type != NULL)
    {
      headers[n++] = "Content-Type";
      headers[n++] = call->content_type;
    }
  if (call->traceparent != NULL)
    {
      headers[n++] = "traceparent";
      headers[n++] = call->traceparent;
    }
  GgHttpRequest request = { .method = call->method,
                            .path = call->path,
                            .headers = headers,
                            .body = call->body,
                            .body_size_bytes = call->body_size_bytes,
                            .may_repeat = call->idempotent };
  return gg_http_pool_call (self->pool, address, &request, deadline_ms, http);
}

GgServiceResult
gg_service_client_call (GgServiceClient *self,
                        const char *address,
                        const GgServiceCall *call,
                        uint64_t deadline_ms,
                        GgServiceReply *reply_out)
{
  *reply_out = (GgServiceReply){ 0 };
  gg_counter_add (&calls, 1);
  GgHttpReply http;
  GgHttpResult sent = send_call (self, address, call, deadline_ms, &http);
  GgServiceResult result = to_service_result (sent);
  if (sent == GG_HTTP_OK)
    result = read_reply (&http, call, reply_out);
  reply_out->connection_was_fresh = http.connection_was_fresh;
  gg_http_reply_clear (&http);
  note_result (self, address, result);
  return result;
}
