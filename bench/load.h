/** @file
 * Open-loop load generator: requests leave at their times whether or not earlier ones ended. */
#pragma once

#include "cluster.h"

typedef enum
{
  GG_LOAD_COMPLETE, /**< Whole answer within the bound. */
  GG_LOAD_REFUSED,  /**< Refused with 429 or 503 before any token. */
  GG_LOAD_LATE,     /**< The bound passed first. */
  GG_LOAD_FAILED,   /**< Any other status, a cut stream or an end without success. */
} GgLoadOutcome;

typedef struct
{
  const char *const *addresses; /**< Of entry instances, chosen uniformly. */
  uint32_t n_addresses;
  uint32_t first_team; /**< The teams are "team-N" of the cluster, from this N on. */
  uint32_t n_teams;
  const double *weights; /**< Share of each team in the requests; NULL for equal shares. */
  double rate_per_s;
  uint64_t duration_ms; /**< Time in which requests are sent. */
  uint32_t max_tokens;
  uint64_t bound_ms; /**< Of each request. */
} GgLoadPlan;

/** One request; times are monotonic, microseconds. */
typedef struct
{
  uint32_t team;
  uint32_t address;
  GgLoadOutcome outcome;
  uint64_t due_us; /**< When it was to be sent; all delays count from here. */
  uint64_t ended_us;
  GArray *token_us; /**< uint64_t, arrival of each token. */
} GgLoadRequest;

typedef struct
{
  uint64_t started_us;
  GPtrArray *requests; /**< GgLoadRequest, by due_us. */
} GgLoadRun;

typedef struct _GgLoad GgLoad;

/** Starts sending. Arrivals are a Poisson process given their number, which is rate times
 * duration: uniform times, sorted, so that two runs offer the same work. */
GgLoad *gg_load_start (const GgLoadPlan *plan, GRand *rand);

/** Waits until all requests ended; owned by the caller. */
GgLoadRun *gg_load_finish (GgLoad *self);
void gg_load_run_destroy (GgLoadRun *self);

/** Waits up to 10 s until no engine reports outstanding tokens, so that one measurement does not
 * load the next. */
void gg_load_wait_idle (const GgCluster *cluster);

/** Tokens that arrived from @p from_us to @p to_us after the start. */
uint64_t gg_load_count_tokens (const GgLoadRun *self, uint64_t from_us, uint64_t to_us);

/** Tokens of whole answers that ended in the same span; @p team -1 counts all teams. */
uint64_t gg_load_count_answered (const GgLoadRun *self, int team, uint64_t from_us, uint64_t to_us);

/** Number of requests of one outcome. */
uint32_t gg_load_count (const GgLoadRun *self, GgLoadOutcome outcome);

/** Prints outcomes, time to first token, gap between tokens and the time of refusals. */
void gg_load_print (const GgLoadRun *self);

/** Quantile of an array of uint64_t, which is sorted; 0 if it is empty. */
uint64_t gg_load_quantile (GArray *values, double q);

/** Processor time of a process so far, seconds, from its stat file. */
double gg_load_read_processor_s (int process);

/** Resident memory of a process, KiB. */
uint64_t gg_load_read_memory_kib (int process);

/** Prints seed and machine. */
void gg_load_print_machine (const char *name, uint32_t seed);
