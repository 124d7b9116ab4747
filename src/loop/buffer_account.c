#include "loop/buffer_account.h"

/* Share of the limit that is added to it as the reserve of small holders. */
#define RESERVE_DIVISOR 4

struct _GgBufferAccount
{
  uint64_t limit_bytes;
  uint64_t held_bytes;
  uint64_t releasable_bytes;
  GHashTable *holders; /* set of GgBufferHolder with releasable bytes */
};

GgBufferAccount *
gg_buffer_account_create (uint64_t limit_bytes)
{
  GgBufferAccount *self = g_new0 (GgBufferAccount, 1);
  self->limit_bytes = limit_bytes;
  self->holders = g_hash_table_new (NULL, NULL);
  return self;
}

void
gg_buffer_account_destroy (GgBufferAccount *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->holders);
  g_free (self);
}

void
gg_buffer_account_set_limit (GgBufferAccount *self, uint64_t limit_bytes)
{
  self->limit_bytes = limit_bytes;
}

uint64_t
gg_buffer_account_get_held (const GgBufferAccount *self)
{
  return self->held_bytes;
}

void
gg_buffer_account_set (GgBufferAccount *self,
                       GgBufferHolder *holder,
                       uint64_t held_bytes,
                       uint64_t releasable_bytes,
                       uint64_t now_ms)
{
  self->held_bytes += held_bytes - holder->held_bytes;
  self->releasable_bytes += releasable_bytes - holder->releasable_bytes;
  if (releasable_bytes > 0 && holder->releasable_bytes == 0)
    {
      holder->since_ms = now_ms;
      holder->progress_ms = now_ms;
      g_hash_table_add (self->holders, holder);
    }
  else if (releasable_bytes == 0 && holder->releasable_bytes > 0)
    g_hash_table_remove (self->holders, holder);
  holder->held_bytes = held_bytes;
  holder->releasable_bytes = releasable_bytes;
}

void
gg_buffer_holder_note_progress (GgBufferHolder *holder, uint64_t now_ms)
{
  holder->progress_ms = now_ms;
}

/* Returns the bytes above the limit that applies to a holder of @p held_bytes. */
static uint64_t
get_excess (const GgBufferAccount *self, uint64_t held_bytes)
{
  uint64_t reserve_bytes
      = held_bytes <= GG_BUFFER_SMALL_BYTES ? self->limit_bytes / RESERVE_DIVISOR : 0;
  uint64_t limit_bytes = self->limit_bytes + reserve_bytes;
  return self->held_bytes > limit_bytes ? self->held_bytes - limit_bytes : 0;
}

gboolean
gg_buffer_account_is_exceeded (const GgBufferAccount *self, uint64_t held_bytes)
{
  return get_excess (self, held_bytes) > 0;
}

static double
get_weight (const GgBufferHolder *holder, uint64_t now_ms)
{
  uint64_t held_ms = now_ms - holder->since_ms;
  uint64_t idle_ms = now_ms - holder->progress_ms;
  return (double) holder->releasable_bytes * (double) (held_ms + idle_ms + 1);
}

GgBufferHolder *
gg_buffer_account_choose (const GgBufferAccount *self, uint64_t held_bytes, uint64_t now_ms)
{
  GgBufferHolder *chosen = NULL;
  GHashTableIter iter;
  void *key;
  /* Without this, connections would be ended one after the other for nothing. */
  if (self->releasable_bytes < get_excess (self, held_bytes))
    return NULL;
  g_hash_table_iter_init (&iter, self->holders);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (chosen == NULL || get_weight (key, now_ms) > get_weight (chosen, now_ms))
      chosen = key;
  return chosen;
}
