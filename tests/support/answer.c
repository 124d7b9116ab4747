#include "answer.h"

#include "base/clock.h"
#include "cluster.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define EVENT_TIMEOUT_MS 10000
#define CHAT_PATH "/v1/chat/completions"

static char *
make_body (const char *prompt, uint32_t max_tokens, gboolean stream)
{
  return g_strdup_printf ("{\"model\":\"reader\",\"messages\":[{\"role\":\"user\",\"content\":"
                          "\"%s\"}],\"max_tokens\":%u,\"stream\":%s}",
                          prompt, max_tokens, stream ? "true" : "false");
}

static char *
get_text (const char *json, const char *path)
{
  JsonNode *root = json_from_string (json ? json : "", NULL);
  JsonNode *found = root ? json_path_query (path, root, NULL) : NULL;
  JsonArray *matches = found ? json_node_get_array (found) : NULL;
  char *text = NULL;
  if (matches && json_array_get_length (matches) > 0)
    text = g_strdup (json_array_get_string_element (matches, 0));
  g_clear_pointer (&found, json_node_unref);
  g_clear_pointer (&root, json_node_unref);
  return text;
}

static const char *
get_bearer (const char *bearer)
{
  return bearer ? bearer : GG_CLUSTER_SCHOOLS_BEARER;
}

static void
read_header (GgAnswer *self)
{
  self->status = self->stream ? gg_event_stream_get_status (self->stream) : 0;
  const char *request
      = self->stream ? gg_event_stream_get_header (self->stream, "greengage-request") : NULL;
  if (!self->request)
    self->request = g_strdup (request ? request : "");
}

GgAnswer *
gg_answer_open (const char *address, const char *bearer, const char *prompt, uint32_t max_tokens)
{
  const char *const headers[]
      = { "Authorization", get_bearer (bearer), "Content-Type", "application/json", NULL };
  GgAnswer *self = g_new0 (GgAnswer, 1);
  self->text = g_string_new (NULL);
  self->events = g_string_new (NULL);
  self->in_order = TRUE;
  char *body = make_body (prompt, max_tokens, TRUE);
  self->stream = gg_event_stream_open ("POST", address, CHAT_PATH, headers, body);
  g_free (body);
  read_header (self);
  return self;
}

void
gg_answer_disconnect (GgAnswer *self)
{
  gg_event_stream_close (self->stream);
  self->stream = NULL;
}

void
gg_answer_close (GgAnswer *self)
{
  gg_answer_disconnect (self);
  g_string_free (self->text, TRUE);
  g_string_free (self->events, TRUE);
  g_free (self->request);
  g_free (self->closing);
  g_free (self);
}

gboolean
gg_answer_resume (GgAnswer *self, const char *address, const char *bearer)
{
  char last[16];
  g_snprintf (last, sizeof last, "%u", self->n_tokens);
  const char *const headers[]
      = { "Authorization", get_bearer (bearer), "Last-Event-ID", last, NULL };
  char *path = g_strconcat ("/v1/streams/", self->request, NULL);
  gg_answer_disconnect (self);
  self->is_truncated = FALSE;
  self->stream = gg_event_stream_open ("GET", address, path, headers, NULL);
  g_free (path);
  read_header (self);
  return self->status == 200;
}

static void
add_token (GgAnswer *self, const GgEvent *event)
{
  uint64_t now = gg_clock_now_ms ();
  char *text = get_text (event->data, "$.choices[0].delta.content");
  self->n_tokens++;
  self->in_order
      = self->in_order && text && g_ascii_strtoull (event->id, NULL, 10) == self->n_tokens;
  g_string_append (self->text, text ? text : "");
  g_free (text);
  if (self->last_token_ms > 0)
    self->longest_pause_ms = MAX (self->longest_pause_ms, now - self->last_token_ms);
  self->last_token_ms = now;
}

static void
add_event (GgAnswer *self, const GgEvent *event)
{
  if (event->id)
    g_string_append_printf (self->events, "id: %s\n", event->id);
  if (event->name)
    g_string_append_printf (self->events, "event: %s\n", event->name);
  g_string_append_printf (self->events, "data: %s\n\n", event->data ? event->data : "");
  if (g_strcmp0 (event->name, "end") == 0)
    self->closing = g_strdup (event->data);
  else if (event->id)
    add_token (self, event);
  else if (g_strcmp0 (event->data, "[DONE]") == 0)
    self->done = TRUE;
}

static GgEventResult
read_event (GgAnswer *self, uint64_t timeout_ms)
{
  GgEvent event;
  if (!self->stream || self->status != 200)
    return GG_EVENT_ENDED;
  GgEventResult result = gg_event_stream_next (self->stream, timeout_ms, &event);
  self->is_truncated = self->is_truncated || result == GG_EVENT_TRUNCATED;
  if (result != GG_EVENT_READ)
    return result;
  add_event (self, &event);
  gg_event_clear (&event);
  return GG_EVENT_READ;
}

gboolean
gg_answer_read (GgAnswer *self, uint32_t n)
{
  while (self->n_tokens < n && read_event (self, EVENT_TIMEOUT_MS) == GG_EVENT_READ)
    ;
  return self->n_tokens >= n;
}

gboolean
gg_answer_read_until_idle (GgAnswer *self, uint64_t idle_ms)
{
  GgEventResult result;
  do
    result = read_event (self, idle_ms);
  while (result == GG_EVENT_READ);
  return result == GG_EVENT_TIMEOUT;
}

void
gg_answer_finish (GgAnswer *self)
{
  while (read_event (self, EVENT_TIMEOUT_MS) == GG_EVENT_READ)
    ;
}

void
gg_answer_reset_pauses (GgAnswer *self)
{
  self->last_token_ms = gg_clock_now_ms ();
  self->longest_pause_ms = 0;
}

gboolean
gg_answer_is_complete (const GgAnswer *self, uint32_t n)
{
  char *expected = g_strdup_printf ("{\"outcome\":\"complete\",\"tokens\":%u}", n);
  gboolean is_complete = self->in_order && self->n_tokens == n && self->done && !self->is_truncated
                         && g_strcmp0 (self->closing, expected) == 0;
  g_free (expected);
  return is_complete;
}

char *
gg_answer_fetch_text (const char *address, const char *prompt, uint32_t max_tokens)
{
  const char *const headers[]
      = { "Authorization", GG_CLUSTER_SCHOOLS_BEARER, "Content-Type", "application/json", NULL };
  GgHttpReply reply;
  char *body = make_body (prompt, max_tokens, FALSE);
  gg_test_call ("POST", address, CHAT_PATH, headers, body, &reply);
  char *text = reply.status == 200 ? get_text (reply.body, "$.choices[0].message.content") : NULL;
  gg_http_reply_clear (&reply);
  g_free (body);
  return text;
}
