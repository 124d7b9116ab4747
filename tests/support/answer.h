/** @file
 * A streamed answer as its caller sees it. */
#pragma once

#include "http_client.h"

typedef struct
{
  GgEventStream *stream; /**< NULL while the connection is closed. */
  unsigned status;
  char *request;
  GString *text;
  GString *events; /**< All events as received. */
  uint32_t n_tokens;
  gboolean in_order;
  char *closing; /**< Data of the closing event. */
  gboolean done; /**< The marker [DONE] came. */
  gboolean cut;  /**< The connection was lost before the end of the reply. */
  uint64_t last_token_ms;
  uint64_t longest_pause_ms; /**< Between two tokens since gg_answer_mark(). */
} GgAnswer;

/** Sends a streamed chat request; @p bearer NULL for the key of karongi-schools. */
GgAnswer *
gg_answer_open (const char *address, const char *bearer, const char *prompt, uint32_t max_tokens);
void gg_answer_close (GgAnswer *self);

/** Closes the connection and asks for the tokens after the last one.
 * @return whether the instance at @p address has them. */
gboolean gg_answer_resume (GgAnswer *self, const char *address, const char *bearer);

/** Closes only the connection. */
void gg_answer_disconnect (GgAnswer *self);

/** Reads until there are @p n tokens.
 * @return FALSE if the stream ended before or no event came within 10 s. */
gboolean gg_answer_read (GgAnswer *self, uint32_t n);

/** Reads until no event has come for @p quiet_ms.
 * @return FALSE if the stream ended instead. */
gboolean gg_answer_read_until_quiet (GgAnswer *self, uint64_t quiet_ms);

/** Reads to the end of the reply. */
void gg_answer_finish (GgAnswer *self);

/** Starts the measurement of pauses at the moment of a fault. */
void gg_answer_mark (GgAnswer *self);

/** Returns whether all @p n tokens came in order, with a closing event that says so. */
gboolean gg_answer_is_whole (const GgAnswer *self, uint32_t n);

/** Makes an answer without streaming.
 * @return its text or NULL. */
char *gg_answer_ask (const char *address, const char *prompt, uint32_t max_tokens);
