/** @file
 * The story of one request from the logs of the routers. */
#pragma once

#include <glib.h>

/** Reads the files (NULL-terminated; "-" is standard input) and appends what was logged of
 * @p request, in order of time, with what the same instances believed meanwhile of the runners, the
 * store and the configuration, and a conclusion.
 * @return FALSE with @p error set if a file can't be read or no line names the request. */
gboolean gg_ctl_explain (const char *request,
                         const char *const *files,
                         gboolean json,
                         GString *text_out,
                         GError **error);
