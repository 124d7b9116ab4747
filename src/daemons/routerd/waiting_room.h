/** @file
 * Requests that wait for room at the runners, in order of priority and arrival. */
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
