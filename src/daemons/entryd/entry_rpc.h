/** @file
 * RPC procedures of the entry process, for peers and greengagectl. */
#pragma once

#include "daemons/entryd/entry_context.h"

/** Sets the process that the procedures serve; call it before the server starts. */
void gg_entry_rpc_init (GgEntry *entry);
