/** @file
 * Selection of a runner for a request to a plain service. */
#pragma once

#include "core/fleet.h"

typedef struct
{
  const GgFleet *fleet;
  const char *service;
  const char *data_centre;       /**< Preferred data centre. */
  const GgFleetRunner *excluded; /**< A runner to use only if there is no other, or NULL. */
  uint64_t now_ms;
  uint64_t boot_ms; /**< The same time by CLOCK_BOOTTIME. */
  uint32_t random;  /**< Random bits that choose among equally loaded runners. */
} GgPlainQuery;

/** Returns the usable runner with the least load in relation to its slots, borrowed, or NULL if
 * there is none.
 * @param is_full_out set to whether a runner was skipped because it has more requests than it can
 *   serve in time, or a rate limit that allows no request now. If NULL is returned, this holds for
 * all usable runners. */
GgFleetRunner *gg_plain_choose_runner (const GgPlainQuery *query, gboolean *is_full_out);
