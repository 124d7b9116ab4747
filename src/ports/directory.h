/** @file
 * Port to what the platform keeps in its store: the configuration of the operators and the
 * entries of the runners. */
#pragma once

#include "core/fleet.h"
#include "core/routing_config.h"

#include <glib.h>

#define GG_DIRECTORY_ERROR (gg_directory_error_quark ())
GQuark gg_directory_error_quark (void);

typedef enum
{
  GG_DIRECTORY_ERROR_FORM, /**< Not JSON, or a field is missing or of another type. */
} GgDirectoryError;

/** Key under which the operators' configuration lies. */
const char *gg_directory_get_config_key (void);

/** Prefix of the keys under which runners register. */
const char *gg_directory_get_runner_prefix (void);

/** Decodes the configuration.
 * @return NULL with @p error set if it can't be read. */
GgRoutingConfig *gg_directory_decode_config (GBytes *value, GError **error);

/** Decodes the entry of one runner.
 * @return FALSE with @p error set if it names no runner that can be used. */
gboolean gg_directory_decode_runner (const char *key,
                                     GBytes *value,
                                     GgRunnerRecord *record_out,
                                     GError **error);

/** Returns the id of the runner whose entry lies under @p key, borrowed. */
const char *gg_directory_get_runner_id (const char *key);
