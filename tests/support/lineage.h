/** @file
 * Checks of the lineages of an answer, from the records of the engines. A lineage is the sequence
 * of steps of one attempt at one engine. */
#pragma once

#include "cluster.h"
#include "prove.h"

/** Fails @p proof unless, for positions 0 to @p n_positions - 1 of @p request:
 * - each lineage (attempt) has one engine and one epoch, and ran its positions from 0 on, and every
 *   layer of its range at each of them, once and in order;
 * - of the lineages of one range, the last one ran all positions, and each earlier one got no step
 *   for a position after the one at which its successor took over, and, once the successor had its
 *   first step, no repeated step for any position;
 * - along the lineages that produced the answer, each range ran after the range before it and each
 *   position after the position before it.
 * @return the number of lineages. */
guint
gg_lineage_check (GgCluster *cluster, const char *request, uint32_t n_positions, GgProof *proof);

/** Returns the engine of the latest lineage of @p request for a layer range (0 to 2), or -1. */
int gg_lineage_find_engine (GgCluster *cluster, const char *request, uint32_t range);

/** Returns the calls to the engines for @p request as text, owned by the caller: steps by time,
 * then cancels by range, each with layers, attempt, epoch, position, number of inputs, status. */
char *gg_lineage_print_calls (GgCluster *cluster, const char *request);

/** Waits until the engines have received @p n cancels for lineages of @p request; the entry process
 * sends them asynchronously.
 * @return FALSE if that took longer than 5 s. */
gboolean gg_lineage_wait_cancels (GgCluster *cluster, const char *request, guint n);
