/** @file
 * Background thread that watches the configuration document at the platform while this instance is
 * one of the watchers of its data centre or has no configuration yet. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

typedef struct _GgConfigWatch GgConfigWatch;

/** Starts the thread. It is never joined, since a watch may block for minutes; @p state and
 * @p kv must stay valid until the process exits. */
void gg_config_watch_start (GgControlState *state, GgKv *kv, const GgSettings *settings);
