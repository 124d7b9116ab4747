#include "base/settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

struct _GgSettings
{
  char *name;
  const GgSetting *specs;
  size_t n_specs;
  char **values; /* in the order of specs */
};

G_DEFINE_QUARK (gg - settings - error - quark, gg_settings_error)

static size_t
find_spec (const GgSetting *specs, size_t n_specs, const char *section, const char *key)
{
  for (size_t i = 0; i < n_specs; i++)
    if (strcmp (specs[i].section, section) == 0 && strcmp (specs[i].key, key) == 0)
      return i;
  return n_specs;
}

gboolean
gg_address_parse (const char *address, char **host_out, uint16_t *port_out)
{
  const char *colon = strrchr (address, ':');
  if (colon == NULL || colon == address)
    return FALSE;
  guint64 port;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return FALSE;

  char *host = g_strndup (address, (gsize) (colon - address));
  size_t length = strlen (host);
  struct in6_addr ip;
  gboolean valid;
  if (length > 2 && host[0] == '[' && host[length - 1] == ']')
    {
      host[length - 1] = '\0';
      memmove (host, host + 1, length - 1);
      valid = inet_pton (AF_INET6, host, &ip) == 1;
    }
  else
    valid = inet_pton (AF_INET, host, &ip) == 1;
  if (!valid)
    {
      g_free (host);
      return FALSE;
    }
  *port_out = (uint16_t) port;
  *host_out = host;
  return TRUE;
}

static gboolean
address_is_valid (const char *value)
{
  char *host = NULL;
  uint16_t port;
  gboolean valid = gg_address_parse (value, &host, &port);
  g_free (host);
  return valid;
}

static gboolean
address_list_is_valid (const char *value)
{
  char **parts = g_strsplit (value, ";", -1);
  gboolean valid = TRUE;
  for (char **p = parts; *p != NULL; p++)
    valid = valid && (**p == '\0' || address_is_valid (*p));
  g_strfreev (parts);
  return valid;
}

static gboolean
decimal_is_valid (const GgSetting *spec, const char *value)
{
  char *end = NULL;
  double number = g_ascii_strtod (value, &end);
  return end != value && *end == '\0' && isfinite (number) && number >= (double) spec->min
         && (spec->max == 0 || number <= (double) spec->max);
}

/* Returns the valid values of a GG_SETTING_DECIMAL, owned by the caller. */
static char *
describe_decimals (const GgSetting *spec)
{
  if (spec->max == 0)
    return g_strdup_printf ("a number of at least %" G_GUINT64_FORMAT, (guint64) spec->min);
  return g_strdup_printf ("a number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT "%s%s",
                          (guint64) spec->min, (guint64) spec->max, *spec->unit ? " " : "",
                          spec->unit);
}

/* Returns a description of the valid values, owned by the caller, or NULL if @p value is valid. */
static char *
check_value (const GgSetting *spec, const char *value)
{
  switch (spec->type)
    {
    case GG_SETTING_STRING:
      if (spec->max > 0 && strlen (value) > spec->max)
        return g_strdup_printf ("a text of at most %" G_GUINT64_FORMAT " bytes",
                                (guint64) spec->max);
      return *value != '\0' || spec->default_text != NULL ? NULL : g_strdup ("a non-empty string");
    case GG_SETTING_UINT:
      if (g_ascii_string_to_unsigned (value, 10, spec->min, spec->max, NULL, NULL))
        return NULL;
      return g_strdup_printf (
          "a whole number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT "%s%s",
          (guint64) spec->min, (guint64) spec->max, *spec->unit ? " " : "", spec->unit);
    case GG_SETTING_DECIMAL:
      return decimal_is_valid (spec, value) ? NULL : describe_decimals (spec);
    case GG_SETTING_BOOLEAN:
      if (strcmp (value, "true") == 0 || strcmp (value, "false") == 0)
        return NULL;
      return g_strdup ("true or false");
    case GG_SETTING_ADDRESS:
      return address_is_valid (value) ? NULL : g_strdup ("an address of the form IP:PORT");
    case GG_SETTING_ADDRESS_LIST:
      return address_list_is_valid (value)
                 ? NULL
                 : g_strdup ("addresses of the form IP:PORT separated by ';'");
    }
  g_assert_not_reached ();
}

static gboolean
check_known_keys (const GgSettings *self, GKeyFile *file, GError **error)
{
  char **groups = g_key_file_get_groups (file, NULL);
  gboolean valid = TRUE;
  for (char **g = groups; valid && *g != NULL; g++)
    {
      char **keys = g_key_file_get_keys (file, *g, NULL, NULL);
      for (char **k = keys; valid && k != NULL && *k != NULL; k++)
        if (find_spec (self->specs, self->n_specs, *g, *k) == self->n_specs)
          {
            char *value = g_key_file_get_value (file, *g, *k, NULL);
            g_set_error (error, GG_SETTINGS_ERROR, GG_SETTINGS_ERROR_UNKNOWN_KEY,
                         "%s: section [%s]: key '%s' = '%s': expected a known key; see the "
                         "settings reference",
                         self->name, *g, *k, value);
            g_free (value);
            valid = FALSE;
          }
      g_strfreev (keys);
    }
  g_strfreev (groups);
  return valid;
}

static gboolean
load_value (GgSettings *self, GKeyFile *file, size_t i, GError **error)
{
  const GgSetting *spec = &self->specs[i];
  char *value = g_key_file_get_string (file, spec->section, spec->key, NULL);
  if (value == NULL && spec->default_text == NULL)
    {
      g_set_error (error, GG_SETTINGS_ERROR, GG_SETTINGS_ERROR_MISSING_KEY,
                   "%s: section [%s]: key '%s' is missing: expected a value (%s)", self->name,
                   spec->section, spec->key, spec->effect);
      return FALSE;
    }
  if (value == NULL)
    value = g_strdup (spec->default_text);
  self->values[i] = value;

  char *expected = check_value (spec, value);
  if (expected == NULL)
    return TRUE;
  g_set_error (error, GG_SETTINGS_ERROR, GG_SETTINGS_ERROR_VALUE,
               "%s: section [%s]: key '%s' = '%s': expected %s", self->name, spec->section,
               spec->key, value, expected);
  g_free (expected);
  return FALSE;
}

static GgSettings *
create_from_key_file (
    const char *name, GKeyFile *file, const GgSetting *specs, size_t n_specs, GError **error)
{
  GgSettings *self = g_new0 (GgSettings, 1);
  self->name = g_strdup (name);
  self->specs = specs;
  self->n_specs = n_specs;
  self->values = g_new0 (char *, n_specs + 1);

  gboolean valid = check_known_keys (self, file, error);
  for (size_t i = 0; valid && i < n_specs; i++)
    valid = load_value (self, file, i, error);
  if (valid)
    return self;
  gg_settings_destroy (self);
  return NULL;
}

GgSettings *
gg_settings_create_from_text (
    const char *name, const char *text, const GgSetting *specs, size_t n_specs, GError **error)
{
  GgSettings *self = NULL;
  GError *cause = NULL;
  GKeyFile *file = g_key_file_new ();
  if (g_key_file_load_from_data (file, text, (gsize) -1, G_KEY_FILE_NONE, &cause))
    self = create_from_key_file (name, file, specs, n_specs, error);
  else
    g_set_error (error, GG_SETTINGS_ERROR, GG_SETTINGS_ERROR_READ, "%s: not a valid INI file: %s",
                 name, cause->message);
  g_clear_error (&cause);
  g_key_file_free (file);
  return self;
}

GgSettings *
gg_settings_create (const char *path, const GgSetting *specs, size_t n_specs, GError **error)
{
  char *text = NULL;
  GError *cause = NULL;
  if (!g_file_get_contents (path, &text, NULL, &cause))
    {
      g_set_error (error, GG_SETTINGS_ERROR, GG_SETTINGS_ERROR_READ, "%s: %s", path,
                   cause->message);
      g_error_free (cause);
      return NULL;
    }
  GgSettings *self = gg_settings_create_from_text (path, text, specs, n_specs, error);
  g_free (text);
  return self;
}

void
gg_settings_destroy (GgSettings *self)
{
  if (self == NULL)
    return;
  for (size_t i = 0; i < self->n_specs; i++)
    g_free (self->values[i]);
  g_free (self->values);
  g_free (self->name);
  g_free (self);
}

static const char *
get_value (const GgSettings *self, const char *section, const char *key)
{
  size_t i = find_spec (self->specs, self->n_specs, section, key);
  g_assert (i < self->n_specs);
  return self->values[i];
}

const char *
gg_settings_get_string (const GgSettings *self, const char *section, const char *key)
{
  return get_value (self, section, key);
}

uint64_t
gg_settings_get_uint (const GgSettings *self, const char *section, const char *key)
{
  return g_ascii_strtoull (get_value (self, section, key), NULL, 10);
}

double
gg_settings_get_decimal (const GgSettings *self, const char *section, const char *key)
{
  return g_ascii_strtod (get_value (self, section, key), NULL);
}

gboolean
gg_settings_get_boolean (const GgSettings *self, const char *section, const char *key)
{
  return strcmp (get_value (self, section, key), "true") == 0;
}

char **
gg_settings_get_list (const GgSettings *self, const char *section, const char *key)
{
  char **parts = g_strsplit (get_value (self, section, key), ";", -1);
  GPtrArray *list = g_ptr_array_new ();
  for (char **p = parts; *p != NULL; p++)
    if (**p != '\0')
      g_ptr_array_add (list, g_strdup (*p));
  g_strfreev (parts);
  g_ptr_array_add (list, NULL);
  return (char **) g_ptr_array_free (list, FALSE);
}

static char *
describe_range (const GgSetting *spec)
{
  switch (spec->type)
    {
    case GG_SETTING_STRING:
      if (spec->max > 0)
        return g_strdup_printf ("text of up to %" G_GUINT64_FORMAT " bytes", (guint64) spec->max);
      return g_strdup ("text");
    case GG_SETTING_UINT:
      return g_strdup_printf ("%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT, (guint64) spec->min,
                              (guint64) spec->max);
    case GG_SETTING_DECIMAL:
      if (spec->max == 0)
        return g_strdup_printf ("%" G_GUINT64_FORMAT " or more", (guint64) spec->min);
      return g_strdup_printf ("%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ", fractions allowed",
                              (guint64) spec->min, (guint64) spec->max);
    case GG_SETTING_BOOLEAN:
      return g_strdup ("true, false");
    case GG_SETTING_ADDRESS:
      return g_strdup ("IP:PORT");
    case GG_SETTING_ADDRESS_LIST:
      return g_strdup ("IP:PORT;...");
    }
  g_assert_not_reached ();
}

void
gg_settings_describe (const GgSetting *specs, size_t n_specs, GString *text_out)
{
  g_string_append (text_out, "| section | key | unit | default | range | effect |\n"
                             "| --- | --- | --- | --- | --- | --- |\n");
  for (size_t i = 0; i < n_specs; i++)
    {
      char *range = describe_range (&specs[i]);
      const char *default_text = specs[i].default_text;
      g_string_append_printf (
          text_out, "| `%s` | `%s` | %s | %s | %s | %s |\n", specs[i].section, specs[i].key,
          specs[i].unit, default_text != NULL ? default_text : "required", range, specs[i].effect);
      g_free (range);
    }
}
