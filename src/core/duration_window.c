#include "core/duration_window.h"

#include <stdlib.h>

#define N_SAMPLES 50
/* Fewer samples are not representative. */
#define MIN_SAMPLES 5
/* Older requests may have met a different load. */
#define KEEP_MS 60000

typedef struct
{
  uint64_t duration_ms;
  uint64_t added_ms;
} Sample;

struct _GgDurationWindow
{
  Sample samples[N_SAMPLES];
  guint n;
  guint next; /* the oldest one once all are in use */
};

GgDurationWindow *
gg_duration_window_create (void)
{
  return g_new0 (GgDurationWindow, 1);
}

void
gg_duration_window_destroy (GgDurationWindow *self)
{
  g_free (self);
}

void
gg_duration_window_add (GgDurationWindow *self, uint64_t duration_ms, uint64_t now_ms)
{
  self->samples[self->next] = (Sample){ duration_ms, now_ms };
  self->next = (self->next + 1) % N_SAMPLES;
  self->n = MIN (self->n + 1, N_SAMPLES);
}

static gboolean
is_recent (const Sample *sample, uint64_t now_ms)
{
  return now_ms <= sample->added_ms + KEEP_MS;
}

static int
compare (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *) a;
  uint64_t y = *(const uint64_t *) b;
  return x < y ? -1 : x > y;
}

uint64_t
gg_duration_window_get_typical_ms (const GgDurationWindow *self, uint64_t now_ms)
{
  uint64_t durations[N_SAMPLES];
  guint n = 0;
  for (guint i = 0; i < self->n; i++)
    if (is_recent (&self->samples[i], now_ms))
      durations[n++] = self->samples[i].duration_ms;
  if (n < MIN_SAMPLES)
    return 0;
  qsort (durations, n, sizeof durations[0], compare);
  return durations[n * 9 / 10];
}

uint64_t
gg_duration_window_get_longest_ms (const GgDurationWindow *self, uint64_t now_ms)
{
  uint64_t longest_ms = 0;
  for (guint i = 0; i < self->n; i++)
    if (is_recent (&self->samples[i], now_ms))
      longest_ms = MAX (longest_ms, self->samples[i].duration_ms);
  return longest_ms;
}

gboolean
gg_duration_window_is_empty (const GgDurationWindow *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->n; i++)
    if (is_recent (&self->samples[i], now_ms))
      return FALSE;
  return TRUE;
}
