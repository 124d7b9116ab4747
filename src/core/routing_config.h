/** @file
 * What callers may ask for: routes by host and path, the services behind them, teams and their
 * keys, limits. A configuration is immutable once it is sealed. */
#pragma once

#include "core/engine_model.h"

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_REQUEST_IDEMPOTENT,     /**< May run more than once. */
  GG_REQUEST_NON_IDEMPOTENT, /**< At most one run for each caller attempt. */
  GG_REQUEST_STREAMING,      /**< Answered by events; one run unless the route is resumable. */
} GgRequestKind;

/** Share of a route's requests that one service gets. */
typedef struct
{
  char *service;
  uint32_t weight;
} GgServiceShare;

/** One route. Strings and shares are owned by it. */
typedef struct
{
  char *name;
  char *host;        /**< Lower case, without a port. */
  char *path_prefix; /**< Begins and ends with a slash. */
  GgRequestKind kind;
  GgServiceShare *shares;
  guint n_shares;
  uint32_t timeout_ms;    /**< Longest time that a caller is kept waiting. */
  uint32_t goal_ms;       /**< Latency objective; for streams of the first event. */
  uint32_t gap_target_ms; /**< Longest pause between two events that is still on time. */
  uint32_t priority;      /**< 0 is the highest. */
  uint32_t max_attempts;  /**< Runners to which one caller attempt may be sent. */
  gboolean is_anonymous;  /**< No key is needed. */
  gboolean is_resumable;  /**< A stream may go on at another runner after its last event. */
} GgCallerRoute;

GgCallerRoute *gg_caller_route_create (void);
void gg_caller_route_add_share (GgCallerRoute *self, const char *service, uint32_t weight);
void gg_caller_route_destroy (GgCallerRoute *self);

/** One service. Strings and the model are owned by it. */
typedef struct
{
  char *name;
  char *health_path;
  uint32_t max_connections; /**< Per runner, from all callers together. */
  GgEngineModel *model;     /**< NULL for a plain service. */
} GgRoutedService;

GgRoutedService *gg_routed_service_create (const char *name);
void gg_routed_service_destroy (GgRoutedService *self);

typedef struct
{
  char *name;
  uint32_t priority; /**< Goes before the route's; GG_TEAM_NO_PRIORITY if there is none. */
} GgKeyedTeam;

#define GG_TEAM_NO_PRIORITY G_MAXUINT32

/** What a caller may send and how long it may take. */
typedef struct
{
  uint64_t max_head_bytes;
  uint64_t max_body_bytes;
  uint64_t head_timeout_ms;
  uint64_t idle_timeout_ms;
} GgCallerLimits;

typedef struct _GgRoutingConfig GgRoutingConfig;

GgRoutingConfig *gg_routing_config_create (uint64_t version, const GgCallerLimits *limits);
GgRoutingConfig *gg_routing_config_ref (GgRoutingConfig *self);
void gg_routing_config_unref (GgRoutingConfig *self);

/** The configuration takes the route, the service. */
void gg_routing_config_add_route (GgRoutingConfig *self, GgCallerRoute *route);
void gg_routing_config_add_service (GgRoutingConfig *self, GgRoutedService *service);
void gg_routing_config_add_team (GgRoutingConfig *self, const char *name, uint32_t priority);
/** Adds a key of the team that was added last. */
void gg_routing_config_add_key (GgRoutingConfig *self, const char *key);
/** Orders the routes; call it once, after the last addition. */
void gg_routing_config_seal (GgRoutingConfig *self);

uint64_t gg_routing_config_get_version (const GgRoutingConfig *self);
const GgCallerLimits *gg_routing_config_get_limits (const GgRoutingConfig *self);

/** Returns the route of that host whose prefix is the longest that begins the path of
 * @p target, or NULL. @p host may hold a port. */
const GgCallerRoute *
gg_routing_config_match (const GgRoutingConfig *self, const char *host, const char *target);

/** Returns the service that @p route gives a request with these random bits, or NULL. */
const GgRoutedService *
gg_routing_config_pick (const GgRoutingConfig *self, const GgCallerRoute *route, uint32_t random);

/** Returns the team that holds @p key, or NULL. */
const GgKeyedTeam *gg_routing_config_find_team (const GgRoutingConfig *self, const char *key);

/** Whether the configuration has teams, so that requests need a key. */
gboolean gg_routing_config_has_teams (const GgRoutingConfig *self);

const GgRoutedService *gg_routing_config_find_service (const GgRoutingConfig *self,
                                                       const char *name);
guint gg_routing_config_count_services (const GgRoutingConfig *self);
const GgRoutedService *gg_routing_config_get_service (const GgRoutingConfig *self, guint i);
guint gg_routing_config_count_routes (const GgRoutingConfig *self);
