/** @file
 * Loads of runners, sums of other data centres and use per team. Not thread-safe: guarded by
 * the mutex of the control state. */
#pragma once

#include "core/load_record.h"

typedef struct _GgLoadTable GgLoadTable;

/** Sum over the runners of one service in one data centre. */
typedef struct
{
  uint32_t runners;
  uint32_t outstanding_tokens;
  uint32_t tokens_per_s;
  uint64_t received_ms;
} GgLoadSum;

/** Use of one team at one entry instance. */
typedef struct
{
  char *team;
  uint32_t milli_requests_per_s;
} GgTeamUse;

GgLoadTable *gg_load_table_create (void);
void gg_load_table_destroy (GgLoadTable *self);

/** Keeps @p load if it is newer than the known one; its age counts from @p now_ms. */
void gg_load_table_put (GgLoadTable *self, const GgLoadRecord *load, uint64_t now_ms);

/** @return FALSE if no load of the runner from the last 10 s is known. */
gboolean gg_load_table_get (GgLoadTable *self,
                            uint32_t runner_hash,
                            uint64_t now_ms,
                            GgLoadRecord *load_out);

/** Time of the latest load of the runner; 0 if there is none. */
uint64_t gg_load_table_get_measured_ms (GgLoadTable *self, uint32_t runner_hash);

void gg_load_table_put_sum (GgLoadTable *self,
                            const char *data_centre,
                            const char *service,
                            const GgLoadSum *sum);

/** @return NULL if no sum from the last 10 s is known. */
const GgLoadSum *gg_load_table_get_sum (GgLoadTable *self,
                                        const char *data_centre,
                                        const char *service,
                                        uint64_t now_ms);

/** Replaces the use at @p sender. @p use is an array of GgTeamUse and is taken over. */
void gg_load_table_put_use (GgLoadTable *self, const char *sender, GArray *use, uint64_t now_ms);

/** Use at @p sender; NULL if unknown. */
const GArray *gg_load_table_get_use (GgLoadTable *self, const char *sender);

/** Sums what is at most @p max_age_ms old over all senders but @p except: team (owned by the
 * table) to GUINT_TO_POINTER of milli requests per second. The caller owns the result. */
GHashTable *
gg_load_table_sum_use (GgLoadTable *self, const char *except, uint64_t max_age_ms, uint64_t now_ms);

/** Drops loads, sums and uses that are too old to matter. */
void gg_load_table_expire (GgLoadTable *self, uint64_t now_ms);

void gg_team_use_clear (GgTeamUse *self);
