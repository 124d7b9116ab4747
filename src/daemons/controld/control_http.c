#include "daemons/controld/control_http.h"

#include "adapters/rpc/rpc_address.h"
#include "base/counters.h"

#include <errno.h>
#include <gio/gio.h>
#include <microhttpd.h>
#include <string.h>

#define MAX_CONNECTIONS 32
#define CONNECTION_TIMEOUT_S 10

struct _GgControlHttp
{
  GgControlState *state;
  struct MHD_Daemon *daemon;
};

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned int status, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain; charset=utf-8");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_metrics (struct MHD_Connection *connection)
{
  GString *text = g_string_new (NULL);
  gg_counters_expose (text);
  enum MHD_Result result = reply (connection, MHD_HTTP_OK, text->str);
  g_string_free (text, TRUE);
  return result;
}

static enum MHD_Result
handle_request (void *data,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *upload,
                size_t *upload_size,
                void **call)
{
  GgControlHttp *self = data;
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return reply (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "only GET is supported\n");
  if (strcmp (url, "/healthz") == 0)
    return reply (connection, MHD_HTTP_OK, "ok\n");
  if (strcmp (url, "/metrics") == 0)
    return reply_metrics (connection);
  if (strcmp (url, "/readyz") != 0)
    return reply (connection, MHD_HTTP_NOT_FOUND, "try /healthz, /readyz or /metrics\n");
  if (gg_control_state_is_ready (self->state))
    return reply (connection, MHD_HTTP_OK, "ready\n");
  return reply (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                "no configuration or no membership is known yet\n");
}

GgControlHttp *
gg_control_http_create (GgControlState *state, const GgSettings *settings, GError **error)
{
  const char *address = gg_settings_get_string (settings, "listen", "http");
  struct sockaddr_storage storage;
  gboolean valid = gg_rpc_address_parse (address, &storage) != 0;
  GgControlHttp *self = g_new0 (GgControlHttp, 1);
  self->state = state;
  unsigned int flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  if (valid && storage.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  if (valid)
    self->daemon = MHD_start_daemon (flags, 0, NULL, NULL, handle_request, self,
                                     MHD_OPTION_SOCK_ADDR, &storage, MHD_OPTION_CONNECTION_LIMIT,
                                     (unsigned int) MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
                                     (unsigned int) CONNECTION_TIMEOUT_S, MHD_OPTION_END);
  if (self->daemon != NULL)
    return self;
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_FAILED, "cannot serve on %s: %s", address,
               valid ? g_strerror (errno) : "not of the form IP:PORT");
  g_free (self);
  return NULL;
}

void
gg_control_http_destroy (GgControlHttp *self)
{
  if (self == NULL)
    return;
  MHD_stop_daemon (self->daemon);
  g_free (self);
}
