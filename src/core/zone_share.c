#include "core/zone_share.h"

#include <math.h>
#include <string.h>

/* Below this use of the local memory nothing leaves: paths are chosen among many with room. */
#define START_USE 0.6
/* Difference in use above which a share grows, and the part of it below which it shrinks. The use
 * there is known from reports that are half a second old, in which it may grow by a tenth. */
#define MARGIN 0.1
#define KEEP_PART 0.5
/* Greatest change of a share in one update, and part of the difference that is moved. */
#define STEP 0.06
#define GAIN 0.5
/* Requests that may leave at most, so that a part of the signal stays local. */
#define MAX_LEAVING 0.6
/* Weight of the latest offer in the smoothed use. */
#define SMOOTHING 0.5
/* Use that stands for layers that nobody holds. */
#define LOST_USE 10.0
/* The delay between data centres is paid for the prompt and for each event. */
#define LINK_FACTOR 2.0

typedef struct
{
  char *name;
  double use; /* smoothed */
  double margin;
  double share;
  gboolean is_offered;
} Zone;

struct _GgZoneShare
{
  char *home;
  double home_use; /* smoothed; negative: not known yet */
  GArray *zones;   /* Zone, without the own one */
};

static void
clear_zone (void *data)
{
  g_free (((Zone *) data)->name);
}

GgZoneShare *
gg_zone_share_create (const char *home)
{
  GgZoneShare *self = g_new0 (GgZoneShare, 1);
  self->home = g_strdup (home);
  self->home_use = -1;
  self->zones = g_array_new (FALSE, TRUE, sizeof (Zone));
  g_array_set_clear_func (self->zones, clear_zone);
  return self;
}

void
gg_zone_share_destroy (GgZoneShare *self)
{
  if (self == NULL)
    return;
  g_array_unref (self->zones);
  g_free (self->home);
  g_free (self);
}

static Zone *
find_zone (const GgZoneShare *self, const char *name)
{
  for (guint i = 0; i < self->zones->len; i++)
    {
      Zone *zone = &g_array_index (self->zones, Zone, i);
      if (strcmp (zone->name, name) == 0)
        return zone;
    }
  return NULL;
}

/* A loss has no weight once it is over: its use says nothing about the load. */
static void
smooth (double *value, double offered)
{
  double use = isfinite (offered) ? MIN (offered, LOST_USE) : LOST_USE;
  gboolean is_known = *value >= 0 && *value < LOST_USE && use < LOST_USE;
  *value = is_known ? (1 - SMOOTHING) * *value + SMOOTHING * use : use;
}

static void
note_offers (GgZoneShare *self, const GgZoneOffer *offers, guint n_offers, double needed_ms)
{
  gboolean is_home_offered = FALSE;
  for (guint i = 0; i < self->zones->len; i++)
    g_array_index (self->zones, Zone, i).is_offered = FALSE;
  for (guint i = 0; i < n_offers; i++)
    {
      const GgZoneOffer *offer = &offers[i];
      if (strcmp (offer->data_centre, self->home) == 0)
        {
          smooth (&self->home_use, offer->use);
          is_home_offered = TRUE;
          continue;
        }
      Zone *zone = find_zone (self, offer->data_centre);
      if (zone == NULL)
        {
          Zone added = { .name = g_strdup (offer->data_centre), .use = -1 };
          g_array_append_val (self->zones, added);
          zone = &g_array_index (self->zones, Zone, self->zones->len - 1);
        }
      smooth (&zone->use, offer->use);
      zone->margin = MARGIN + (needed_ms > 0 ? LINK_FACTOR * offer->link_ms / needed_ms : 0);
      zone->is_offered = TRUE;
    }
  if (!is_home_offered)
    self->home_use = LOST_USE;
}

static double
get_next_share (const GgZoneShare *self, const Zone *zone)
{
  double difference = self->home_use - zone->use;
  if (!zone->is_offered)
    return 0;
  if (self->home_use > START_USE && difference > zone->margin)
    return zone->share + MIN (STEP, GAIN * (difference - zone->margin));
  if (self->home_use > START_USE && difference > KEEP_PART * zone->margin)
    return zone->share;
  return MAX (zone->share - STEP, 0);
}

gboolean
gg_zone_share_update (GgZoneShare *self,
                      const GgZoneOffer *offers,
                      guint n_offers,
                      double needed_ms)
{
  double sum = 0;
  gboolean has_changed = FALSE;
  note_offers (self, offers, n_offers, needed_ms);
  for (guint i = 0; i < self->zones->len; i++)
    {
      Zone *zone = &g_array_index (self->zones, Zone, i);
      double next = get_next_share (self, zone);
      has_changed = has_changed || (next > 0) != (zone->share > 0);
      zone->share = next;
      sum += next;
    }
  for (guint i = 0; sum > MAX_LEAVING && i < self->zones->len; i++)
    g_array_index (self->zones, Zone, i).share *= MAX_LEAVING / sum;
  return has_changed;
}

const char *
gg_zone_share_choose (const GgZoneShare *self, uint32_t random)
{
  double point = random / (G_MAXUINT32 + 1.0);
  for (guint i = 0; i < self->zones->len; i++)
    {
      const Zone *zone = &g_array_index (self->zones, Zone, i);
      if (point < zone->share)
        return zone->name;
      point -= zone->share;
    }
  return self->home;
}

double
gg_zone_share_get (const GgZoneShare *self, const char *data_centre)
{
  const Zone *zone = find_zone (self, data_centre);
  if (zone != NULL)
    return zone->share;
  double local = 1;
  for (guint i = 0; i < self->zones->len; i++)
    local -= g_array_index (self->zones, Zone, i).share;
  return strcmp (data_centre, self->home) == 0 ? local : 0;
}
