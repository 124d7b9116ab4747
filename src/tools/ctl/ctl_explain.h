/** @file
 * Timeline and outcome of one request, from the logs of the routers. */
#pragma once

#include <glib.h>

/** Reads the log files (NULL-terminated list; "-" is standard input) and appends the log lines of
 * @p request by time, together with lines of the same instances and period about the runners, the
 * store and the configuration, and a conclusion.
 * @return FALSE with @p error set if a file can't be read or no line belongs to the request. */
gboolean gg_ctl_explain (const char *request,
                         const char *const *files,
                         gboolean json,
                         GString *text_out,
                         GError **error);
