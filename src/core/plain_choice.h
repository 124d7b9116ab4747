/** @file
 * Choice of a runner for a request of a plain service. */
#pragma once

#include "core/fleet.h"

typedef struct
{
  const GgFleet *fleet;
  const char *service;
  const char *data_centre;       /**< Preferred among equals. */
  const GgFleetRunner *excluded; /**< A runner to use only if there is no other, or NULL. */
  uint64_t now_ms;
  uint32_t random; /**< Spreads equals. */
} GgPlainQuery;

/** Returns the usable runner with the least work for its size, borrowed, or NULL if there is
 * none. @p is_full_out tells that runners exist and each has more work than it can queue. */
GgFleetRunner *gg_plain_choose (const GgPlainQuery *query, gboolean *is_full_out);
