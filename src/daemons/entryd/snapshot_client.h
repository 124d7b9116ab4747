/** @file
 * Client of the control process on this instance: polls snapshots of the configuration, the members
 * and the loads, and delivers reports.
 *
 * Snapshots are published by RCU. While the control process does not answer, the last snapshot
 * stays in use. */
#pragma once

#include "core/admission.h"
#include "core/config.h"
#include "core/route.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgSnapshotClient GgSnapshotClient;

typedef struct
{
  const char *instance;
  const char *data_centre;
  const char *control_address;
  uint64_t poll_ms;
  uint32_t remote_link_us; /**< One-way cost of a link to another data centre. */
  GgAdmission *admission;  /**< Receives the request rates of teams elsewhere; not owned. */
} GgSnapshotClientParams;

/** Starts the polling thread. */
GgSnapshotClient *gg_snapshot_client_create (const GgSnapshotClientParams *params);

/** Delivers pending reports, for at most about a second, and joins the thread. */
void gg_snapshot_client_destroy (GgSnapshotClient *self);

/** Returns a reference to the configuration in force, or NULL before the first snapshot. */
GgConfig *gg_snapshot_client_get_config (GgSnapshotClient *self);

/** Calls gg_route_choose() on the current snapshot. */
gboolean gg_snapshot_client_choose (GgSnapshotClient *self,
                                    const GgRouteQuery *query,
                                    GgRoutePlan *plan_out);

/** Returns the RPC address of the entry process whose instance name has @p instance_hash, owned
 * by the caller; NULL if none is known. */
char *gg_snapshot_client_find_peer (GgSnapshotClient *self, uint32_t instance_hash);

/** Returns references to the runners for which a probe is due. */
GPtrArray *gg_snapshot_client_list_probes (GgSnapshotClient *self, uint64_t now_ms);

/** Returns whether a configuration and members are known. */
gboolean gg_snapshot_client_is_ready (GgSnapshotClient *self);

/** Returns the time since the control process last answered, ms. */
uint64_t gg_snapshot_client_get_age_ms (GgSnapshotClient *self);

/** Returns the generation of the configuration in force; 0 for none. */
uint64_t gg_snapshot_client_get_generation (GgSnapshotClient *self);

/** Appends a JSON object with this process's state of the runners. */
void gg_snapshot_client_dump (GgSnapshotClient *self, GString *json_out);

/** Reports a leaving member to the control process without waiting for the next poll.
 * @param incarnation 0 for the one known to the control process. */
void
gg_snapshot_client_report_leaving (GgSnapshotClient *self, const char *id, uint64_t incarnation);

/** Queues an event for the account.
 * @param needs_person TRUE if a person must settle it. */
void gg_snapshot_client_report_event (GgSnapshotClient *self,
                                      const char *kind,
                                      const char *subject,
                                      const char *detail,
                                      gboolean needs_person);
