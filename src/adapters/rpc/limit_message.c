#include "adapters/rpc/limit_message.h"

#include <rpc/rpc.h>
#include <string.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67676c31U
#define MAX_NAME_BYTES 128
/* Whatever is decoded must fit into a datagram again, since it is forwarded. */
#define MAX_ADDRESS_BYTES 32
#define FLAG_LIMITED 1U
#define FLAG_FIRST_HAND 2U
#define FLAG_KNOWN 4U
#define VIEW_FLAG_CEDED 1U
#define VIEW_FLAG_CLAIM 2U

static void
clear_view (void *data)
{
  free (((GgLimitView *) data)->address);
}

void
gg_limit_message_init (GgLimitMessage *self, GgLimitMessageKind kind, const char *sender)
{
  /* Allocated with malloc(), as XDR does when it decodes. */
  *self = (GgLimitMessage){ .kind = kind,
                            .sender = sender != NULL ? strdup (sender) : NULL,
                            .entries = g_array_new (FALSE, TRUE, sizeof (GgLimitEntry)),
                            .views = g_array_new (FALSE, TRUE, sizeof (GgLimitView)) };
  g_array_set_clear_func (self->views, clear_view);
}

void
gg_limit_message_clear (GgLimitMessage *self)
{
  free (self->sender);
  g_array_unref (self->entries);
  g_array_unref (self->views);
  *self = (GgLimitMessage){ 0 };
}

void
gg_limit_message_set_sender (GgLimitMessage *self, const char *sender)
{
  free (self->sender);
  self->sender = strdup (sender);
}

void
gg_limit_message_add_view (GgLimitMessage *self, const GgLimitView *view)
{
  GgLimitView copy = *view;
  if (self->views->len == GG_LIMIT_MESSAGE_MAX_VIEWS || strlen (view->address) > MAX_ADDRESS_BYTES)
    return;
  copy.address = strdup (view->address);
  g_array_append_val (self->views, copy);
}

void
gg_limit_message_clear_views (GgLimitMessage *self)
{
  g_array_set_size (self->views, 0);
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

static gboolean
code_view (XDR *xdr, GgLimitView *view)
{
  uint32_t flags
      = (view->is_ceded ? VIEW_FLAG_CEDED : 0U) | (view->is_claim ? VIEW_FLAG_CLAIM : 0U);
  if (!xdr_uint32_t (xdr, &view->data_centre_hash) || !xdr_uint64_t (xdr, &view->term)
      || !xdr_uint32_t (xdr, &flags) || !xdr_string (xdr, &view->address, MAX_ADDRESS_BYTES))
    return FALSE;
  view->is_ceded = (flags & VIEW_FLAG_CEDED) != 0;
  view->is_claim = (flags & VIEW_FLAG_CLAIM) != 0;
  return TRUE;
}

/* The views follow the entries: builds without views neither send nor read them. */
static gboolean
code_views (XDR *xdr, GgLimitMessage *self, size_t size_bytes)
{
  uint32_t n = self->views->len;
  gboolean is_absent = xdr->x_op == XDR_DECODE ? xdr_getpos (xdr) >= size_bytes : n == 0;
  if (is_absent)
    return TRUE;
  if (!xdr_uint32_t (xdr, &n) || n > GG_LIMIT_MESSAGE_MAX_VIEWS)
    return FALSE;
  g_array_set_size (self->views, n);
  for (guint i = 0; i < n; i++)
    if (!code_view (xdr, &g_array_index (self->views, GgLimitView, i)))
      return FALSE;
  return TRUE;
}

/* Encodes or decodes, depending on the mode of @p xdr. */
static gboolean
code (XDR *xdr, GgLimitMessage *self, size_t size_bytes, uint64_t now_ms)
{
  uint32_t magic = MAGIC;
  uint32_t kind = self->kind;
  uint32_t n_entries = self->entries->len;
  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC || !xdr_uint32_t (xdr, &kind)
      || kind < GG_LIMIT_MESSAGE_REQUEST || kind > GG_LIMIT_MESSAGE_VIEWS
      || !xdr_uint64_t (xdr, &self->number) || !xdr_string (xdr, &self->sender, MAX_NAME_BYTES)
      || !xdr_uint32_t (xdr, &n_entries) || n_entries > GG_LIMIT_MESSAGE_MAX_ENTRIES)
    return FALSE;
  self->kind = (GgLimitMessageKind) kind;
  g_array_set_size (self->entries, n_entries);
  for (guint i = 0; i < n_entries; i++)
    if (!code_entry (xdr, &g_array_index (self->entries, GgLimitEntry, i), now_ms))
      return FALSE;
  return code_views (xdr, self, size_bytes);
}

size_t
gg_limit_message_encode (GgLimitMessage *self, uint64_t now_ms, char *buffer, size_t size_bytes)
{
  XDR xdr;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  size_t used = code (&xdr, self, size_bytes, now_ms) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_limit_message_decode (char *buffer, size_t size_bytes, uint64_t now_ms, GgLimitMessage *self_out)
{
  XDR xdr;
  gg_limit_message_init (self_out, GG_LIMIT_MESSAGE_NOTICE, NULL);
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = code (&xdr, self_out, size_bytes, now_ms);
  xdr_destroy (&xdr);
  if (!is_valid)
    gg_limit_message_clear (self_out);
  return is_valid;
}
