/** @file
 * Streams that can be read or resumed at this instance. Thread-safe. */
#pragma once

#include "core/stream.h"

typedef struct _GgStreamRegistry GgStreamRegistry;

/** Creates an empty registry.
 * @param grace_ms how long a stream stays readable after its end. */
GgStreamRegistry *gg_stream_registry_create (uint64_t grace_ms);
void gg_stream_registry_destroy (GgStreamRegistry *self);

void gg_stream_registry_add (GgStreamRegistry *self, GgStream *stream);

/** Returns a new reference, or NULL if @p team has no such stream. */
GgStream *
gg_stream_registry_find (GgStreamRegistry *self, const GgId *request_id, const char *team);

/** Removes streams that ended more than the grace period ago. */
void gg_stream_registry_expire (GgStreamRegistry *self, uint64_t now_ms);

/** Marks that a reader has received the end of the stream. */
void gg_stream_registry_mark_delivered (GgStreamRegistry *self, const GgId *request_id);

/** Returns the number of streams whose end no reader has received and that can still be resumed. */
guint gg_stream_registry_count_undelivered (GgStreamRegistry *self);

/** Returns the number of streams. */
guint gg_stream_registry_count (GgStreamRegistry *self);
