/** @file
 * Requests that are handed over between instances: an instance that does not reach the runners of a
 * service sends the request to a peer that does, once and over one hop.
 *
 * The request goes over HTTP to the peer's own address, as the caller sent it, with the caller's
 * attempt id and key, the time that is left, the runs that may have taken place and the peer's
 * token. The peer authorizes it like any other, serves it by itself and never hands it over again.
 * Where the peer refuses or fails, its answer states whether the request may have run. */
#pragma once

#include "loop/server.h"
#include "daemons/routerd/router.h"

/** Handles an event of the server for peers that concerns a handed-over request
 * (gg_relay_wire_is_handover()), or is no request. */
void gg_handover_on_server_event (GgRouter *router,
                                  GgServerConnection *connection,
                                  const GgServerEvent *event);

/** Returns how many more handed-over requests this instance would take now. */
guint gg_handover_get_room (const GgRouter *router);
