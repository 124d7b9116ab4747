/** @file
 * Detects requests whose answer has stalled, finds the runner at fault, and reroutes or hedges
 * them. */
#pragma once

#include "daemons/routerd/send.h"

GgStallDetector *gg_stall_detector_create (GgRouter *router);
void gg_stall_detector_destroy (GgStallDetector *self);

/** Watches a send to a model's runners until it is removed. */
void gg_stall_detector_add (GgStallDetector *self, GgSend *send);
/** Tries again the hedges for which no runner had room; called when room becomes free, before the
 * requests that wait for it. */
void gg_stall_detector_wake (GgStallDetector *self);

void gg_stall_detector_remove (GgStallDetector *self, GgSend *send);
