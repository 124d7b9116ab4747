/** @file
 * Check of a configuration for the platform's store, before it is written there. */
#pragma once

#include <glib.h>

typedef enum
{
  GG_CTL_CHECK_VALID,
  GG_CTL_CHECK_FINDINGS,   /**< The file has faults; whether the router accepts it is said too. */
  GG_CTL_CHECK_UNREADABLE, /**< @p path is no JSON object, or @p against can't be decoded. */
} GgCtlCheckResult;

/** Checks the file @p path and appends its faults to @p text_out, with their location, value and
 * remedy, and the differences from the file @p against. Differences are not faults.
 * @param against NULL to compare with nothing.
 * @param error set if @p against can't be read or the router refuses it; @p path is checked all the
 *   same. */
GgCtlCheckResult gg_ctl_check (
    const char *path, const char *against, gboolean json, GString *text_out, GError **error);
