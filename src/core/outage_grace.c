#include "core/outage_grace.h"

/* Entries expire after three missed heartbeats of about a second each. After a shorter outage, an
 * entry that is missing was removed by its runner. */
#define MIN_OUTAGE_MS 2000
/* Runners that are alive write their entries within two seconds of the store's recovery. */
#define GRACE_MS 2200

void
gg_outage_grace_note_outage (GgOutageGrace *self, uint64_t now_ms)
{
  if (self->outage_since_ms == 0)
    self->outage_since_ms = now_ms;
}

void
gg_outage_grace_note_recovery (GgOutageGrace *self, uint64_t sent_ms, uint64_t now_ms)
{
  if (sent_ms < self->outage_since_ms)
    return;
  if (self->outage_since_ms != 0 && now_ms - self->outage_since_ms >= MIN_OUTAGE_MS)
    self->grace_until_ms = now_ms + GRACE_MS;
  self->outage_since_ms = 0;
}

gboolean
gg_outage_grace_is_active (const GgOutageGrace *self, uint64_t now_ms)
{
  return now_ms < self->grace_until_ms;
}

void
gg_outage_grace_note_restored (GgOutageGrace *self, uint64_t now_ms)
{
  self->restored_until_ms = now_ms + GRACE_MS;
}

uint64_t
gg_outage_grace_get_list_end_ms (const GgOutageGrace *self)
{
  return MAX (self->grace_until_ms, self->restored_until_ms);
}
