#include "adapters/rpc/quarantine_report.h"

#include <rpc/rpc.h>

/* Distinguish these datagrams and their version from anything else that may arrive at the port. */
#define MAGIC_PARTS 0x67677131U
#define MAGIC_REQUESTS 0x67677231U
#define FLAG_SERVED 1U
#define FLAG_CONFIRMED 2U

static gboolean
code_flags (XDR *xdr, GgSuspect *suspect)
{
  uint32_t flags
      = (suspect->was_served ? FLAG_SERVED : 0U) | (suspect->is_confirmed ? FLAG_CONFIRMED : 0U);
  if (!xdr_uint32_t (xdr, &flags))
    return FALSE;
  suspect->was_served = (flags & FLAG_SERVED) != 0;
  suspect->is_confirmed = (flags & FLAG_CONFIRMED) != 0;
  return TRUE;
}

static gboolean
code_time (XDR *xdr, uint64_t *time_ms, uint64_t now_ms)
{
  uint32_t age_ms = now_ms > *time_ms ? (uint32_t) MIN (now_ms - *time_ms, G_MAXUINT32) : 0;
  if (!xdr_uint32_t (xdr, &age_ms))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    *time_ms = now_ms > age_ms ? now_ms - age_ms : 0;
  return TRUE;
}

/* The flags of the crashes are sent as bits of one number. */
static gboolean
code_crashes (XDR *xdr, GgSuspect *suspect)
{
  uint32_t cleared = 0;
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    cleared |= (suspect->crashes[i].is_cleared ? 1U : 0U) << i;
  if (!xdr_uint32_t (xdr, &suspect->n_crashes) || suspect->n_crashes > GG_QUARANTINE_MAX_CRASHES
      || !xdr_uint32_t (xdr, &cleared))
    return FALSE;
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      suspect->crashes[i].is_cleared = (cleared >> i & 1) != 0;
      if (!xdr_uint32_t (xdr, &suspect->crashes[i].runner_hash))
        return FALSE;
    }
  return TRUE;
}

static gboolean
code_suspect (XDR *xdr, GgSuspect *suspect, uint64_t now_ms)
{
  return xdr_uint64_t (xdr, &suspect->id) && code_flags (xdr, suspect)
         && code_crashes (xdr, suspect) && xdr_uint32_t (xdr, &suspect->n_quarantines)
         && xdr_uint32_t (xdr, &suspect->n_releases) && xdr_uint32_t (xdr, &suspect->n_trials)
         && code_time (xdr, &suspect->crashed_ms, now_ms);
}

size_t
gg_quarantine_report_encode (
    GgSuspectKind kind, const GArray *suspects, uint64_t now_ms, char *buffer, size_t size_bytes)
{
  XDR xdr;
  uint32_t magic = kind == GG_SUSPECT_PART ? MAGIC_PARTS : MAGIC_REQUESTS;
  uint32_t n = suspects->len;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  gboolean fits = xdr_uint32_t (&xdr, &magic) && xdr_uint32_t (&xdr, &n);
  for (uint32_t i = 0; i < n && fits; i++)
    {
      GgSuspect suspect = g_array_index (suspects, GgSuspect, i);
      fits = code_suspect (&xdr, &suspect, now_ms);
    }
  size_t used = fits ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_quarantine_report_decode (
    char *buffer, size_t size_bytes, uint64_t now_ms, GgSuspectKind *kind_out, GArray *suspects_out)
{
  XDR xdr;
  uint32_t magic = 0;
  uint32_t n = 0;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = xdr_uint32_t (&xdr, &magic)
                      && (magic == MAGIC_PARTS || magic == MAGIC_REQUESTS)
                      && xdr_uint32_t (&xdr, &n) && n <= GG_QUARANTINE_MAX_SUSPECTS;
  *kind_out = magic == MAGIC_REQUESTS ? GG_SUSPECT_REQUEST : GG_SUSPECT_PART;
  for (uint32_t i = 0; i < n && is_valid; i++)
    {
      GgSuspect suspect = { 0 };
      is_valid = code_suspect (&xdr, &suspect, now_ms);
      if (is_valid)
        g_array_append_val (suspects_out, suspect);
    }
  xdr_destroy (&xdr);
  return is_valid;
}
