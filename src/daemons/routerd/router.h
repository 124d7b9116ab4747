/** @file
 * State that the parts of greengage-routerd share. The process has one thread: every part runs
 * in callbacks of the event loop, so nothing here is locked. */
#pragma once

#include "base/settings.h"
#include "core/fleet.h"
#include "core/routing_config.h"
#include "core/send_budget.h"
#include "loop/client.h"
#include "loop/datagram.h"
#include "loop/loop.h"
#include "loop/server.h"
#include "ports/store.h"

/** How often the parts that wait for the store look whether it is back. */
#define GG_STORE_AWAY_CHECK_MS 100

typedef struct _GgWaitingRoom GgWaitingRoom;
typedef struct _GgStallWatch GgStallWatch;
typedef struct _GgDelegatedWatch GgDelegatedWatch;

typedef struct
{
  GgLoop *loop;
  GgLoopClient *client;
  GgStore *store;
  const GgSettings *settings;
  const char *instance;
  const char *data_centre;
  GgFleet *fleet;
  GgRoutingConfig *config;       /**< NULL until the first one is known. */
  uint64_t config_fresh_boot_ms; /**< The configuration was the newest one at this time at least
                                  * (CLOCK_BOOTTIME). */
  gboolean is_store_away;    /**< The store refuses or does not answer. The configuration's follower
                              * goes on asking; everybody else waits for it. */
  uint64_t key_age_limit_ms; /**< Requests with a key are refused above this age; 0: never. */
  uint64_t started_ms;       /**< When the process started (monotonic). */
  GHashTable *budgets;       /**< Service -> GgSendBudget. */
  uint32_t n_instances;      /**< Live instances, this one included; 0 until they are known. */
  GgWaitingRoom *waiting_room;
  GgStallWatch *stall_watch;
  GgDelegatedWatch *store_feed;  /**< NULL until its parts are there. */
  GgDatagramSocket *peer_socket; /**< To and from the other instances. */
  GgLoopServer *caller_server;
  gboolean has_runners; /**< The runners were listed once. */
  gboolean is_stopping; /**< Not ready any more; requests that still come are served. */
  gboolean is_refusing; /**< Too late in the stop for a request to be served whole. */
} GgRouter;

/** Returns the budget of repeated sends to a service. */
GgSendBudget *gg_router_get_budget (GgRouter *self, const char *service);

/** Sets how many instances share the budgets. */
void gg_router_set_instances (GgRouter *self, uint32_t n_instances);

/** Takes over a configuration if it is newer than the present one; takes the reference. */
void gg_router_apply_config (GgRouter *self, GgRoutingConfig *config);

/** Whether requests with a key may be accepted now. */
gboolean gg_router_has_fresh_keys (const GgRouter *self);

/** Whether callers should be sent here. */
gboolean gg_router_is_ready (const GgRouter *self);
