/** @file
 * Requests that wait for room at the runners. Those that can still meet their objective go first,
 * by priority and arrival: serving the oldest first would make all of them late once the wait is
 * as long as the objective. */
#pragma once

#include "daemons/routerd/relay.h"

GgWaitingRoom *gg_waiting_room_create (GgLoop *loop);
void gg_waiting_room_destroy (GgWaitingRoom *self);

/** Lets a request wait.
 * @return FALSE if too many wait already, so that it would hardly be served in time. */
gboolean gg_waiting_room_enter (GgWaitingRoom *self, GgRelay *relay);

/** Takes a request out, for example because its caller has left. */
void gg_waiting_room_leave (GgWaitingRoom *self, GgRelay *relay);

/** Tries the requests again after room may have become free. */
void gg_waiting_room_wake (GgWaitingRoom *self);

guint gg_waiting_room_get_size (const GgWaitingRoom *self);
