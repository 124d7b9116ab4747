/** @file
 * Faults of a routing configuration that the router accepts, and the differences between two
 * configurations. */
#pragma once

#include "core/routing_config.h"

#include <glib.h>

typedef enum
{
  GG_CONFIG_DOCUMENT,
  GG_CONFIG_ROUTE,
  GG_CONFIG_SERVICE,
  GG_CONFIG_TEAM,
} GgConfigPlace;

/** Field of a route, service, team or of the limits. */
typedef enum
{
  GG_CONFIG_FIELD_NONE,
  GG_CONFIG_FIELD_NAME,
  GG_CONFIG_FIELD_HOST,
  GG_CONFIG_FIELD_PATH_PREFIX,
  GG_CONFIG_FIELD_KIND,
  GG_CONFIG_FIELD_SERVICES,
  GG_CONFIG_FIELD_TIMEOUT,
  GG_CONFIG_FIELD_LATENCY_TARGET,
  GG_CONFIG_FIELD_GAP_TARGET,
  GG_CONFIG_FIELD_PRIORITY,
  GG_CONFIG_FIELD_MAX_ATTEMPTS,
  GG_CONFIG_FIELD_IS_ANONYMOUS,
  GG_CONFIG_FIELD_IS_RESUMABLE,
  GG_CONFIG_FIELD_HEALTH_PATH,
  GG_CONFIG_FIELD_MAX_CONNECTIONS,
  GG_CONFIG_FIELD_MODEL,
  GG_CONFIG_FIELD_KEYS,
  GG_CONFIG_FIELD_MAX_HEAD_BYTES,
  GG_CONFIG_FIELD_MAX_BODY_BYTES,
  GG_CONFIG_FIELD_HEAD_TIMEOUT,
  GG_CONFIG_FIELD_IDLE_TIMEOUT,
  GG_CONFIG_FIELD_TEAMS, /**< Whether requests need the API key of a team. */
} GgConfigField;

typedef enum
{
  /* Visible only in the document. */
  GG_CONFIG_UNREADABLE,    /**< No JSON object. */
  GG_CONFIG_REFUSED,       /**< The router refuses the configuration for it. */
  GG_CONFIG_FIELD_IGNORED, /**< Of a wrong type, so that the router takes its default. */
  GG_CONFIG_KIND_UNKNOWN,
  GG_CONFIG_KEY_SHARED, /**< Belongs to two teams. */
  /* Faults of a decoded configuration. */
  GG_CONFIG_SERVICE_UNUSED,
  GG_CONFIG_SERVICE_REPEATED,
  GG_CONFIG_SERVICE_MISSING,
  GG_CONFIG_WEIGHTS_ZERO,
  GG_CONFIG_WEIGHTS_TOO_LARGE,
  GG_CONFIG_ROUTE_SHADOWED,
  GG_CONFIG_HOST_UNMATCHABLE,
  GG_CONFIG_PREFIX_INVALID,
  GG_CONFIG_LIMIT_ZERO,
  GG_CONFIG_TARGET_ABOVE_TIMEOUT,
  GG_CONFIG_REPEATS_NON_IDEMPOTENT,
  GG_CONFIG_GAP_UNREACHABLE,
  GG_CONFIG_BODY_TOO_LARGE,
  GG_CONFIG_TEAM_WITHOUT_KEY,
  GG_CONFIG_TEAMS_EMPTY, /**< Requests need the API key of a team, but there is none. */
} GgConfigFault;

/** One fault, which owns its strings. */
typedef struct
{
  GgConfigFault fault;
  GgConfigPlace place;
  GgConfigField field; /**< GG_CONFIG_FIELD_NONE if field_name says it. */
  char *field_name;    /**< As in the document; NULL if field says it. */
  char *name;          /**< Of the route, service or team; "" for the document. */
  char *value;         /**< "" if there is none to show. API keys appear as digests only. */
  char *detail; /**< What the value contradicts, or the form expected of it; NULL for none. */
} GgConfigFinding;

/** Returns an array that owns its GgConfigFinding. */
GPtrArray *gg_config_findings_create (void);

/** Adds a finding. Takes ownership of @p value and @p detail, which may be NULL; copies @p name. */
GgConfigFinding *gg_config_findings_add (GPtrArray *findings,
                                         GgConfigFault fault,
                                         GgConfigPlace place,
                                         const char *name,
                                         GgConfigField field,
                                         char *value,
                                         char *detail);

/** Adds the faults of a frozen configuration to @p findings. */
void gg_config_check (const GgRoutingConfig *config, GPtrArray *findings);

/** Returns a text that identifies an API key without disclosing it: "sha256:" and the first eight
 * digits of its SHA-256. Owned by the caller. */
char *gg_config_digest_key (const char *key);

typedef enum
{
  GG_CONFIG_KEY_REVOKED, /**< The team loses the key, whether or not another team gets it. */
  GG_CONFIG_REMOVED,
  GG_CONFIG_CHANGED,
  GG_CONFIG_ADDED,
  GG_CONFIG_KEY_ADDED,
} GgConfigChangeType;

/** One difference, which owns its strings. */
typedef struct
{
  GgConfigChangeType type;
  GgConfigPlace place;
  char *name;
  GgConfigField field; /**< Of a changed entry, or GG_CONFIG_FIELD_KEYS; else none. */
  char *before;        /**< NULL if there is no such value. */
  char *after;         /**< NULL if there is no such value. */
} GgConfigChange;

/** Compares two frozen configurations. Entries are the same if they have the same name; of several
 * with one name, the first ones are compared, then the second ones, and so on.
 * @return an array that owns its GgConfigChange: revoked keys first, then by place and name. */
GPtrArray *gg_config_compare (const GgRoutingConfig *before, const GgRoutingConfig *after);
