#include "adapters/rpc/load_report.h"

#include <rpc/rpc.h>
#include <string.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67675736U
#define MAX_NAME_BYTES 128
/* Request memory is encoded in 32 bits, in units of this many tokens x layers: a request takes some
 * thousands of tokens x layers. */
#define TOKEN_LAYERS_PER_UNIT 64

uint32_t
gg_load_report_hash (const char *runner_id, uint64_t started_ms)
{
  return g_str_hash (runner_id) ^ (uint32_t) (started_ms * 2654435761U);
}

void
gg_load_report_init (GgLoadReport *self)
{
  *self = (GgLoadReport){ .entries = g_array_new (FALSE, TRUE, sizeof (GgLoadReportEntry)) };
}

void
gg_load_report_clear (GgLoadReport *self)
{
  /* The names were allocated with malloc(), by XDR or by the owner. */
  free (self->instance);
  free (self->data_centre);
  g_array_unref (self->entries);
  *self = (GgLoadReport){ 0 };
}

/* Encodes or decodes two numbers below 65,536 in 32 bits; larger ones are encoded as 65,535. */
static gboolean
code_pair (XDR *xdr, uint32_t *high, uint32_t *low)
{
  uint32_t pair = (MIN (*high, G_MAXUINT16) << 16) | MIN (*low, G_MAXUINT16);
  if (!xdr_uint32_t (xdr, &pair))
    return FALSE;
  *high = pair >> 16;
  *low = pair & G_MAXUINT16;
  return TRUE;
}

static gboolean
code_entry (XDR *xdr, GgLoadReportEntry *entry)
{
  uint32_t units = (uint32_t) MIN (entry->load.token_layers / TOKEN_LAYERS_PER_UNIT, G_MAXUINT32);
  if (!xdr_uint32_t (xdr, &entry->runner_hash)
      || !code_pair (xdr, &entry->load.n_requests, &entry->load.n_first_hop)
      || !xdr_uint32_t (xdr, &entry->load.n_misses) || !xdr_uint32_t (xdr, &units)
      || !code_pair (xdr, &entry->assigned_range.first_layer, &entry->assigned_range.end_layer))
    return FALSE;
  entry->load.token_layers = (uint64_t) units * TOKEN_LAYERS_PER_UNIT;
  return TRUE;
}

/* Encodes or decodes, depending on the mode of @p xdr. */
static gboolean
code (XDR *xdr, GgLoadReport *self)
{
  uint32_t magic = MAGIC;
  uint32_t n_entries = self->entries->len;
  uint32_t is_sum = self->is_sum ? 1 : 0;
  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC
      || !xdr_string (xdr, &self->instance, MAX_NAME_BYTES)
      || !xdr_string (xdr, &self->data_centre, MAX_NAME_BYTES) || !xdr_uint32_t (xdr, &is_sum)
      || !xdr_uint64_t (xdr, &self->incarnation) || !xdr_uint64_t (xdr, &self->number)
      || !xdr_uint32_t (xdr, &self->n_instances) || !xdr_uint32_t (xdr, &n_entries)
      || n_entries > GG_LOAD_REPORT_MAX_ENTRIES)
    return FALSE;
  self->is_sum = is_sum != 0;
  g_array_set_size (self->entries, n_entries);
  for (guint i = 0; i < n_entries; i++)
    if (!code_entry (xdr, &g_array_index (self->entries, GgLoadReportEntry, i)))
      return FALSE;
  return TRUE;
}

size_t
gg_load_report_encode (GgLoadReport *self, char *buffer, size_t size_bytes)
{
  XDR xdr;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  size_t used = code (&xdr, self) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_load_report_decode (char *buffer, size_t size_bytes, GgLoadReport *self_out)
{
  XDR xdr;
  gg_load_report_init (self_out);
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = code (&xdr, self_out);
  xdr_destroy (&xdr);
  return is_valid;
}
