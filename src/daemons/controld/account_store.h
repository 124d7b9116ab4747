/** @file
 * Background thread that saves the account to the platform, or copies it to a peer during an
 * outage of the platform; also reads the accounts of all instances. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

#define GG_ACCOUNT_KEY_PREFIX "greengage/account/"

typedef struct _GgAccountStore GgAccountStore;

GgAccountStore *
gg_account_store_create (GgControlState *state, GgKv *kv, const GgSettings *settings);

/** Makes a final attempt to save, bounded in time, and joins the thread. Call after
 * gg_control_state_stop(). */
void gg_account_store_destroy (GgAccountStore *self);

/** Returns {"entries":[...],"gaps":["..."]} with the entries of all instances since
 * @p since_ms (wall clock); the caller frees it. Blocks for at most about a second. */
char *gg_account_store_read_all (GgControlState *state, GgKv *kv, uint64_t since_ms);
