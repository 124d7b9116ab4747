/* Guards the datagrams about rate limits: what is decoded must be what was encoded, times must
 * survive clocks that differ, and damaged bytes must be rejected. */
#include "adapters/rpc/limit_message.h"
#include "test_main.h"

#include <string.h>

static size_t
encode (char *bytes, size_t size_bytes, guint n_entries)
{
  GgLimitMessage message;
  gg_limit_message_init (&message, GG_LIMIT_MESSAGE_REQUEST, "10.0.0.1:7520");
  message.number = 12;
  for (guint i = 0; i < n_entries; i++)
    {
      GgLimitEntry entry = { .runner_hash = 100 + i,
                             .evidence = { i % 2 == 0, 1500, 9000 },
                             .is_first_hand = TRUE,
                             .n_permits = 3 };
      g_array_append_val (message.entries, entry);
    }
  size_t used = gg_limit_message_encode (&message, 10000, bytes, size_bytes);
  gg_limit_message_clear (&message);
  return used;
}

static void
test_round_trip (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  GgLimitMessage message;
  size_t used = encode (bytes, sizeof bytes, GG_LIMIT_MESSAGE_MAX_ENTRIES);
  CU_ASSERT (used > 0);
  if (!gg_limit_message_decode (bytes, used, 500000, &message))
    {
      CU_FAIL ("not decoded");
      return;
    }
  const GgLimitEntry *entry = &g_array_index (message.entries, GgLimitEntry, 1);
  CU_ASSERT_EQUAL (message.kind, GG_LIMIT_MESSAGE_REQUEST);
  CU_ASSERT_EQUAL (message.number, 12);
  CU_ASSERT_STRING_EQUAL (message.sender, "10.0.0.1:7520");
  CU_ASSERT_EQUAL (message.entries->len, GG_LIMIT_MESSAGE_MAX_ENTRIES);
  CU_ASSERT_EQUAL (entry->runner_hash, 101);
  CU_ASSERT_FALSE (entry->evidence.is_limited);
  CU_ASSERT_TRUE (entry->is_first_hand);
  CU_ASSERT_EQUAL (entry->evidence.time_ms, 499000);
  CU_ASSERT_EQUAL (entry->n_permits, 3);
  gg_limit_message_clear (&message);
}

static void
test_damaged (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  GgLimitMessage message;
  size_t used = encode (bytes, sizeof bytes, 2);
  for (size_t n = 0; n < used; n++)
    CU_ASSERT_FALSE (gg_limit_message_decode (bytes, n, 500000, &message));
  bytes[0] ^= 1;
  CU_ASSERT_FALSE (gg_limit_message_decode (bytes, used, 500000, &message));
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "round trip", test_round_trip },
    { "damaged", test_damaged },
  };
  return gg_test_run ("limit message", cases, G_N_ELEMENTS (cases));
}
