/** @file
 * Reads the tokens of a stream in this process or at a peer. */
#pragma once

#include "core/stream.h"
#include "daemons/entryd/entry_context.h"

typedef struct _GgStreamSource GgStreamSource;

/** Takes a reference to @p stream and attaches to it as a reader. */
GgStreamSource *gg_stream_source_create_local (GgEntry *entry, GgStream *stream);

/** Reads from the entry process at @p address by RPC. */
GgStreamSource *
gg_stream_source_create_remote (const char *address, const GgId *stream_id, const char *team);
void gg_stream_source_destroy (GgStreamSource *self);

typedef enum
{
  GG_STREAM_SOURCE_TOKEN,
  GG_STREAM_SOURCE_END,
  GG_STREAM_SOURCE_TIMEOUT,
  GG_STREAM_SOURCE_UNKNOWN, /**< No such stream of this team. */
  GG_STREAM_SOURCE_LOST,    /**< The peer did not answer. */
} GgStreamSourceRead;

/** Waits for token @p number until @p deadline_ms (monotonic).
 * @param token_out set for GG_STREAM_SOURCE_TOKEN; owned by the caller. */
GgStreamSourceRead gg_stream_source_read (GgStreamSource *self,
                                          uint32_t number,
                                          uint64_t deadline_ms,
                                          char **token_out);

/** Returns the outcome of a stream after GG_STREAM_SOURCE_END.
 * @param detail_out may be set to NULL; owned by the caller. */
GgOutcome gg_stream_source_get_outcome (GgStreamSource *self, char **detail_out);
