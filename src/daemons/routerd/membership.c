#include "daemons/routerd/membership.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "core/backoff.h"

#include <string.h>

/* Names in the part of the store that is the router's own. */
#define PREFIX "greengage/"
#define INSTANCE_PREFIX PREFIX "instances/"
#define LEADER_KEY PREFIX "leader"

/* Time to live of the lease: after this long a lost instance is no longer waited for. */
#define LEASE_MS 3000
#define RENEWALS_PER_LEASE 3
/* The leader stops ordering this long before its lease may run out at the store. */
#define LEASE_MARGIN_MS 500
#define WATCH_MS 20000
#define RETRY_MS 150
#define RETRY_MAX_MS 1000
/* Instances mostly join and leave together, so changes are heard together. */
#define PAUSE_MS 700
/* Instances try to lead one after another, so that mostly one write is enough. */
#define CANDIDATE_STEP_MS 60
#define FIRST_TRY_MS 10
/* A process that has just started does not know those that start with it before it has looked at
 * the list twice. */
#define START_TRY_MS (PAUSE_MS + 50)

struct _GgMembership
{
  GgRouter *router;
  char *address;
  char *own_value; /* "IP:PORT DATA_CENTRE" */
  char *own_key;
  uint64_t lease; /* 0 for none */
  uint64_t lease_ms;
  uint64_t valid_until_boot_ms;
  gboolean is_joined; /* the own key is written under the present lease */
  gboolean is_leaving;
  uint64_t fence;      /* revision of the leader key as this process wrote it; 0: does not lead */
  uint64_t last_fence; /* the highest that this process has led with */

  GHashTable *instances;    /* key -> GgPeer */
  GPtrArray *peers;         /* GgPeer of the others, borrowed */
  const GgPeer *source;     /* the first instance of the own data centre, borrowed; or NULL */
  GPtrArray *far_sources;   /* GgPeer: the first ones of the others, borrowed */
  uint64_t leader_revision; /* 0: nobody leads */
  uint64_t watch_revision;
  gboolean is_listed;
  gboolean has_looked; /* the list was read once */

  GgStoreCall *lease_call; /* opening, renewing or writing */
  GgStoreCall *watch_call;
  GgStoreCall *leader_call;
  GgBackoff lease_backoff;
  GgBackoff watch_backoff;
  GgLoopTimer *lease_timer;
  GgLoopTimer *watch_timer;
  GgLoopTimer *candidate_timer;
};

static void renew (void *data);
static void watch (void *data);

static void
free_peer (void *data)
{
  GgPeer *peer = data;
  g_free (peer->address);
  g_free (peer->data_centre);
  g_free (peer);
}

/* Decodes the value of an instance's key.
 * @return NULL if it is of another form. */
static GgPeer *
decode_peer (GBytes *value)
{
  gsize size = 0;
  const char *bytes = g_bytes_get_data (value, &size);
  char *text = g_strndup (bytes, size);
  char *space = strchr (text, ' ');
  GgPeer *peer = NULL;
  if (space != NULL)
    {
      peer = g_new0 (GgPeer, 1);
      peer->address = g_strndup (text, (gsize) (space - text));
      peer->data_centre = g_strdup (space + 1);
    }
  g_free (text);
  return peer;
}

static void
drop_lease (GgMembership *self, const char *reason)
{
  if (self->lease != 0)
    gg_event_log_add (GG_EVENT_NOTABLE, "lease_lost",
                      "lease=%" G_GUINT64_FORMAT " reason=%s led=%d", (guint64) self->lease, reason,
                      self->fence != 0);
  self->lease = 0;
  self->is_joined = FALSE;
  self->fence = 0;
}

static void
retry_lease (GgMembership *self)
{
  gg_loop_timer_start (self->lease_timer,
                       gg_backoff_next_ms (&self->lease_backoff, g_random_int ()));
}

static void
on_joined (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->lease_call = NULL;
  if (reply->result == GG_STORE_OK)
    {
      self->is_joined = TRUE;
      gg_event_log_add (GG_EVENT_NOTABLE, "instance_joined",
                        "lease=%" G_GUINT64_FORMAT " ttl_ms=%" G_GUINT64_FORMAT,
                        (guint64) self->lease, (guint64) self->lease_ms);
      gg_loop_timer_start (self->lease_timer, self->lease_ms / RENEWALS_PER_LEASE);
      return;
    }
  if (reply->result == GG_STORE_CONFLICT && reply->items->len > 0)
    {
      /* An earlier incarnation of this instance left its key: write over that revision. */
      const GgStoreItem *item = g_ptr_array_index (reply->items, 0);
      self->lease_call = gg_store_write (self->router->store, self->own_key,
                                         item->value != NULL ? item->revision : 0, self->own_value,
                                         self->lease, on_joined, self);
      return;
    }
  if (reply->result == GG_STORE_ABSENT)
    drop_lease (self, "absent");
  retry_lease (self);
}

static void
join (GgMembership *self)
{
  self->lease_call = gg_store_write (self->router->store, self->own_key, 0, self->own_value,
                                     self->lease, on_joined, self);
}

static void
on_opened (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->lease_call = NULL;
  if (reply->result != GG_STORE_OK || reply->lease == 0)
    {
      retry_lease (self);
      return;
    }
  self->lease = reply->lease;
  self->lease_ms = reply->ttl_ms;
  self->valid_until_boot_ms = reply->sent_boot_ms + reply->ttl_ms;
  join (self);
}

static void
on_renewed (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->lease_call = NULL;
  if (self->is_leaving)
    return;
  if (reply->result == GG_STORE_OK)
    {
      self->valid_until_boot_ms = reply->sent_boot_ms + self->lease_ms;
      gg_backoff_reset (&self->lease_backoff);
      if (!self->is_joined)
        join (self);
      else
        gg_loop_timer_start (self->lease_timer, self->lease_ms / RENEWALS_PER_LEASE);
      return;
    }
  if (reply->result == GG_STORE_ABSENT)
    {
      drop_lease (self, "absent");
      renew (self);
      return;
    }
  retry_lease (self);
}

/* Opens or renews the lease. */
static void
renew (void *data)
{
  GgMembership *self = data;
  if (self->is_leaving)
    return;
  if (self->router->is_store_away)
    {
      gg_loop_timer_start (self->lease_timer, GG_STORE_AWAY_CHECK_MS);
      return;
    }
  if (self->lease == 0)
    {
      uint64_t floor_ms = gg_settings_get_uint (self->router->settings, "store", "lease_floor_ms");
      self->lease_call
          = gg_store_open_lease (self->router->store, MAX (LEASE_MS, floor_ms), on_opened, self);
    }
  else
    self->lease_call = gg_store_renew_lease (self->router->store, self->lease, on_renewed, self);
}

static gboolean
is_lease_valid (const GgMembership *self)
{
  return self->lease != 0 && gg_clock_boot_ms () + LEASE_MARGIN_MS < self->valid_until_boot_ms;
}

gboolean
gg_membership_is_leader (const GgMembership *self)
{
  return self->fence != 0 && !self->is_leaving && is_lease_valid (self);
}

uint64_t
gg_membership_get_fence (const GgMembership *self)
{
  return self->fence;
}

void
gg_membership_resign (GgMembership *self)
{
  gg_event_log_add (GG_EVENT_NOTABLE, "leader_resigned", "fence=%" G_GUINT64_FORMAT,
                    (guint64) self->fence);
  self->fence = 0;
}

static void
set_leading (GgMembership *self, uint64_t revision)
{
  self->fence = revision;
  self->last_fence = revision;
  gg_event_log_add (GG_EVENT_NOTABLE, "leader_elected",
                    "fence=%" G_GUINT64_FORMAT " lease=%" G_GUINT64_FORMAT, (guint64) revision,
                    (guint64) self->lease);
}

static void
on_led (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->leader_call = NULL;
  if (reply->result == GG_STORE_OK)
    set_leading (self, reply->revision);
  else if (reply->result == GG_STORE_UNKNOWN)
    gg_event_log_add (GG_EVENT_NOTABLE, "leader_write_unknown", "lease=%" G_GUINT64_FORMAT,
                      (guint64) self->lease);
}

static void
stand (void *data)
{
  GgMembership *self = data;
  if (self->leader_revision != 0 || self->leader_call != NULL || !self->is_joined
      || !is_lease_valid (self) || self->is_leaving)
    return;
  self->leader_call = gg_store_write (self->router->store, LEADER_KEY, 0, self->router->instance,
                                      self->lease, on_led, self);
}

/* Position of this instance among all, in order of their keys. */
static guint
get_rank (const GgMembership *self)
{
  guint rank = 0;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->instances);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (strcmp (key, self->own_key) < 0)
      rank++;
  return rank;
}

/* Finds the first instance of each data centre. */
static void
rebuild_sources (GgMembership *self)
{
  GHashTable *firsts = g_hash_table_new (g_str_hash, g_str_equal); /* data centre -> key */
  GHashTableIter iter;
  void *key;
  void *value;
  g_hash_table_iter_init (&iter, self->instances);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *first = g_hash_table_lookup (firsts, ((const GgPeer *) value)->data_centre);
      if (first == NULL || strcmp (key, first) < 0)
        g_hash_table_insert (firsts, ((GgPeer *) value)->data_centre, key);
    }
  self->source = NULL;
  g_ptr_array_set_size (self->far_sources, 0);
  g_hash_table_iter_init (&iter, firsts);
  while (g_hash_table_iter_next (&iter, NULL, &key))
    {
      GgPeer *peer = g_hash_table_lookup (self->instances, key);
      if (strcmp (peer->data_centre, self->router->data_centre) == 0)
        self->source = peer;
      else
        g_ptr_array_add (self->far_sources, peer);
    }
  g_hash_table_unref (firsts);
}

static void
rebuild_peers (GgMembership *self)
{
  g_ptr_array_set_size (self->peers, 0);
  GHashTableIter iter;
  void *key;
  void *peer;
  g_hash_table_iter_init (&iter, self->instances);
  while (g_hash_table_iter_next (&iter, &key, &peer))
    if (strcmp (key, self->own_key) != 0)
      g_ptr_array_add (self->peers, peer);
  rebuild_sources (self);
  gg_router_set_instances (self->router, self->peers->len + 1);
}

static void
take_leader (GgMembership *self, const GgStoreItem *item)
{
  self->leader_revision = item->value != NULL ? item->revision : 0;
  /* The reply to the own write was lost, but the write was carried out. */
  if (self->fence == 0 && item->value != NULL && self->lease != 0 && item->lease == self->lease
      && item->revision > self->last_fence)
    set_leading (self, item->revision);
  if (self->fence != 0 && item->revision >= self->fence && self->leader_revision != self->fence)
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "leader_replaced",
                        "fence=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
                        (guint64) self->fence, (guint64) item->revision);
      self->fence = 0;
    }
}

static void
take_item (GgMembership *self, const GgStoreItem *item)
{
  if (strcmp (item->key, LEADER_KEY) == 0)
    take_leader (self, item);
  else if (!g_str_has_prefix (item->key, INSTANCE_PREFIX))
    return;
  else if (item->value == NULL)
    g_hash_table_remove (self->instances, item->key);
  else
    {
      GgPeer *peer = decode_peer (item->value);
      if (peer != NULL)
        g_hash_table_insert (self->instances, g_strdup (item->key), peer);
    }
}

static void
on_watched (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->watch_call = NULL;
  if (reply->result == GG_STORE_EXPIRED)
    {
      self->is_listed = FALSE;
      watch (self);
      return;
    }
  if (reply->result != GG_STORE_OK)
    {
      gg_loop_timer_start (self->watch_timer,
                           gg_backoff_next_ms (&self->watch_backoff, g_random_int ()));
      return;
    }
  gg_backoff_reset (&self->watch_backoff);
  if (!self->is_listed)
    {
      g_hash_table_remove_all (self->instances);
      self->leader_revision = 0;
    }
  for (guint i = 0; i < reply->items->len; i++)
    take_item (self, g_ptr_array_index (reply->items, i));
  self->is_listed = TRUE;
  self->watch_revision = reply->revision;
  rebuild_peers (self);
  if (self->leader_revision == 0)
    gg_loop_timer_start (self->candidate_timer,
                         (self->has_looked ? FIRST_TRY_MS : START_TRY_MS)
                             + (uint64_t) get_rank (self) * CANDIDATE_STEP_MS);
  self->has_looked = TRUE;
  gg_loop_timer_start (self->watch_timer, reply->items->len > 0 ? PAUSE_MS : 0);
}

static void
watch (void *data)
{
  GgMembership *self = data;
  if (self->router->is_store_away)
    gg_loop_timer_start (self->watch_timer, GG_STORE_AWAY_CHECK_MS);
  else if (self->is_listed)
    self->watch_call = gg_store_watch (self->router->store, PREFIX, self->watch_revision, WATCH_MS,
                                       on_watched, self);
  else
    self->watch_call = gg_store_list (self->router->store, PREFIX, "", on_watched, self);
}

const char *
gg_membership_get_address (const GgMembership *self)
{
  return self->address;
}

const char *
gg_membership_find_source (const GgMembership *self)
{
  return self->source != NULL ? self->source->address : NULL;
}

const GPtrArray *
gg_membership_get_far_sources (const GgMembership *self)
{
  return self->far_sources;
}

const GPtrArray *
gg_membership_get_peers (const GgMembership *self)
{
  return self->peers;
}

GgMembership *
gg_membership_create (GgRouter *router, const char *peer_address)
{
  GgMembership *self = g_new0 (GgMembership, 1);
  self->router = router;
  self->address = g_strdup (peer_address);
  self->own_value = g_strdup_printf ("%s %s", peer_address, router->data_centre);
  self->own_key = g_strconcat (INSTANCE_PREFIX, router->instance, NULL);
  self->instances = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_peer);
  self->peers = g_ptr_array_new ();
  self->far_sources = g_ptr_array_new ();
  self->lease_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->watch_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->lease_timer = gg_loop_timer_create (router->loop, renew, self);
  self->watch_timer = gg_loop_timer_create (router->loop, watch, self);
  self->candidate_timer = gg_loop_timer_create (router->loop, stand, self);
  renew (self);
  watch (self);
  return self;
}

void
gg_membership_leave (GgMembership *self)
{
  self->is_leaving = TRUE;
  gg_loop_timer_stop (self->lease_timer);
  gg_store_call_cancel (self->lease_call);
  self->lease_call = NULL;
  if (self->lease != 0)
    self->lease_call = gg_store_end_lease (self->router->store, self->lease, on_renewed, self);
  self->fence = 0;
}

void
gg_membership_destroy (GgMembership *self)
{
  gg_store_call_cancel (self->lease_call);
  gg_store_call_cancel (self->watch_call);
  gg_store_call_cancel (self->leader_call);
  gg_loop_timer_destroy (self->lease_timer);
  gg_loop_timer_destroy (self->watch_timer);
  gg_loop_timer_destroy (self->candidate_timer);
  g_hash_table_unref (self->instances);
  g_ptr_array_unref (self->peers);
  g_ptr_array_unref (self->far_sources);
  g_free (self->address);
  g_free (self->own_key);
  g_free (self->own_value);
  g_free (self);
}
