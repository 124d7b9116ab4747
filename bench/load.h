/** @file
 * Open-loop load generator: requests are sent on schedule, even if earlier ones have not ended. */
#pragma once

#include "cluster.h"

typedef enum
{
  GG_LOAD_COMPLETE, /**< Complete answer within the time limit. */
  GG_LOAD_REFUSED,  /**< Refused with 429 or 503 before any token. */
  GG_LOAD_LATE,     /**< The time limit passed first. */
  GG_LOAD_FAILED,   /**< Any other status, a broken stream or a failed answer. */
} GgLoadOutcome;

typedef struct
{
  const char *const *addresses; /**< Of entry instances, chosen uniformly. */
  uint32_t n_addresses;
  uint32_t first_team; /**< The teams are "team-N" of the cluster, starting with this N. */
  uint32_t n_teams;
  const double *weights; /**< Share of each team in the requests; NULL for equal shares. */
  double rate_per_s;
  uint64_t duration_ms; /**< Time during which requests are sent. */
  uint32_t max_tokens;
  uint64_t timeout_ms; /**< Time limit of each request. */
} GgLoadPlan;

/** One request; times are monotonic, microseconds. */
typedef struct
{
  uint32_t team;
  uint32_t address;
  GgLoadOutcome outcome;
  uint64_t due_us; /**< Scheduled send time; all delays are measured from it. */
  uint64_t ended_us;
  GArray *token_us; /**< uint64_t, arrival time of each token. */
} GgLoadRequest;

typedef struct
{
  uint64_t started_us;
  GPtrArray *requests; /**< GgLoadRequest, by due_us. */
} GgLoadRun;

typedef struct _GgLoad GgLoad;

/** Starts sending. The number of arrivals is fixed to rate times duration, so that two runs offer
 * the same work; their times are uniform and sorted, as in a Poisson process of that number. */
GgLoad *gg_load_start (const GgLoadPlan *plan, GRand *rand);

/** Waits until all requests have ended and frees @p self; the result is owned by the caller. */
GgLoadRun *gg_load_finish (GgLoad *self);
void gg_load_run_destroy (GgLoadRun *self);

/** Waits up to 10 s until no engine reports outstanding tokens, so that work of one measurement
 * does not affect the next. */
void gg_load_wait_idle (const GgCluster *cluster);

/** Returns the number of tokens that arrived between @p from_us and @p to_us after the start. */
uint64_t gg_load_count_tokens (const GgLoadRun *self, uint64_t from_us, uint64_t to_us);

/** Returns the number of tokens of complete answers that ended in this time span; a @p team of -1
 * counts all teams. */
uint64_t gg_load_count_answered (const GgLoadRun *self, int team, uint64_t from_us, uint64_t to_us);

/** Returns the number of requests that ended with @p outcome. */
uint32_t gg_load_count (const GgLoadRun *self, GgLoadOutcome outcome);

/** Prints outcomes, time to first token, gaps between tokens and the time of refusals. */
void gg_load_print (const GgLoadRun *self);

/** Sorts an array of uint64_t and returns its quantile @p q; 0 if it is empty. */
uint64_t gg_load_quantile (GArray *values, double q);

/** Returns the processor time of a process so far, in seconds, from its stat file. */
double gg_load_read_processor_s (int process);

/** Returns the resident memory of a process, in KiB. */
uint64_t gg_load_read_memory_kib (int process);

/** Prints the seed and properties of the machine. */
void gg_load_print_machine (const char *name, uint32_t seed);
