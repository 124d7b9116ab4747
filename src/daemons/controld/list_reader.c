#include "daemons/controld/list_reader.h"

#include "base/clock.h"
#include "core/backoff.h"
#include "daemons/controld/control_random.h"
#include "ports/instance_list.h"

#define READ_TIMEOUT_MS 2000
#define BACKOFF_BASE_MS 100

struct _GgListReader
{
  GgControlState *state;
  GgInstanceList *list;
  uint64_t poll_ms;
  GgBackoff backoff;
  pthread_t thread;
};

/* Returns the delay before the next read, ms. */
static uint64_t
read_once (GgListReader *self)
{
  GArray *members = NULL;
  gboolean read
      = gg_instance_list_read (self->list, gg_clock_now_ms () + READ_TIMEOUT_MS, &members);
  uint64_t now_ms = gg_clock_now_ms ();
  gg_control_state_note_platform (self->state, GG_CONTROL_PLATFORM_LIST, read, now_ms);
  if (!read)
    return gg_backoff_next_ms (&self->backoff, gg_control_random ());
  gg_backoff_reset (&self->backoff);
  gg_control_state_apply_members (self->state, members, TRUE, now_ms);
  g_array_unref (members);
  return self->poll_ms;
}

static void *
run (void *data)
{
  GgListReader *self = data;
  while (gg_control_state_wait (self->state, read_once (self)))
    ;
  return NULL;
}

GgListReader *
gg_list_reader_create (GgControlState *state, const GgSettings *settings)
{
  GgListReader *self = g_new0 (GgListReader, 1);
  self->state = state;
  self->list = gg_instance_list_create (gg_settings_get_string (settings, "platform", "list"));
  self->poll_ms = gg_settings_get_uint (settings, "platform", "list_poll_ms");
  uint32_t max_ms = (uint32_t) gg_settings_get_uint (settings, "platform", "backoff_max_ms");
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (BACKOFF_BASE_MS, max_ms);
  gg_control_thread_start (&self->thread, run, self);
  return self;
}

void
gg_list_reader_destroy (GgListReader *self)
{
  pthread_join (self->thread, NULL);
  gg_instance_list_destroy (self->list);
  g_free (self);
}
