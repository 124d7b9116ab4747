/* Runs the complete system on loopback with two instances and prints "CASE: OUTCOME" per case. */
#include "cluster.h"

#include "control.h"
#include "entry.h"
#include "adapters/rpc/rpc_client.h"

#include <json-glib/json-glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define N_INSTANCES 2
#define STEP_US 3000
#define SHORT_TOKENS 8
#define LONG_TOKENS 100
#define EVENT_TIMEOUT_MS 5000
#define STOP_TIMEOUT_MS 20000
#define RPC_TIMEOUT_MS 2000
#define OVERSIZED_BYTES 70000
#define CHAT_PATH "/v1/chat/completions"
#define COMPLETION_PATH "/v1/completions"
#define BOOKING_PATH "/services/moorings/berths/7"
#define BOOKING "{\"barge\":\"Kivu Reader\",\"day\":\"2027-01-12\"}"
#define CONFIG_PATH "/v1/kv/greengage/config"

/** Text and closing event of one streamed answer. */
typedef struct
{
  GString *text;
  char *request;
  char *closing;
  guint n_tokens;
  gboolean in_order;
} StreamedAnswer;

static const char *const schools[]
    = { "Authorization", GG_CLUSTER_SCHOOLS_BEARER, "Content-Type", "application/json", NULL };
static GgCluster *cluster;
static guint n_failed;

static gboolean G_GNUC_PRINTF (3, 4)
    report (const char *name, gboolean passed, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("%s: %s%s%s\n", name, passed ? "ok" : "FAILED", *detail ? ", " : "", detail);
  fflush (stdout);
  n_failed += !passed;
  g_free (detail);
  return passed;
}

static char *
make_chat (gboolean stream, unsigned max_tokens)
{
  return g_strdup_printf ("{\"model\":\"reader\",\"messages\":[{\"role\":\"user\",\"content\":"
                          "\"Summarise the loans of Gisenyi\"}],\"max_tokens\":%u,\"stream\":%s}",
                          max_tokens, stream ? "true" : "false");
}

/* Returns the text of the first choice of a complete answer or a chunk; the caller frees it. */
static char *
get_choice_text (const char *json)
{
  JsonNode *root = json_from_string (json ? json : "", NULL);
  char *text = NULL;
  const char *const paths[]
      = { "$.choices[0].message.content", "$.choices[0].delta.content", "$.choices[0].text" };
  for (size_t i = 0; root && !text && i < G_N_ELEMENTS (paths); i++)
    {
      JsonNode *found = json_path_query (paths[i], root, NULL);
      JsonArray *matches = found ? json_node_get_array (found) : NULL;
      if (matches && json_array_get_length (matches) > 0)
        text = g_strdup (json_array_get_string_element (matches, 0));
      g_clear_pointer (&found, json_node_unref);
    }
  g_clear_pointer (&root, json_node_unref);
  return text;
}

static char *
get_header (const GgHttpReply *reply, const char *name)
{
  const char *value = reply->headers ? g_hash_table_lookup (reply->headers, name) : NULL;
  return g_strdup (value ? value : "");
}

static char *
ask_unstreamed (uint32_t instance, char **request_out)
{
  GgHttpReply reply;
  char *body = make_chat (FALSE, SHORT_TOKENS);
  gg_test_call ("POST", cluster->instances[instance].callers, CHAT_PATH, schools, body, &reply);
  char *text = reply.status == 200 ? get_choice_text (reply.body) : NULL;
  if (!text)
    fprintf (stderr, "status %u: %s\n", reply.status, reply.body ? reply.body : "no reply");
  *request_out = get_header (&reply, "greengage-request");
  gg_http_reply_clear (&reply);
  g_free (body);
  return text;
}

static GgEventStream *
open_chat (uint32_t instance, unsigned max_tokens)
{
  char *body = make_chat (TRUE, max_tokens);
  GgEventStream *stream = gg_event_stream_open ("POST", cluster->instances[instance].callers,
                                                CHAT_PATH, schools, body);
  g_free (body);
  return stream;
}

/* Reads one event into @answer; returns FALSE at the end of the stream, on failure or timeout. */
static gboolean
read_event (GgEventStream *stream, StreamedAnswer *answer)
{
  GgEvent event;
  if (gg_event_stream_next (stream, EVENT_TIMEOUT_MS, &event) != GG_EVENT_READ)
    return FALSE;
  if (g_strcmp0 (event.name, "end") == 0)
    answer->closing = g_strdup (event.data);
  else if (event.id)
    {
      char *text = get_choice_text (event.data);
      answer->in_order
          = answer->in_order && g_ascii_strtoull (event.id, NULL, 10) == ++answer->n_tokens;
      g_string_append (answer->text, text ? text : "");
      g_free (text);
    }
  gg_event_clear (&event);
  return TRUE;
}

static void
begin_answer (StreamedAnswer *answer, const GgEventStream *stream)
{
  const char *request = stream ? gg_event_stream_get_header (stream, "greengage-request") : NULL;
  *answer = (StreamedAnswer){
    .text = g_string_new (NULL),
    .in_order = TRUE,
    .request = g_strdup (request ? request : ""),
  };
}

static gboolean
is_complete (const StreamedAnswer *answer, guint n_tokens)
{
  return answer->in_order && answer->n_tokens == n_tokens && answer->closing
         && strstr (answer->closing, "complete");
}

static void
clear_answer (StreamedAnswer *answer)
{
  g_string_free (answer->text, TRUE);
  g_free (answer->request);
  g_free (answer->closing);
}

static void
run_chat (void)
{
  char *texts[N_INSTANCES];
  char *requests[N_INSTANCES];
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    texts[i] = ask_unstreamed (i, &requests[i]);
  report ("unstreamed chat", texts[0] != NULL, "%s", texts[0] ? texts[0] : "");
  report ("both instances give the same answer", texts[0] && g_strcmp0 (texts[0], texts[1]) == 0,
          "%s", "");
  GgEventStream *stream = open_chat (0, SHORT_TOKENS);
  StreamedAnswer answer;
  begin_answer (&answer, stream);
  while (stream && read_event (stream, &answer))
    ;
  report ("streamed chat",
          is_complete (&answer, SHORT_TOKENS) && g_strcmp0 (answer.text->str, texts[0]) == 0,
          "%u events, closing event %s", answer.n_tokens,
          answer.closing ? answer.closing : "missing");
  gg_event_stream_close (stream);
  gboolean once = gg_cluster_layers_ran_once (cluster, answer.request, SHORT_TOKENS);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    once = once && gg_cluster_layers_ran_once (cluster, requests[i], SHORT_TOKENS);
  report ("every layer of every token once and in order", once, "%d layers, %d tokens, 3 answers",
          GG_CLUSTER_LAYERS, SHORT_TOKENS);
  clear_answer (&answer);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      g_free (texts[i]);
      g_free (requests[i]);
    }
}

static guint
count_calls (const char *prefix)
{
  char *calls = gg_cluster_read_calls (cluster);
  char **lines = g_strsplit (calls, "\n", -1);
  guint n = 0;
  for (size_t i = 0; lines[i]; i++)
    n += g_str_has_prefix (lines[i], prefix);
  g_strfreev (lines);
  g_free (calls);
  return n;
}

static void
book (uint32_t instance, const char *body, GgHttpReply *reply_out)
{
  static const char *const headers[] = { "Authorization",
                                         GG_CLUSTER_SCHOOLS_BEARER,
                                         "Content-Type",
                                         "application/json",
                                         "Idempotency-Key",
                                         "\"berth-7-day-12\"",
                                         NULL };
  gg_test_call ("POST", cluster->instances[instance].callers, BOOKING_PATH, headers, body,
                reply_out);
}

static void
run_bookings (void)
{
  GgHttpReply first;
  GgHttpReply second;
  GgHttpReply other;
  book (0, BOOKING, &first);
  book (1, BOOKING, &second);
  guint n = count_calls ("POST /berths/7 ");
  report ("booking sent twice with one key",
          first.status == 200 && second.status == 200 && g_strcmp0 (first.body, second.body) == 0
              && n == 1,
          "status %u and %u, ran %u times", first.status, second.status, n);
  book (1, "{\"barge\":\"another\"}", &other);
  n = count_calls ("POST /berths/7 ");
  report ("same key with another body", other.status == 422 && n == 1, "status %u, ran %u times",
          other.status, n);
  gg_http_reply_clear (&first);
  gg_http_reply_clear (&second);
  gg_http_reply_clear (&other);
  GgHttpReply lookup;
  gg_test_call ("GET", cluster->instances[0].callers, "/services/moorings/catalogue?q=kivu",
                schools, NULL, &lookup);
  n = count_calls ("GET /catalogue?q=kivu ");
  report ("catalogue lookup", lookup.status == 200 && n == 1, "status %u, ran %u times",
          lookup.status, n);
  gg_http_reply_clear (&lookup);
}

static guint
count_executions (void)
{
  GArray *records = gg_cluster_read_records (cluster);
  guint n = records->len + count_calls ("");
  g_array_unref (records);
  return n;
}

/* Expects a problem document in reply, and that no runner is called. */
static void
run_refusal (const char *name,
             const char *path,
             const char *authorization,
             const char *body,
             unsigned expected_status)
{
  const char *headers[] = { "Content-Type", "application/json",
                            authorization ? "Authorization" : NULL, authorization, NULL };
  guint before = count_executions ();
  GgHttpReply reply;
  gg_test_call ("POST", cluster->instances[0].callers, path, headers, body, &reply);
  char *type = get_header (&reply, "content-type");
  gboolean is_problem = g_str_has_prefix (type, "application/problem+json") && reply.body
                        && strstr (reply.body, "\"detail\"");
  gboolean unchanged = count_executions () == before;
  report (name, reply.status == expected_status && is_problem && unchanged, "status %u %s%s",
          reply.status, reply.body ? reply.body : "", unchanged ? "" : ", a runner was called");
  g_free (type);
  gg_http_reply_clear (&reply);
}

static void
run_refusals (void)
{
  const char *key = schools[1];
  char *chat = make_chat (FALSE, 1);
  char *oversized = g_strnfill (OVERSIZED_BYTES, 'x');
  char *large = g_strdup_printf ("{\"model\":\"reader\",\"prompt\":\"%s\"}", oversized);
  run_refusal ("malformed JSON", CHAT_PATH, key, "{\"model\":", 400);
  run_refusal ("oversized body", CHAT_PATH, key, large, 413);
  run_refusal ("unknown model", COMPLETION_PATH, key, "{\"model\":\"writer\",\"prompt\":\"x\"}",
               404);
  run_refusal ("unknown service", "/services/fees/pay", key, "{}", 404);
  run_refusal ("missing credentials", CHAT_PATH, NULL, chat, 401);
  run_refusal ("wrong credentials", CHAT_PATH, "Bearer of-nobody", chat, 401);
  run_refusal ("service of another team", BOOKING_PATH, GG_CLUSTER_READERS_BEARER, BOOKING, 403);
  g_free (chat);
  g_free (oversized);
  g_free (large);
}

static void
run_duplicate_declaration (void)
{
  char *before = gg_test_get (cluster->kv, CONFIG_PATH);
  gg_cluster_write_declaration (cluster, "copy.ini",
                                "[service moorings]\nkind = plain\ntimeout_ms = 5\n");
  char *output = NULL;
  int status = gg_cluster_publish_config (cluster, &output);
  char *after = gg_test_get (cluster->kv, CONFIG_PATH);
  gboolean named = strstr (output, "copy.ini") && strstr (output, "moorings.ini");
  report ("service declared twice", status != 0 && named && before && !g_strcmp0 (before, after),
          "exit %d, %s", status, g_strchomp (output));
  g_free (output);
  g_free (before);
  g_free (after);
}

static gboolean
is_json_object (const char *text)
{
  JsonNode *root = text ? json_from_string (text, NULL) : NULL;
  gboolean is_object = root && JSON_NODE_HOLDS_OBJECT (root);
  g_clear_pointer (&root, json_node_unref);
  return is_object;
}

static void
run_dump (const char *name, const char *address, gboolean is_entry)
{
  rpcprog_t program = is_entry ? GG_ENTRY_PROGRAM : GG_CONTROL_PROGRAM;
  rpcvers_t version = is_entry ? GG_ENTRY_V1 : GG_CONTROL_V1;
  CLIENT *client = gg_rpc_client_create (address, program, version, GG_RPC_TCP, RPC_TIMEOUT_MS);
  char *title = g_strdup_printf ("state dump of %s %s", name, is_entry ? "entryd" : "controld");
  char *text = NULL;
  enum clnt_stat result = RPC_FAILED;
  if (client)
    result = is_entry ? gg_entry_dump_1 (&text, client) : gg_control_dump_1 (&text, client);
  report (title, result == RPC_SUCCESS && is_json_object (text), "%zu bytes",
          text ? strlen (text) : 0);
  if (client)
    {
      clnt_freeres (client, (xdrproc_t) xdr_gg_entry_text, (caddr_t) &text);
      gg_rpc_client_destroy (client);
    }
  g_free (title);
}

static void
run_dumps (void)
{
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      const GgClusterInstance *instance = &cluster->instances[i];
      run_dump (instance->name, instance->entry_rpc, TRUE);
      run_dump (instance->name, instance->control_rpc, FALSE);
    }
}

static void
run_graceful_stop (void)
{
  GgClusterInstance *instance = &cluster->instances[0];
  GgEventStream *stream = open_chat (0, LONG_TOKENS);
  StreamedAnswer answer;
  begin_answer (&answer, stream);
  while (stream && answer.n_tokens < 3 && read_event (stream, &answer))
    ;
  guint at_stop = answer.n_tokens;
  gg_process_signal (instance->entry, SIGTERM);
  while (stream && read_event (stream, &answer))
    ;
  gg_event_stream_close (stream);
  report ("stream in flight during a graceful stop",
          at_stop < LONG_TOKENS && is_complete (&answer, LONG_TOKENS),
          "%u events before and %u after the stop", at_stop, answer.n_tokens - at_stop);
  gboolean ended = gg_process_wait_exit (instance->entry, STOP_TIMEOUT_MS);
  gg_process_signal (instance->control, SIGTERM);
  ended = gg_process_wait_exit (instance->control, STOP_TIMEOUT_MS) && ended;
  report ("graceful stop of one instance",
          ended && gg_process_get_status (instance->entry) == 0
              && gg_process_get_status (instance->control) == 0,
          "entryd exit %d, controld exit %d", gg_process_get_status (instance->entry),
          gg_process_get_status (instance->control));
  char *request = NULL;
  char *text = ask_unstreamed (1, &request);
  report ("the other instance goes on", text != NULL, "%s", "");
  clear_answer (&answer);
  g_free (text);
  g_free (request);
}

/* Only removes the folders: the kernel kills the child processes when this process ends. */
static void *
wait_for_interrupt (void *data)
{
  int number = 0;
  sigwait (data, &number);
  gg_cluster_remove_folders ();
  _exit (128 + number);
}

int
main (void)
{
  static sigset_t interrupts;
  pthread_t thread;
  sigemptyset (&interrupts);
  sigaddset (&interrupts, SIGINT);
  sigaddset (&interrupts, SIGTERM);
  sigaddset (&interrupts, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &interrupts, NULL);
  pthread_create (&thread, NULL, wait_for_interrupt, &interrupts);
  const GgClusterOptions options = { .n_instances = N_INSTANCES, .step_us = STEP_US };
  cluster = gg_cluster_create (&options);
  if (!cluster)
    return 1;
  run_chat ();
  run_bookings ();
  run_refusals ();
  run_duplicate_declaration ();
  run_dumps ();
  run_graceful_stop ();
  if (n_failed > 0)
    gg_cluster_print_errors (cluster);
  gg_cluster_destroy (cluster);
  if (n_failed > 0)
    printf ("demo: %u cases failed\n", n_failed);
  else
    printf ("demo: ok\n");
  return n_failed > 0;
}
