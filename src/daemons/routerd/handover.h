/** @file
 * Requests that are handed over between instances: an instance that does not reach the runners of a
 * service sends the request to a peer that does, once and over one hop.
 *
 * The request goes over HTTP to the peer's own address, as the caller sent it, with the caller's
 * attempt id and key, the time that is left, the runs that may have taken place and the peer's
 * token. The peer authorizes it like any other, serves it by itself and never hands it over again.
 * Its answers that are no answers of a runner say whether the request may have run. */
#pragma once

#include "loop/server.h"
#include "daemons/routerd/router.h"

/** Returns whether a request at the address for peers was handed over, with any token. */
gboolean gg_handover_is_request (const GgMessageHead *head);

/** Handles the events of connections on which requests are handed over to this instance; @p data is
 * the GgRouter. */
void gg_handover_on_server_event (void *data,
                                  GgServerConnection *connection,
                                  const GgServerEvent *event);

/** Returns the number of handed-over requests in progress here. */
guint gg_handover_count_open (const GgRouter *router);

/** Returns how many more handed-over requests this instance would take now. */
guint gg_handover_get_room (const GgRouter *router);
