#include "daemons/controld/config_watch.h"

#include "base/clock.h"
#include "base/counters.h"
#include "core/backoff.h"
#include "daemons/controld/control_random.h"

#define READ_TIMEOUT_MS 2000
#define BACKOFF_BASE_MS 100
/* How often an instance that is not a watcher checks whether it has become one. */
#define ROLE_CHECK_MS 500
/* A watch that returns unchanged sooner than this is followed by a pause, to avoid a busy loop
 * against a service that does not block. */
#define SHORT_WATCH_MS 100
#define SHORT_WATCH_PAUSE_MS 500

static GgCounter watches = GG_COUNTER ("greengage_config_watches_total",
                                       "Reads and watches of the configuration document");

struct _GgConfigWatch
{
  GgControlState *state;
  GgKv *kv;
  uint64_t watch_ms;
  uint64_t version; /* At the platform; 0 before the first read. */
  GgBackoff backoff;
};

/* The first read has a short timeout, so that an unresponsive platform does not delay the start. */
static GgKvResult
read_document (GgConfigWatch *self, GgKvValue *value)
{
  uint64_t now_ms = gg_clock_now_ms ();
  gg_counter_add (&watches, 1);
  if (self->version == 0)
    return gg_kv_get (self->kv, GG_CONTROL_CONFIG_KEY, now_ms + READ_TIMEOUT_MS, value);
  return gg_kv_watch (self->kv, GG_CONTROL_CONFIG_KEY, self->version, now_ms + self->watch_ms,
                      value);
}

/* Returns the delay before the next watch, ms. */
static uint64_t
watch_once (GgConfigWatch *self)
{
  GgKvValue value = { 0 };
  uint64_t start_ms = gg_clock_now_ms ();
  GgKvResult result = read_document (self, &value);
  uint64_t now_ms = gg_clock_now_ms ();
  gboolean up = result == GG_KV_OK || result == GG_KV_ABSENT;
  gboolean changed = result == GG_KV_OK && value.version != self->version;
  gg_control_state_note_platform (self->state, GG_CONTROL_PLATFORM_KV, up, now_ms);
  if (changed)
    {
      self->version = value.version;
      gg_control_state_accept_config (self->state, value.text, "platform");
    }
  gg_kv_value_clear (&value);

  if (!up)
    return gg_backoff_next_ms (&self->backoff, gg_control_random ());
  gg_backoff_reset (&self->backoff);
  return !changed && now_ms < start_ms + SHORT_WATCH_MS ? SHORT_WATCH_PAUSE_MS : 0;
}

static gboolean
should_watch (GgConfigWatch *self)
{
  return gg_control_state_is_watcher (self->state)
         || gg_control_state_get_generation (self->state) == 0;
}

static void *
run (void *data)
{
  GgConfigWatch *self = data;
  uint64_t pause_ms = 0;
  while (pause_ms == 0 ? !gg_control_state_is_stopping (self->state)
                       : gg_control_state_wait (self->state, pause_ms))
    pause_ms = should_watch (self) ? watch_once (self) : ROLE_CHECK_MS;
  g_free (self);
  return NULL;
}

void
gg_config_watch_start (GgControlState *state, GgKv *kv, const GgSettings *settings)
{
  GgConfigWatch *self = g_new0 (GgConfigWatch, 1);
  self->state = state;
  self->kv = kv;
  self->watch_ms = gg_settings_get_uint (settings, "platform", "watch_ms");
  uint32_t max_ms = (uint32_t) gg_settings_get_uint (settings, "platform", "backoff_max_ms");
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (BACKOFF_BASE_MS, max_ms);
  pthread_t thread;
  gg_control_thread_start (&thread, run, self);
  pthread_detach (thread);
}
