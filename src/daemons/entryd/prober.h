/** @file
 * Probes ejected runners on fresh connections and restores those that answer. */
#pragma once

#include "daemons/entryd/entry_context.h"

typedef struct _GgProber GgProber;

/** Starts the probing threads. */
GgProber *gg_prober_create (GgEntry *entry);

/** Waits for probes in progress and joins the threads. */
void gg_prober_destroy (GgProber *self);
