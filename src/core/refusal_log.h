/** @file
 * Which refusals of requests without authorization are logged. Clients without a key may send
 * thousands of requests a second, and a line for each would fill the disk of the log. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Why a request was refused before it was authorized. */
typedef enum
{
  GG_REFUSAL_NONE, /**< It was authorized: its lines are never left out. */
  GG_REFUSAL_MALFORMED,
  GG_REFUSAL_NO_HOST,
  GG_REFUSAL_NO_CONFIGURATION,
  GG_REFUSAL_NO_ROUTE,
  GG_REFUSAL_NO_ATTEMPT_ID,
  GG_REFUSAL_KEYS_NOT_FRESH,
  GG_REFUSAL_UNKNOWN_KEY,
  GG_REFUSAL_NO_VALID_TOKEN,
  GG_REFUSAL_N_KINDS,
} GgRefusalKind;

/** A token bucket over all kinds; zero-initialised. Times are monotonic. */
typedef struct
{
  double n_used;      /**< Tokens in use, at filled_ms. */
  uint64_t filled_ms; /**< When the bucket was last refilled. */
  gboolean is_seen[GG_REFUSAL_N_KINDS];
  uint64_t logged_ms[GG_REFUSAL_N_KINDS]; /**< Latest line of each kind that was seen. */
  uint64_t n_left_out;                    /**< Lines since gg_refusal_log_take_left_out(). */
} GgRefusalLog;

/** Returns whether the line of a refusal is to be written; counts it as left out otherwise. */
gboolean gg_refusal_log_admit (GgRefusalLog *self, GgRefusalKind kind, uint64_t now_ms);

/** Returns the number of lines left out since the last call. */
uint64_t gg_refusal_log_take_left_out (GgRefusalLog *self);
