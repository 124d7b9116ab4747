#include "daemons/routerd/config_follower.h"

#include "base/event_log.h"
#include "ports/directory.h"

#include <string.h>

/* Each reply proves that the configuration was the newest when the call was sent; with this wait
 * the proof is at most twice as old, well under the bound for keys. */
#define WATCH_MS 1500
/* Pause after a failed call. */
#define RETRY_MS 150

struct _GgConfigFollower
{
  GgRouter *router;
  GgStoreCall *call;
  GgLoopTimer *retry_timer;
  uint64_t revision; /* of the store, up to which changes are known */
  gboolean is_read;  /* the key was read once; from then on it is watched */
  gboolean is_lost;  /* the store does not answer */
};

static void send_call (GgConfigFollower *self);

static void
take_item (GgConfigFollower *self, const GgStoreItem *item)
{
  if (item->value == NULL || strcmp (item->key, gg_directory_get_config_key ()) != 0)
    return;
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
}

static void
set_lost (GgConfigFollower *self, gboolean is_lost)
{
  if (self->is_lost != is_lost)
    gg_event_log_add (GG_EVENT_NOTABLE, is_lost ? "store_lost" : "store_regained",
                      "watch=config revision=%" G_GUINT64_FORMAT, (guint64) self->revision);
  self->is_lost = is_lost;
}

static void
on_reply (void *data, const GgStoreReply *reply)
{
  GgConfigFollower *self = data;
  self->call = NULL;
  switch (reply->result)
    {
    case GG_STORE_OK:
    case GG_STORE_ABSENT:
      for (guint i = 0; i < reply->items->len; i++)
        take_item (self, g_ptr_array_index (reply->items, i));
      self->revision = reply->revision;
      self->is_read = TRUE;
      self->router->config_fresh_boot_ms = reply->sent_boot_ms;
      set_lost (self, FALSE);
      send_call (self);
      return;
    case GG_STORE_EXPIRED:
      self->is_read = FALSE;
      send_call (self);
      return;
    case GG_STORE_CONFLICT:
    case GG_STORE_REFUSED:
    case GG_STORE_UNKNOWN:
      set_lost (self, TRUE);
      gg_loop_timer_start (self->retry_timer, RETRY_MS);
      return;
    }
}

static void
send_call (GgConfigFollower *self)
{
  const char *key = gg_directory_get_config_key ();
  if (self->is_read)
    self->call
        = gg_store_watch (self->router->store, key, self->revision, WATCH_MS, on_reply, self);
  else
    self->call = gg_store_read (self->router->store, key, on_reply, self);
}

static void
on_retry (void *data)
{
  send_call (data);
}

GgConfigFollower *
gg_config_follower_create (GgRouter *router)
{
  GgConfigFollower *self = g_new0 (GgConfigFollower, 1);
  self->router = router;
  self->retry_timer = gg_loop_timer_create (router->loop, on_retry, self);
  send_call (self);
  return self;
}

void
gg_config_follower_destroy (GgConfigFollower *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_timer_destroy (self->retry_timer);
  g_free (self);
}
