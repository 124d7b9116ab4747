/** @file
 * RPC procedures of the entry process, called by peers and greengagectl. */
#pragma once

#include "daemons/entryd/entry_context.h"

/** Sets the state on which the procedures operate. Call before the server starts. */
void gg_entry_rpc_init (GgEntry *entry);
