/** @file
 * Many callers of a cluster at once, each with a prompt of its own. */
#pragma once

#include "answer.h"
#include "cluster.h"
#include "prove.h"

typedef struct _GgCallers GgCallers;

/** Learns the undisturbed text of each caller's answer at instance 1. */
GgCallers *gg_callers_create (GgCluster *cluster, guint n, uint32_t n_tokens);
void gg_callers_destroy (GgCallers *self);

/** Starts one thread per caller, at @p instance or, if it is negative, at each in turn, and waits
 * until every caller has its first token. */
gboolean gg_callers_start (GgCallers *self, int instance);

/** Waits for the ends of all streams and fails @p proof unless each caller has the whole text of
 * its own answer, and its layers ran once. */
void gg_callers_finish (GgCallers *self, GgProof *proof);

/** Returns the longest pause between two tokens of one caller, ms. */
uint64_t gg_callers_get_longest_pause_ms (const GgCallers *self);
