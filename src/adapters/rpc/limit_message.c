#include "adapters/rpc/limit_message.h"

#include <rpc/rpc.h>
#include <string.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67676c31U
#define MAX_NAME_BYTES 128
#define FLAG_LIMITED 1U
#define FLAG_FIRST_HAND 2U
#define FLAG_KNOWN 4U

void
gg_limit_message_init (GgLimitMessage *self, GgLimitMessageKind kind, const char *sender)
{
  /* Allocated with malloc(), as XDR does when it decodes. */
  *self = (GgLimitMessage){ .kind = kind,
                            .sender = sender != NULL ? strdup (sender) : NULL,
                            .entries = g_array_new (FALSE, TRUE, sizeof (GgLimitEntry)) };
}

void
gg_limit_message_clear (GgLimitMessage *self)
{
  free (self->sender);
  g_array_unref (self->entries);
  *self = (GgLimitMessage){ 0 };
}

static gboolean
code_entry (XDR *xdr, GgLimitEntry *entry, uint64_t now_ms)
{
  GgLimitEvidence *evidence = &entry->evidence;
  uint32_t flags = (evidence->is_limited ? FLAG_LIMITED : 0U)
                   | (entry->is_first_hand ? FLAG_FIRST_HAND : 0U)
                   | (evidence->time_ms != 0 ? FLAG_KNOWN : 0U);
  uint32_t age_ms
      = now_ms > evidence->time_ms ? (uint32_t) MIN (now_ms - evidence->time_ms, G_MAXUINT32) : 0;
  if (!xdr_uint32_t (xdr, &entry->runner_hash) || !xdr_uint32_t (xdr, &flags)
      || !xdr_uint32_t (xdr, &evidence->limit_milli) || !xdr_uint32_t (xdr, &age_ms)
      || !xdr_uint32_t (xdr, &entry->n_permits))
    return FALSE;
  if (xdr->x_op != XDR_DECODE)
    return TRUE;
  evidence->is_limited = (flags & FLAG_LIMITED) != 0;
  entry->is_first_hand = (flags & FLAG_FIRST_HAND) != 0;
  evidence->time_ms = 0;
  if ((flags & FLAG_KNOWN) != 0)
    evidence->time_ms = now_ms > age_ms ? now_ms - age_ms : 1;
  return TRUE;
}

/* Encodes or decodes, depending on the mode of @p xdr. */
static gboolean
code (XDR *xdr, GgLimitMessage *self, uint64_t now_ms)
{
  uint32_t magic = MAGIC;
  uint32_t kind = self->kind;
  uint32_t n_entries = self->entries->len;
  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC || !xdr_uint32_t (xdr, &kind)
      || kind < GG_LIMIT_MESSAGE_REQUEST || kind > GG_LIMIT_MESSAGE_NOTICE
      || !xdr_uint64_t (xdr, &self->number) || !xdr_string (xdr, &self->sender, MAX_NAME_BYTES)
      || !xdr_uint32_t (xdr, &n_entries) || n_entries > GG_LIMIT_MESSAGE_MAX_ENTRIES)
    return FALSE;
  self->kind = (GgLimitMessageKind) kind;
  g_array_set_size (self->entries, n_entries);
  for (guint i = 0; i < n_entries; i++)
    if (!code_entry (xdr, &g_array_index (self->entries, GgLimitEntry, i), now_ms))
      return FALSE;
  return TRUE;
}

size_t
gg_limit_message_encode (GgLimitMessage *self, uint64_t now_ms, char *buffer, size_t size_bytes)
{
  XDR xdr;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  size_t used = code (&xdr, self, now_ms) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_limit_message_decode (char *buffer, size_t size_bytes, uint64_t now_ms, GgLimitMessage *self_out)
{
  XDR xdr;
  gg_limit_message_init (self_out, GG_LIMIT_MESSAGE_NOTICE, NULL);
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = code (&xdr, self_out, now_ms);
  xdr_destroy (&xdr);
  if (!is_valid)
    gg_limit_message_clear (self_out);
  return is_valid;
}
