/** @file
 * Many concurrent callers of a cluster, each with its own prompt. */
#pragma once

#include "answer.h"
#include "cluster.h"
#include "prove.h"

typedef struct _GgCallers GgCallers;

/** Fetches the expected text of each caller's answer from instance 1, before any fault. */
GgCallers *gg_callers_create (GgCluster *cluster, guint n, uint32_t n_tokens);
void gg_callers_destroy (GgCallers *self);

/** Starts one thread per caller, at @p instance or, if it is negative, round-robin over all
 * instances, and waits until every caller has received its first token or failed.
 * @return FALSE if that took longer than 10 s. */
gboolean gg_callers_start (GgCallers *self, int instance);

/** Waits until all streams have ended and fails @p proof unless each caller received the complete
 * text of its own answer, and gg_lineage_check() passes for it. */
void gg_callers_finish (GgCallers *self, GgProof *proof);

/** Returns the longest pause between two tokens of any caller, in ms. */
uint64_t gg_callers_get_longest_pause_ms (const GgCallers *self);
