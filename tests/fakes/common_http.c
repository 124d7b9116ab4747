#include "common_http.h"

#include "base/settings.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GG_FAKE_STACK_SIZE_BYTES (256 * 1024)
#define GG_FAKE_MAX_CONNECTIONS 1024
#define GG_FAKE_MAX_BODY_BYTES (8 * 1024 * 1024)

typedef struct
{
  GgFakeHandler handler;
  void *state;
} Server;

const char *
gg_fake_call_get_argument (const GgFakeCall *call, const char *name)
{
  const char *value = NULL;
  if (MHD_lookup_connection_value_n (call->connection, MHD_GET_ARGUMENT_KIND, name, strlen (name),
                                     &value, NULL)
      == MHD_NO)
    return NULL;
  return value != NULL ? value : "";
}

gboolean
gg_fake_call_is (const GgFakeCall *call, const char *method, const char *path)
{
  return strcmp (call->method, method) == 0 && strcmp (call->path, path) == 0;
}

void
gg_fake_reply_set (GgFakeReply *reply, unsigned status, const char *text)
{
  reply->status = status;
  g_free (reply->body);
  reply->body = g_strdup (text);
}

JsonNode *
gg_fake_parse_object (const GgFakeCall *call, GgFakeReply *reply)
{
  GError *error = NULL;
  JsonNode *node = json_from_string (call->body, &error);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    return node;
  gg_fake_reply_set (reply, MHD_HTTP_BAD_REQUEST, error ? error->message : "not a JSON object");
  g_clear_error (&error);
  g_clear_pointer (&node, json_node_unref);
  return NULL;
}

gint64
gg_fake_get_int (JsonNode *object, const char *name, gint64 fallback)
{
  JsonNode *member = json_object_get_member (json_node_get_object (object), name);
  if (member == NULL || !JSON_NODE_HOLDS_VALUE (member))
    return fallback;
  return json_node_get_value_type (member) == G_TYPE_BOOLEAN ? json_node_get_boolean (member)
                                                             : json_node_get_int (member);
}

static enum MHD_Result
send_reply (struct MHD_Connection *connection, GgFakeReply *reply)
{
  if (reply->is_closed)
    {
      g_free (reply->body);
      return MHD_NO;
    }
  size_t size = reply->body != NULL ? strlen (reply->body) : 0;
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, reply->body, MHD_RESPMEM_MUST_COPY);
  if (reply->index > 0)
    {
      char text[32];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, reply->index);
      MHD_add_response_header (response, "X-Consul-Index", text);
    }
  enum MHD_Result result = MHD_queue_response (connection, reply->status, response);
  MHD_destroy_response (response);
  g_free (reply->body);
  return result;
}

static enum MHD_Result
handle_request (void *cls,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *upload,
                size_t *upload_size,
                void **request)
{
  Server *server = cls;
  GString *body = *request;
  if (body == NULL)
    {
      *request = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (body->len + *upload_size > GG_FAKE_MAX_BODY_BYTES)
        return MHD_NO;
      g_string_append_len (body, upload, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  GgFakeCall call = { connection, method, url, body->str, body->len };
  GgFakeReply reply = { .status = MHD_HTTP_OK };
  server->handler (server->state, &call, &reply);
  return send_reply (connection, &reply);
}

static void
free_request (void *cls,
              struct MHD_Connection *connection,
              void **request,
              enum MHD_RequestTerminationCode code)
{
  if (*request != NULL)
    g_string_free (*request, TRUE);
  *request = NULL;
}

static struct MHD_Daemon *
start_server (const char *host, uint16_t port, Server *server)
{
  struct sockaddr_in v4 = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct sockaddr_in6 v6 = { .sin6_family = AF_INET6, .sin6_port = htons (port) };
  gboolean is_v6 = strchr (host, ':') != NULL;
  if (is_v6)
    inet_pton (AF_INET6, host, &v6.sin6_addr);
  else
    inet_pton (AF_INET, host, &v4.sin_addr);

  unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                   | MHD_USE_ITC | (is_v6 ? MHD_USE_IPv6 : 0);
  const struct sockaddr *address = is_v6 ? (struct sockaddr *) &v6 : (struct sockaddr *) &v4;
  return MHD_start_daemon (flags, port, NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR,
                           address, MHD_OPTION_CONNECTION_LIMIT, GG_FAKE_MAX_CONNECTIONS,
                           MHD_OPTION_THREAD_STACK_SIZE, (size_t) GG_FAKE_STACK_SIZE_BYTES,
                           MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL, MHD_OPTION_END);
}

static gboolean
parse_options (int argc, char **argv, const char *summary, char **host_out, uint16_t *port_out)
{
  char *listen = NULL;
  GError *error = NULL;
  GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address; port 0 picks a free port",
      "IP:PORT" },
    { 0 },
  };
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean valid = g_option_context_parse (context, &argc, &argv, &error);
  if (!valid)
    fprintf (stderr, "%s\n", error->message);
  else if (listen == NULL || !gg_address_parse (listen, host_out, port_out))
    {
      fprintf (stderr, "--listen: expected an address of the form IP:PORT\n");
      valid = FALSE;
    }
  g_clear_error (&error);
  g_free (listen);
  g_option_context_free (context);
  return valid;
}

int
gg_fake_http_run (
    int argc, char **argv, const char *summary, GgFakeHandler handler, GgFakeStop stop, void *state)
{
  char *host = NULL;
  uint16_t port;
  if (!parse_options (argc, argv, summary, &host, &port))
    return 2;

  /* Blocked before the server creates threads, so that only sigwait() receives the signals. */
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);

  Server server = { handler, state };
  struct MHD_Daemon *daemon = start_server (host, port, &server);
  if (daemon == NULL)
    {
      fprintf (stderr, "can't listen on %s port %u\n", host, port);
      g_free (host);
      return 1;
    }
  port = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  printf (strchr (host, ':') ? "listening [%s]:%u\n" : "listening %s:%u\n", host, port);
  fflush (stdout);

  int signal_number;
  sigwait (&signals, &signal_number);
  if (stop != NULL)
    stop (state);
  MHD_stop_daemon (daemon);
  g_free (host);
  return 0;
}
