/** @file
 * Health of this instance's own links to the runners: whether missing answers are the fault of the
 * runners, or of the network between them and this instance.
 *
 * A miss says something about a link, not about the runner alone. It counts against the runner only
 * once this instance has received bytes of another one afterwards. If none answers at all, the
 * links are in doubt; they count as down once probes of several runners have failed and a peer
 * reports that it has received bytes of runners meanwhile. Without such a report, the runners may
 * be down. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_LINKS_UP,    /**< Bytes of a runner were received recently, or nothing is awaited. */
  GG_LINKS_DOUBT, /**< None were received for a while, though several runners should have answered.
                   */
  GG_LINKS_DOWN,  /**< In addition probes have failed and a peer reaches runners. */
} GgLinkState;

typedef struct _GgLinkHealth GgLinkHealth;

GgLinkHealth *gg_link_health_create (void);
void gg_link_health_destroy (GgLinkHealth *self);

/** Records that an answer of a runner is awaited from now on. */
void gg_link_health_note_sent (GgLinkHealth *self, const char *service, uint64_t now_ms);

/** Records that an answer is no longer awaited: it has ended, or was given up. */
void gg_link_health_note_ended (GgLinkHealth *self, const char *service);

/** Records bytes of a runner: the links to it are up. */
void gg_link_health_note_received (GgLinkHealth *self, const char *service, uint64_t now_ms);

/** Records that a runner could not be reached, or closed the connection without an answer.
 * @param since_ms when the attempt began: bytes received since then show that the links are up. */
void gg_link_health_note_missed (GgLinkHealth *self,
                                 const char *service,
                                 const char *runner_id,
                                 uint64_t since_ms,
                                 uint64_t now_ms);

/** Records that a probe of a runner that was sent at @p since_ms had no answer. */
void gg_link_health_note_probe_failed (GgLinkHealth *self,
                                       const char *service,
                                       const char *runner_id,
                                       uint64_t since_ms,
                                       uint64_t now_ms);

/** Records that a peer has received bytes of a runner of a service.
 * @param received_age_ms how long ago, transmission included. */
void gg_link_health_note_peer_received (GgLinkHealth *self,
                                        const char *service,
                                        uint64_t received_age_ms,
                                        uint64_t now_ms);

/** Returns the state of the links to the runners of a service; of all links for NULL. The links to
 * a service are down if all links are. */
GgLinkState
gg_link_health_get_state (const GgLinkHealth *self, const char *service, uint64_t now_ms);

/** Returns how long ago bytes of a runner of the service were received; G_MAXUINT64 for never. */
uint64_t
gg_link_health_get_received_age_ms (const GgLinkHealth *self, const char *service, uint64_t now_ms);

/** Returns whether sends to or probes of runners have failed since one last answered; of a
 * service, or of all for NULL. */
gboolean
gg_link_health_has_failures (const GgLinkHealth *self, const char *service, uint64_t now_ms);

/** Returns whether any answer is awaited. */
gboolean gg_link_health_is_awaiting (const GgLinkHealth *self);

/** Returns whether a miss at a runner of a service at @p missed_ms is evidence against that runner:
 * this instance has received bytes of a runner later, and the links are not in doubt.
 * @param service NULL to judge by all links. */
gboolean gg_link_health_is_runner_at_fault (const GgLinkHealth *self,
                                            const char *service,
                                            uint64_t missed_ms,
                                            uint64_t now_ms);
