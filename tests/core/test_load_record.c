/* Guards the encoding of load records: a large rounding error would mislead routing, and a record
 * whose age decreases from peer to peer would circulate for ever. */
#include "core/load_record.h"
#include "test_main.h"

static GgLoadRecord
encode_and_decode (const GgLoadRecord *load)
{
  uint8_t wire[GG_LOAD_RECORD_SIZE_BYTES];
  GgLoadRecord out;
  gg_load_record_encode (load, wire);
  gg_load_record_decode (&out, wire);
  return out;
}

static void
test_rounding (void)
{
  for (uint32_t value = 0; value <= 500000; value += 1 + value / 40)
    {
      GgLoadRecord load = { 0xdeadbeef, value, value, 0, value % 2 };
      GgLoadRecord out = encode_and_decode (&load);
      uint32_t error = MAX (out.outstanding_tokens, value) - MIN (out.outstanding_tokens, value);
      CU_ASSERT_TRUE (error <= value / 32 + (value > 32));
      CU_ASSERT_EQUAL (out.tokens_per_s, out.outstanding_tokens);
      CU_ASSERT_EQUAL (out.runner_hash, 0xdeadbeef);
      CU_ASSERT_EQUAL (out.leaving, load.leaving);
      GgLoadRecord again = encode_and_decode (&out);
      CU_ASSERT_EQUAL (again.outstanding_tokens, out.outstanding_tokens);
    }
  GgLoadRecord largest = { 1, UINT32_MAX, 0, UINT32_MAX, FALSE };
  CU_ASSERT_EQUAL (encode_and_decode (&largest).outstanding_tokens, 31 << 14);
  CU_ASSERT_EQUAL (encode_and_decode (&largest).age_ms, 12750);
}

static void
test_age_never_decreases (void)
{
  for (uint32_t age_ms = 0; age_ms <= 12750; age_ms += 7)
    {
      GgLoadRecord load = { 1, 0, 0, age_ms, FALSE };
      uint32_t decoded_ms = encode_and_decode (&load).age_ms;
      CU_ASSERT_TRUE (decoded_ms >= age_ms && decoded_ms < age_ms + 50);
    }
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "rounding", test_rounding },
    { "age never decreases", test_age_never_decreases },
  };
  return gg_test_run ("load_record", cases, G_N_ELEMENTS (cases));
}
