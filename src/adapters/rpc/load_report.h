/** @file
 * Datagram in which an instance tells its peers the work that it has given to runners (XDR). */
#pragma once

#include "core/fleet.h"

#include <glib.h>
#include <stdint.h>

/** Largest datagram, and the runners that fit into it. */
#define GG_LOAD_REPORT_MAX_BYTES 1400
#define GG_LOAD_REPORT_MAX_ENTRIES 52

/** What one instance says of one runner. */
typedef struct
{
  uint32_t runner_hash; /**< gg_load_report_hash() of its id and start. */
  GgRunnerLoad work;    /**< That the instance has given to it. */
  GgLayerRange pledged; /**< What it was ordered to hold, from the instance that orders; empty for
                         * none. */
} GgLoadReportEntry;

typedef struct
{
  char *instance;    /**< Owned by the share, as the next one is. */
  char *data_centre; /**< In which the work was taken in. */
  gboolean is_sum;   /**< The work of all instances of the data centre. */
  uint64_t incarnation;
  uint64_t number; /**< Grows with each datagram of an incarnation. */
  GArray *entries; /**< GgLoadReportEntry. */
} GgLoadReport;

uint32_t gg_load_report_hash (const char *runner_id, uint64_t born_ms);

void gg_load_report_init (GgLoadReport *self);
void gg_load_report_clear (GgLoadReport *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_load_report_encode (GgLoadReport *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no share. @p self_out is cleared by the caller in any case. */
gboolean gg_load_report_decode (char *buffer, size_t size_bytes, GgLoadReport *self_out);
