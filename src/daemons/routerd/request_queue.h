/** @file
 * Requests that wait for capacity at the runners. Those that can still meet their latency target go
 * first, by priority and arrival: serving the oldest first would make all of them late once the
 * wait is as long as the target. A service without capacity does not hold up the others. */
#pragma once

#include "daemons/routerd/relay.h"

GgRequestQueue *gg_request_queue_create (GgLoop *loop);
void gg_request_queue_destroy (GgRequestQueue *self);

/** Adds a request.
 * @return FALSE if too many of its service wait for the request to be served in time. */
gboolean gg_request_queue_add (GgRequestQueue *self, GgRelay *relay);

/** Removes a request, for example because its caller has disconnected. */
void gg_request_queue_remove (GgRequestQueue *self, GgRelay *relay);

/** Tries the requests again after capacity may have become free. */
void gg_request_queue_wake (GgRequestQueue *self);

/** Returns how many waiting requests of its service precede a request, which is not queued. */
guint gg_request_queue_count_before (GgRequestQueue *self, const GgRelay *relay);

/** Returns how many requests of a service wait. */
guint gg_request_queue_get_size (const GgRequestQueue *self, const char *service);
