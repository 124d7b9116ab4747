/** @file
 * Notices requests whose answer has stopped, finds the runner at fault and moves them. */
#pragma once

#include "daemons/routerd/relay.h"

GgStallWatch *gg_stall_watch_create (GgRouter *router);
void gg_stall_watch_destroy (GgStallWatch *self);

/** Watches a request while it is at a model's runners. */
void gg_stall_watch_add (GgStallWatch *self, GgRelay *relay);
void gg_stall_watch_remove (GgStallWatch *self, GgRelay *relay);
