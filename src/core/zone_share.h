/** @file
 * How many requests of a model service leave the data centre that received them, and for which
 * other one. All instances of a data centre compute the shares from the same reports, a few times a
 * second, and each request is placed by a draw: if each request went to what looks best at the
 * moment, all instances would send to the same place until the next report shows it.
 *
 * The signal is the use of request memory at the narrowest layers of each data centre, which all
 * instances know alike from the load reports. A share grows in bounded steps while the use is
 * high here and lower there by more than a margin, is kept within a band below it (hysteresis), and
 * shrinks otherwise, so nothing leaves while all data centres are loaded alike, and no two of them
 * send to each other. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** What the data centres offer at one moment. */
typedef struct
{
  const char *data_centre;
  double use; /**< Use of the request memory at the layers that have least left, 0 to 1 and more;
               * INFINITY if some layer is not held. */
  double link_ms; /**< Delay between this data centre and that one, one way. */
} GgZoneOffer;

typedef struct _GgZoneShare GgZoneShare;

/** Part of the token time that callers need up to which a path needs no comparison with those of
 * other data centres. */
#define GG_ZONE_SHARE_GOOD_ENOUGH 0.5

/** @param home the data centre of this instance; copied. */
GgZoneShare *gg_zone_share_create (const char *home);
void gg_zone_share_destroy (GgZoneShare *self);

/** Moves the shares by one step. Call it every GG_ZONE_SHARE_INTERVAL_MS. A data centre that is not
 * offered any more loses its share.
 * @param offers of all data centres that have runners of the service, the own one included.
 * @param needed_ms token time that the callers' targets allow, in relation to which the delay of a
 *   link counts; 0 if there is no target.
 * @return whether a share became zero or positive. */
gboolean gg_zone_share_update (GgZoneShare *self,
                               const GgZoneOffer *offers,
                               guint n_offers,
                               double needed_ms);

/** Load reports of other data centres are up to half a second old, so an effect shows in the second
 * step after it. */
#define GG_ZONE_SHARE_INTERVAL_MS 300

/** Returns the data centre for a request, borrowed until the next update.
 * @param random bits that differ between requests. */
const char *gg_zone_share_choose (const GgZoneShare *self, uint32_t random);

/** Returns the share of requests that goes to a data centre, 0 to 1. */
double gg_zone_share_get (const GgZoneShare *self, const char *data_centre);
