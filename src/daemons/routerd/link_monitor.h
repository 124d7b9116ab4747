/** @file
 * Watches this instance's links to the runners (core/link_health.h). In doubt it probes runners and
 * queries the peers (link_exchange.h); otherwise it causes no traffic. */
#pragma once

#include "core/link_health.h"
#include "daemons/routerd/router.h"

GgLinkMonitor *gg_link_monitor_create (GgRouter *router);
void gg_link_monitor_destroy (GgLinkMonitor *self);

/** Records that an answer of a runner of @p service is awaited, or no longer awaited. The name is
 * that of the request's configuration, since a runner's entry may change in the meantime. */
void gg_link_monitor_note_sent (GgLinkMonitor *self, const char *service);
void gg_link_monitor_note_ended (GgLinkMonitor *self, const char *service);

/** Records bytes from @p runner. */
void gg_link_monitor_note_received (GgLinkMonitor *self, const GgFleetRunner *runner);

/** Records that @p runner could not be reached, or closed without an answer.
 * @param since_ms when the attempt began, or now if it was answered in part. */
void
gg_link_monitor_note_missed (GgLinkMonitor *self, const GgFleetRunner *runner, uint64_t since_ms);

/** Records that a peer has received bytes of a runner of a service. */
void gg_link_monitor_note_peer_received (GgLinkMonitor *self,
                                         const char *service,
                                         uint64_t received_age_ms);

/** Returns the state of the links to the runners of a service; of all links for NULL. */
GgLinkState gg_link_monitor_get_state (const GgLinkMonitor *self, const char *service);

/** Returns how long ago bytes of a runner of the service were received; G_MAXUINT64 for never. */
uint64_t gg_link_monitor_get_received_age_ms (const GgLinkMonitor *self, const char *service);

/** Probes a runner of a service unless bytes of one were received within the last few hundred
 * milliseconds, so that an idle instance can soon tell a peer whether it reaches them. */
void gg_link_monitor_refresh (GgLinkMonitor *self, const char *service);

/** Returns whether a miss at a runner of a service at @p missed_ms is evidence against it. */
gboolean gg_link_monitor_is_runner_at_fault (const GgLinkMonitor *self,
                                             const char *service,
                                             uint64_t missed_ms);

/** Returns whether a runner may be probed while there is a configuration: not one that is leaving,
 * has named a time without requests, or whose service is not configured. */
gboolean gg_link_monitor_may_probe (const GgLinkMonitor *self, const GgFleetRunner *runner);

/** Builds a probe of such a runner, owned by the caller: the request for its report, or its health
 * check. */
GgMessageHead *gg_link_monitor_build_probe (const GgLinkMonitor *self, const GgFleetRunner *runner);
