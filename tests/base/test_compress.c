/* Guards documents that instances pass to each other: a truncated, damaged or oversized one must be
 * rejected. */
#include "base/compress.h"
#include "test_main.h"

#include <string.h>

#define MAX_BYTES (1 << 20)

static GByteArray *
make_text (guint n_bytes)
{
  GByteArray *text = g_byte_array_new ();
  GRand *rand = g_rand_new_with_seed (7);
  while (text->len < n_bytes)
    {
      char line[64];
      int n = g_snprintf (line, sizeof line, "{\"route\":\"r-%d\"},",
                          g_rand_int_range (rand, 0, 999));
      g_byte_array_append (text, (const guint8 *) line, (guint) n);
    }
  g_rand_free (rand);
  return text;
}

static void
test_round_trip (void)
{
  const guint sizes[] = { 1, 1000, 16384, 400000 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      GByteArray *text = make_text (sizes[i]);
      GByteArray *packed = gg_compress (text->data, text->len);
      GByteArray *got = gg_decompress (packed->data, packed->len, MAX_BYTES, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (got);
      CU_ASSERT_EQUAL_FATAL (got->len, text->len);
      CU_ASSERT_EQUAL (memcmp (got->data, text->data, text->len), 0);
      g_byte_array_unref (got);
      g_byte_array_unref (packed);
      g_byte_array_unref (text);
    }
}

static void
check_rejected (const guint8 *bytes, gsize size_bytes, gsize max_bytes)
{
  GError *error = NULL;
  CU_ASSERT_PTR_NULL (gg_decompress (bytes, size_bytes, max_bytes, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
}

static void
test_damage (void)
{
  GByteArray *text = make_text (5000);
  GByteArray *packed = gg_compress (text->data, text->len);
  for (guint n = 0; n < packed->len; n += 7)
    check_rejected (packed->data, n, MAX_BYTES);
  check_rejected (packed->data, packed->len, text->len - 1);
  /* The last eight bytes are checksum and length. */
  packed->data[packed->len - 6] ^= 1;
  check_rejected (packed->data, packed->len, MAX_BYTES);
  check_rejected ((const guint8 *) "{}", 2, MAX_BYTES);
  g_byte_array_unref (packed);
  g_byte_array_unref (text);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "round trip", test_round_trip },
    { "damage", test_damage },
  };
  return gg_test_run ("compress", cases, G_N_ELEMENTS (cases));
}
