#include "core/watch_delegation.h"

/* Consecutive valid reports before an instance relies again on a delegate that has failed. */
#define MIN_REPORTS_AFTER_FAILURE 3
/* Tolerates the loss of two consecutive requests or reports, and is short enough that a
 * configuration change still takes effect in time and API keys stay proven to be current. */
#define REPORT_TIMEOUT_MS 800
/* A status older than this means that the delegate's calls to the store fail or hang: normally it
 * is up to two waits of the delegate's watch old, of one second each. */
#define MAX_AGE_MS 2300
/* The same for its view of the runners, which has a pause of half a second between two waits. */
#define MAX_RUNNERS_AGE_MS 2800

static gboolean
has_enough_reports (const GgWatchDelegation *self)
{
  return self->n_valid_reports >= (self->has_failed ? MIN_REPORTS_AFTER_FAILURE : 1);
}

static void
note_failure (GgWatchDelegation *self)
{
  self->has_failed |= self->n_valid_reports > 0;
  self->n_valid_reports = 0;
}

void
gg_watch_delegation_note_status (GgWatchDelegation *self,
                                 const GgWatchStatus *status,
                                 uint64_t requested_ms)
{
  if (requested_ms > self->last_valid_ms + REPORT_TIMEOUT_MS)
    note_failure (self);
  self->last_status_ms = MAX (self->last_status_ms, requested_ms);
  if (!status->is_delegate || status->age_ms > MAX_AGE_MS
      || status->runners_age_ms > MAX_RUNNERS_AGE_MS)
    {
      note_failure (self);
      return;
    }
  self->n_valid_reports++;
  self->last_valid_ms = MAX (self->last_valid_ms, requested_ms);
}

void
gg_watch_delegation_reset (GgWatchDelegation *self)
{
  *self = (GgWatchDelegation){ 0 };
}

gboolean
gg_watch_delegation_is_active (const GgWatchDelegation *self, uint64_t now_ms)
{
  return has_enough_reports (self) && now_ms - self->last_valid_ms <= REPORT_TIMEOUT_MS;
}

gboolean
gg_watch_delegation_has_delegate (const GgWatchDelegation *self, uint64_t now_ms)
{
  return self->last_status_ms != 0 && now_ms - self->last_status_ms <= REPORT_TIMEOUT_MS;
}

uint64_t
gg_watch_status_get_proven_ms (const GgWatchStatus *self, uint64_t requested_ms)
{
  return self->is_delegate && requested_ms > self->age_ms ? requested_ms - self->age_ms : 0;
}

uint64_t
gg_watch_status_get_runners_proven_ms (const GgWatchStatus *self, uint64_t requested_ms)
{
  return self->is_delegate && requested_ms > self->runners_age_ms
             ? requested_ms - self->runners_age_ms
             : 0;
}
