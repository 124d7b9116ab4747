#include "core/load_record.h"

#define GG_LOAD_RECORD_AGE_STEP_MS 50
#define GG_LOAD_RECORD_AGE_MAX 255
#define GG_LOAD_RECORD_MANTISSA_BITS 4
#define GG_LOAD_RECORD_MANTISSA_MASK 15
#define GG_LOAD_RECORD_EXPONENT_MAX 15
#define GG_LOAD_RECORD_FLAG_LEAVING 1

/* Values below 16 are exact. Above, the mantissa holds the 4 bits after the leading one, so the
 * error is at most 1/32. The largest value is 31 << 14. */
static uint8_t
encode_rounded (uint32_t value)
{
  uint32_t exponent = 0;
  uint64_t rest = value;
  while (rest > 2 * GG_LOAD_RECORD_MANTISSA_MASK + 1)
    {
      exponent++;
      rest = ((uint64_t) value + ((uint64_t) 1 << exponent >> 1)) >> exponent;
    }
  if (rest <= GG_LOAD_RECORD_MANTISSA_MASK)
    return (uint8_t) rest;
  if (exponent + 1 > GG_LOAD_RECORD_EXPONENT_MAX)
    return UINT8_MAX;
  return (uint8_t) ((exponent + 1) << GG_LOAD_RECORD_MANTISSA_BITS
                    | (rest & GG_LOAD_RECORD_MANTISSA_MASK));
}

static uint32_t
decode_rounded (uint8_t byte)
{
  uint32_t exponent = byte >> GG_LOAD_RECORD_MANTISSA_BITS;
  uint32_t mantissa = byte & GG_LOAD_RECORD_MANTISSA_MASK;
  if (exponent == 0)
    return mantissa;
  return (GG_LOAD_RECORD_MANTISSA_MASK + 1 + mantissa) << (exponent - 1);
}

/* Rounds up, so that the age of a record never decreases as it passes from peer to peer. */
static uint8_t
encode_age (uint32_t age_ms)
{
  uint64_t steps
      = ((uint64_t) age_ms + GG_LOAD_RECORD_AGE_STEP_MS - 1) / GG_LOAD_RECORD_AGE_STEP_MS;
  return (uint8_t) MIN (steps, GG_LOAD_RECORD_AGE_MAX);
}

void
gg_load_record_encode (const GgLoadRecord *load, uint8_t out[GG_LOAD_RECORD_SIZE_BYTES])
{
  for (int i = 0; i < 4; i++)
    out[i] = (uint8_t) (load->runner_hash >> (24 - 8 * i));
  out[4] = encode_rounded (load->outstanding_tokens);
  out[5] = encode_rounded (load->tokens_per_s);
  out[6] = encode_age (load->age_ms);
  out[7] = load->leaving ? GG_LOAD_RECORD_FLAG_LEAVING : 0;
}

void
gg_load_record_decode (GgLoadRecord *load_out, const uint8_t in[GG_LOAD_RECORD_SIZE_BYTES])
{
  load_out->runner_hash
      = (uint32_t) in[0] << 24 | (uint32_t) in[1] << 16 | (uint32_t) in[2] << 8 | in[3];
  load_out->outstanding_tokens = decode_rounded (in[4]);
  load_out->tokens_per_s = decode_rounded (in[5]);
  load_out->age_ms = (uint32_t) in[6] * GG_LOAD_RECORD_AGE_STEP_MS;
  load_out->leaving = (in[7] & GG_LOAD_RECORD_FLAG_LEAVING) != 0;
}
