/** @file
 * Sends orders to runners that report another model version than the one in force. Thread-safe. */
#pragma once

#include "adapters/http/http_pool.h"
#include "daemons/controld/control_state.h"

typedef struct _GgOrderIssuer GgOrderIssuer;

/** @param http not owned. */
GgOrderIssuer *gg_order_issuer_create (GgControlState *state, GgHttpPool *http);
void gg_order_issuer_destroy (GgOrderIssuer *self);

/** Compares the version that @p runner reports with the configuration and sends an order if one is
 * due. Blocks until the runner answers, for at most one second. */
void
gg_order_issuer_handle_report (GgOrderIssuer *self, const GgMember *runner, const char *version);
