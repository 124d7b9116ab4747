/* Handler of POST /v1/chat/completions and /v1/completions. */
#include "base/clock.h"
#include "daemons/entryd/answer.h"
#include "daemons/entryd/caller_reply.h"
#include "daemons/entryd/caller_request.h"
#include "daemons/entryd/stream_reply.h"
#include "daemons/entryd/stream_source.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define DEFAULT_MAX_TOKENS 256
/* Prompts with equal first bytes up to this length are considered to share a cached prefix at the
 * runners. */
#define PREFIX_BYTES 256

typedef struct
{
  const char *model; /* owned by the parser */
  char *prompt;
  uint32_t max_tokens;
  gboolean stream;
} Completion;

/* Fills @problem for a malformed body and returns FALSE. */
static gboolean
reject (GgProblem *problem, const char *field, const char *detail)
{
  *problem = (GgProblem){ .status = MHD_HTTP_BAD_REQUEST,
                          .title = "Malformed request",
                          .detail = detail,
                          .field = field,
                          .outcome = GG_OUTCOME_NOT_RUN };
  return FALSE;
}

static const char *
get_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static gboolean
append_message (GString *prompt, JsonNode *node)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  JsonObject *message = json_node_get_object (node);
  const char *role = get_string (message, "role");
  const char *content = get_string (message, "content");
  if (role == NULL || content == NULL)
    return FALSE;
  g_string_append_printf (prompt, "%s: %s\n", role, content);
  return TRUE;
}

static gboolean
parse_messages (Completion *out, JsonObject *object, GgProblem *problem)
{
  JsonNode *node = json_object_get_member (object, "messages");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node)
      || json_array_get_length (json_node_get_array (node)) == 0)
    return reject (problem, "messages", "Expected a list of messages that is not empty.");
  JsonArray *messages = json_node_get_array (node);
  GString *prompt = g_string_new (NULL);
  for (guint i = 0; i < json_array_get_length (messages); i++)
    if (!append_message (prompt, json_array_get_element (messages, i)))
      {
        g_string_free (prompt, TRUE);
        return reject (problem, "messages",
                       "Expected each message to have the texts 'role' and 'content'.");
      }
  out->prompt = g_string_free (prompt, FALSE);
  return TRUE;
}

static gboolean
parse_prompt (Completion *out, JsonObject *object, GgProblem *problem)
{
  const char *prompt = get_string (object, "prompt");
  if (prompt == NULL || *prompt == '\0')
    return reject (problem, "prompt", "Expected a text that is not empty.");
  out->prompt = g_strdup (prompt);
  return TRUE;
}

static gboolean
parse_options (Completion *out, JsonObject *object, uint32_t max_tokens, GgProblem *problem)
{
  JsonNode *node = json_object_get_member (object, "max_tokens");
  out->max_tokens = MIN (DEFAULT_MAX_TOKENS, max_tokens);
  if (node != NULL)
    {
      if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64
          || json_node_get_int (node) < 1 || json_node_get_int (node) > max_tokens)
        return reject (problem, "max_tokens",
                       "Expected a whole number from 1 to this instance's limit.");
      out->max_tokens = (uint32_t) json_node_get_int (node);
    }
  node = json_object_get_member (object, "stream");
  if (node != NULL)
    {
      if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_BOOLEAN)
        return reject (problem, "stream", "Expected true or false.");
      out->stream = json_node_get_boolean (node);
    }
  return TRUE;
}

static gboolean
parse_completion (Completion *out,
                  JsonParser *parser,
                  const GgCallerRequest *request,
                  gboolean is_chat,
                  GgProblem *problem)
{
  const char *text = (const char *) request->body->data;
  if (!g_utf8_validate (text, request->body->len, NULL)
      || !gg_json_check (text, request->body->len, NULL)
      || !json_parser_load_from_data (parser, text, request->body->len, NULL))
    return reject (problem, "body", "Expected a JSON object in UTF-8.");
  JsonNode *root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return reject (problem, "body", "Expected a JSON object in UTF-8.");
  JsonObject *object = json_node_get_object (root);
  out->model = get_string (object, "model");
  if (out->model == NULL || *out->model == '\0')
    return reject (problem, "model", "Expected the name of a model.");
  if (!parse_options (out, object, request->entry->max_tokens, problem))
    return FALSE;
  return is_chat ? parse_messages (out, object, problem) : parse_prompt (out, object, problem);
}

static enum MHD_Result
reply_unknown_model (GgCallerRequest *request, const char *model)
{
  char *detail = g_strdup_printf ("No model '%s' is declared.", model);
  GgProblem problem = { .status = MHD_HTTP_NOT_FOUND,
                        .title = "Unknown model",
                        .detail = detail,
                        .field = "model",
                        .outcome = GG_OUTCOME_NOT_RUN };
  enum MHD_Result result = gg_caller_reply_problem (request->connection, &request->id, &problem);
  g_free (detail);
  return result;
}

static char *
format_completion (const char *id, const char *model, const char *text, uint32_t tokens)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  gg_json_add_string (b, "id", id);
  gg_json_add_string (b, "object", "chat.completion");
  gg_json_add_string (b, "model", model);
  json_builder_set_member_name (b, "choices");
  json_builder_begin_array (b);
  json_builder_begin_object (b);
  gg_json_add_uint (b, "index", 0);
  json_builder_set_member_name (b, "message");
  json_builder_begin_object (b);
  gg_json_add_string (b, "role", "assistant");
  gg_json_add_string (b, "content", text);
  json_builder_end_object (b);
  gg_json_add_string (b, "finish_reason", "stop");
  json_builder_end_object (b);
  json_builder_end_array (b);
  json_builder_set_member_name (b, "usage");
  json_builder_begin_object (b);
  gg_json_add_uint (b, "completion_tokens", tokens);
  json_builder_end_object (b);
  json_builder_end_object (b);
  return gg_json_print (b);
}

static enum MHD_Result
reply_failed (GgCallerRequest *request, GgOutcome outcome, const char *detail)
{
  GgProblem problem = { .status = outcome == GG_OUTCOME_NOT_RUN ? MHD_HTTP_SERVICE_UNAVAILABLE
                                                                : MHD_HTTP_GATEWAY_TIMEOUT,
                        .title = "Answer not complete",
                        .detail = detail != NULL ? detail : "The answer could not be completed.",
                        .outcome = outcome,
                        .retry_after_ms = outcome == GG_OUTCOME_NOT_RUN ? 1000 : 0 };
  return gg_caller_reply_problem (request->connection, &request->id, &problem);
}

/* Reads the stream to its end and replies with the complete answer. While the stream has a reader,
 * the answer is not cancelled. */
static enum MHD_Result
reply_completion (GgCallerRequest *request, GgStream *stream, const char *model)
{
  GgStreamSource *source = gg_stream_source_create_local (request->entry, stream);
  GString *text = g_string_new (NULL);
  uint32_t next = 1;
  char *token = NULL;
  char *detail = NULL;
  while (gg_stream_source_read (source, next, G_MAXUINT64 / 2, &token) == GG_STREAM_SOURCE_TOKEN)
    {
      g_string_append (text, token);
      g_free (token);
      next++;
    }
  GgOutcome outcome = gg_stream_source_get_outcome (source, &detail);
  enum MHD_Result result;
  if (outcome == GG_OUTCOME_COMPLETE)
    {
      char id[GG_ID_TEXT_LENGTH + 1];
      gg_id_format (&request->id, id);
      char *json = format_completion (id, model, text->str, next - 1);
      result = gg_caller_reply_body (request->connection, &request->id, MHD_HTTP_OK,
                                     "application/json", json, strlen (json), outcome);
      g_free (json);
    }
  else
    result = reply_failed (request, outcome, detail);
  g_free (detail);
  g_string_free (text, TRUE);
  gg_stream_source_destroy (source);
  return result;
}

static uint64_t
hash_prefix (const char *prompt)
{
  char *prefix = g_strndup (prompt, PREFIX_BYTES);
  uint64_t hash = (uint64_t) g_str_hash (prefix) + 1;
  g_free (prefix);
  return hash;
}

static GgStream *
start_answer (GgCallerRequest *request,
              const Completion *completion,
              const GgService *service,
              GgRoutePlan *plan,
              uint64_t prefix_hash)
{
  GgEntry *entry = request->entry;
  GgStream *stream = gg_stream_create (&request->id, request->team->name);
  gg_stream_registry_add (entry->streams, stream);
  GgAnswerParams params = { .config = request->config,
                            .service = service,
                            .team = request->team,
                            .prompt = completion->prompt,
                            .traceparent = gg_caller_request_get_traceparent (request),
                            .max_tokens = completion->max_tokens,
                            .prefix_hash = prefix_hash,
                            .deadline_ms = request->started_at_ms + entry->request_deadline_ms };
  gg_answer_start (entry, &params, plan, stream);
  return stream;
}

static enum MHD_Result
serve (GgCallerRequest *request, const Completion *completion)
{
  const GgService *service = gg_config_find_service (request->config, completion->model);
  if (service == NULL || service->kind != GG_SERVICE_MODEL)
    return reply_unknown_model (request, completion->model);
  if (!gg_team_may_call (request->team, service->name))
    return gg_caller_request_reply_forbidden (request, service->name);

  uint64_t prefix_hash = hash_prefix (completion->prompt);
  GgRouteQuery query = { .service = service->name,
                         .layers = service->layers,
                         .tokens = completion->max_tokens,
                         .prefix_hash = prefix_hash,
                         .policy = request->entry->policy,
                         .now_ms = gg_clock_now_ms (),
                         .random = gg_entry_random () };
  GgRoutePlan plan;
  if (!gg_snapshot_client_choose (request->entry->snapshots, &query, &plan))
    return gg_caller_request_reply_no_runner (request, service->name);

  uint64_t retry_after_ms = 0;
  GgAdmissionResult admitted
      = gg_caller_request_admit (request, &plan, completion->max_tokens, &retry_after_ms);
  if (admitted != GG_ADMISSION_ADMITTED)
    {
      gg_route_plan_clear (&plan);
      return gg_caller_request_refuse (request, admitted, retry_after_ms);
    }

  GgStream *stream = start_answer (request, completion, service, &plan, prefix_hash);
  enum MHD_Result result = completion->stream
                               ? gg_stream_reply_local (request, stream, service->name, 0)
                               : reply_completion (request, stream, service->name);
  gg_stream_unref (stream);
  return result;
}

enum MHD_Result
gg_completion_handle (GgCallerRequest *request, gboolean is_chat)
{
  Completion completion = { 0 };
  GgProblem problem;
  JsonParser *parser = json_parser_new_immutable ();
  enum MHD_Result result
      = parse_completion (&completion, parser, request, is_chat, &problem)
            ? serve (request, &completion)
            : gg_caller_reply_problem (request->connection, &request->id, &problem);
  g_free (completion.prompt);
  g_object_unref (parser);
  return result;
}
