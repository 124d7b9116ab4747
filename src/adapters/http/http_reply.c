#include "adapters/http/http_pool.h"

#include <string.h>

void
gg_http_reply_clear (GgHttpReply *self)
{
  g_free (self->body);
  g_clear_pointer (&self->headers, g_hash_table_unref);
  memset (self, 0, sizeof *self);
}
