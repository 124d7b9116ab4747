#include "daemons/entryd/caller_http.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/settings.h"
#include "daemons/entryd/caller_reply.h"
#include "daemons/entryd/caller_request.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <string.h>
#include <unistd.h>

#define CONNECTION_TIMEOUT_S 60
#define THREAD_STACK_BYTES (256 * 1024)
#define BEARER_PREFIX "Bearer "

static GgCounter requests_total
    = GG_COUNTER ("greengage_requests_total", "Requests of callers for models and services");
static GgCounter requests_open = GG_GAUGE ("greengage_requests_open", "Requests in progress");
static GgCounter answers_open = GG_GAUGE ("greengage_answers_open", "Answers being generated");
static GgCounter snapshot_age
    = GG_GAUGE ("greengage_snapshot_age_ms", "Age of the control process's last snapshot, ms");

struct _GgCallerHttp
{
  GgEntry *entry;
  struct MHD_Daemon *daemon;
  int quiesced_fd;
};

static GgCallerRequest *
request_create (GgEntry *entry, struct MHD_Connection *connection, const char *uri)
{
  GgCallerRequest *request = g_new0 (GgCallerRequest, 1);
  request->entry = entry;
  request->connection = connection;
  request->uri = g_strdup (uri);
  request->body = g_byte_array_new ();
  request->started_at_ms = gg_clock_now_ms ();
  return request;
}

static void *
create_request_for_uri (void *data, const char *uri, struct MHD_Connection *connection)
{
  return request_create (data, connection, uri);
}

static void
request_completed (void *data,
                   struct MHD_Connection *connection,
                   void **context,
                   enum MHD_RequestTerminationCode code)
{
  GgCallerRequest *request = *context;
  if (request == NULL)
    return;
  if (request->config != NULL)
    atomic_fetch_sub (&request->entry->requests, 1);
  gg_config_unref (request->config);
  g_byte_array_unref (request->body);
  g_free (request->uri);
  g_free (request);
  *context = NULL;
}

static enum MHD_Result
reply_problem (GgCallerRequest *request,
               uint32_t status,
               const char *title,
               const char *detail,
               const char *field)
{
  GgProblem problem = { .status = status,
                        .title = title,
                        .detail = detail,
                        .field = field,
                        .outcome = GG_OUTCOME_NOT_RUN };
  return gg_caller_reply_problem (request->connection, &request->id, &problem);
}

static enum MHD_Result
reply_text (GgCallerRequest *request, uint32_t status, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain; version=0.0.4");
  return gg_caller_reply_queue (request->connection, NULL, status, response);
}

static enum MHD_Result
reply_metrics (GgCallerRequest *request)
{
  GgEntry *entry = request->entry;
  gg_counter_set (&requests_open, atomic_load (&entry->requests));
  gg_counter_set (&answers_open, atomic_load (&entry->answers));
  gg_counter_set (&snapshot_age, (int64_t) gg_snapshot_client_get_age_ms (entry->snapshots));
  GString *text = g_string_new (NULL);
  gg_counters_expose (text);
  enum MHD_Result result = reply_text (request, MHD_HTTP_OK, text->str);
  g_string_free (text, TRUE);
  return result;
}

static enum MHD_Result
reply_ready (GgCallerRequest *request)
{
  GgEntry *entry = request->entry;
  if (atomic_load (&entry->draining))
    return reply_text (request, MHD_HTTP_SERVICE_UNAVAILABLE, "draining\n");
  if (!gg_snapshot_client_is_ready (entry->snapshots))
    return reply_text (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                       "waiting for a configuration and members\n");
  return reply_text (request, MHD_HTTP_OK, "ready\n");
}

/* Handles the paths that need no credentials; returns FALSE for all others. */
static gboolean
handle_public (GgCallerRequest *request, enum MHD_Result *result)
{
  if (strcmp (request->uri, "/healthz") == 0)
    *result = reply_text (request, MHD_HTTP_OK, "ok\n");
  else if (strcmp (request->uri, "/readyz") == 0)
    *result = reply_ready (request);
  else if (strcmp (request->uri, "/metrics") == 0)
    *result = reply_metrics (request);
  else
    return FALSE;
  return TRUE;
}

/* Sets the team, or queues a reply and returns FALSE. */
static gboolean
authenticate (GgCallerRequest *request, enum MHD_Result *result)
{
  const char *header = gg_caller_request_get_header (request, "Authorization");
  if (header == NULL || !g_str_has_prefix (header, BEARER_PREFIX))
    {
      *result
          = reply_problem (request, MHD_HTTP_UNAUTHORIZED, "Credentials missing",
                           "Send the team's key as 'Authorization: Bearer KEY'.", "Authorization");
      return FALSE;
    }
  request->team = gg_config_find_team_by_key (request->config, header + strlen (BEARER_PREFIX));
  if (request->team == NULL)
    {
      *result = reply_problem (request, MHD_HTTP_UNAUTHORIZED, "Credentials unknown",
                               "The key belongs to no declared team.", "Authorization");
      return FALSE;
    }
  return TRUE;
}

static enum MHD_Result
reply_too_large (GgCallerRequest *request)
{
  char *detail
      = g_strdup_printf ("The body exceeds the limit of %zu bytes.", request->body_limit_bytes);
  enum MHD_Result result
      = reply_problem (request, MHD_HTTP_CONTENT_TOO_LARGE, "Body too large", detail, "body");
  g_free (detail);
  return result;
}

static gboolean
check_length (GgCallerRequest *request, enum MHD_Result *result)
{
  request->body_limit_bytes = request->entry->max_body_bytes;
  if (request->team->max_body_bytes > 0)
    request->body_limit_bytes = MIN (request->body_limit_bytes, request->team->max_body_bytes);
  const char *header = gg_caller_request_get_header (request, "Content-Length");
  guint64 length = 0;
  if (header != NULL && g_ascii_string_to_unsigned (header, 10, 0, G_MAXUINT64, &length, NULL)
      && length > request->body_limit_bytes)
    {
      *result = reply_too_large (request);
      return FALSE;
    }
  return TRUE;
}

/* Called when the headers are complete, before the body. */
static enum MHD_Result
begin_request (GgCallerRequest *request, const char *method)
{
  GgEntry *entry = request->entry;
  enum MHD_Result result = MHD_YES;
  request->method = method;
  gg_id_generate_for_instance (&request->id, entry->instance_hash);
  if (handle_public (request, &result))
    return result;

  gg_counter_add (&requests_total, 1);
  request->config = gg_snapshot_client_get_config (entry->snapshots);
  if (request->config == NULL)
    {
      GgProblem problem = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
                            .title = "Not ready",
                            .detail = "This instance has no configuration yet.",
                            .outcome = GG_OUTCOME_NOT_RUN,
                            .retry_after_ms = 1000 };
      return gg_caller_reply_problem (request->connection, &request->id, &problem);
    }
  atomic_fetch_add (&entry->requests, 1);
  if (!authenticate (request, &result) || !check_length (request, &result))
    return result;
  return MHD_YES;
}

static void
append_body (GgCallerRequest *request, const char *data, size_t size)
{
  if (request->body->len + size > request->body_limit_bytes)
    request->body_too_large = TRUE;
  else
    g_byte_array_append (request->body, (const guint8 *) data, (guint) size);
}

static enum MHD_Result
dispatch (GgCallerRequest *request)
{
  static const char services[] = "/services/";
  static const char streams[] = "/v1/streams/";
  gboolean is_post = strcmp (request->method, "POST") == 0;
  if (request->body_too_large)
    return reply_too_large (request);

  g_byte_array_append (request->body, (const guint8 *) "", 1);
  request->body->len--;
  if (is_post && strcmp (request->uri, "/v1/chat/completions") == 0)
    return gg_completion_handle (request, TRUE);
  if (is_post && strcmp (request->uri, "/v1/completions") == 0)
    return gg_completion_handle (request, FALSE);
  if (g_str_has_prefix (request->uri, services))
    return gg_plain_call_handle (request, request->uri + strlen (services));
  if (strcmp (request->method, "GET") == 0 && g_str_has_prefix (request->uri, streams))
    return gg_stream_resume_handle (request, request->uri + strlen (streams));
  return reply_problem (request, MHD_HTTP_NOT_FOUND, "Unknown path",
                        "Known paths: POST /v1/chat/completions, POST /v1/completions, "
                        "GET /v1/streams/REQUEST, /services/NAME/PATH.",
                        "path");
}

static enum MHD_Result
handle_request (void *data,
                struct MHD_Connection *connection,
                const char *path,
                const char *method,
                const char *version,
                const char *upload,
                size_t *upload_size,
                void **context)
{
  GgCallerRequest *request = *context;
  if (request == NULL)
    return MHD_NO;
  if (request->method == NULL)
    return begin_request (request, method);
  if (*upload_size > 0)
    {
      append_body (request, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  return dispatch (request);
}

static gboolean
make_address (const char *address, struct sockaddr_storage *storage, gboolean *is_ipv6)
{
  char *host;
  uint16_t port;
  if (!gg_address_parse (address, &host, &port))
    return FALSE;
  GSocketAddress *socket_address = g_inet_socket_address_new_from_string (host, port);
  g_free (host);
  if (socket_address == NULL)
    return FALSE;
  *is_ipv6 = g_socket_address_get_family (socket_address) == G_SOCKET_FAMILY_IPV6;
  gboolean filled = g_socket_address_to_native (socket_address, storage, sizeof *storage, NULL);
  g_object_unref (socket_address);
  return filled;
}

GgCallerHttp *
gg_caller_http_create (GgEntry *entry,
                       const char *address,
                       uint32_t max_connections,
                       GError **error)
{
  struct sockaddr_storage storage;
  gboolean is_ipv6 = FALSE;
  GgCallerHttp *self = g_new0 (GgCallerHttp, 1);
  self->entry = entry;
  self->quiesced_fd = -1;
  if (make_address (address, &storage, &is_ipv6))
    self->daemon = MHD_start_daemon (
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC
            | (is_ipv6 ? MHD_USE_IPv6 : 0),
        0, NULL, NULL, handle_request, entry, MHD_OPTION_SOCK_ADDR, &storage,
        MHD_OPTION_CONNECTION_LIMIT, max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        CONNECTION_TIMEOUT_S, MHD_OPTION_THREAD_STACK_SIZE, (size_t) THREAD_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK, create_request_for_uri,
        entry, MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL, MHD_OPTION_END);
  if (self->daemon != NULL)
    return self;
  g_set_error (error, G_IO_ERROR, g_io_error_from_errno (errno),
               "can't listen on %s for callers: %s", address, g_strerror (errno));
  g_free (self);
  return NULL;
}

void
gg_caller_http_stop_accepting (GgCallerHttp *self)
{
  self->quiesced_fd = MHD_quiesce_daemon (self->daemon);
  if (self->quiesced_fd >= 0)
    close (self->quiesced_fd);
}

void
gg_caller_http_destroy (GgCallerHttp *self)
{
  if (self == NULL)
    return;
  MHD_stop_daemon (self->daemon);
  g_free (self);
}
