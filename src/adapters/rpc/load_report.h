/** @file
 * Datagram in which an instance reports to its peers the load that it has given to runners (XDR).
 */
#pragma once

#include "core/fleet.h"

#include <glib.h>
#include <stdint.h>

/** Largest size of a datagram, and the most runners in it. */
#define GG_LOAD_REPORT_MAX_BYTES 1400
#define GG_LOAD_REPORT_MAX_ENTRIES 46

/** Load of one runner, as one instance reports it. */
typedef struct
{
  uint32_t runner_hash;        /**< gg_load_report_hash() of its id and start. */
  GgRunnerLoad load;           /**< Given to it by the instance. */
  GgLayerRange assigned_range; /**< Layers that it was ordered to hold; sent by the leader only,
                                * empty for none. */
} GgLoadReportEntry;

typedef struct
{
  char *instance;       /**< Name under which receivers keep the load: the sender's address,
                         * "sum/DATA_CENTRE" or "orders/ADDRESS"; allocated with malloc(), owned by the
                         * report. */
  char *data_centre;    /**< Of the instances that gave the load; allocated and owned likewise. */
  gboolean is_sum;      /**< The load given by all instances of the data centre. */
  uint64_t incarnation; /**< Wall-clock start of the sender's process in ms. */
  uint64_t number;      /**< Grows with each datagram of an incarnation. */
  uint32_t n_instances; /**< Instances that a sum counts. */
  GArray *entries;      /**< GgLoadReportEntry. */
} GgLoadReport;

/** Returns the number that identifies a runner in reports: a hash of its id and its start time, so
 * that the load of an earlier process with the same id is not counted. */
uint32_t gg_load_report_hash (const char *runner_id, uint64_t started_ms);

void gg_load_report_init (GgLoadReport *self);
void gg_load_report_clear (GgLoadReport *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_load_report_encode (GgLoadReport *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no valid load report. The caller clears @p self_out in any
 *   case. */
gboolean gg_load_report_decode (char *buffer, size_t size_bytes, GgLoadReport *self_out);
