/** @file
 * How long requests of one kind take, from the latest of them: the time within which most end. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgDurationWindow GgDurationWindow;

GgDurationWindow *gg_duration_window_create (void);
void gg_duration_window_destroy (GgDurationWindow *self);

/** Adds the duration of a request that has ended. */
void gg_duration_window_add (GgDurationWindow *self, uint64_t duration_ms, uint64_t now_ms);

/** Returns the time within which nine of ten recent requests ended; 0 if too few are known. */
uint64_t gg_duration_window_get_typical_ms (const GgDurationWindow *self, uint64_t now_ms);

/** Returns how long the longest recent request took; 0 if none is known. */
uint64_t gg_duration_window_get_longest_ms (const GgDurationWindow *self, uint64_t now_ms);

/** Returns whether all durations are too old to count. */
gboolean gg_duration_window_is_empty (const GgDurationWindow *self, uint64_t now_ms);
