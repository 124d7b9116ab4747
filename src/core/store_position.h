/** @file
 * Positions in the log of the store's changes. The store gives out revisions again after it was
 * restored from a copy; the era that it states rises then. A position holds both, so that positions
 * of a later era are greater than all of an earlier one, and no two changes have the same. Outside
 * of the store's client a "revision" is a position. */
#pragma once

#include <stdint.h>

/** Bits of the revision. Numbers with up to 53 bits survive JSON, so there is room for 8191 eras.
 */
#define GG_STORE_REVISION_BITS 40

/** Greater than any revision that is given out. */
#define GG_STORE_REVISION_MAX ((1ULL << GG_STORE_REVISION_BITS) - 1)

static inline uint64_t
gg_store_position_make (uint64_t era, uint64_t revision)
{
  return era << GG_STORE_REVISION_BITS | (revision & GG_STORE_REVISION_MAX);
}

static inline uint64_t
gg_store_position_get_era (uint64_t position)
{
  return position >> GG_STORE_REVISION_BITS;
}

static inline uint64_t
gg_store_position_get_revision (uint64_t position)
{
  return position & GG_STORE_REVISION_MAX;
}
