/** @file
 * Loads of runners, load sums of other data centres and request rates per team. Not thread-safe:
 * guarded by the mutex of the control state. */
#pragma once

#include "core/load_record.h"

typedef struct _GgLoadTable GgLoadTable;

/** Sum of the loads of one service's runners in one data centre. */
typedef struct
{
  uint32_t runners;
  uint32_t outstanding_tokens;
  uint32_t tokens_per_s;
  uint64_t received_ms;
} GgLoadSum;

/** Request rate of one team at one entry instance. */
typedef struct
{
  char *team;
  uint32_t milli_requests_per_s; /**< 1/1000 of a request per second. */
} GgTeamUse;

GgLoadTable *gg_load_table_create (void);
void gg_load_table_destroy (GgLoadTable *self);

/** Stores @p load if it was measured after the stored one; its age is relative to @p now_ms. */
void gg_load_table_put (GgLoadTable *self, const GgLoadRecord *load, uint64_t now_ms);

/** Gets the load of a runner.
 * @return FALSE if there is none from the last 10 s. */
gboolean gg_load_table_get (GgLoadTable *self,
                            uint32_t runner_hash,
                            uint64_t now_ms,
                            GgLoadRecord *load_out);

/** Returns when the latest load of the runner was measured (monotonic); 0 if there is none. */
uint64_t gg_load_table_get_measured_ms (GgLoadTable *self, uint32_t runner_hash);

void gg_load_table_put_sum (GgLoadTable *self,
                            const char *data_centre,
                            const char *service,
                            const GgLoadSum *sum);

/** Returns the sum of a service in a data centre; NULL if none was received in the last 10 s. */
const GgLoadSum *gg_load_table_get_sum (GgLoadTable *self,
                                        const char *data_centre,
                                        const char *service,
                                        uint64_t now_ms);

/** Replaces the teams' request rates at @p sender. @p use is an array of GgTeamUse; the table takes
 * ownership. */
void gg_load_table_put_use (GgLoadTable *self, const char *sender, GArray *use, uint64_t now_ms);

/** Returns the teams' request rates at @p sender as an array of GgTeamUse; NULL if unknown. */
const GArray *gg_load_table_get_use (GgLoadTable *self, const char *sender);

/** Sums the teams' request rates that are at most @p max_age_ms old over all senders except
 * @p except.
 * @return a map, owned by the caller, from the team (owned by the table) to its request rate in
 *   1/1000 of a request per second, as GUINT_TO_POINTER(). */
GHashTable *
gg_load_table_sum_use (GgLoadTable *self, const char *except, uint64_t max_age_ms, uint64_t now_ms);

/** Removes entries that have expired: sums after 10 s, loads and request rates after 10 min. */
void gg_load_table_expire (GgLoadTable *self, uint64_t now_ms);

void gg_team_use_clear (GgTeamUse *self);
