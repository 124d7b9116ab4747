#include "ports/stage.h"

#include "adapters/http/http_json.h"
#include "base/clock.h"
#include "base/counters.h"
#include "core/mutation.h"
#include "base/json.h"

#include <string.h>

#define GG_STAGE_CANCEL_TIMEOUT_MS 1000
#define GG_STAGE_STATUS_OK 200
#define GG_STAGE_STATUS_CONFLICT 409
#define GG_STAGE_STATUS_UNAVAILABLE 503

static GgCounter steps = GG_COUNTER ("greengage_stage_steps_total", "Stage steps sent to engines");
static GgCounter cancels = GG_COUNTER ("greengage_stage_cancels_total", "Lineages cancelled");
static GgCounter transfers
    = GG_COUNTER ("greengage_stage_transfers_total", "Exports and imports of KV cache");
static GgCounter refused = GG_COUNTER ("greengage_stage_failures_total{result=\"refused\"}",
                                       "Calls to engines without a result");
static GgCounter not_sent = GG_COUNTER ("greengage_stage_failures_total{result=\"not_sent\"}",
                                        "Calls to engines without a result");
static GgCounter in_doubt = GG_COUNTER ("greengage_stage_failures_total{result=\"in_doubt\"}",
                                        "Calls to engines without a result");
static GgCounter wrong_ids = GG_COUNTER ("greengage_wrong_replies_total{from=\"engine\"}",
                                         "Replies discarded because their ids belong to another "
                                         "call");

struct _GgStageClient
{
  GgHttpPool *pool;
};

GgStageClient *
gg_stage_client_create (GgHttpPool *pool)
{
  GgStageClient *self = g_new0 (GgStageClient, 1);
  self->pool = pool;
  return self;
}

void
gg_stage_client_destroy (GgStageClient *self)
{
  g_free (self);
}

void
gg_stage_reply_clear (GgStageReply *self)
{
  g_clear_pointer (&self->outputs, g_ptr_array_unref);
  memset (self, 0, sizeof *self);
}

static void
add_id (JsonBuilder *builder, const char *member, const GgId *id)
{
  char text[GG_ID_TEXT_LENGTH + 1];
  gg_id_format (id, text);
  gg_json_add_string (builder, member, text);
}

static char *
print_step (const GgStageStep *step)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  add_id (b, "request", &step->request);
  add_id (b, "attempt", &step->attempt);
  gg_json_add_uint (b, "epoch", step->epoch);
  gg_json_add_string (b, "model", step->model);
  gg_json_add_string (b, "version", step->version);
  gg_json_add_uint (b, "first_layer", step->first_layer);
  gg_json_add_uint (b, "end_layer", step->end_layer);
  gg_json_add_uint (b, "position", step->position);
  json_builder_set_member_name (b, "inputs");
  json_builder_begin_array (b);
  for (uint32_t i = 0; i < step->n_inputs; i++)
    json_builder_add_string_value (b, step->inputs[i]);
  json_builder_end_array (b);
  json_builder_end_object (b);
  return gg_json_print (b);
}

/* Returns whether @p member equals @p id, or @p if_absent if the member is absent. */
static gboolean
id_matches (JsonObject *object, const char *member, const GgId *id, gboolean if_absent)
{
  if (!json_object_has_member (object, member))
    return if_absent;
  GgId found;
  return gg_id_parse (&found, gg_http_json_get_text (object, member)) && gg_id_equal (&found, id);
}

/* A position or epoch is refused because of the lineage, a version because of the runner. Status
 * 410 is not included, since an engine may also return it for a step that it has accepted. */
static GgStageRefusal
read_refusal (uint32_t status, const char *reason)
{
  static const struct
  {
    uint32_t status;
    const char *reason;
    GgStageRefusal refusal;
  } table[] = {
    { GG_STAGE_STATUS_CONFLICT, "position", GG_STAGE_REFUSAL_LINEAGE },
    { GG_STAGE_STATUS_CONFLICT, "epoch", GG_STAGE_REFUSAL_LINEAGE },
    { GG_STAGE_STATUS_CONFLICT, "version", GG_STAGE_REFUSAL_VERSION },
    { GG_STAGE_STATUS_UNAVAILABLE, "leaving", GG_STAGE_REFUSAL_LEAVING },
    { GG_STAGE_STATUS_UNAVAILABLE, "busy", GG_STAGE_REFUSAL_BUSY },
    { GG_STAGE_STATUS_UNAVAILABLE, "loading", GG_STAGE_REFUSAL_LOADING },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (table); i++)
    if (table[i].status == status && strcmp (table[i].reason, reason) == 0)
      return table[i].refusal;
  return GG_STAGE_REFUSAL_NONE;
}

static gboolean
read_outputs (JsonObject *object, uint32_t n, GgStageReply *reply_out)
{
  JsonArray *array = gg_http_json_get_array (object, "outputs");
  if (array == NULL || json_array_get_length (array) != n)
    return FALSE;
  GPtrArray *outputs = g_ptr_array_new_full (n, g_free);
  for (uint32_t i = 0; i < n; i++)
    if (gg_http_json_is_text (json_array_get_element (array, i)))
      g_ptr_array_add (outputs, g_strdup (json_array_get_string_element (array, i)));
  if (outputs->len != n)
    {
      g_ptr_array_unref (outputs);
      return FALSE;
    }
  reply_out->outputs = outputs;
  reply_out->end = json_object_get_boolean_member_with_default (object, "end", FALSE);
  return TRUE;
}

static gboolean
is_reply_to (JsonObject *object, const GgStageStep *step)
{
  return id_matches (object, "request", &step->request, FALSE)
         && id_matches (object, "attempt", &step->attempt, FALSE)
         && gg_http_json_get_uint (object, "epoch", ~step->epoch) == step->epoch
         && gg_http_json_get_uint (object, "position", ~step->position) == step->position;
}

/* A refusal may lack ids, but an id that it carries must match the attempt. The refusal of a
 * request that neon sent twice does not tell whether the first copy was executed. */
static GgStageResult
read_refused (const GgHttpReply *http,
              JsonObject *object,
              const GgId *attempt,
              GgStageRefusal *refusal_out)
{
  if (!id_matches (object, "attempt", attempt, TRUE))
    {
      gg_counter_add (&wrong_ids, 1);
      return GG_STAGE_IN_DOUBT;
    }
  *refusal_out = read_refusal (http->status, gg_http_json_get_text (object, "reason"));
  if (*refusal_out == GG_STAGE_REFUSAL_NONE || http->was_repeated)
    return GG_STAGE_IN_DOUBT;
  return GG_STAGE_REFUSED;
}

static GgStageResult
read_step_reply (const GgHttpReply *http, const GgStageStep *step, GgStageReply *reply_out)
{
  JsonObject *object = gg_http_json_parse_object (http);
  GgStageResult result = GG_STAGE_IN_DOUBT;
  if (object == NULL)
    return result;
  if (http->status != GG_STAGE_STATUS_OK)
    result = read_refused (http, object, &step->attempt, &reply_out->refusal);
  else if (!is_reply_to (object, step) && !GG_IS_MUTATED ("stage-accept-any-reply"))
    gg_counter_add (&wrong_ids, 1);
  else if (read_outputs (object, step->n_inputs, reply_out))
    result = GG_STAGE_OK;
  json_object_unref (object);
  return result;
}

/* After a call in doubt, the idle connections to this engine are closed: they may be broken too,
 * and a reply to another call shows that its connection is out of sync. */
static void
note_result (GgStageClient *self, const char *address, GgStageResult result)
{
  switch (result)
    {
    case GG_STAGE_OK:
      break;
    case GG_STAGE_REFUSED:
      gg_counter_add (&refused, 1);
      break;
    case GG_STAGE_NOT_SENT:
      gg_counter_add (&not_sent, 1);
      break;
    case GG_STAGE_IN_DOUBT:
      gg_counter_add (&in_doubt, 1);
      gg_http_pool_discard (self->pool, address);
      break;
    }
}

/* Makes a call. With @p may_repeat it may use an idle connection and neon may send it again; this
 * is safe, since an engine refuses a repeated position, and a repeated import or cancel has no
 * further effect. */
static GgHttpResult
call_engine (GgStageClient *self,
             const char *address,
             const char *method,
             const char *path,
             const char *body,
             const char *traceparent,
             gboolean may_repeat,
             uint64_t deadline_ms,
             GgHttpReply *reply_out)
{
  const char *const headers[] = { "Content-Type", "application/json",
                                  traceparent != NULL ? "traceparent" : NULL, traceparent, NULL };
  GgHttpRequest request = { .method = method,
                            .path = path,
                            .headers = body != NULL ? headers : NULL,
                            .body = body,
                            .body_size_bytes = body != NULL ? strlen (body) : 0,
                            .may_repeat = may_repeat };
  return gg_http_pool_call (self->pool, address, &request, deadline_ms, reply_out);
}

static GgStageResult
to_stage_result (GgHttpResult result)
{
  return result == GG_HTTP_NOT_SENT ? GG_STAGE_NOT_SENT : GG_STAGE_IN_DOUBT;
}

GgStageResult
gg_stage_client_step (GgStageClient *self,
                      const char *address,
                      const GgStageStep *step,
                      uint64_t deadline_ms,
                      GgStageReply *reply_out)
{
  *reply_out = (GgStageReply){ 0 };
  gg_counter_add (&steps, 1);
  char *body = print_step (step);
  GgHttpReply http;
  GgHttpResult sent = call_engine (self, address, "POST", "/v1/stage/step", body, step->traceparent,
                                   !step->on_fresh_connection, deadline_ms, &http);
  g_free (body);

  GgStageResult result = to_stage_result (sent);
  if (sent == GG_HTTP_OK)
    result = read_step_reply (&http, step, reply_out);
  reply_out->connection_was_fresh = http.connection_was_fresh;
  gg_http_reply_clear (&http);
  note_result (self, address, result);
  return result;
}

static char *
print_attempt (const GgId *attempt)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  add_id (b, "attempt", attempt);
  json_builder_end_object (b);
  return gg_json_print (b);
}

void
gg_stage_client_cancel (GgStageClient *self, const char *address, const GgId *attempt)
{
  static const char *const headers[] = { "Content-Type", "application/json", NULL };
  char *body = print_attempt (attempt);
  GgHttpRequest request = { .method = "POST",
                            .path = "/v1/stage/cancel",
                            .headers = headers,
                            .body = body,
                            .body_size_bytes = strlen (body),
                            .may_repeat = TRUE };
  gg_counter_add (&cancels, 1);
  gg_http_pool_send (self->pool, address, &request,
                     gg_clock_now_ms () + GG_STAGE_CANCEL_TIMEOUT_MS);
  g_free (body);
}

static GgStageResult
read_transfer (const GgHttpReply *http, const GgId *attempt, char **kv_out)
{
  GgStageRefusal refusal = GG_STAGE_REFUSAL_NONE;
  GgStageResult result = GG_STAGE_IN_DOUBT;
  JsonObject *object = gg_http_json_parse_object (http);
  if (object == NULL)
    return result;
  if (http->status != GG_STAGE_STATUS_OK)
    result = read_refused (http, object, attempt, &refusal);
  else if (!id_matches (object, "attempt", attempt, TRUE))
    gg_counter_add (&wrong_ids, 1);
  else if (kv_out == NULL)
    result = GG_STAGE_OK;
  else if (gg_http_json_is_text (json_object_get_member (object, "kv")))
    {
      *kv_out = g_strdup (gg_http_json_get_text (object, "kv"));
      result = GG_STAGE_OK;
    }
  json_object_unref (object);
  return result;
}

static GgStageResult
finish_transfer (GgStageClient *self,
                 const char *address,
                 const GgId *attempt,
                 GgHttpResult sent,
                 GgHttpReply *http,
                 char **kv_out)
{
  GgStageResult result = to_stage_result (sent);
  if (sent == GG_HTTP_OK)
    result = read_transfer (http, attempt, kv_out);
  gg_http_reply_clear (http);
  gg_counter_add (&transfers, 1);
  note_result (self, address, result);
  return result;
}

GgStageResult
gg_stage_client_export (GgStageClient *self,
                        const char *address,
                        const GgId *attempt,
                        uint64_t deadline_ms,
                        char **kv_out)
{
  char id[GG_ID_TEXT_LENGTH + 1];
  gg_id_format (attempt, id);
  char *path = g_strdup_printf ("/v1/stage/kv?attempt=%s", id);
  GgHttpReply http;
  GgHttpResult sent
      = call_engine (self, address, "GET", path, NULL, NULL, TRUE, deadline_ms, &http);
  g_free (path);
  *kv_out = NULL;
  return finish_transfer (self, address, attempt, sent, &http, kv_out);
}

GgStageResult
gg_stage_client_import (GgStageClient *self,
                        const char *address,
                        const GgId *attempt,
                        uint32_t epoch,
                        const char *kv,
                        uint64_t deadline_ms)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  add_id (b, "attempt", attempt);
  gg_json_add_uint (b, "epoch", epoch);
  gg_json_add_string (b, "kv", kv);
  json_builder_end_object (b);
  char *body = gg_json_print (b);
  GgHttpReply http;
  GgHttpResult sent
      = call_engine (self, address, "POST", "/v1/stage/kv", body, NULL, TRUE, deadline_ms, &http);
  g_free (body);
  return finish_transfer (self, address, attempt, sent, &http, NULL);
}
