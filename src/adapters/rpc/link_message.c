#include "adapters/rpc/link_message.h"

#include "core/fleet.h"

#include <rpc/rpc.h>
#include <stdlib.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67677831U

void
gg_link_message_init (GgLinkMessage *self, GgLinkMessageKind kind)
{
  *self = (GgLinkMessage){ .kind = kind,
                           .services = g_array_new (FALSE, FALSE, sizeof (GgReachedService)) };
}

void
gg_link_message_clear (GgLinkMessage *self)
{
  g_free (self->name);
  g_free (self->address);
  g_free (self->data_centre);
  g_array_unref (self->services);
  *self = (GgLinkMessage){ 0 };
}

/* Encodes or decodes a text, which may not be empty or have control characters. */
static gboolean
code_text (XDR *xdr, char **text)
{
  if (xdr->x_op == XDR_ENCODE)
    return *text != NULL && gg_runner_record_is_text_valid (*text)
           && xdr_string (xdr, text, GG_LINK_MESSAGE_MAX_TEXT_BYTES);
  char *decoded = NULL;
  gboolean is_valid = xdr_string (xdr, &decoded, GG_LINK_MESSAGE_MAX_TEXT_BYTES)
                      && gg_runner_record_is_text_valid (decoded);
  if (is_valid)
    *text = g_strdup (decoded);
  free (decoded);
  return is_valid;
}

static gboolean
code_answer (XDR *xdr, GgLinkMessage *self)
{
  uint32_t n = self->services->len;
  if (!xdr_uint64_t (xdr, &self->token) || !xdr_uint32_t (xdr, &self->room)
      || !xdr_uint32_t (xdr, &self->load_permille) || !xdr_uint32_t (xdr, &n)
      || n > GG_LINK_MESSAGE_MAX_SERVICES)
    return FALSE;
  g_array_set_size (self->services, n);
  for (uint32_t i = 0; i < n; i++)
    {
      GgReachedService *service = &g_array_index (self->services, GgReachedService, i);
      if (!xdr_uint32_t (xdr, &service->service_hash)
          || !xdr_uint32_t (xdr, &service->received_age_ms))
        return FALSE;
    }
  return TRUE;
}

static gboolean
code_message (XDR *xdr, GgLinkMessage *self)
{
  uint32_t magic = MAGIC;
  uint32_t kind = self->kind;
  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC || !xdr_uint32_t (xdr, &kind)
      || !code_text (xdr, &self->name) || !code_text (xdr, &self->address)
      || !code_text (xdr, &self->data_centre) || !xdr_uint64_t (xdr, &self->number))
    return FALSE;
  self->kind = (GgLinkMessageKind) kind;
  switch (self->kind)
    {
    case GG_LINK_MESSAGE_QUERY:
      return TRUE;
    case GG_LINK_MESSAGE_ANSWER:
      return code_answer (xdr, self);
    }
  return FALSE;
}

size_t
gg_link_message_encode (GgLinkMessage *self, char *buffer, size_t size_bytes)
{
  XDR xdr;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  size_t used = code_message (&xdr, self) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_link_message_decode (char *buffer, size_t size_bytes, GgLinkMessage *self_out)
{
  XDR xdr;
  gg_link_message_init (self_out, GG_LINK_MESSAGE_QUERY);
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = code_message (&xdr, self_out);
  xdr_destroy (&xdr);
  if (!is_valid)
    gg_link_message_clear (self_out);
  return is_valid;
}
