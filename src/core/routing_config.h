/** @file
 * Routing configuration: routes by host and path, the services behind them, teams with their API
 * keys, and limits. A configuration is immutable once it is frozen. */
#pragma once

#include "core/engine_model.h"

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_REQUEST_IDEMPOTENT,     /**< May be executed more than once. */
  GG_REQUEST_NON_IDEMPOTENT, /**< Executed at most once per caller attempt. */
  GG_REQUEST_STREAMING,      /**< Answered by an event stream; executed at most once unless the
                              * route is resumable. */
} GgRequestKind;

/** Share of a route's requests that goes to one service, by weight. */
typedef struct
{
  char *service;
  uint32_t weight;
} GgServiceShare;

/** One route, which owns its strings and shares; reference counted, since configurations share the
 * routes that do not change between them. */
typedef struct
{
  int refs;
  char *name;
  char *host;        /**< Lower case, without a port. */
  char *path_prefix; /**< Starts and ends with a slash. */
  GgRequestKind kind;
  GgServiceShare *shares;
  guint n_shares;
  uint32_t timeout_ms;        /**< Maximum time until a request ends. */
  uint32_t latency_target_ms; /**< Latency target; for streams, of the first event. */
  uint32_t gap_target_ms;     /**< Target for the longest gap between two events of a stream. */
  uint32_t priority;          /**< 0 is the highest. */
  uint32_t max_attempts;      /**< Maximum sends per caller attempt that may have been executed. */
  gboolean is_anonymous;      /**< No API key is needed. */
  gboolean is_resumable;      /**< Another runner may continue a stream after its last event. */
} GgCallerRoute;

GgCallerRoute *gg_caller_route_create (void);
void gg_caller_route_add_share (GgCallerRoute *self, const char *service, uint32_t weight);
GgCallerRoute *gg_caller_route_ref (GgCallerRoute *self);
void gg_caller_route_unref (GgCallerRoute *self);

/** One service, which owns its strings and its model. */
typedef struct
{
  char *name;
  char *health_path;
  uint32_t max_connections; /**< Per runner, over all callers. */
  GgEngineModel *model;     /**< NULL for a plain service. */
} GgRoutedService;

GgRoutedService *gg_routed_service_create (const char *name);
void gg_routed_service_destroy (GgRoutedService *self);

typedef struct
{
  char *name;
  uint32_t priority; /**< Overrides the route's priority; GG_TEAM_NO_PRIORITY for none. */
} GgKeyedTeam;

#define GG_TEAM_NO_PRIORITY G_MAXUINT32

/** Limits on the size and duration of a caller's request. */
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

/** Takes ownership of the route or service. */
void gg_routing_config_add_route (GgRoutingConfig *self, GgCallerRoute *route);
/** Keeps the text that the configuration is decoded from. */
void gg_routing_config_set_text (GgRoutingConfig *self, GBytes *text);
/** Records that the route that was added last was decoded from a part of the text. */
void gg_routing_config_note_route_text (GgRoutingConfig *self, size_t offset, size_t size_bytes);
/** Returns the route that was decoded from the same bytes, borrowed, or NULL.
 * @param at_out position at which it is expected, and at which the next one is then. */
GgCallerRoute *gg_routing_config_find_same_route (GgRoutingConfig *self,
                                                  const char *bytes,
                                                  size_t size_bytes,
                                                  guint *at_out);
void gg_routing_config_add_service (GgRoutingConfig *self, GgRoutedService *service);
/** Makes requests need the API key of a team, unless their route is anonymous. */
void gg_routing_config_require_keys (GgRoutingConfig *self);
/** Adds a team, and makes requests need a key. */
void gg_routing_config_add_team (GgRoutingConfig *self, const char *name, uint32_t priority);
/** Adds an API key to the team that was added last. */
void gg_routing_config_add_key (GgRoutingConfig *self, const char *key);
/** Sorts the routes, the longest prefix first; call it once, after the last addition. */
void gg_routing_config_freeze (GgRoutingConfig *self);

uint64_t gg_routing_config_get_version (const GgRoutingConfig *self);
const GgCallerLimits *gg_routing_config_get_limits (const GgRoutingConfig *self);

/** Returns the route of that host whose path prefix is the longest one that @p target starts with,
 * or NULL. @p host may include a port, and @p target a query. */
const GgCallerRoute *
gg_routing_config_find_route (const GgRoutingConfig *self, const char *host, const char *target);

/** Returns the service for a request on @p route, chosen by weight from the random bits
 * @p random, or NULL if the route has none. */
const GgRoutedService *gg_routing_config_choose_service (const GgRoutingConfig *self,
                                                         const GgCallerRoute *route,
                                                         uint32_t random);

/** Returns the team that owns the API key @p key, or NULL. */
const GgKeyedTeam *gg_routing_config_find_team (const GgRoutingConfig *self, const char *key);

/** Returns whether requests need the API key of a team, unless their route is anonymous. Without
 * such a team all of them are refused. */
gboolean gg_routing_config_requires_keys (const GgRoutingConfig *self);

const GgRoutedService *gg_routing_config_find_service (const GgRoutingConfig *self,
                                                       const char *name);
guint gg_routing_config_count_services (const GgRoutingConfig *self);
const GgRoutedService *gg_routing_config_get_service (const GgRoutingConfig *self, guint i);
guint gg_routing_config_count_routes (const GgRoutingConfig *self);

/** Returns the shortest gap target of the routes to a service in milliseconds, 0 if none has one.
 * It looks at each route. */
uint32_t gg_routing_config_get_gap_target_ms (const GgRoutingConfig *self, const char *service);

/** Returns the routes, borrowed, host by host in alphabetical order and for each host in the order
 * in which they are tried; the caller owns the array. */
GPtrArray *gg_routing_config_list_routes (const GgRoutingConfig *self);
guint gg_routing_config_count_teams (const GgRoutingConfig *self);
const GgKeyedTeam *gg_routing_config_get_team (const GgRoutingConfig *self, guint i);
/** Returns the table of API key (char *) to GgKeyedTeam, owned by @p self; do not modify it. */
GHashTable *gg_routing_config_get_keys (const GgRoutingConfig *self);
