/** @file
 * Timeline and outcome of one request, from the logs of the routers. */
#pragma once

#include <glib.h>

/** Reads the log files (NULL-terminated list; "-" is standard input) and appends the log lines of
 * @p request by time, the cause of its outcome, and as context the lines of the same instances
 * about its runners, layer orders, the store, the configuration, the leader election, the delegated
 * watch and the process, from 3 s before its first line to its last.
 * @return FALSE with @p error set if a file can't be read or no line belongs to the request. */
gboolean gg_ctl_explain (const char *request,
                         const char *const *files,
                         gboolean json,
                         GString *text_out,
                         GError **error);
