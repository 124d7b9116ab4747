/** @file
 * When the caller of a request that was refused for lack of capacity should retry (Retry-After).
 * Callers that all retry after the same time find the service as full as before; so each is given
 * the time at which it would be its turn, by the rate at which requests of the service are admitted
 * here. */
#pragma once

#include "core/urgency.h"

#include <glib.h>
#include <stdint.h>

/** Longest time that is named. */
#define GG_RETURN_TIME_MAX_MS 4000
/** Width of the intervals in which callers that will retry are counted. */
#define GG_RETURN_TIME_INTERVAL_MS 100
/** Intervals up to the longest time, the present one and a spare one included. */
#define GG_RETURN_TIME_INTERVALS (GG_RETURN_TIME_MAX_MS / GG_RETURN_TIME_INTERVAL_MS + 2)
/** Rank of callers whose team is over its share (team_share.h): after all priorities, so that
 * others do not wait for them. */
#define GG_RETURN_TIME_HELD_BACK GG_URGENCY_MAX_PRIORITIES
#define GG_RETURN_TIME_RANKS (GG_RETURN_TIME_HELD_BACK + 1)

/** Recent admissions and refusals of one service at this instance; zero-initialised. Times are
 * monotonic. */
typedef struct
{
  double n_admitted;       /**< Decaying. */
  uint64_t decayed_ms;     /**< Up to this time. */
  uint64_t first_ms;       /**< First admission since hardly any was on record. */
  uint64_t short_since_ms; /**< First refusal of the latest series. */
  uint64_t refused_ms;     /**< Latest refusal; 0 for none. */
  uint64_t interval;       /**< The present interval, counted from time 0. */
  /** Callers that are to retry, by interval (modulo their number) and rank. */
  uint32_t returning[GG_RETURN_TIME_INTERVALS][GG_RETURN_TIME_RANKS];
} GgReturnTime;

/** A request that is to be refused. */
typedef struct
{
  guint n_ahead;    /**< Requests before it in the queue of its service. */
  guint rank;       /**< Of its priority, see urgency.h, or GG_RETURN_TIME_HELD_BACK. */
  guint n_ranks;    /**< Ranks that recent requests have. */
  uint32_t random;  /**< Random bits. */
  uint64_t left_ms; /**< Until the time limit of its caller; 0 if that has passed. */
  uint64_t now_ms;
} GgReturnQuery;

/** Records that a runner has accepted a request. */
void gg_return_time_note_admitted (GgReturnTime *self, uint64_t now_ms);

/** Records that a caller was told to retry after @p delay_ms. */
void
gg_return_time_note_refused (GgReturnTime *self, guint rank, uint64_t delay_ms, uint64_t now_ms);

/** Returns after how many milliseconds the caller should retry: at least 1, at most half of the
 * time that it has left. */
uint64_t gg_return_time_get_ms (GgReturnTime *self, const GgReturnQuery *query);
