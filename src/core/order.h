/** @file
 * Level-triggered orders that bring a runner to the model version in force.
 *
 * The fencing number is the generation of the configuration: it only grows and is written by
 * compare-and-swap in the platform's service. A runner that ignores the number may follow a late
 * order of an issuer that was paused; the version in its next report then differs and the order
 * is given again. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** What one issuer knows of one runner. */
typedef struct
{
  uint64_t sent_generation; /**< Fencing number of the last order; 0 if there is none. */
  uint64_t sent_at_ms;      /**< Monotonic. */
  uint32_t attempts;        /**< Orders since the runner last had the version in force. */
} GgOrderState;

typedef enum
{
  GG_ORDER_NONE,    /**< The runner has the version, or an order is on its way. */
  GG_ORDER_SEND,    /**< Send an order with the given generation and version. */
  GG_ORDER_APPLIED, /**< The runner has the version after orders were sent. */
} GgOrderDecision;

/** Decides after a report of the runner.
 * @param reported version that the runner reports; NULL or empty if it reports none, which
 *   counts as having no version to change.
 * @param desired version in the configuration of @p generation. */
GgOrderDecision gg_order_decide (GgOrderState *self,
                                 const char *reported,
                                 const char *desired,
                                 uint64_t generation,
                                 uint64_t now_ms);
