#include "base/daemon_options.h"

#include "greengage/version.h"

#include <stdio.h>
#include <stdlib.h>

static gboolean
fail_usage (const GgDaemonInfo *info, const char *reason, int *status_out)
{
  fprintf (stderr, "%s: %s; see --help\n", info->program, reason);
  *status_out = GG_EXIT_USAGE;
  return FALSE;
}

static gboolean
print_settings (const GgDaemonInfo *info)
{
  GString *text = g_string_new (NULL);
  gg_settings_describe (info->settings, info->n_settings, text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
  return FALSE;
}

static gboolean
parse (GgDaemonOptions *self,
       const GgDaemonInfo *info,
       GOptionContext *context,
       char **argv,
       int *status_out)
{
  gboolean describe = FALSE;
  gboolean show_version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &self->settings_path, "Settings file (INI)",
      "FILE" },
    { "check-settings", 'c', 0, G_OPTION_ARG_NONE, &self->check_only, "Check the settings and exit",
      NULL },
    { "describe-settings", 0, 0, G_OPTION_ARG_NONE, &describe,
      "Print all settings with unit, default, range and effect", NULL },
    { "version", 'V', 0, G_OPTION_ARG_NONE, &show_version, "Print the version and exit", NULL },
    { 0 },
  };
  GError *error = NULL;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse_strv (context, &argv, &error))
    {
      fail_usage (info, error->message, status_out);
      g_error_free (error);
      return FALSE;
    }
  if (argv[0] != NULL && argv[1] != NULL)
    return fail_usage (info, "unexpected argument", status_out);
  if (show_version)
    {
      printf ("%s %s\n", info->program, GG_VERSION);
      return FALSE;
    }
  if (describe)
    return print_settings (info);
  return self->settings_path != NULL
         || fail_usage (info, "--settings FILE is required", status_out);
}

gboolean
gg_daemon_options_parse (
    GgDaemonOptions *self, const GgDaemonInfo *info, int argc, char **argv, int *status_out)
{
  *self = (GgDaemonOptions){ 0 };
  *status_out = EXIT_SUCCESS;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, info->summary);
  /* Parsing removes options from the vector, so it works on a copy. */
  char **copy = g_new0 (char *, (gsize) argc + 1);
  for (int i = 0; i < argc; i++)
    copy[i] = g_strdup (argv[i]);
  gboolean is_continuing = parse (self, info, context, copy, status_out);
  g_strfreev (copy);
  g_option_context_free (context);
  return is_continuing;
}

void
gg_daemon_options_clear (GgDaemonOptions *self)
{
  g_free (self->settings_path);
  *self = (GgDaemonOptions){ 0 };
}
