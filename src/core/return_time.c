#include "core/return_time.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Time constant of the rate of admissions: about the time within which refused callers retry. */
#define RATE_MS 3000.0
/* The rate is taken over this time at least, so that a burst after a start is no high rate. */
#define MIN_RATE_PERIOD_MS 1000
/* With less on record than this, 9 s after a single admission or 19 s after ten per second, the
 * service was idle or had no runners: the rate is taken over the time since then. */
#define FORGOTTEN_ADMITTED 0.05
/* With fewer admissions on record the rate follows from the demand of an idle service, and not from
 * its capacity. */
#define MIN_ADMITTED 4
/* Refusals for so long show a low rate, however few admissions there are. */
#define MEASURED_SHORTAGE_MS 3000
/* Named while there is no measured rate. */
#define UNMEASURED_MS 1000.0
/* Below this a caller would retry before the load reports of other instances show a change. */
#define MIN_MS 250.0
/* Callers with the same time retry within this fraction before and after it. */
#define JITTER 0.3
/* Part of the time left to a caller after which it retries at the latest: the rest is for the
 * answer. */
#define LEFT_FRACTION 0.5
#define RANDOM_MULTIPLIER 2654435761U
#define RANDOM_RANGE 4294967296.0

static void
decay (GgReturnTime *self, uint64_t now_ms)
{
  self->n_admitted *= exp (-(double) (now_ms - self->decayed_ms) / RATE_MS);
  self->decayed_ms = now_ms;
}

/* Drops callers whose time to retry has passed. */
static void
advance (GgReturnTime *self, uint64_t now_ms)
{
  uint64_t interval = now_ms / GG_RETURN_TIME_INTERVAL_MS;
  uint64_t n_passed = MIN (interval - self->interval, GG_RETURN_TIME_INTERVALS);
  for (uint64_t i = 0; i < n_passed; i++)
    {
      uint32_t *counts = self->returning[(self->interval + i) % GG_RETURN_TIME_INTERVALS];
      for (guint rank = 0; rank < GG_RETURN_TIME_RANKS; rank++)
        counts[rank] = 0;
    }
  self->interval = interval;
}

/* Counts the callers of the same or a more urgent rank that have not retried yet. */
static guint
count_returning (const GgReturnTime *self, guint rank)
{
  guint n = 0;
  for (guint i = 0; i < GG_RETURN_TIME_INTERVALS; i++)
    for (guint k = 0; k <= rank; k++)
      n += self->returning[i][k];
  return n;
}

/* A series of refusals goes on while callers that were refused in it may still retry. */
static gboolean
is_short (const GgReturnTime *self, uint64_t now_ms)
{
  return self->refused_ms != 0 && now_ms - self->refused_ms <= GG_RETURN_TIME_MAX_MS;
}

static gboolean
is_measured (const GgReturnTime *self, uint64_t now_ms)
{
  return self->n_admitted >= MIN_ADMITTED
         || (is_short (self, now_ms) && now_ms - self->short_since_ms >= MEASURED_SHORTAGE_MS);
}

/* Returns admissions per second. */
static double
get_rate (const GgReturnTime *self, uint64_t now_ms)
{
  double period_ms = (double) MAX (now_ms - self->first_ms, MIN_RATE_PERIOD_MS);
  return self->n_admitted * MS_PER_S / (RATE_MS * (1 - exp (-period_ms / RATE_MS)));
}

/* Returns a factor around 1: a request of a more urgent rank gets a lower one. */
static double
get_jitter (const GgReturnQuery *query)
{
  double random = (double) (query->random * RANDOM_MULTIPLIER) / RANDOM_RANGE;
  guint n_ranks = MAX (query->n_ranks, 1);
  double position = (MIN (query->rank, n_ranks - 1) + random) / n_ranks;
  return 1 - JITTER + 2 * JITTER * position;
}

void
gg_return_time_note_admitted (GgReturnTime *self, uint64_t now_ms)
{
  decay (self, now_ms);
  if (self->n_admitted < FORGOTTEN_ADMITTED)
    self->first_ms = now_ms;
  self->n_admitted++;
}

void
gg_return_time_note_refused (GgReturnTime *self, guint rank, uint64_t delay_ms, uint64_t now_ms)
{
  advance (self, now_ms);
  if (!is_short (self, now_ms))
    self->short_since_ms = now_ms;
  self->refused_ms = now_ms;
  uint64_t return_ms = now_ms + MIN (delay_ms, GG_RETURN_TIME_MAX_MS);
  uint64_t interval = return_ms / GG_RETURN_TIME_INTERVAL_MS % GG_RETURN_TIME_INTERVALS;
  self->returning[interval][MIN (rank, GG_RETURN_TIME_RANKS - 1)]++;
}

uint64_t
gg_return_time_get_ms (GgReturnTime *self, const GgReturnQuery *query)
{
  advance (self, query->now_ms);
  decay (self, query->now_ms);
  double ms = UNMEASURED_MS;
  if (is_measured (self, query->now_ms))
    {
      guint rank = MIN (query->rank, GG_RETURN_TIME_RANKS - 1);
      /* The request itself has to be admitted as well. */
      double n = 1.0 + query->n_ahead + count_returning (self, rank);
      double rate = get_rate (self, query->now_ms);
      /* The jitter must not be cut off at a bound, where many callers would retry at once. */
      double min_ms = MIN_MS / (1 - JITTER);
      double max_ms = GG_RETURN_TIME_MAX_MS / (1 + JITTER);
      ms = n * MS_PER_S < rate * max_ms ? MAX (n * MS_PER_S / rate, min_ms) : max_ms;
    }
  if (query->left_ms > 0)
    ms = MIN (ms, (double) query->left_ms * LEFT_FRACTION / (1 + JITTER));
  return MAX ((uint64_t) (ms * get_jitter (query)), 1);
}
