#include "daemons/routerd/config_watcher.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "core/backoff.h"
#include "daemons/routerd/delegated_watch.h"
#include "ports/directory.h"

#include <string.h>

/* Each reply proves that the configuration was the newest when the call was sent, so that the proof
 * is up to twice this old when the store is lost. It leaves most of the bound for keys for the
 * outage, and is longer than the second for which a store that drops its history may show nothing:
 * what was written before the call was sent is then told. */
#define WATCH_MS 1000
/* Pauses after failed calls: the first one is short, since a waiting watch may be cut while the
 * store is well; they stay under the time in which keys must be proven again. */
#define RETRY_MS 60
#define RETRY_MAX_MS 1000
/* Pause while another instance looks for the store on behalf of the data centre: its word tells
 * when the store is back, unless the store refuses just that instance. */
#define PATIENT_RETRY_MS 2500

/* A call that takes this much longer than the watch waits is stuck. */
#define OVERDUE_MS 250
/* A refusal is mostly followed by an answer at the first retry. */
#define REFUSED_MS 300

typedef enum
{
  STEP_READ,  /* the key was never read, or history was lost */
  STEP_CHECK, /* a call failed: prove the known revision before waiting for the next one */
  STEP_WATCH,
} Step;

struct _GgConfigWatcher
{
  GgRouter *router;
  GgStoreCall *call;
  GgLoopTimer *retry_timer;
  Step step;
  uint64_t revision;      /* of the store, up to which changes are known */
  uint64_t item_revision; /* of the key; 0: it does not exist */
  gboolean is_lost;       /* the store does not answer */
  gboolean is_fed;        /* another instance watches */
  gboolean has_started;   /* the configuration was read once */
  GgBackoff backoff;
  /* By CLOCK_BOOTTIME: */
  uint64_t sent_boot_ms;       /* when the present call was sent */
  uint64_t lost_boot_ms;       /* when the last call that failed ended */
  uint64_t lost_since_boot_ms; /* when the first one in a row ended */
};

static void send_call (GgConfigWatcher *self);

static void
take_item (GgConfigWatcher *self, const GgStoreItem *item)
{
  if (item->value == NULL || strcmp (item->key, gg_directory_get_config_key ()) != 0)
    return;
  self->item_revision = item->revision;
  GError *error = NULL;
  GgRoutingConfig *config = gg_directory_decode_config (item->value, &error);
  if (config == NULL)
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "config_unreadable",
                        "revision=%" G_GUINT64_FORMAT " reason=\"%s\"", (guint64) item->revision,
                        error->message);
      g_error_free (error);
      return;
    }
  gg_router_apply_config (self->router, config);
  gg_delegated_watch_notify (self->router->store_feed);
}

static void
set_lost (GgConfigWatcher *self, gboolean is_lost)
{
  if (self->is_lost != is_lost)
    gg_event_log_add (GG_EVENT_NOTABLE, is_lost ? "store_lost" : "store_regained",
                      "watch=config revision=%" G_GUINT64_FORMAT, (guint64) self->revision);
  self->is_lost = is_lost;
  self->router->is_store_away = is_lost;
}

static void
take_reply (GgConfigWatcher *self, const GgStoreReply *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    take_item (self, g_ptr_array_index (reply->items, i));
  /* A check shows the state of one key only, so the watch goes on from what it knew. */
  if (self->step != STEP_CHECK)
    self->revision = reply->revision;
  self->step = STEP_WATCH;
  self->router->config_fresh_boot_ms
      = MAX (self->router->config_fresh_boot_ms, reply->sent_boot_ms);
  gg_backoff_reset (&self->backoff);
  set_lost (self, FALSE);
  if (self->is_fed)
    return;
  if (self->has_started)
    send_call (self);
  else
    gg_loop_timer_start (self->retry_timer, GG_DELEGATED_WATCH_START_DELAY_MS);
  self->has_started = TRUE;
}

static void
start_retry (GgConfigWatcher *self)
{
  uint64_t pause_ms = gg_backoff_next_ms (&self->backoff, g_random_int ());
  if (self->is_lost && gg_delegated_watch_has_delegate (self->router->store_feed))
    pause_ms = PATIENT_RETRY_MS;
  gg_loop_timer_start (self->retry_timer, pause_ms);
}

static void
on_reply (void *data, const GgStoreReply *reply)
{
  GgConfigWatcher *self = data;
  self->call = NULL;
  switch (reply->result)
    {
    case GG_STORE_OK:
    case GG_STORE_ABSENT:
    case GG_STORE_CONFLICT:
      take_reply (self, reply);
      return;
    case GG_STORE_EXPIRED:
      self->step = STEP_READ;
      send_call (self);
      return;
    case GG_STORE_REFUSED:
    case GG_STORE_UNKNOWN:
      if (self->step == STEP_WATCH)
        self->step = STEP_CHECK;
      self->lost_boot_ms = gg_clock_boot_ms ();
      if (!self->is_lost)
        self->lost_since_boot_ms = self->lost_boot_ms;
      start_retry (self);
      set_lost (self, TRUE);
      return;
    }
}

static void
send_call (GgConfigWatcher *self)
{
  const char *key = gg_directory_get_config_key ();
  GgStore *store = self->router->store;
  self->sent_boot_ms = gg_clock_boot_ms ();
  switch (self->step)
    {
    case STEP_READ:
      self->call = gg_store_read (store, key, on_reply, self);
      break;
    case STEP_CHECK:
      self->call = gg_store_check (store, key, self->item_revision, on_reply, self);
      break;
    case STEP_WATCH:
      self->call = gg_store_watch (store, key, self->revision, WATCH_MS, on_reply, self);
      break;
    }
}

static void
on_retry (void *data)
{
  send_call (data);
}

GgConfigWatcher *
gg_config_watcher_create (GgRouter *router)
{
  GgConfigWatcher *self = g_new0 (GgConfigWatcher, 1);
  self->router = router;
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->retry_timer = gg_loop_timer_create (router->loop, on_retry, self);
  send_call (self);
  return self;
}

/* Reads the configuration at once, in place of what was waited for. */
static void
read_now (GgConfigWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_timer_stop (self->retry_timer);
  self->step = STEP_READ;
  send_call (self);
}

/* Whether a call is under way that may still be answered soon. An older one may hang on a
 * connection that went silent while the store was away, and must not keep this instance from
 * reading what another one knows to be there. */
static gboolean
has_new_call (const GgConfigWatcher *self)
{
  return self->call != NULL && gg_clock_boot_ms () - self->sent_boot_ms < OVERDUE_MS;
}

void
gg_config_watcher_set_delegated (GgConfigWatcher *self, gboolean is_fed)
{
  self->is_fed = is_fed;
  if (!is_fed)
    read_now (self);
  else if (self->step == STEP_WATCH && !self->is_lost)
    {
      gg_store_call_cancel (self->call);
      self->call = NULL;
      gg_loop_timer_stop (self->retry_timer);
    }
}

gboolean
gg_config_watcher_is_healthy (const GgConfigWatcher *self)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  if (self->is_lost)
    return now_ms - self->lost_since_boot_ms < REFUSED_MS;
  return self->call == NULL || now_ms - self->sent_boot_ms < WATCH_MS + OVERDUE_MS;
}

uint64_t
gg_config_watcher_get_revision (const GgConfigWatcher *self)
{
  return self->item_revision;
}

void
gg_config_watcher_take_proof (GgConfigWatcher *self, uint64_t revision, uint64_t proven_boot_ms)
{
  if (revision == self->item_revision)
    self->router->config_fresh_boot_ms = MAX (self->router->config_fresh_boot_ms, proven_boot_ms);
  if (self->is_lost && proven_boot_ms > self->lost_boot_ms && !has_new_call (self))
    read_now (self);
}

void
gg_config_watcher_take_revision (GgConfigWatcher *self, uint64_t revision)
{
  if (self->is_fed && revision > self->item_revision && !has_new_call (self))
    read_now (self);
}

void
gg_config_watcher_destroy (GgConfigWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_timer_destroy (self->retry_timer);
  g_free (self);
}
