/** @file
 * Gives orders to runners whose reported model version is not the one in force. Thread-safe. */
#pragma once

#include "adapters/http/http_pool.h"
#include "daemons/controld/control_state.h"

typedef struct _GgOrderIssuer GgOrderIssuer;

/** @param http not owned. */
GgOrderIssuer *gg_order_issuer_create (GgControlState *state, GgHttpPool *http);
void gg_order_issuer_destroy (GgOrderIssuer *self);

/** Compares the version that @p runner reports with the configuration and sends an order if it
 * is due; returns after the runner's answer or a bound of one second. */
void gg_order_issuer_take_report (GgOrderIssuer *self, const GgMember *runner, const char *version);
