/** @file
 * State shared by the components of greengage-routerd. The process has one thread: all components
 * run in callbacks of the event loop, so nothing here is locked. */
#pragma once

#include "base/settings.h"
#include "core/duration_window.h"
#include "core/fleet.h"
#include "core/outage_grace.h"
#include "core/return_time.h"
#include "core/routing_config.h"
#include "core/send_budget.h"
#include "core/urgency.h"
#include "loop/client.h"
#include "loop/datagram.h"
#include "loop/loop.h"
#include "loop/server.h"
#include "ports/store.h"

/** How often the components that wait for the end of a store outage check for it. */
#define GG_STORE_RECOVERY_CHECK_MS 100

typedef struct _GgRequestQueue GgRequestQueue;
typedef struct _GgStallDetector GgStallDetector;
typedef struct _GgDelegatedWatch GgDelegatedWatch;
typedef struct _GgQuarantineExchange GgQuarantineExchange;
typedef struct _GgLimitExchange GgLimitExchange;
typedef struct _GgLeavingExchange GgLeavingExchange;
typedef struct _GgLinkMonitor GgLinkMonitor;
typedef struct _GgLinkExchange GgLinkExchange;
typedef struct _GgZoneBalancer GgZoneBalancer;
typedef struct _GgAnswerMemory GgAnswerMemory;
typedef struct _GgClientLimits GgClientLimits;
typedef struct _GgTeamShares GgTeamShares;

typedef struct
{
  GgLoop *loop;
  GgLoopClient *client;
  GgStore *store;
  const GgSettings *settings;
  const char *instance;
  const char *data_centre;
  GgFleet *fleet;
  GgRoutingConfig *config;        /**< NULL until the first one is known. */
  uint64_t config_fresh_boot_ms;  /**< The configuration was the newest one at this time at least
                                   * (CLOCK_BOOTTIME). */
  uint64_t runners_fresh_boot_ms; /**< All changes of the runners up to this time are known
                                   * (CLOCK_BOOTTIME); 0 for never. */
  gboolean is_store_unavailable; /**< The store refuses or does not answer. Only the configuration's
                                  * watcher keeps trying; the others wait for its success. */
  GgOutageGrace outage_grace;    /**< Of the store, as all watches together show. */
  uint64_t key_age_limit_ms;     /**< Requests with a key are refused if the configuration was last
                                  * proven longer ago than this; 0: never. */
  uint64_t started_ms;           /**< When the process started (monotonic). */
  uint64_t first_send_ms;   /**< When the first request was sent to a model runner (monotonic); 0
                             * before that. */
  GHashTable *budgets;      /**< Service -> GgSendBudget. */
  GHashTable *durations;    /**< Route -> GgDurationWindow. */
  uint32_t n_instances;     /**< Active instances, this one included; 0 until known. */
  GHashTable *urgencies;    /**< Service -> GgUrgency. */
  GHashTable *return_times; /**< Service -> GgReturnTime. */
  GgTeamShares *team_shares;
  GgZoneBalancer *zone_balancer;
  GgClientLimits *client_limits;
  GgAnswerMemory *answer_memory;
  GgRequestQueue *request_queue;
  GgStallDetector *stall_detector;
  GgDelegatedWatch *delegated_watch; /**< NULL until its components are created. */
  GgQuarantineExchange *quarantine_exchange;
  GgLimitExchange *limit_exchange;
  GgLeavingExchange *leaving_exchange;
  GgLinkMonitor *link_monitor;
  GgLinkExchange *link_exchange;
  guint n_handed_over;           /**< Requests that peers have handed over, in progress here. */
  GgDatagramSocket *peer_socket; /**< To and from the other instances. */
  GgLoopServer *caller_server;
  GgLoopServer *peer_server; /**< Documents for peers, and requests that they hand over. */
  gboolean has_runner_list;  /**< The runners have been listed at least once. */
  gboolean is_registered;    /**< This instance is registered in the store, or is about to be. */
  gboolean is_stopping;      /**< No longer ready; requests that still arrive are served. */
  gboolean is_refusing;      /**< Too late in the stop for any new request. */
  uint64_t stop_end_ms;      /**< Open requests are ended then; 0 unless the process stops. */
} GgRouter;

/** Returns the retry budget of a service. */
GgSendBudget *gg_router_get_budget (GgRouter *self, const char *service);

/** Returns the recent requests of a service by priority. */
GgUrgency *gg_router_get_urgency (GgRouter *self, const char *service);

/** Returns the recent admissions and refusals of a service. */
GgReturnTime *gg_router_get_return_time (GgRouter *self, const char *service);

/** Sets how many instances share the retry budgets. */
void gg_router_set_instances (GgRouter *self, uint32_t n_instances);

/** Puts a configuration in force if it is newer than the current one; takes the reference. */
void gg_router_apply_config (GgRouter *self, GgRoutingConfig *config);

/** Whether requests with a key may be accepted now. */
gboolean gg_router_has_fresh_keys (const GgRouter *self);

/** Records how long a request of a route took that was answered, or ran into its time limit. */
void gg_router_note_duration (GgRouter *self, const char *route, uint64_t duration_ms);

/** Returns whether a request that arrives now is likely to end before this process does. Where
 * little is known, one that may run only once is expected to take as long as it can.
 * @param limit_ms by which it ends in any case. */
gboolean
gg_router_has_time_for (const GgRouter *self, const GgCallerRoute *route, uint64_t limit_ms);

/** Whether the platform's balancer should send callers here. */
gboolean gg_router_is_ready (const GgRouter *self);
