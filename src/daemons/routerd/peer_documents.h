/** @file
 * Documents that instances that rely on a source get from it instead of the store: the
 * configuration and the list of runners. They go over TCP at the address of the peers' datagrams.
 */
#pragma once

#include "daemons/routerd/config_watcher.h"
#include "daemons/routerd/runner_watcher.h"
#include "loop/fetch.h"

typedef enum
{
  GG_PEER_DOCUMENT_CONFIG,
  GG_PEER_DOCUMENT_RUNNERS,
} GgPeerDocument;

/** Requests a document from the instance at @p address. Arguments are as for gg_loop_fetch(); an
 * instance that does not have it answers 404. */
GgLoopFetch *gg_peer_document_fetch (
    GgRouter *router, const char *address, GgPeerDocument document, GgFetchFunc func, void *data);

typedef struct _GgPeerDocumentServer GgPeerDocumentServer;

/** Serves the documents of this instance at "IP:PORT", where peers also hand over requests, and
 * sets GgRouter.peer_server; the watchers are not owned.
 * @return NULL with @p error set if the address can't be used. */
GgPeerDocumentServer *gg_peer_document_server_create (GgRouter *router,
                                                      const GgConfigWatcher *config_watcher,
                                                      const GgRunnerWatcher *runner_watcher,
                                                      const char *address,
                                                      GError **error);
void gg_peer_document_server_destroy (GgPeerDocumentServer *self);
