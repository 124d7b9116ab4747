/** @file
 * Thread that saves the account to the platform, and to a peer while the platform is down;
 * reads the accounts of all instances. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

#define GG_ACCOUNT_KEY_PREFIX "greengage/account/"

typedef struct _GgAccountStore GgAccountStore;

GgAccountStore *
gg_account_store_create (GgControlState *state, GgKv *kv, const GgSettings *settings);

/** Joins the thread after a last, bounded attempt to save; call after
 * gg_control_state_stop(). */
void gg_account_store_destroy (GgAccountStore *self);

/** Returns {"entries":[...],"gaps":["..."]} with the entries of all instances since
 * @p since_ms (wall clock), owned by the caller. Blocks for at most about a second. */
char *gg_account_store_read_all (GgControlState *state, GgKv *kv, uint64_t since_ms);
