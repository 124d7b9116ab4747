#include "daemons/routerd/peer_documents.h"

#include "adapters/rpc/watch_message.h"
#include "base/counters.h"
#include "daemons/routerd/handover.h"
#include "daemons/routerd/problem.h"
#include "loop/server.h"

#include <string.h>

#define CONFIG_TARGET "/configuration"
#define RUNNERS_TARGET "/runners"
#define CONNECT_TIMEOUT_MS 400
/* A source that takes longer than this is slower than the store. */
#define ANSWER_TIMEOUT_MS 1500
/* Limits for documents alone, until a configuration sets those of handed-over requests. */
#define MAX_HEAD_BYTES 2048
#define HEAD_TIMEOUT_MS 2000
#define IDLE_TIMEOUT_MS 2000
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

struct _GgPeerDocumentServer
{
  const GgConfigWatcher *config_watcher;
  const GgRunnerWatcher *runner_watcher;
  GgRouter *router;
};

static GgCounter documents_total = GG_COUNTER ("greengage_router_peer_documents_total",
                                               "Documents that were sent to other instances");

GgLoopFetch *
gg_peer_document_fetch (
    GgRouter *router, const char *address, GgPeerDocument document, GgFetchFunc func, void *data)
{
  const char *target = NULL;
  switch (document)
    {
    case GG_PEER_DOCUMENT_CONFIG:
      target = CONFIG_TARGET;
      break;
    case GG_PEER_DOCUMENT_RUNNERS:
      target = RUNNERS_TARGET;
      break;
    }
  GgMessageHead *head = gg_message_head_create_request ("GET", target);
  gg_message_head_add (head, "Host", address);
  /* The connection is not kept: a source has many readers, which read seldom. */
  gg_message_head_add (head, "Connection", "close");
  const GgFetchRequest request
      = { .call = { .address = address, .head = head, .connect_timeout_ms = CONNECT_TIMEOUT_MS },
          .timeout_ms = ANSWER_TIMEOUT_MS,
          .max_body_bytes = GG_WATCH_MESSAGE_MAX_DOCUMENT_BYTES };
  GgLoopFetch *fetch = gg_loop_fetch (router->loop, router->client, &request, func, data);
  gg_message_head_destroy (head);
  return fetch;
}

/* Returns the document, owned by the caller; NULL if this instance does not have it. */
static GByteArray *
build_document (const GgPeerDocumentServer *self, const char *target)
{
  if (strcmp (target, CONFIG_TARGET) == 0)
    return gg_config_watcher_build_document (self->config_watcher);
  if (strcmp (target, RUNNERS_TARGET) == 0)
    return gg_runner_watcher_build_document (self->runner_watcher);
  return NULL;
}

static void
on_event (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  const GgPeerDocumentServer *self = data;
  if (event->kind != GG_SERVER_REQUEST || gg_relay_wire_is_handover (event->request.head))
    {
      gg_handover_on_server_event (self->router, connection, event);
      return;
    }
  GByteArray *document = build_document (self, gg_message_head_get_target (event->request.head));
  if (document == NULL)
    gg_problem_reply (connection, STATUS_NOT_FOUND, "no_document", 0);
  else
    {
      GgMessageHead *head = gg_message_head_create_response (STATUS_OK);
      gg_message_head_add (head, "Content-Type", "application/octet-stream");
      gg_server_connection_reply (connection, head, document->data, document->len);
      gg_message_head_destroy (head);
      g_byte_array_unref (document);
      gg_counter_add (&documents_total, 1);
    }
  gg_message_head_destroy (event->request.head);
  if (event->request.body != NULL)
    g_byte_array_unref (event->request.body);
}

GgPeerDocumentServer *
gg_peer_document_server_create (GgRouter *router,
                                const GgConfigWatcher *config_watcher,
                                const GgRunnerWatcher *runner_watcher,
                                const char *address,
                                GError **error)
{
  GgPeerDocumentServer *self = g_new0 (GgPeerDocumentServer, 1);
  const GgServerLimits limits = { .max_head_bytes = MAX_HEAD_BYTES,
                                  .max_body_bytes = 0,
                                  .head_timeout_ms = HEAD_TIMEOUT_MS,
                                  .idle_timeout_ms = IDLE_TIMEOUT_MS };
  self->router = router;
  self->config_watcher = config_watcher;
  self->runner_watcher = runner_watcher;
  router->peer_server
      = gg_loop_server_create (router->loop, address, &limits, on_event, self, error);
  if (router->peer_server != NULL)
    return self;
  g_free (self);
  return NULL;
}

void
gg_peer_document_server_destroy (GgPeerDocumentServer *self)
{
  gg_loop_server_destroy (self->router->peer_server);
  g_free (self);
}
