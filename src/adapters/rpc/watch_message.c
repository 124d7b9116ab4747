#include "adapters/rpc/watch_message.h"

#include <rpc/rpc.h>
#include <stdlib.h>

/* Distinguishes this kind of datagram and its version from anything else that may arrive at the
 * port. */
#define MAGIC 0x67676633U
#define MAX_TEXT_BYTES GG_RUNNER_RECORD_MAX_TEXT_BYTES
/* The buffer of a document is doubled until it fits. */
#define DOCUMENT_FIRST_BYTES 4096

static void
clear_change (void *data)
{
  gg_runner_change_clear (data);
}

static void
free_peer (void *data)
{
  gg_peer_destroy (data);
}

void
gg_watch_message_init (GgWatchMessage *self, GgWatchMessageKind kind)
{
  *self = (GgWatchMessage){ .kind = kind };
  switch (kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      break;
    case GG_WATCH_MESSAGE_REPORT:
    case GG_WATCH_MESSAGE_LIST:
      self->report.changes = g_array_new (FALSE, TRUE, sizeof (GgRunnerChange));
      g_array_set_clear_func (self->report.changes, clear_change);
      break;
    case GG_WATCH_MESSAGE_ROSTER:
      self->roster.peers = g_ptr_array_new_with_free_func (free_peer);
      break;
    }
}

void
gg_watch_message_clear (GgWatchMessage *self)
{
  switch (self->kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      g_free (self->request.reply_address);
      g_free (self->request.data_centre);
      break;
    case GG_WATCH_MESSAGE_REPORT:
    case GG_WATCH_MESSAGE_LIST:
      g_free (self->report.sender);
      g_array_unref (self->report.changes);
      break;
    case GG_WATCH_MESSAGE_ROSTER:
      g_ptr_array_unref (self->roster.peers);
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
         && request->reply_address != NULL && xdr_uint64_t (xdr, &request->runners_revision)
         && code_text (xdr, &request->data_centre) && request->data_centre != NULL
         && xdr_uint64_t (xdr, &request->roster_revision);
}

static gboolean
code_peer (XDR *xdr, GgPeer *peer)
{
  return code_text (xdr, &peer->name) && code_text (xdr, &peer->address)
         && code_text (xdr, &peer->data_centre) && xdr_uint32_t (xdr, &peer->capacity)
         && peer->name != NULL && peer->address != NULL && peer->data_centre != NULL;
}

static gboolean
code_roster (XDR *xdr, GgWatchRoster *roster)
{
  uint32_t n_peers = roster->peers->len;
  if (!xdr_uint64_t (xdr, &roster->revision) || !xdr_uint32_t (xdr, &n_peers)
      || n_peers > GG_WATCH_MESSAGE_MAX_PEERS)
    return FALSE;
  for (guint i = 0; i < n_peers; i++)
    {
      if (xdr->x_op == XDR_DECODE)
        g_ptr_array_add (roster->peers, gg_peer_create (NULL, NULL, NULL, 0));
      if (!code_peer (xdr, g_ptr_array_index (roster->peers, i)))
        return FALSE;
    }
  return TRUE;
}

static gboolean
code_report (XDR *xdr, GgWatchReport *report, uint32_t max_changes)
{
  uint32_t n_changes = report->changes->len;
  if (!xdr_uint64_t (xdr, &report->number) || !code_text (xdr, &report->sender)
      || !code_flag (xdr, &report->status.is_delegate)
      || !xdr_uint64_t (xdr, &report->status.age_ms)
      || !xdr_uint64_t (xdr, &report->status.runners_age_ms)
      || !xdr_uint64_t (xdr, &report->config_revision) || !xdr_uint32_t (xdr, &report->n_instances)
      || !xdr_uint64_t (xdr, &report->changes_after)
      || !xdr_uint64_t (xdr, &report->runners_revision) || !code_flag (xdr, &report->is_complete)
      || !code_flag (xdr, &report->is_listing_needed) || !xdr_uint32_t (xdr, &n_changes)
      || n_changes > max_changes)
    return FALSE;
  for (guint i = 0; i < n_changes; i++)
    {
      if (xdr->x_op == XDR_DECODE)
        g_array_set_size (report->changes, i + 1);
      if (!code_change (xdr, &g_array_index (report->changes, GgRunnerChange, i)))
        return FALSE;
    }
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
      return code_report (xdr, &self->report, GG_WATCH_MESSAGE_MAX_CHANGES);
    case GG_WATCH_MESSAGE_LIST:
      return code_report (xdr, &self->report, GG_WATCH_MESSAGE_MAX_LISTED);
    case GG_WATCH_MESSAGE_ROSTER:
      return code_roster (xdr, &self->roster);
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

GByteArray *
gg_watch_message_encode_document (GgWatchMessage *self)
{
  GByteArray *document = g_byte_array_new ();
  size_t size_bytes = 0;
  for (guint capacity = DOCUMENT_FIRST_BYTES;
       size_bytes == 0 && capacity <= GG_WATCH_MESSAGE_MAX_DOCUMENT_BYTES; capacity *= 2)
    {
      g_byte_array_set_size (document, capacity);
      size_bytes = gg_watch_message_encode (self, (char *) document->data, capacity);
    }
  g_byte_array_set_size (document, (guint) size_bytes);
  if (size_bytes > 0)
    return document;
  g_byte_array_unref (document);
  return NULL;
}

gboolean
gg_watch_message_decode (char *buffer, size_t size_bytes, GgWatchMessage *self_out)
{
  XDR xdr;
  uint32_t magic = 0;
  uint32_t kind = 0;
  xdrmem_create (&xdr, buffer, (u_int) size_bytes, XDR_DECODE);
  gboolean is_valid = xdr_uint32_t (&xdr, &magic) && magic == MAGIC && xdr_uint32_t (&xdr, &kind)
                      && kind >= GG_WATCH_MESSAGE_REQUEST && kind <= GG_WATCH_MESSAGE_LIST;
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
