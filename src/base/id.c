#include "greengage/id.h"

#include <string.h>
#include <sys/random.h>

void
gg_id_generate (GgId *id_out)
{
  ssize_t n = getrandom (id_out->bytes, GG_ID_SIZE_BYTES, 0);
  g_assert (n == GG_ID_SIZE_BYTES);
}

void
gg_id_generate_for_instance (GgId *id_out, uint32_t instance_hash)
{
  gg_id_generate (id_out);
  for (int i = 0; i < 4; i++)
    id_out->bytes[i] = (uint8_t) (instance_hash >> (24 - 8 * i));
}

uint32_t
gg_id_get_instance_hash (const GgId *id)
{
  const uint8_t *b = id->bytes;
  return (uint32_t) b[0] << 24 | (uint32_t) b[1] << 16 | (uint32_t) b[2] << 8 | b[3];
}

uint32_t
gg_id_hash_instance (const char *instance)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  uint8_t digest[32];
  gsize length = sizeof digest;
  g_checksum_update (sum, (const guchar *) instance, -1);
  g_checksum_get_digest (sum, digest, &length);
  g_checksum_free (sum);
  return (uint32_t) digest[0] << 24 | (uint32_t) digest[1] << 16 | (uint32_t) digest[2] << 8
         | digest[3];
}

void
gg_id_format (const GgId *id, char text_out[GG_ID_TEXT_LENGTH + 1])
{
  for (int i = 0; i < GG_ID_SIZE_BYTES; i++)
    g_snprintf (text_out + 2 * i, 3, "%02x", id->bytes[i]);
}

gboolean
gg_id_parse (GgId *id_out, const char *text)
{
  if (text == NULL || strlen (text) != GG_ID_TEXT_LENGTH)
    return FALSE;
  for (int i = 0; i < GG_ID_SIZE_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);
      if (high < 0 || low < 0)
        return FALSE;
      id_out->bytes[i] = (uint8_t) (high << 4 | low);
    }
  return TRUE;
}

gboolean
gg_id_equal (const GgId *a, const GgId *b)
{
  return memcmp (a->bytes, b->bytes, GG_ID_SIZE_BYTES) == 0;
}
