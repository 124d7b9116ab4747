/** @file
 * Times and durations in the formats that operators use. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Parses an ISO 8601 time ("2026-01-31T18:00:00Z"; local time without a zone) or an age such as
 * "90s", "30m", "12h" or "7d".
 * @return FALSE if @p text is malformed. */
gboolean gg_ctl_time_parse (const char *text, uint64_t now_wall_ms, uint64_t *wall_ms_out);

/** Returns local time as "2026-01-31 18:00:00", owned by the caller. */
char *gg_ctl_time_format (uint64_t wall_ms);

/** Returns a duration as "850 ms", "12 s", "3 min", "5 h" or "2 d", owned by the caller. */
char *gg_ctl_duration_format (uint64_t ms);
