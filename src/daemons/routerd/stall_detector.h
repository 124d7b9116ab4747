/** @file
 * Detects requests whose answer has stalled, finds the runner at fault and reroutes them. */
#pragma once

#include "daemons/routerd/relay.h"

GgStallDetector *gg_stall_detector_create (GgRouter *router);
void gg_stall_detector_destroy (GgStallDetector *self);

/** Watches a request while it is at a model's runners. */
void gg_stall_detector_add (GgStallDetector *self, GgRelay *relay);
void gg_stall_detector_remove (GgStallDetector *self, GgRelay *relay);
