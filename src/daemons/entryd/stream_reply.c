#include "daemons/entryd/stream_reply.h"

#include "base/clock.h"
#include "daemons/entryd/caller_reply.h"
#include "daemons/entryd/stream_source.h"
#include "base/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define BLOCK_SIZE_BYTES 4096
/* A comment is sent after this time without an event, to detect callers that have disconnected. */
#define KEEP_ALIVE_INTERVAL_MS 5000
/* Timeout of the first read from a peer, which decides between a reply with events or a problem. */
#define FIRST_READ_TIMEOUT_MS 10

typedef struct
{
  GgStreamSource *source;
  char id[GG_ID_TEXT_LENGTH + 1];
  char *model;
  uint32_t next;
  GString *pending; /* formatted, but not yet written to the connection */
  gboolean ended;
} Reader;

static void
reader_free (void *data)
{
  Reader *reader = data;
  gg_stream_source_destroy (reader->source);
  g_string_free (reader->pending, TRUE);
  g_free (reader->model);
  g_free (reader);
}

/* Appends the JSON text and frees the builder. */
static void
append_json (GString *out, JsonBuilder *builder)
{
  char *text = gg_json_print (builder);
  g_string_append (out, text);
  g_free (text);
}

static void
format_token (Reader *reader, const char *token)
{
  g_string_append_printf (reader->pending, "id: %u\ndata: ", reader->next);
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  gg_json_add_string (b, "id", reader->id);
  gg_json_add_string (b, "object", "chat.completion.chunk");
  gg_json_add_string (b, "model", reader->model);
  json_builder_set_member_name (b, "choices");
  json_builder_begin_array (b);
  json_builder_begin_object (b);
  gg_json_add_uint (b, "index", 0);
  json_builder_set_member_name (b, "delta");
  json_builder_begin_object (b);
  gg_json_add_string (b, "content", token);
  json_builder_end_object (b);
  json_builder_set_member_name (b, "finish_reason");
  json_builder_add_null_value (b);
  json_builder_end_object (b);
  json_builder_end_array (b);
  json_builder_end_object (b);
  append_json (reader->pending, b);
  g_string_append (reader->pending, "\n\n");
}

static void
format_end (Reader *reader, GgOutcome outcome, const char *detail)
{
  g_string_append (reader->pending, "event: end\ndata: ");
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  gg_json_add_string (b, "outcome", gg_outcome_to_string (outcome));
  gg_json_add_uint (b, "tokens", reader->next - 1);
  if (detail != NULL)
    {
      gg_json_add_string (b, "detail", detail);
    }
  json_builder_end_object (b);
  append_json (reader->pending, b);
  g_string_append (reader->pending, "\n\n");
  /* Only a complete answer ends with the marker that callers of this API wait for. */
  if (outcome == GG_OUTCOME_COMPLETE)
    g_string_append (reader->pending, "data: [DONE]\n\n");
  reader->ended = TRUE;
}

/* Reads once from the source into the pending text. Returns FALSE if the rest of the stream is not
 * available here, so that the connection must be closed. */
static gboolean
read_next (Reader *reader, uint64_t deadline_ms)
{
  char *token = NULL;
  char *detail = NULL;
  switch (gg_stream_source_read (reader->source, reader->next, deadline_ms, &token))
    {
    case GG_STREAM_SOURCE_TOKEN:
      format_token (reader, token);
      reader->next++;
      g_free (token);
      return TRUE;
    case GG_STREAM_SOURCE_END:
      {
        GgOutcome outcome = gg_stream_source_get_outcome (reader->source, &detail);
        format_end (reader, outcome, detail);
        g_free (detail);
        return TRUE;
      }
    case GG_STREAM_SOURCE_TIMEOUT:
      g_string_append (reader->pending, ": keep-alive\n\n");
      return TRUE;
    case GG_STREAM_SOURCE_UNKNOWN:
    case GG_STREAM_SOURCE_LOST:
      return FALSE;
    }
  g_assert_not_reached ();
}

static ssize_t
read_block (void *data, uint64_t position, char *buffer, size_t max)
{
  Reader *reader = data;
  if (reader->pending->len == 0)
    {
      if (reader->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!read_next (reader, gg_clock_now_ms () + KEEP_ALIVE_INTERVAL_MS))
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  size_t size = MIN (max, reader->pending->len);
  memcpy (buffer, reader->pending->str, size);
  g_string_erase (reader->pending, 0, (gssize) size);
  return (ssize_t) size;
}

static Reader *
reader_create (GgStreamSource *source, const GgId *id, const char *model, uint32_t last_event_id)
{
  Reader *reader = g_new0 (Reader, 1);
  reader->source = source;
  gg_id_format (id, reader->id);
  reader->model = g_strdup (model);
  reader->next = last_event_id + 1;
  reader->pending = g_string_new (NULL);
  return reader;
}

static enum MHD_Result
queue_events (GgCallerRequest *request, Reader *reader, const GgId *id)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, BLOCK_SIZE_BYTES, read_block, reader, reader_free);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
  MHD_add_response_header (response, MHD_HTTP_HEADER_CACHE_CONTROL, "no-store");
  return gg_caller_reply_queue (request->connection, id, MHD_HTTP_OK, response);
}

enum MHD_Result
gg_stream_reply_local (GgCallerRequest *request,
                       GgStream *stream,
                       const char *model,
                       uint32_t last_event_id)
{
  const GgId *id = gg_stream_get_request_id (stream);
  GgStreamSource *source = gg_stream_source_create_local (request->entry, stream);
  return queue_events (request, reader_create (source, id, model, last_event_id), id);
}

static enum MHD_Result
reply_unknown_stream (GgCallerRequest *request)
{
  GgProblem problem = { .status = MHD_HTTP_NOT_FOUND,
                        .title = "No such stream",
                        .detail = "No answer with this id can be resumed with these credentials; "
                                  "it may have ended too long ago, or its instance has stopped.",
                        .field = "request",
                        .outcome = GG_OUTCOME_UNKNOWN };
  return gg_caller_reply_problem (request->connection, &request->id, &problem);
}

enum MHD_Result
gg_stream_reply_remote (GgCallerRequest *request,
                        const char *peer_address,
                        const GgId *stream_id,
                        uint32_t last_event_id)
{
  GgStreamSource *source
      = gg_stream_source_create_remote (peer_address, stream_id, request->team->name);
  Reader *reader = reader_create (source, stream_id, "", last_event_id);
  if (!read_next (reader, gg_clock_now_ms () + FIRST_READ_TIMEOUT_MS))
    {
      reader_free (reader);
      return reply_unknown_stream (request);
    }
  return queue_events (request, reader, stream_id);
}

enum MHD_Result
gg_stream_resume_handle (GgCallerRequest *request, const char *stream_id)
{
  GgId id;
  if (!gg_id_parse (&id, stream_id))
    return reply_unknown_stream (request);
  const char *header = gg_caller_request_get_header (request, "Last-Event-ID");
  guint64 last = 0;
  if (header != NULL && !g_ascii_string_to_unsigned (header, 10, 0, G_MAXUINT32 - 1, &last, NULL))
    {
      GgProblem problem = { .status = MHD_HTTP_BAD_REQUEST,
                            .title = "Wrong Last-Event-ID",
                            .detail = "Expected the number of the last token that was received.",
                            .field = "Last-Event-ID",
                            .outcome = GG_OUTCOME_NOT_RUN };
      return gg_caller_reply_problem (request->connection, &request->id, &problem);
    }

  GgEntry *entry = request->entry;
  if (gg_id_get_instance_hash (&id) == entry->instance_hash)
    {
      GgStream *stream = gg_stream_registry_find (entry->streams, &id, request->team->name);
      if (stream == NULL)
        return reply_unknown_stream (request);
      enum MHD_Result result = gg_stream_reply_local (request, stream, "", (uint32_t) last);
      gg_stream_unref (stream);
      return result;
    }
  char *peer = gg_snapshot_client_find_peer (entry->snapshots, gg_id_get_instance_hash (&id));
  if (peer == NULL)
    return reply_unknown_stream (request);
  enum MHD_Result result = gg_stream_reply_remote (request, peer, &id, (uint32_t) last);
  g_free (peer);
  return result;
}
