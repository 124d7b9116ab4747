/** @file
 * Thread that watches the configuration document at the platform, if this instance is one of
 * the watchers of its data centre or knows no configuration yet. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

typedef struct _GgConfigWatch GgConfigWatch;

/** Starts the thread. It is never joined, since a watch may wait for minutes; it uses @p state
 * and @p kv until the process ends. */
void gg_config_watch_start (GgControlState *state, GgKv *kv, const GgSettings *settings);
