#include "core/config.h"

#include "base/settings.h"

#include <math.h>
#include <string.h>

#define GG_CONFIG_MAX_NAME_LENGTH 64

struct _GgConfig
{
  GPtrArray *services;         /* GgService, by file, then in order of declaration */
  GPtrArray *teams;            /* GgTeam, likewise */
  GHashTable *service_by_name; /* values are owned by the arrays */
  GHashTable *team_by_name;
  GHashTable *team_by_key;
};

/* Records where each section and key was declared; only used while parsing. */
typedef struct
{
  GgConfig *config;
  GHashTable *origins; /* section or key digest to path */
} Parser;

G_DEFINE_QUARK (gg - config - error - quark, gg_config_error)

#define KIND_SPEC                                                                                  \
  {                                                                                                \
    "", "kind", GG_SETTING_STRING, NULL, 0, 0, "", "model or plain"                                \
  }

static const GgSetting model_specs[] = {
  KIND_SPEC,
  { "", "layers", GG_SETTING_UINT, NULL, 1, 4096, "", "layers of the model" },
  { "", "version", GG_SETTING_STRING, NULL, 0, 0, "", "model version that may be served" },
  { "", "first_token_timeout_ms", GG_SETTING_UINT, "2000", 1, 600000, "", "first token" },
  { "", "token_timeout_ms", GG_SETTING_UINT, "400", 1, 600000, "", "each later token" },
  { "", "checks_fencing", GG_SETTING_BOOLEAN, "false", 0, 0, "", "runners reject old orders" },
};

static const GgSetting plain_specs[] = {
  KIND_SPEC,
  { "", "timeout_ms", GG_SETTING_UINT, "2000", 1, 600000, "", "whole call" },
  { "", "idempotent_calls", GG_SETTING_STRING, "", 0, 0, "", "calls that may be repeated" },
};

static const GgSetting team_specs[] = {
  { "", "key_sha256", GG_SETTING_STRING, NULL, 0, 0, "", "SHA-256 of the bearer key" },
  { "", "weight", GG_SETTING_STRING, "1", 0, 0, "", "share under contention" },
  { "", "services", GG_SETTING_STRING, NULL, 0, 0, "", "services that the team may call" },
  { "", "requests_per_s", GG_SETTING_UINT, "0", 0, 1000000, "", "limit; 0 for none" },
  { "", "max_body_bytes", GG_SETTING_UINT, "65536", 1, 16777216, "", "largest request body" },
};

static void
service_free (gpointer data)
{
  GgService *service = data;
  g_free (service->name);
  g_free (service->version);
  g_strfreev (service->idempotent_calls);
  g_free (service);
}

static void
team_free (gpointer data)
{
  GgTeam *team = data;
  g_free (team->name);
  g_free (team->key_sha256);
  g_strfreev (team->services);
  g_free (team);
}

static gboolean
fail_value (const char *path,
            const char *section,
            const char *key,
            const char *value,
            const char *expected,
            GError **error)
{
  g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_VALUE,
               "%s: section [%s]: key '%s' = '%s': expected %s", path, section, key, value,
               expected);
  return FALSE;
}

/* Returns FALSE with @p error set if @p what was declared before; @p label names it in the
 * message. */
static gboolean
declare (Parser *parser, const char *what, const char *label, const char *path, GError **error)
{
  const char *first = g_hash_table_lookup (parser->origins, what);
  if (first == NULL)
    {
      g_hash_table_insert (parser->origins, g_strdup (what), g_strdup (path));
      return TRUE;
    }
  g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_DUPLICATE,
               "%s: %s is already declared in %s: expected one declaration", path, label, first);
  return FALSE;
}

/* GKeyFile merges repeated sections and keeps the last of repeated keys, which would hide a
 * mistake, so repetitions are detected on the raw lines. */
static gboolean
check_repetitions (Parser *parser, const char *path, const char *text, GError **error)
{
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **lines = g_strsplit (text, "\n", -1);
  char *section = NULL;
  gboolean valid = TRUE;
  for (char **line = lines; valid && *line != NULL; line++)
    {
      char *start = g_strstrip (*line);
      char *end = strchr (start, *start == '[' ? ']' : '=');
      if (end == NULL || *start == '#')
        continue;
      *end = '\0';
      if (*start == '[')
        {
          g_free (section);
          section = g_strdup (start + 1);
          g_hash_table_remove_all (keys);
          char *label = g_strdup_printf ("section [%s]", section);
          valid = declare (parser, label, label, path, error);
          g_free (label);
        }
      else if (!g_hash_table_add (keys, g_strdup (g_strchomp (start))))
        {
          g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_DUPLICATE,
                       "%s: section [%s]: key '%s' = '%s': expected one value, but the key is "
                       "repeated",
                       path, section, start, g_strstrip (end + 1));
          valid = FALSE;
        }
    }
  g_free (section);
  g_strfreev (lines);
  g_hash_table_unref (keys);
  return valid;
}

/* Names become parts of URLs and of keys in the platform's key-value service. */
gboolean
gg_config_name_is_valid (const char *name)
{
  if (!g_ascii_isalnum (*name) || strlen (name) > GG_CONFIG_MAX_NAME_LENGTH)
    return FALSE;
  for (const char *c = name; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr ("._-", *c) == NULL)
      return FALSE;
  return TRUE;
}

/* Returns the name in a section such as "team NAME", or NULL if the section is of another type. */
static const char *
get_section_name (const char *section, const char *type)
{
  size_t length = strlen (type);
  if (strncmp (section, type, length) != 0 || section[length] != ' ')
    return NULL;
  return gg_config_name_is_valid (section + length + 1) ? section + length + 1 : NULL;
}

static gboolean
check_keys (const char *path,
            GKeyFile *file,
            const char *section,
            const GgSetting *specs,
            size_t n_specs,
            GError **error)
{
  GString *known = g_string_new (NULL);
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < n_specs; i++)
    {
      g_hash_table_add (names, (gpointer) specs[i].key);
      g_string_append_printf (known, "%s%s", i > 0 ? ", " : "", specs[i].key);
    }
  char **keys = g_key_file_get_keys (file, section, NULL, NULL);
  gboolean valid = TRUE;
  for (char **key = keys; valid && *key != NULL; key++)
    if (!g_hash_table_contains (names, *key))
      {
        char *value = g_key_file_get_value (file, section, *key, NULL);
        g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_UNKNOWN_KEY,
                     "%s: section [%s]: key '%s' = '%s': expected one of the keys %s", path,
                     section, *key, value, known->str);
        g_free (value);
        valid = FALSE;
      }
  g_strfreev (keys);
  g_hash_table_unref (names);
  g_string_free (known, TRUE);
  return valid;
}

static int
translate_code (int code)
{
  switch ((GgSettingsError) code)
    {
    case GG_SETTINGS_ERROR_READ:
      return GG_CONFIG_ERROR_SYNTAX;
    case GG_SETTINGS_ERROR_UNKNOWN_KEY:
      return GG_CONFIG_ERROR_UNKNOWN_KEY;
    case GG_SETTINGS_ERROR_MISSING_KEY:
      return GG_CONFIG_ERROR_MISSING_KEY;
    case GG_SETTINGS_ERROR_VALUE:
      return GG_CONFIG_ERROR_VALUE;
    }
  g_assert_not_reached ();
}

/* Validates one section as a separate settings file. @p specs_out must outlive the result. */
static GgSettings *
read_section (const char *path,
              GKeyFile *file,
              const char *section,
              const GgSetting *specs,
              size_t n_specs,
              GgSetting *specs_out,
              GError **error)
{
  if (!check_keys (path, file, section, specs, n_specs, error))
    return NULL;
  GKeyFile *part = g_key_file_new ();
  for (size_t i = 0; i < n_specs; i++)
    {
      specs_out[i] = specs[i];
      specs_out[i].section = section;
      char *value = g_key_file_get_value (file, section, specs[i].key, NULL);
      if (value != NULL)
        g_key_file_set_value (part, section, specs[i].key, value);
      g_free (value);
    }
  char *text = g_key_file_to_data (part, NULL, NULL);
  GError *cause = NULL;
  GgSettings *settings = gg_settings_create_from_text (path, text, specs_out, n_specs, &cause);
  if (settings == NULL)
    g_set_error_literal (error, GG_CONFIG_ERROR, translate_code (cause->code), cause->message);
  g_clear_error (&cause);
  g_free (text);
  g_key_file_free (part);
  return settings;
}

static gboolean
call_is_valid (const char *call)
{
  const char *space = strchr (call, ' ');
  if (space == NULL || space == call || space[1] != '/')
    return FALSE;
  for (const char *c = call; c < space; c++)
    if (!g_ascii_isupper (*c))
      return FALSE;
  return strpbrk (space + 1, " ?#") == NULL;
}

/* Returns the entries of a list, without surrounding white space. */
static char **
get_list (const GgSettings *settings, const char *section, const char *key)
{
  char **list = gg_settings_get_list (settings, section, key);
  for (char **entry = list; *entry != NULL; entry++)
    g_strstrip (*entry);
  return list;
}

static gboolean
parse_model (
    const char *path, GKeyFile *file, const char *section, GgService *service, GError **error)
{
  GgSetting specs[G_N_ELEMENTS (model_specs)];
  GgSettings *settings
      = read_section (path, file, section, model_specs, G_N_ELEMENTS (model_specs), specs, error);
  if (settings == NULL)
    return FALSE;
  service->kind = GG_SERVICE_MODEL;
  service->layers = (uint32_t) gg_settings_get_uint (settings, section, "layers");
  service->version = g_strdup (gg_settings_get_string (settings, section, "version"));
  service->first_token_timeout_ms
      = (uint32_t) gg_settings_get_uint (settings, section, "first_token_timeout_ms");
  service->token_timeout_ms
      = (uint32_t) gg_settings_get_uint (settings, section, "token_timeout_ms");
  service->checks_fencing = gg_settings_get_boolean (settings, section, "checks_fencing");
  gg_settings_destroy (settings);
  return TRUE;
}

static gboolean
parse_plain (
    const char *path, GKeyFile *file, const char *section, GgService *service, GError **error)
{
  GgSetting specs[G_N_ELEMENTS (plain_specs)];
  GgSettings *settings
      = read_section (path, file, section, plain_specs, G_N_ELEMENTS (plain_specs), specs, error);
  if (settings == NULL)
    return FALSE;
  service->kind = GG_SERVICE_PLAIN;
  service->timeout_ms = (uint32_t) gg_settings_get_uint (settings, section, "timeout_ms");
  service->idempotent_calls = get_list (settings, section, "idempotent_calls");
  gboolean valid = TRUE;
  for (char **call = service->idempotent_calls; valid && *call != NULL; call++)
    if (!call_is_valid (*call))
      valid = fail_value (path, section, "idempotent_calls", *call,
                          "entries of the form METHOD /PREFIX separated by ';'", error);
  gg_settings_destroy (settings);
  return valid;
}

static gboolean
parse_service (
    Parser *parser, const char *path, GKeyFile *file, const char *section, GError **error)
{
  GgService *service = g_new0 (GgService, 1);
  service->name = g_strdup (get_section_name (section, "service"));
  g_ptr_array_add (parser->config->services, service);
  g_hash_table_insert (parser->config->service_by_name, service->name, service);

  char *kind = g_key_file_get_string (file, section, "kind", NULL);
  gboolean valid;
  if (kind == NULL || strcmp (kind, "model") == 0)
    valid = parse_model (path, file, section, service, error);
  else if (strcmp (kind, "plain") == 0)
    valid = parse_plain (path, file, section, service, error);
  else
    valid = fail_value (path, section, "kind", kind, "model or plain", error);
  g_free (kind);
  return valid;
}

static gboolean
digest_is_valid (const char *digest)
{
  return strlen (digest) == 64 && strspn (digest, "0123456789abcdef") == 64;
}

static gboolean
parse_weight (const char *path, const char *section, const char *text, GgTeam *team, GError **error)
{
  char *end;
  team->weight = g_ascii_strtod (text, &end);
  if (end != text && *end == '\0' && isfinite (team->weight) && team->weight > 0
      && team->weight <= 1000)
    return TRUE;
  return fail_value (path, section, "weight", text, "a number above 0 and at most 1000", error);
}

static gboolean
parse_key (Parser *parser, const char *path, const char *section, GgTeam *team, GError **error)
{
  if (!digest_is_valid (team->key_sha256))
    return fail_value (path, section, "key_sha256", team->key_sha256,
                       "64 lower-case hexadecimal digits", error);
  char *label
      = g_strdup_printf ("section [%s]: key 'key_sha256' = '%s'", section, team->key_sha256);
  gboolean valid = declare (parser, team->key_sha256, label, path, error);
  g_free (label);
  g_hash_table_insert (parser->config->team_by_key, team->key_sha256, team);
  return valid;
}

static gboolean
parse_team (Parser *parser, const char *path, GKeyFile *file, const char *section, GError **error)
{
  GgSetting specs[G_N_ELEMENTS (team_specs)];
  GgSettings *settings
      = read_section (path, file, section, team_specs, G_N_ELEMENTS (team_specs), specs, error);
  if (settings == NULL)
    return FALSE;
  GgTeam *team = g_new0 (GgTeam, 1);
  team->name = g_strdup (get_section_name (section, "team"));
  g_ptr_array_add (parser->config->teams, team);
  g_hash_table_insert (parser->config->team_by_name, team->name, team);

  team->key_sha256 = g_strdup (gg_settings_get_string (settings, section, "key_sha256"));
  team->services = get_list (settings, section, "services");
  team->requests_per_s = (uint32_t) gg_settings_get_uint (settings, section, "requests_per_s");
  team->max_body_bytes = (uint32_t) gg_settings_get_uint (settings, section, "max_body_bytes");
  const char *weight = gg_settings_get_string (settings, section, "weight");
  gboolean valid = parse_weight (path, section, weight, team, error)
                   && parse_key (parser, path, section, team, error);
  gg_settings_destroy (settings);
  return valid;
}

static gboolean
parse_section (
    Parser *parser, const char *path, GKeyFile *file, const char *section, GError **error)
{
  if (get_section_name (section, "service") != NULL)
    return parse_service (parser, path, file, section, error);
  if (get_section_name (section, "team") != NULL)
    return parse_team (parser, path, file, section, error);
  g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_UNKNOWN_KEY,
               "%s: section [%s]: expected [service NAME] or [team NAME]; a name starts with a "
               "letter or digit and has at most %d letters, digits, '.', '_' and '-'",
               path, section, GG_CONFIG_MAX_NAME_LENGTH);
  return FALSE;
}

static gboolean
parse_file (Parser *parser, const char *path, const char *text, GError **error)
{
  GError *cause = NULL;
  GKeyFile *file = g_key_file_new ();
  if (!g_utf8_validate (text, -1, NULL))
    g_set_error_literal (&cause, GG_CONFIG_ERROR, GG_CONFIG_ERROR_SYNTAX, "not valid UTF-8");
  else if (*text != '\0')
    g_key_file_load_from_data (file, text, (gsize) -1, G_KEY_FILE_NONE, &cause);

  gboolean valid = cause == NULL;
  if (cause != NULL)
    g_set_error (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_SYNTAX, "%s: not a valid INI file: %s",
                 path, cause->message);
  valid = valid && check_repetitions (parser, path, text, error);
  char **sections = g_key_file_get_groups (file, NULL);
  for (char **section = sections; valid && *section != NULL; section++)
    valid = parse_section (parser, path, file, *section, error);
  g_strfreev (sections);
  g_clear_error (&cause);
  g_key_file_free (file);
  return valid;
}

/* Runs after all files are read, since a service may be declared in a later file. */
static gboolean
check_team_services (Parser *parser, GError **error)
{
  gboolean valid = TRUE;
  for (guint i = 0; valid && i < parser->config->teams->len; i++)
    {
      const GgTeam *team = parser->config->teams->pdata[i];
      char *section = g_strdup_printf ("team %s", team->name);
      char *origin = g_strdup_printf ("section [%s]", section);
      const char *path = g_hash_table_lookup (parser->origins, origin);
      for (char **name = team->services; valid && *name != NULL; name++)
        if (gg_config_find_service (parser->config, *name) == NULL)
          valid
              = fail_value (path, section, "services", *name, "names of declared services", error);
      g_free (origin);
      g_free (section);
    }
  return valid;
}

static void
config_clear (gpointer data)
{
  GgConfig *self = data;
  g_hash_table_unref (self->team_by_key);
  g_hash_table_unref (self->team_by_name);
  g_hash_table_unref (self->service_by_name);
  g_ptr_array_unref (self->teams);
  g_ptr_array_unref (self->services);
}

GgConfig *
gg_config_create (GHashTable *files, GError **error)
{
  GgConfig *self = g_atomic_rc_box_new0 (GgConfig);
  self->services = g_ptr_array_new_with_free_func (service_free);
  self->teams = g_ptr_array_new_with_free_func (team_free);
  self->service_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  self->team_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  self->team_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  Parser parser = { self, g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free) };

  /* In sorted order, so that every process reports the same first error. */
  GList *paths = g_list_sort (g_hash_table_get_keys (files), (GCompareFunc) strcmp);
  gboolean valid = TRUE;
  for (GList *path = paths; valid && path != NULL; path = path->next)
    valid = parse_file (&parser, path->data, g_hash_table_lookup (files, path->data), error);
  valid = valid && check_team_services (&parser, error);
  g_list_free (paths);
  g_hash_table_unref (parser.origins);
  if (valid)
    return self;
  gg_config_unref (self);
  return NULL;
}

GgConfig *
gg_config_ref (GgConfig *self)
{
  return g_atomic_rc_box_acquire (self);
}

void
gg_config_unref (GgConfig *self)
{
  if (self != NULL)
    g_atomic_rc_box_release_full (self, config_clear);
}

const GgService *
gg_config_find_service (const GgConfig *self, const char *name)
{
  return g_hash_table_lookup (self->service_by_name, name);
}

const GgTeam *
gg_config_find_team (const GgConfig *self, const char *name)
{
  return g_hash_table_lookup (self->team_by_name, name);
}

const GgTeam *
gg_config_find_team_by_key (const GgConfig *self, const char *bearer_key)
{
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, bearer_key, -1);
  const GgTeam *team = g_hash_table_lookup (self->team_by_key, digest);
  g_free (digest);
  return team;
}

guint
gg_config_get_n_services (const GgConfig *self)
{
  return self->services->len;
}

const GgService *
gg_config_get_service (const GgConfig *self, guint i)
{
  return g_ptr_array_index (self->services, i);
}

guint
gg_config_get_n_teams (const GgConfig *self)
{
  return self->teams->len;
}

const GgTeam *
gg_config_get_team (const GgConfig *self, guint i)
{
  return g_ptr_array_index (self->teams, i);
}

gboolean
gg_team_may_call (const GgTeam *team, const char *service)
{
  return g_strv_contains ((const char *const *) team->services, service);
}

/* A service may resolve dot segments and escaped separators, so a path that starts with a declared
 * prefix could reach another call. */
static gboolean
path_is_plain (const char *path, size_t length)
{
  char *lower = g_ascii_strdown (path, (gssize) length);
  gboolean plain = strstr (lower, "/./") == NULL && strstr (lower, "/../") == NULL
                   && !g_str_has_suffix (lower, "/.") && !g_str_has_suffix (lower, "/..")
                   && strstr (lower, "%2e") == NULL && strstr (lower, "%2f") == NULL
                   && strchr (lower, '\\') == NULL && strstr (lower, "%5c") == NULL;
  g_free (lower);
  return plain;
}

/* The prefix ends at a segment boundary: "/berths" covers "/berths/4", not "/berths-book". */
static gboolean
path_has_prefix (const char *path, size_t length, const char *prefix)
{
  size_t n = strlen (prefix);
  if (n > length || strncmp (path, prefix, n) != 0)
    return FALSE;
  return n == length || prefix[n - 1] == '/' || path[n] == '/';
}

gboolean
gg_service_call_is_idempotent (const GgService *service, const char *method, const char *path)
{
  size_t length = strcspn (path, "?#");
  if (service->idempotent_calls == NULL || !path_is_plain (path, length))
    return FALSE;
  size_t n = strlen (method);
  for (char **call = service->idempotent_calls; *call != NULL; call++)
    if (strncmp (*call, method, n) == 0 && (*call)[n] == ' '
        && path_has_prefix (path, length, *call + n + 1))
      return TRUE;
  return FALSE;
}
