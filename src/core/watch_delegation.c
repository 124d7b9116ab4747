#include "core/watch_delegation.h"

/* Good words in a row before an instance relies on a source that has failed it. */
#define MIN_GOOD_AGAIN 3
/* Two questions in a row and the answers to them may be lost; a change of the configuration must
 * still be in force in time, and keys must stay proven. */
#define SILENCE_MS 800
/* An older view than this means that the source's calls fail or hang: a proof is up to two waits of
 * the source's watch old, a second each. */
#define MAX_AGE_MS 2300

static gboolean
is_trusted (const GgWatchDelegation *self)
{
  return self->n_good >= (self->has_failed ? MIN_GOOD_AGAIN : 1);
}

static void
note_failure (GgWatchDelegation *self)
{
  self->has_failed |= self->n_good > 0;
  self->n_good = 0;
}

void
gg_watch_delegation_note_status (GgWatchDelegation *self,
                                 const GgWatchStatus *word,
                                 uint64_t asked_ms)
{
  if (asked_ms > self->heard_ms + SILENCE_MS)
    note_failure (self);
  self->word_ms = MAX (self->word_ms, asked_ms);
  if (!word->is_source || word->age_ms > MAX_AGE_MS)
    {
      note_failure (self);
      return;
    }
  self->n_good++;
  self->heard_ms = MAX (self->heard_ms, asked_ms);
}

void
gg_watch_delegation_reset (GgWatchDelegation *self)
{
  *self = (GgWatchDelegation){ 0 };
}

gboolean
gg_watch_delegation_is_active (const GgWatchDelegation *self, uint64_t now_ms)
{
  return is_trusted (self) && now_ms - self->heard_ms <= SILENCE_MS;
}

gboolean
gg_watch_delegation_has_delegate (const GgWatchDelegation *self, uint64_t now_ms)
{
  return self->word_ms != 0 && now_ms - self->word_ms <= SILENCE_MS;
}

uint64_t
gg_watch_status_get_proven_ms (const GgWatchStatus *self, uint64_t asked_ms)
{
  return self->is_source && asked_ms > self->age_ms ? asked_ms - self->age_ms : 0;
}
