/** @file
 * Lineages of an answer, from what the engines recorded. */
#pragma once

#include "cluster.h"
#include "prove.h"

/** Fails @p proof unless, for positions 0 to @p n_positions - 1 of @p request:
 * - each lineage (attempt) is at one engine and has one epoch, and ran its positions from 0 on
 *   once, in order, and every layer of its range once, in order;
 * - of the lineages of one range, the last one ran all positions, and each earlier one was stepped
 *   at no position after the one at which its successor took over, nor again at any position once
 *   the successor had been stepped;
 * - along the lineages that produced the answer, each range ran after the range before it and each
 *   position after the position before it.
 * @return the number of lineages. */
guint
gg_lineage_check (GgCluster *cluster, const char *request, uint32_t n_positions, GgProof *proof);

/** Engine of the newest lineage of @p request for a range of layers (0 to 2), or -1. */
int gg_lineage_find_engine (GgCluster *cluster, const char *request, uint32_t range);

/** Calls of the engines for @p request as text, in the order of their steps, then cancels by range:
 * layers, attempt, epoch, position, number of inputs, status. */
char *gg_lineage_print_calls (GgCluster *cluster, const char *request);

/** Waits until the engines have received @p n cancels for lineages of @p request, which the entry
 * process sends without waiting for them. */
gboolean gg_lineage_wait_cancels (GgCluster *cluster, const char *request, guint n);
