/** @file
 * Splits the bytes of an event stream (text/event-stream) into complete events. */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct _GgEventBuffer GgEventBuffer;

/** One complete event, including the empty line that ends it. */
typedef struct
{
  const char *bytes; /**< Valid until the next call on the buffer. */
  size_t size_bytes;
  gboolean is_valid; /**< Every line has the form of a field or a comment. */
  gboolean has_id;
  uint64_t id;
} GgStreamEvent;

GgEventBuffer *gg_event_buffer_create (void);
void gg_event_buffer_destroy (GgEventBuffer *self);

/** Appends received bytes.
 * @return FALSE if more bytes are buffered than an event may have. */
gboolean gg_event_buffer_append (GgEventBuffer *self, const char *bytes, size_t size_bytes);

/** Removes the next complete event from the buffer.
 * @return FALSE if there is none yet. */
gboolean gg_event_buffer_next (GgEventBuffer *self, GgStreamEvent *event_out);

/** Returns the number of buffered bytes of an incomplete event. */
size_t gg_event_buffer_get_partial_bytes (const GgEventBuffer *self);
