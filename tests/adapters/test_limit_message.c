/* Guards the datagrams about rate limits: what is decoded must be what was encoded, times must
 * survive clocks that differ, and damaged bytes must be rejected. Builds without views must be able
 * to read the rest. */
#include "adapters/rpc/limit_message.h"
#include "test_main.h"

#include <string.h>

static size_t
encode (char *bytes, size_t size_bytes, guint n_entries, guint n_views)
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
  for (guint i = 0; i < n_views; i++)
    {
      GgLimitView view = { .data_centre_hash = 200 + i,
                           .term = 1ULL << 41 | i,
                           .address = (char *) "127.127.127.127:65535",
                           .is_ceded = i % 2 == 0,
                           .is_claim = i % 2 == 1 };
      gg_limit_message_add_view (&message, &view);
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
  size_t used = encode (bytes, sizeof bytes, GG_LIMIT_MESSAGE_MAX_ENTRIES, 0);
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
test_views (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  GgLimitMessage message;
  size_t used
      = encode (bytes, sizeof bytes, GG_LIMIT_MESSAGE_MAX_ENTRIES, GG_LIMIT_MESSAGE_MAX_VIEWS + 1);
  CU_ASSERT_TRUE_FATAL (used > 0);
  CU_ASSERT_TRUE_FATAL (gg_limit_message_decode (bytes, used, 500000, &message));
  CU_ASSERT_EQUAL (message.entries->len, GG_LIMIT_MESSAGE_MAX_ENTRIES);
  CU_ASSERT_EQUAL_FATAL (message.views->len, GG_LIMIT_MESSAGE_MAX_VIEWS);
  const GgLimitView *view = &g_array_index (message.views, GgLimitView, 1);
  CU_ASSERT_EQUAL (view->data_centre_hash, 201);
  CU_ASSERT_EQUAL (view->term, 1ULL << 41 | 1);
  CU_ASSERT_STRING_EQUAL (view->address, "127.127.127.127:65535");
  CU_ASSERT_FALSE (view->is_ceded);
  CU_ASSERT_TRUE (view->is_claim);
  gg_limit_message_clear (&message);
}

/* Guards against a router that ends since it can't forward what a peer has sent. */
static void
test_largest (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  char sender[] = "................................................................"
                  "................................................................";
  char address[] = "................................";
  GgLimitMessage message;
  GgLimitView view = { .address = address };
  gg_limit_message_init (&message, GG_LIMIT_MESSAGE_NOTICE, sender);
  g_array_set_size (message.entries, GG_LIMIT_MESSAGE_MAX_ENTRIES);
  for (guint i = 0; i < GG_LIMIT_MESSAGE_MAX_VIEWS; i++)
    gg_limit_message_add_view (&message, &view);
  CU_ASSERT_EQUAL (message.views->len, GG_LIMIT_MESSAGE_MAX_VIEWS);
  size_t used = gg_limit_message_encode (&message, 10000, bytes, sizeof bytes);
  CU_ASSERT_TRUE (used > 0);
  gg_limit_message_clear (&message);
  CU_ASSERT_TRUE_FATAL (gg_limit_message_decode (bytes, used, 500000, &message));
  gg_limit_message_clear (&message);
}

/* A message whose views are cut off is rejected, unless it ends where the views begin, as those of
 * builds without views do. */
static void
test_damaged_views (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  GgLimitMessage message;
  size_t without = encode (bytes, sizeof bytes, 2, 0);
  size_t used = encode (bytes, sizeof bytes, 2, 2);
  CU_ASSERT_TRUE (used > without);
  for (size_t n = 0; n < used; n++)
    {
      gboolean is_decoded = gg_limit_message_decode (bytes, n, 500000, &message);
      CU_ASSERT_EQUAL (is_decoded, n == without);
      if (is_decoded)
        gg_limit_message_clear (&message);
    }
}

static void
test_damaged (void)
{
  char bytes[GG_LIMIT_MESSAGE_MAX_BYTES];
  GgLimitMessage message;
  size_t used = encode (bytes, sizeof bytes, 2, 0);
  for (size_t n = 0; n < used; n++)
    CU_ASSERT_FALSE (gg_limit_message_decode (bytes, n, 500000, &message));
  bytes[0] ^= 1;
  CU_ASSERT_FALSE (gg_limit_message_decode (bytes, used, 500000, &message));
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "round trip", test_round_trip },       { "damaged", test_damaged }, { "views", test_views },
    { "damaged views", test_damaged_views }, { "largest", test_largest },
  };
  return gg_test_run ("limit message", cases, G_N_ELEMENTS (cases));
}
