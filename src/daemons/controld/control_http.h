/** @file
 * HTTP server for /healthz, /readyz and /metrics. */
#pragma once

#include "daemons/controld/control_state.h"

typedef struct _GgControlHttp GgControlHttp;

/** @return NULL with @p error set if [listen] http can't be bound. */
GgControlHttp *
gg_control_http_create (GgControlState *state, const GgSettings *settings, GError **error);
void gg_control_http_destroy (GgControlHttp *self);
