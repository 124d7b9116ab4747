/** @file
 * Command-line options shared by the daemons. */
#pragma once

#include "base/settings.h"

#define GG_EXIT_USAGE 2 /**< Exit status of a usage or settings error. */

typedef struct
{
  char *settings_path;
  gboolean check_only; /**< --check-settings: exit after loading the settings. */
} GgDaemonOptions;

typedef struct
{
  const char *program;
  const char *summary; /**< One line for --help. */
  const GgSetting *settings;
  size_t n_settings;
} GgDaemonInfo;

/** Parses the command line, handles --help, --version and --describe-settings and prints usage
 * errors.
 * @return FALSE if the program must exit with the status in @p status_out. */
gboolean gg_daemon_options_parse (
    GgDaemonOptions *self, const GgDaemonInfo *info, int argc, char **argv, int *status_out);
void gg_daemon_options_clear (GgDaemonOptions *self);
