#include "core/outage_grace.h"

/* Entries lapse after three heartbeats of about a second; after a shorter outage one that is
 * missing was removed by its runner. */
#define MIN_AWAY_MS 2000
/* Runners that live are back within two seconds of the store's return. */
#define HOLD_MS 2200

void
gg_outage_grace_note_outage (GgOutageGrace *self, uint64_t now_ms)
{
  if (self->away_since_ms == 0)
    self->away_since_ms = now_ms;
}

void
gg_outage_grace_note_recovery (GgOutageGrace *self, uint64_t now_ms)
{
  if (self->away_since_ms != 0 && now_ms - self->away_since_ms >= MIN_AWAY_MS)
    self->hold_until_ms = now_ms + HOLD_MS;
  self->away_since_ms = 0;
}

gboolean
gg_outage_grace_is_active (const GgOutageGrace *self, uint64_t now_ms)
{
  return now_ms < self->hold_until_ms;
}
