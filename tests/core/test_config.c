/* Guards the parser of declarations: an error in a published file must be reported with file,
 * section and key, and a call that is not declared idempotent must never count as such. */
#include "core/config.h"
#include "test_main.h"

#include <string.h>

#define SERVICES                                                                                   \
  "[service reader]\nkind = model\nlayers = 12\nversion = 1\nchecks_fencing = true\n"              \
  "[service moorings]\nkind = plain\nidempotent_calls = GET /catalogue; GET /berths/\n"
/* SHA-256 of "secret". */
#define DIGEST "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
#define TEAM "[team schools]\nkey_sha256 = " DIGEST "\nservices = reader;moorings\n"

static GgConfig *
load (const char *a, const char *b, GError **error)
{
  GHashTable *files = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (files, (gpointer) "a.ini", (gpointer) a);
  if (b != NULL)
    g_hash_table_insert (files, (gpointer) "b.ini", (gpointer) b);
  GgConfig *config = gg_config_create (files, error);
  g_hash_table_unref (files);
  return config;
}

static void
check_error (const char *a, const char *b, GgConfigError code, const char *message)
{
  GError *error = NULL;
  CU_ASSERT_PTR_NULL (load (a, b, &error));
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  CU_ASSERT_EQUAL (error->domain, GG_CONFIG_ERROR);
  CU_ASSERT_EQUAL (error->code, (int) code);
  CU_ASSERT_STRING_EQUAL (error->message, message);
  g_error_free (error);
}

static void
test_values (void)
{
  GError *error = NULL;
  GgConfig *config = load (TEAM "weight = 2.5\nmax_body_bytes = 100\n", SERVICES, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  CU_ASSERT_EQUAL (gg_config_get_n_services (config), 2);
  CU_ASSERT_EQUAL (gg_config_get_n_teams (config), 1);
  const GgService *reader = gg_config_find_service (config, "reader");
  CU_ASSERT_EQUAL (reader->kind, GG_SERVICE_MODEL);
  CU_ASSERT_EQUAL (reader->layers, 12);
  CU_ASSERT_STRING_EQUAL (reader->version, "1");
  CU_ASSERT_EQUAL (reader->first_token_timeout_ms, 2000);
  CU_ASSERT_EQUAL (reader->token_timeout_ms, 400);
  CU_ASSERT_TRUE (reader->checks_fencing);
  CU_ASSERT_EQUAL (gg_config_find_service (config, "moorings")->timeout_ms, 2000);

  const GgTeam *team = gg_config_find_team (config, "schools");
  CU_ASSERT_PTR_EQUAL (gg_config_find_team_by_key (config, "secret"), team);
  CU_ASSERT_PTR_NULL (gg_config_find_team_by_key (config, "Secret"));
  CU_ASSERT_EQUAL (team->weight, 2.5);
  CU_ASSERT_EQUAL (team->requests_per_s, 0);
  CU_ASSERT_EQUAL (team->max_body_bytes, 100);
  CU_ASSERT_TRUE (gg_team_may_call (team, "moorings"));
  CU_ASSERT_FALSE (gg_team_may_call (team, "mooring"));
  gg_config_unref (gg_config_ref (config));
  gg_config_unref (config);
}

static void
test_idempotent_calls (void)
{
  GError *error = NULL;
  GgConfig *config = load (SERVICES, NULL, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  const GgService *moorings = gg_config_find_service (config, "moorings");
  static const struct
  {
    const char *method;
    const char *path;
    gboolean expected;
  } calls[] = {
    { "GET", "/catalogue", TRUE },
    { "GET", "/catalogue/7?x=/../y", TRUE },
    { "GET", "/berths/4", TRUE },
    { "GET", "/berths", FALSE },
    { "GET", "/catalogue-clear", FALSE },
    { "POST", "/catalogue", FALSE },
    { "GE", "/catalogue", FALSE },
    { "GET", "/catalogue/../book", FALSE },
    { "GET", "/catalogue/%2E%2e/book", FALSE },
    { "GET", "/catalogue/..", FALSE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    CU_ASSERT_EQUAL (gg_service_call_is_idempotent (moorings, calls[i].method, calls[i].path),
                     calls[i].expected);
  CU_ASSERT_FALSE (gg_service_call_is_idempotent (gg_config_find_service (config, "reader"), "GET",
                                                  "/catalogue"));
  gg_config_unref (config);
}

static void
test_errors (void)
{
  check_error ("[service x]\nkind = model\n", NULL, GG_CONFIG_ERROR_MISSING_KEY,
               "a.ini: section [service x]: key 'layers' is missing: expected a value (layers of "
               "the model)");
  check_error ("[service x]\nkind = plain\nlayers = 3\n", NULL, GG_CONFIG_ERROR_UNKNOWN_KEY,
               "a.ini: section [service x]: key 'layers' = '3': expected one of the keys kind, "
               "timeout_ms, idempotent_calls");
  check_error ("[service x]\nkind = slow\n", NULL, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [service x]: key 'kind' = 'slow': expected model or plain");
  check_error ("[service x]\nkind = plain\ntimeout_ms = 0\n", NULL, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [service x]: key 'timeout_ms' = '0': expected a whole number from 1 "
               "to 600000");
  check_error ("[service x]\nkind = plain\nidempotent_calls = GET\n", NULL, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [service x]: key 'idempotent_calls' = 'GET': expected entries of "
               "the form METHOD /PREFIX separated by ';'");
  check_error (TEAM "weight = 0\n", SERVICES, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [team schools]: key 'weight' = '0': expected a number above 0 and "
               "at most 1000");
  check_error ("[team t]\nkey_sha256 = AB\nservices = reader\n", SERVICES, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [team t]: key 'key_sha256' = 'AB': expected 64 lower-case "
               "hexadecimal digits");
  check_error (TEAM, NULL, GG_CONFIG_ERROR_VALUE,
               "a.ini: section [team schools]: key 'services' = 'reader': expected names of "
               "declared services");
  check_error ("[service x/y]\nkind = plain\n", NULL, GG_CONFIG_ERROR_UNKNOWN_KEY,
               "a.ini: section [service x/y]: expected [service NAME] or [team NAME]; a name "
               "starts with a letter or digit and has at most 64 letters, digits, '.', '_' and "
               "'-'");
}

static void
test_duplicates (void)
{
  check_error (SERVICES, SERVICES, GG_CONFIG_ERROR_DUPLICATE,
               "b.ini: section [service reader] is already declared in a.ini: expected one "
               "declaration");
  check_error ("[service x]\nkind = plain\n[service x]\n", NULL, GG_CONFIG_ERROR_DUPLICATE,
               "a.ini: section [service x] is already declared in a.ini: expected one "
               "declaration");
  check_error ("[service x]\nkind = plain\n kind=model\n", NULL, GG_CONFIG_ERROR_DUPLICATE,
               "a.ini: section [service x]: key 'kind' = 'model': expected one value, but the key "
               "is repeated");
  check_error (SERVICES TEAM, "[team u]\nkey_sha256 = " DIGEST "\nservices = reader\n",
               GG_CONFIG_ERROR_DUPLICATE,
               "b.ini: section [team u]: key 'key_sha256' = '" DIGEST "' is already declared in "
               "a.ini: expected one declaration");
}

static void
test_syntax (void)
{
  GError *error = NULL;
  static const char *const texts[] = { "kind = plain\n", "[service x\n", "# \xff\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      CU_ASSERT_PTR_NULL (load (texts[i], NULL, &error));
      CU_ASSERT_TRUE (g_error_matches (error, GG_CONFIG_ERROR, GG_CONFIG_ERROR_SYNTAX));
      CU_ASSERT_TRUE (error != NULL && g_str_has_prefix (error->message, "a.ini: "));
      g_clear_error (&error);
    }
  GgConfig *empty = load ("", NULL, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (empty);
  gg_config_unref (empty);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "values", test_values }, { "idempotent calls", test_idempotent_calls },
    { "errors", test_errors }, { "duplicates", test_duplicates },
    { "syntax", test_syntax },
  };
  return gg_test_run ("config", cases, G_N_ELEMENTS (cases));
}
