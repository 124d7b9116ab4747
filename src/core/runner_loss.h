/** @file
 * Whether a runner whose entry still exists is lost, so that its layers are to be loaded elsewhere.
 *
 * Failures of requests alone are no proof: those that were counted while this instance was cut off
 * from runners remain after the links are back, and while open connections live on and new ones
 * fail, the links do not count as being in doubt. A runner is lost only if a probe over a new
 * connection fails while another runner, probed at the same time, answers, and if peers do not
 * go on giving it requests without misses: then only the links between it and this instance have
 * failed. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Evidence about one runner; all zero at first. */
typedef struct
{
  uint32_t n_disproved; /**< Failures that an answer to a probe has shown to be no loss. */
  uint32_t n_probed;  /**< Failures at the start of the latest probe; 0: none since it recovered. */
  uint64_t probed_ms; /**< Start of the latest probe (monotonic); 0 for none. */
  gboolean is_proved; /**< By a probe, for the failures since. */
  gboolean is_lost;   /**< It was, and has not succeeded since. */

  uint32_t peer_requests; /**< As the peers reported last. */
  uint64_t peer_token_layers;
  uint64_t peer_used_ms; /**< When one of these last rose without misses; 0 for never. */
} GgRunnerLoss;

typedef enum
{
  GG_RUNNER_KEPT,   /**< Not lost, as far as is known. */
  GG_RUNNER_PROBED, /**< A probe of it and of another runner is to be sent now. */
  GG_RUNNER_LOST,
} GgRunnerLossState;

/** What a probe of a runner showed. */
typedef struct
{
  gboolean is_reached;       /**< The runner answered. */
  gboolean is_restarted;     /**< It did, as another process or without the layers of its entry. */
  gboolean is_other_reached; /**< The runner that was probed at the same time answered, or there was
                              * none to probe. */
} GgRunnerLossProbe;

/** What other instances report of a runner, summed up. */
typedef struct
{
  uint32_t n_requests;   /**< Requests that they have given to it. */
  uint64_t token_layers; /**< Their request memory. */
  uint32_t n_misses;     /**< Recent misses. */
} GgRunnerPeerUse;

/** Decides on a runner with a number of consecutive failures. After GG_RUNNER_PROBED the caller
 * sends a probe. */
GgRunnerLossState gg_runner_loss_update (GgRunnerLoss *self,
                                         uint32_t n_failures,
                                         const GgRunnerPeerUse *peers,
                                         uint64_t now_ms);

/** Records that the runner has fewer consecutive failures than GG_FLEET_LOST_FAILURES again: what
 * was known of them no longer counts, also if no decision is made before it fails anew. */
void gg_runner_loss_note_recovered (GgRunnerLoss *self);

/** Records the result of the latest probe. An answer says nothing of failures since the start of
 * the probe; a probe from before the runner recovered says nothing. */
void gg_runner_loss_note_probe (GgRunnerLoss *self, const GgRunnerLossProbe *probe);
