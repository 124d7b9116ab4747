/** @file
 * Validated INI settings of a daemon.
 *
 * A daemon declares its settings in one table of GgSetting; loading rejects unknown sections
 * and keys, and invalid values. An error message gives file, section, key, value and the expected
 * value. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_SETTING_STRING,
  GG_SETTING_UINT,
  GG_SETTING_DECIMAL, /**< Not negative; may have a fraction. For limits that may be a share of
                       * something. */
  GG_SETTING_BOOLEAN,
  GG_SETTING_ADDRESS,      /**< "IP:PORT"; an IPv6 address is enclosed in brackets. */
  GG_SETTING_ADDRESS_LIST, /**< Addresses separated by ';'. */
} GgSettingType;

/** Declares one key. */
typedef struct
{
  const char *section;
  const char *key;
  GgSettingType type;
  const char *default_text; /**< Default value; NULL if the key is required. */
  uint64_t min;             /**< Inclusive bounds of GG_SETTING_UINT and GG_SETTING_DECIMAL. */
  uint64_t max; /**< For GG_SETTING_DECIMAL, 0 if there is no upper bound; for GG_SETTING_STRING,
                 * the longest text in bytes, 0 if there is no bound. */
  const char *unit;   /**< "ms", "bytes", "1/s" or "". */
  const char *effect; /**< One sentence for operators. */
} GgSetting;

#define GG_SETTINGS_ERROR (gg_settings_error_quark ())
GQuark gg_settings_error_quark (void);

typedef enum
{
  GG_SETTINGS_ERROR_READ,
  GG_SETTINGS_ERROR_UNKNOWN_KEY,
  GG_SETTINGS_ERROR_MISSING_KEY,
  GG_SETTINGS_ERROR_VALUE,
} GgSettingsError;

typedef struct _GgSettings GgSettings;

/** Reads @p path and validates it against the @p n_specs entries of @p specs, which must outlive
 * the result.
 * @return NULL with @p error set if the file can't be read or a key or value is invalid. */
GgSettings *
gg_settings_create (const char *path, const GgSetting *specs, size_t n_specs, GError **error);

/** As gg_settings_create(), from text in memory; @p name replaces the file name in errors. */
GgSettings *gg_settings_create_from_text (
    const char *name, const char *text, const GgSetting *specs, size_t n_specs, GError **error);
void gg_settings_destroy (GgSettings *self);

/** These return a value by section and key; asking for an undeclared key aborts the program.
 * Strings are owned by @p self. */
const char *gg_settings_get_string (const GgSettings *self, const char *section, const char *key);
uint64_t gg_settings_get_uint (const GgSettings *self, const char *section, const char *key);
double gg_settings_get_decimal (const GgSettings *self, const char *section, const char *key);
gboolean gg_settings_get_boolean (const GgSettings *self, const char *section, const char *key);

/** Returns a NULL-terminated list owned by the caller (g_strfreev()). */
char **gg_settings_get_list (const GgSettings *self, const char *section, const char *key);

/** Appends a Markdown table of @p specs: section, key, unit, default, range, effect. */
void gg_settings_describe (const GgSetting *specs, size_t n_specs, GString *text_out);

/** Splits "IP:PORT" into a host owned by the caller and a port.
 * @return FALSE if @p address is malformed. */
gboolean gg_address_parse (const char *address, char **host_out, uint16_t *port_out);
