#include "tools/ctl/ctl_time.h"

#include <string.h>

#define SECOND_MS ((uint64_t) 1000)
#define MINUTE_MS (60 * SECOND_MS)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)

static uint64_t
get_unit_ms (char unit)
{
  switch (unit)
    {
    case 's':
      return SECOND_MS;
    case 'm':
      return MINUTE_MS;
    case 'h':
      return HOUR_MS;
    case 'd':
      return DAY_MS;
    default:
      return 0;
    }
}

static gboolean
parse_age (const char *text, uint64_t now_wall_ms, uint64_t *wall_ms_out)
{
  char *end = NULL;
  if (!g_ascii_isdigit (*text))
    return FALSE;
  uint64_t count = g_ascii_strtoull (text, &end, 10);
  uint64_t unit_ms = get_unit_ms (*end);
  if (unit_ms == 0 || end[1] != '\0' || count > now_wall_ms / unit_ms)
    return FALSE;
  *wall_ms_out = now_wall_ms - count * unit_ms;
  return TRUE;
}

gboolean
gg_ctl_time_parse (const char *text, uint64_t now_wall_ms, uint64_t *wall_ms_out)
{
  if (parse_age (text, now_wall_ms, wall_ms_out))
    return TRUE;
  GTimeZone *zone = g_time_zone_new_local ();
  GDateTime *time = g_date_time_new_from_iso8601 (text, zone);
  g_time_zone_unref (zone);
  if (time == NULL)
    return FALSE;
  gint64 seconds = g_date_time_to_unix (time);
  g_date_time_unref (time);
  *wall_ms_out = seconds > 0 ? (uint64_t) seconds * SECOND_MS : 0;
  return TRUE;
}

char *
gg_ctl_time_format (uint64_t wall_ms)
{
  GDateTime *time = g_date_time_new_from_unix_local ((gint64) (wall_ms / SECOND_MS));
  if (time == NULL)
    return g_strdup ("unknown time");
  char *text = g_date_time_format (time, "%Y-%m-%d %H:%M:%S");
  g_date_time_unref (time);
  return text;
}

char *
gg_ctl_duration_format (uint64_t ms)
{
  static const struct
  {
    uint64_t unit_ms;
    const char *name;
  } units[] = {
    { DAY_MS, "d" }, { HOUR_MS, "h" }, { MINUTE_MS, "min" }, { SECOND_MS, "s" }, { 1, "ms" }
  };
  for (size_t i = 0; i + 1 < G_N_ELEMENTS (units); i++)
    if (ms >= 2 * units[i].unit_ms)
      return g_strdup_printf ("%" G_GUINT64_FORMAT " %s", ms / units[i].unit_ms, units[i].name);
  return g_strdup_printf ("%" G_GUINT64_FORMAT " ms", ms);
}
