/** @file
 * Level-triggered orders that bring a runner to the configured model version.
 *
 * The fencing token is the generation of the configuration: it only increases and is written by
 * compare-and-swap in the platform's key-value service. A runner that does not check the token may
 * execute a delayed order of an issuer that was paused; the version in its next report then
 * differs from the configured one and the order is sent again. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** State of one issuer for one runner. */
typedef struct
{
  uint64_t sent_generation; /**< Fencing token of the last order; 0 if there is none. */
  uint64_t sent_at_ms;      /**< Monotonic time of the last order. */
  uint32_t attempts;        /**< Orders since the runner last had the configured version. */
} GgOrderState;

typedef enum
{
  GG_ORDER_NONE,    /**< The runner has the version or reports none, or an order is in flight. */
  GG_ORDER_SEND,    /**< Send an order with the given generation and version. */
  GG_ORDER_APPLIED, /**< The runner has the version after one or more orders. */
} GgOrderDecision;

/** Decides whether to send an order after a report of the runner.
 * @param reported version that the runner reports; NULL or empty if it reports none, in which case
 * it has no version to change and gets no order.
 * @param desired version in the configuration of @p generation. */
GgOrderDecision gg_order_decide (GgOrderState *self,
                                 const char *reported,
                                 const char *desired,
                                 uint64_t generation,
                                 uint64_t now_ms);
