#include "core/request_digest.h"

#include <glib.h>
#include <string.h>

/* Separate the digests from those of other uses, and the prefix from the rest. */
#define DOMAIN "greengage request 1"
#define PREFIX_DOMAIN "greengage request prefix 1"

/* The length before each field keeps two different identities from having the same bytes. */
static void
add_text (GChecksum *sum, const char *text)
{
  size_t size_bytes = text != NULL ? strlen (text) : 0;
  uint64_t length = GUINT64_TO_BE ((uint64_t) size_bytes);
  g_checksum_update (sum, (const guchar *) &length, sizeof length);
  if (size_bytes > 0)
    g_checksum_update (sum, (const guchar *) text, (gssize) size_bytes);
}

static GChecksum *
create_sum (const GgRequestIdentity *identity, const char *domain)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  uint64_t body_bytes = GUINT64_TO_BE ((uint64_t) identity->body_bytes);
  add_text (sum, domain);
  add_text (sum, identity->method);
  add_text (sum, identity->host);
  add_text (sum, identity->target);
  add_text (sum, identity->caller);
  add_text (sum, identity->prompt);
  g_checksum_update (sum, (const guchar *) &body_bytes, sizeof body_bytes);
  return sum;
}

/* Returns the first 64 bits, and frees the sum. */
static uint64_t
finish_sum (GChecksum *sum)
{
  guint8 bytes[32];
  gsize size = sizeof bytes;
  uint64_t first = 0;
  g_checksum_get_digest (sum, bytes, &size);
  g_checksum_free (sum);
  memcpy (&first, bytes, sizeof first);
  return GUINT64_FROM_BE (first);
}

uint16_t
gg_request_digest_get_prefix (const GgRequestIdentity *identity)
{
  return gg_request_digest_to_prefix (finish_sum (create_sum (identity, PREFIX_DOMAIN)));
}

uint64_t
gg_request_digest (const GgRequestIdentity *identity)
{
  GChecksum *sum = create_sum (identity, DOMAIN);
  if (identity->body_bytes > 0)
    g_checksum_update (sum, identity->body, (gssize) identity->body_bytes);
  uint64_t rest = finish_sum (sum) >> GG_REQUEST_DIGEST_PREFIX_BITS;
  uint64_t prefix = gg_request_digest_get_prefix (identity);
  uint64_t digest = prefix << (64 - GG_REQUEST_DIGEST_PREFIX_BITS) | rest;
  return digest != 0 ? digest : 1;
}
