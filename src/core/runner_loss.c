#include "core/runner_loss.h"

#include "core/fleet.h"

/* Time between two probes of a runner, while neither it nor another one answers. */
#define PROBE_INTERVAL_MS 300
/* A probe proves a loss only for so long after its start, and is repeated then. It must not be
 * shorter than PEER_USE_MS: in the pause of the peers' use that makes the runner lost, a probe
 * would be pending. */
#define PROOF_MS 1000
/* For so long after the peers' load of a runner rose, they use it. With a tick of the placement it
 * is a second, by which a runner that is lost may be replaced later. */
#define PEER_USE_MS 800

/* Load that stays or falls is no use: requests that hang at a dead runner remain until they time
 * out, and a peer whose own links are down reports no misses. */
static void
note_peers (GgRunnerLoss *self, const GgRunnerPeerUse *peers, uint64_t now_ms)
{
  gboolean has_risen
      = peers->n_requests > self->peer_requests || peers->token_layers > self->peer_token_layers;
  if (peers->n_misses > 0)
    self->peer_used_ms = 0;
  else if (has_risen)
    self->peer_used_ms = now_ms;
  self->peer_requests = peers->n_requests;
  self->peer_token_layers = peers->token_layers;
}

static gboolean
is_used_by_peers (const GgRunnerLoss *self, uint64_t now_ms)
{
  return self->peer_used_ms > 0 && now_ms - self->peer_used_ms < PEER_USE_MS;
}

void
gg_runner_loss_note_recovered (GgRunnerLoss *self)
{
  self->n_probed = 0;
  self->n_disproved = 0;
  self->is_proved = FALSE;
  self->is_lost = FALSE;
}

GgRunnerLossState
gg_runner_loss_update (GgRunnerLoss *self,
                       uint32_t n_failures,
                       const GgRunnerPeerUse *peers,
                       uint64_t now_ms)
{
  note_peers (self, peers, now_ms);
  if (n_failures < GG_FLEET_LOST_FAILURES || n_failures < self->n_disproved)
    gg_runner_loss_note_recovered (self);
  if (n_failures < GG_FLEET_LOST_FAILURES || n_failures == self->n_disproved)
    return GG_RUNNER_KEPT;
  gboolean is_proved = self->is_proved && now_ms - self->probed_ms < PROOF_MS;
  /* Requests with which peers try a lost runner again do not take back the orders given. */
  self->is_lost = self->is_lost || (is_proved && !is_used_by_peers (self, now_ms));
  if (self->is_lost)
    return GG_RUNNER_LOST;
  if (is_proved)
    return GG_RUNNER_KEPT;
  self->is_proved = FALSE;
  if (self->probed_ms > 0 && now_ms - self->probed_ms < PROBE_INTERVAL_MS)
    return GG_RUNNER_KEPT;
  self->n_probed = n_failures;
  self->probed_ms = now_ms;
  return GG_RUNNER_PROBED;
}

void
gg_runner_loss_note_probe (GgRunnerLoss *self, const GgRunnerLossProbe *probe)
{
  if (self->n_probed == 0)
    return; /* the runner has recovered since its start */
  if (probe->is_reached && !probe->is_restarted)
    self->n_disproved = self->n_probed;
  else if (probe->is_reached || probe->is_other_reached)
    self->is_proved = TRUE;
}
