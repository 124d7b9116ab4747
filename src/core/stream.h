/** @file
 * Token stream of one answer: append-only, numbered, one writer and any number of readers.
 * Thread-safe, reference counted. */
#pragma once

#include "greengage/id.h"
#include "greengage/outcome.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgStream GgStream;

GgStream *gg_stream_create (const GgId *request_id, const char *team);
GgStream *gg_stream_ref (GgStream *self);
void gg_stream_unref (GgStream *self);

const GgId *gg_stream_get_request_id (const GgStream *self);
const char *gg_stream_get_team (const GgStream *self);

/** Appends token @p number; the first is 1.
 * @return FALSE if the stream has ended or @p number is not the next one. */
gboolean gg_stream_append (GgStream *self, uint32_t number, const char *token);

/** Ends the stream; later calls have no effect.
 * @param detail for an outcome other than complete: one sentence for the caller; may be NULL. */
void gg_stream_end (GgStream *self, GgOutcome outcome, const char *detail);

typedef enum
{
  GG_STREAM_READ_TOKEN,
  GG_STREAM_READ_END,
  GG_STREAM_READ_TIMEOUT,
} GgStreamReadResult;

/** Waits until token @p number exists, the stream ends before it, or @p deadline_ms (monotonic).
 * @param token_out owned by the caller. */
GgStreamReadResult
gg_stream_read (GgStream *self, uint32_t number, uint64_t deadline_ms, char **token_out);

/** Returns the number of tokens. */
uint32_t gg_stream_get_length (GgStream *self);
gboolean gg_stream_is_ended (GgStream *self);
/** Returns GG_OUTCOME_UNKNOWN until the stream has ended. */
GgOutcome gg_stream_get_outcome (GgStream *self);
/** Returns the detail, owned by the caller; NULL if there is none. */
char *gg_stream_get_detail (GgStream *self);

/** Count readers, so that an answer without readers can be cancelled after a grace period. */
void gg_stream_attach_reader (GgStream *self);
void gg_stream_detach_reader (GgStream *self, uint64_t now_ms);

/** Returns how long the stream has had no reader, in ms; 0 while it has one. Before the first
 * reader, the time counts from the first call of this function. */
uint64_t gg_stream_get_unread_ms (GgStream *self, uint64_t now_ms);
