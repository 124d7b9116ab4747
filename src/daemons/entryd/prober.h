/** @file
 * Probes runners that are out of use on fresh connections, and puts them back. */
#pragma once

#include "daemons/entryd/entry_context.h"

typedef struct _GgProber GgProber;

/** Starts the probing threads. */
GgProber *gg_prober_create (GgEntry *entry);
void gg_prober_destroy (GgProber *self);
