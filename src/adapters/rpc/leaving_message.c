#include "adapters/rpc/leaving_message.h"

#include <rpc/rpc.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67677631U

size_t
gg_leaving_message_encode (const GArray *hashes, char *buffer, size_t size_bytes)
{
  XDR xdr;
  uint32_t magic = MAGIC;
  uint32_t n = hashes->len;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  gboolean fits = n <= GG_LEAVING_MESSAGE_MAX_RUNNERS && xdr_uint32_t (&xdr, &magic)
                  && xdr_uint32_t (&xdr, &n);
  for (uint32_t i = 0; i < n && fits; i++)
    fits = xdr_uint32_t (&xdr, &g_array_index (hashes, uint32_t, i));
  size_t used = fits ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_leaving_message_decode (char *buffer, size_t size_bytes, GArray *hashes_out)
{
  XDR xdr;
  uint32_t magic = 0;
  uint32_t n = 0;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = xdr_uint32_t (&xdr, &magic) && magic == MAGIC && xdr_uint32_t (&xdr, &n)
                      && n <= GG_LEAVING_MESSAGE_MAX_RUNNERS;
  for (uint32_t i = 0; i < n && is_valid; i++)
    {
      uint32_t hash = 0;
      is_valid = xdr_uint32_t (&xdr, &hash);
      if (is_valid)
        g_array_append_val (hashes_out, hash);
    }
  xdr_destroy (&xdr);
  return is_valid;
}
