#include "adapters/rpc/watch_message.h"

#include <rpc/rpc.h>
#include <stdlib.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67676631U
#define MAX_TEXT_BYTES 256

static void
clear_change (void *data)
{
  gg_runner_change_clear (data);
}

void
gg_watch_message_init (GgWatchMessage *self, GgWatchMessageKind kind)
{
  *self = (GgWatchMessage){ .kind = kind };
  if (kind != GG_WATCH_MESSAGE_REPORT)
    return;
  self->report.changes = g_array_new (FALSE, TRUE, sizeof (GgRunnerChange));
  g_array_set_clear_func (self->report.changes, clear_change);
}

void
gg_watch_message_clear (GgWatchMessage *self)
{
  switch (self->kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      g_free (self->request.reply_address);
      break;
    case GG_WATCH_MESSAGE_REPORT:
      g_array_unref (self->report.changes);
      break;
    }
  *self = (GgWatchMessage){ 0 };
}

/* Encodes or decodes a text; NULL is encoded as an empty text, which is decoded to NULL. */
static gboolean
code_text (XDR *xdr, char **text)
{
  char *empty = (char *) "";
  if (xdr->x_op == XDR_ENCODE)
    return xdr_string (xdr, *text != NULL ? text : &empty, MAX_TEXT_BYTES);
  char *decoded = NULL;
  if (!xdr_string (xdr, &decoded, MAX_TEXT_BYTES))
    {
      free (decoded);
      return FALSE;
    }
  *text = *decoded != '\0' ? g_strdup (decoded) : NULL;
  free (decoded);
  return TRUE;
}

static gboolean
code_flag (XDR *xdr, gboolean *flag)
{
  uint32_t number = *flag ? 1 : 0;
  if (!xdr_uint32_t (xdr, &number))
    return FALSE;
  *flag = number != 0;
  return TRUE;
}

static gboolean
code_change (XDR *xdr, GgRunnerChange *change)
{
  GgRunnerRecord *record = &change->record;
  if (!xdr_uint64_t (xdr, &change->revision) || !code_flag (xdr, &change->is_removed)
      || !code_text (xdr, &record->id) || record->id == NULL)
    return FALSE;
  if (change->is_removed)
    return TRUE;
  return code_text (xdr, &record->address) && code_text (xdr, &record->service)
         && code_text (xdr, &record->data_centre) && code_text (xdr, &record->accelerator)
         && xdr_uint64_t (xdr, &record->started_ms) && xdr_uint32_t (xdr, &record->slots)
         && code_flag (xdr, &record->is_leaving) && xdr_uint32_t (xdr, &record->range.first_layer)
         && xdr_uint32_t (xdr, &record->range.end_layer) && record->address != NULL
         && record->service != NULL && record->data_centre != NULL;
}

static gboolean
code_request (XDR *xdr, GgWatchRequest *request)
{
  return xdr_uint64_t (xdr, &request->number) && code_text (xdr, &request->reply_address)
         && request->reply_address != NULL && xdr_uint64_t (xdr, &request->runners_revision);
}

static gboolean
code_report (XDR *xdr, GgWatchReport *report)
{
  uint32_t n_changes = report->changes->len;
  if (!xdr_uint64_t (xdr, &report->number) || !code_flag (xdr, &report->status.is_delegate)
      || !xdr_uint64_t (xdr, &report->status.age_ms)
      || !xdr_uint64_t (xdr, &report->config_revision)
      || !xdr_uint64_t (xdr, &report->changes_after)
      || !xdr_uint64_t (xdr, &report->runners_revision)
      || !code_flag (xdr, &report->is_listing_needed) || !xdr_uint32_t (xdr, &n_changes)
      || n_changes > GG_WATCH_MESSAGE_MAX_CHANGES)
    return FALSE;
  g_array_set_size (report->changes, n_changes);
  for (guint i = 0; i < n_changes; i++)
    if (!code_change (xdr, &g_array_index (report->changes, GgRunnerChange, i)))
      return FALSE;
  return TRUE;
}

static gboolean
code_body (XDR *xdr, GgWatchMessage *self)
{
  switch (self->kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      return code_request (xdr, &self->request);
    case GG_WATCH_MESSAGE_REPORT:
      return code_report (xdr, &self->report);
    }
  return FALSE;
}

size_t
gg_watch_message_encode (GgWatchMessage *self, char *buffer, size_t size_bytes)
{
  XDR xdr;
  uint32_t magic = MAGIC;
  uint32_t kind = self->kind;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_ENCODE);
  gboolean fits
      = xdr_uint32_t (&xdr, &magic) && xdr_uint32_t (&xdr, &kind) && code_body (&xdr, self);
  size_t used = fits ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return used;
}

gboolean
gg_watch_message_decode (char *buffer, size_t size_bytes, GgWatchMessage *self_out)
{
  XDR xdr;
  uint32_t magic = 0;
  uint32_t kind = 0;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = xdr_uint32_t (&xdr, &magic) && magic == MAGIC && xdr_uint32_t (&xdr, &kind)
                      && (kind == GG_WATCH_MESSAGE_REQUEST || kind == GG_WATCH_MESSAGE_REPORT);
  if (is_valid)
    {
      gg_watch_message_init (self_out, (GgWatchMessageKind) kind);
      is_valid = code_body (&xdr, self_out);
      if (!is_valid)
        gg_watch_message_clear (self_out);
    }
  xdr_destroy (&xdr);
  return is_valid;
}
