/** @file
 * Declarations of services and teams, parsed from the published INI files. */
#pragma once

#include <glib.h>
#include <stdint.h>

#define GG_CONFIG_ERROR (gg_config_error_quark ())
GQuark gg_config_error_quark (void);

typedef enum
{
  GG_CONFIG_ERROR_SYNTAX,
  GG_CONFIG_ERROR_UNKNOWN_KEY,
  GG_CONFIG_ERROR_MISSING_KEY,
  GG_CONFIG_ERROR_VALUE,
  GG_CONFIG_ERROR_DUPLICATE, /**< Service or team declared twice; the error names both files. */
} GgConfigError;

typedef enum
{
  GG_SERVICE_MODEL, /**< Runners hold layer ranges of one model. */
  GG_SERVICE_PLAIN, /**< Each call is forwarded to one runner. */
} GgServiceKind;

/** One declared service; fields of the other kind are 0 or NULL. */
typedef struct
{
  char *name;
  GgServiceKind kind;
  uint32_t layers;
  char *version; /**< Model version that may be served. */
  uint32_t first_token_timeout_ms;
  uint32_t token_timeout_ms;
  uint32_t timeout_ms;
  char **idempotent_calls; /**< "METHOD /prefix" entries, NULL-terminated. */
  gboolean checks_fencing; /**< Its runners reject an order with an outdated fencing token. */
} GgService;

/** One declared team. */
typedef struct
{
  char *name;
  char *key_sha256;        /**< Lower-case hexadecimal SHA-256 of the bearer key. */
  double weight;           /**< Relative share under contention; above 0. */
  char **services;         /**< Services that the team may call, NULL-terminated. */
  uint32_t requests_per_s; /**< Rate limit over all entry instances; 0 for none. */
  uint32_t max_body_bytes;
} GgTeam;

/** Immutable, reference counted. */
typedef struct _GgConfig GgConfig;

/** Returns whether @p name is a valid name of a service, a team or a publisher's prefix: at most
 * 64 letters, digits, '.', '_' and '-', the first a letter or digit. */
gboolean gg_config_name_is_valid (const char *name);

/** Parses @p files (path to INI text, both const char *).
 * @return NULL on failure; @p error names file, section, key, value and the expected form. */
GgConfig *gg_config_create (GHashTable *files, GError **error);
GgConfig *gg_config_ref (GgConfig *self);
void gg_config_unref (GgConfig *self);

/** Lookups return NULL if there is none; results live as long as @p self. */
const GgService *gg_config_find_service (const GgConfig *self, const char *name);
const GgTeam *gg_config_find_team (const GgConfig *self, const char *name);
const GgTeam *gg_config_find_team_by_key (const GgConfig *self, const char *bearer_key);

guint gg_config_get_n_services (const GgConfig *self);
const GgService *gg_config_get_service (const GgConfig *self, guint i);
guint gg_config_get_n_teams (const GgConfig *self);
const GgTeam *gg_config_get_team (const GgConfig *self, guint i);

gboolean gg_team_may_call (const GgTeam *team, const char *service);

/** Returns whether "@p method @p path" is declared idempotent; undeclared calls are not. */
gboolean
gg_service_call_is_idempotent (const GgService *service, const char *method, const char *path);
