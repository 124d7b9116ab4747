/** @file
 * Splits the bytes of an event stream (text/event-stream) into whole events. */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct _GgEventBuffer GgEventBuffer;

/** One whole event with the empty line that ends it. */
typedef struct
{
  const char *bytes; /**< Valid until the next call. */
  size_t size_bytes;
  gboolean has_id;
  uint64_t id;
} GgStreamEvent;

GgEventBuffer *gg_event_buffer_create (void);
void gg_event_buffer_destroy (GgEventBuffer *self);

/** Adds bytes.
 * @return FALSE if an event is longer than any that is accepted. */
gboolean gg_event_buffer_feed (GgEventBuffer *self, const char *bytes, size_t size_bytes);

/** Takes the next whole event.
 * @return FALSE if there is none yet. */
gboolean gg_event_buffer_next (GgEventBuffer *self, GgStreamEvent *event_out);

/** Bytes of an event that is not whole. */
size_t gg_event_buffer_get_partial (const GgEventBuffer *self);
