/** @file
 * Port to the format of what the platform keeps in its store: the operators' configuration and the
 * runners' entries. */
#pragma once

#include "core/fleet.h"
#include "core/routing_config.h"

#include <glib.h>

#define GG_DIRECTORY_ERROR (gg_directory_error_quark ())
GQuark gg_directory_error_quark (void);

typedef enum
{
  GG_DIRECTORY_ERROR_INVALID, /**< Not a JSON object, or a field is missing or mistyped. */
} GgDirectoryError;

/** Key of the operators' configuration. */
const char *gg_directory_get_config_key (void);

/** Prefix of the keys of the runners' entries. */
const char *gg_directory_get_runner_prefix (void);

/** Decodes the configuration.
 * @return NULL with @p error set if it is invalid. */
GgRoutingConfig *gg_directory_decode_config (GBytes *value, GError **error);

/** Decodes a configuration in steps, so that a process with one thread can go on with its requests
 * in between: a configuration of 2,000 routes takes tens of milliseconds of a whole core. */
typedef struct _GgConfigDecoder GgConfigDecoder;

typedef enum
{
  GG_DECODE_MORE,
  GG_DECODE_DONE,
  GG_DECODE_INVALID,
} GgDecodeResult;

/** @param previous a configuration of which unchanged routes are taken, or NULL. */
GgConfigDecoder *gg_config_decoder_create (GBytes *value, GgRoutingConfig *previous);

/** NULL is allowed. */
void gg_config_decoder_destroy (GgConfigDecoder *self);

/** Goes on decoding.
 * @param n_routes decoded at most; sixteen unchanged ones count as one.
 * @param config_out set on GG_DECODE_DONE, owned by the caller.
 * @param error set on GG_DECODE_INVALID. */
GgDecodeResult gg_config_decoder_step (GgConfigDecoder *self,
                                       guint n_routes,
                                       GgRoutingConfig **config_out,
                                       GError **error);

/** Decodes the entry of one runner.
 * @return FALSE with @p error set if it describes no usable runner. On TRUE the caller clears
 * @p record_out with gg_runner_record_clear(). */
gboolean gg_directory_decode_runner (const char *key,
                                     GBytes *value,
                                     GgRunnerRecord *record_out,
                                     GError **error);

/** Returns the id of the runner whose entry has the key @p key, as a part of @p key. */
const char *gg_directory_get_runner_id (const char *key);
