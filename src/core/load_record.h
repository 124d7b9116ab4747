/** @file
 * Compact wire format of the runner loads that control processes exchange. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Load of one runner, as measured by the control process that polls it. */
typedef struct
{
  uint32_t runner_hash;        /**< gg_id_hash_instance() of the runner's id. */
  uint32_t outstanding_tokens; /**< On the wire: 4-bit exponent, 4-bit mantissa. */
  uint32_t tokens_per_s;       /**< Encoded like outstanding_tokens. */
  uint32_t age_ms; /**< Since the measurement; on the wire in steps of 50 ms, at most 12.75 s. */
  gboolean leaving;
} GgLoadRecord;

#define GG_LOAD_RECORD_SIZE_BYTES 8

void gg_load_record_encode (const GgLoadRecord *load, uint8_t out[GG_LOAD_RECORD_SIZE_BYTES]);
void gg_load_record_decode (GgLoadRecord *load_out, const uint8_t in[GG_LOAD_RECORD_SIZE_BYTES]);
