#include "daemons/routerd/answer_memory.h"

#include "base/clock.h"
#include "base/counters.h"
#include "daemons/routerd/relay_private.h"

/* Most answers are smaller; they are not worth an entry. */
#define MIN_HELD_BYTES 4096

struct _GgAnswerMemory
{
  GgLoop *loop;
  GgBufferAccount *account;
  gboolean is_release_pending;
};

static GgCounter gave_way_total
    = GG_COUNTER ("greengage_router_answers_gave_way_total",
                  "Sends that were abandoned since answers took too much memory");

GgAnswerMemory *
gg_answer_memory_create (GgLoop *loop, uint64_t limit_bytes)
{
  GgAnswerMemory *self = g_new0 (GgAnswerMemory, 1);
  self->loop = loop;
  self->account = gg_buffer_account_create (limit_bytes);
  gg_counter_register (&gave_way_total);
  return self;
}

void
gg_answer_memory_destroy (GgAnswerMemory *self)
{
  gg_buffer_account_destroy (self->account);
  g_free (self);
}

static GgSend *
get_send (GgBufferHolder *holder)
{
  return (GgSend *) ((char *) holder - G_STRUCT_OFFSET (GgSend, memory));
}

static gboolean
is_exceeded (const GgAnswerMemory *self)
{
  return gg_buffer_account_is_exceeded (self->account, G_MAXUINT64);
}

static void
release (void *data)
{
  GgAnswerMemory *self = data;
  GgBufferHolder *holder = NULL;
  self->is_release_pending = FALSE;
  while (is_exceeded (self)
         && (holder = gg_buffer_account_choose (self->account, G_MAXUINT64, gg_clock_now_ms ()))
                != NULL)
    {
      gg_counter_add (&gave_way_total, 1);
      gg_send_abandon (get_send (holder), "no_memory");
    }
}

void
gg_answer_memory_set (GgAnswerMemory *self, GgBufferHolder *holder, size_t held_bytes)
{
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t counted_bytes = held_bytes >= MIN_HELD_BYTES ? held_bytes : 0;
  if (counted_bytes == 0 && holder->held_bytes == 0)
    return;
  gboolean has_grown = counted_bytes > holder->held_bytes;
  gg_buffer_account_set (self->account, holder, counted_bytes, counted_bytes, now_ms);
  if (has_grown)
    gg_buffer_holder_note_progress (holder, now_ms);
  if (self->is_release_pending || !is_exceeded (self))
    return;
  self->is_release_pending = TRUE;
  gg_loop_defer (self->loop, release, self);
}
