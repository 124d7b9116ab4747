/** @file
 * A streamed answer as received by a caller. */
#pragma once

#include "http_client.h"

typedef struct
{
  GgEventStream *stream; /**< NULL while the connection is closed. */
  unsigned status;       /**< Of the latest response; 0 if no response header arrived. */
  char *request;         /**< Request id given by the router; "" if absent. */
  GString *text;
  GString *events; /**< All events as received. */
  uint32_t n_tokens;
  gboolean in_order;         /**< Each token so far had text and the next event id, from 1 on. */
  char *closing;             /**< Data of the event "end"; NULL until it arrives. */
  gboolean done;             /**< The [DONE] marker was received. */
  gboolean is_truncated;     /**< The connection closed before the end of the reply. */
  uint64_t last_token_ms;    /**< CLOCK_MONOTONIC; 0 before the first token. */
  uint64_t longest_pause_ms; /**< Between two tokens, since gg_answer_reset_pauses(). */
} GgAnswer;

/** Sends a streaming chat request.
 * @param bearer value of the Authorization header; NULL for that of karongi-schools.
 * @return the answer, owned by the caller; status 0 if no response header arrived. */
GgAnswer *
gg_answer_open (const char *address, const char *bearer, const char *prompt, uint32_t max_tokens);
void gg_answer_close (GgAnswer *self);

/** Reconnects at @p address and requests the tokens after the last one received.
 * @return whether the instance accepted, with status 200. */
gboolean gg_answer_resume (GgAnswer *self, const char *address, const char *bearer);

/** Closes the connection and keeps the answer received so far. */
void gg_answer_disconnect (GgAnswer *self);

/** Reads until @p n tokens have been received.
 * @return FALSE if the stream ended earlier or no event arrived within 10 s. */
gboolean gg_answer_read (GgAnswer *self, uint32_t n);

/** Reads until no event has arrived for @p idle_ms.
 * @return FALSE if the stream ended. */
gboolean gg_answer_read_until_idle (GgAnswer *self, uint64_t idle_ms);

/** Reads to the end of the reply. */
void gg_answer_finish (GgAnswer *self);

/** Restarts the measurement of pauses, at the time of a fault. */
void gg_answer_reset_pauses (GgAnswer *self);

/** Returns whether all @p n tokens arrived in order, followed by a closing event that reports
 * completion and that count. */
gboolean gg_answer_is_complete (const GgAnswer *self, uint32_t n);

/** Sends a chat request without streaming.
 * @return the text of the answer, owned by the caller, or NULL on failure. */
char *gg_answer_fetch_text (const char *address, const char *prompt, uint32_t max_tokens);
