#include "daemons/routerd/membership.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "core/backoff.h"

#include <string.h>

/* Keys in the store that belong to the router. */
#define PREFIX "greengage/"
#define INSTANCE_PREFIX PREFIX "instances/"
#define LEADER_KEY PREFIX "leader"

/* Time to live of the lease, after which an instance that has failed is no longer waited for. */
#define LEASE_MS 3000
#define RENEWALS_PER_LEASE 3
/* The leader stops sending orders this long before its lease may expire at the store. */
#define LEASE_MARGIN_MS 500
#define WATCH_MS 20000
#define RETRY_MS 150
#define RETRY_MAX_MS 1000
/* Instances mostly join and leave together; a pause after a change collects further ones. */
#define WATCH_PAUSE_MS 700
/* Instances campaign for leadership one after another, so that one write is mostly enough. */
#define CAMPAIGN_STEP_MS 60
#define CAMPAIGN_DELAY_MS 10
/* A process that has just started knows the instances that start with it only after it has read the
 * list twice. */
#define FIRST_CAMPAIGN_DELAY_MS (WATCH_PAUSE_MS + 50)

struct _GgMembership
{
  GgRouter *router;
  char *address;
  char *own_value; /* "IP:PORT DATA_CENTRE" */
  char *own_key;
  uint64_t lease; /* 0 for none */
  uint64_t lease_ms;
  uint64_t valid_until_boot_ms;
  gboolean is_joined; /* this instance's key is written under the current lease */
  gboolean is_leaving;
  uint64_t fencing_number; /* revision of this process's write of the leader key; 0: not leader */
  uint64_t last_fencing_number; /* highest token with which this process has led */

  GHashTable *instances;       /* key -> GgPeer */
  GPtrArray *peers;            /* GgPeer of the others, borrowed */
  const GgPeer *delegate;      /* first instance of this data centre, borrowed; or NULL */
  GPtrArray *remote_delegates; /* GgPeer: first instance of each other data centre, borrowed */
  uint64_t leader_revision;    /* of the leader key; 0: no leader */
  uint64_t watch_revision;
  gboolean is_listed;
  gboolean has_listed_once; /* the list was read at least once */

  GgStoreCall *lease_call; /* opens, renews or ends the lease, or writes own_key */
  GgStoreCall *watch_call;
  GgStoreCall *leader_call;
  GgBackoff lease_backoff;
  GgBackoff watch_backoff;
  GgLoopTimer *lease_timer;
  GgLoopTimer *watch_timer;
  GgLoopTimer *campaign_timer;
};

static void open_or_renew_lease (void *data);
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
 * @return NULL if it is malformed. */
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
                      self->fencing_number != 0);
  self->lease = 0;
  self->is_joined = FALSE;
  self->fencing_number = 0;
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
      /* An earlier incarnation of this instance left its key: overwrite that revision. */
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
write_own_key (GgMembership *self)
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
  write_own_key (self);
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
        write_own_key (self);
      else
        gg_loop_timer_start (self->lease_timer, self->lease_ms / RENEWALS_PER_LEASE);
      return;
    }
  if (reply->result == GG_STORE_ABSENT)
    {
      drop_lease (self, "absent");
      open_or_renew_lease (self);
      return;
    }
  retry_lease (self);
}

/* Opens or renews the lease. */
static void
open_or_renew_lease (void *data)
{
  GgMembership *self = data;
  if (self->is_leaving)
    return;
  if (self->router->is_store_unavailable)
    {
      gg_loop_timer_start (self->lease_timer, GG_STORE_RECOVERY_CHECK_MS);
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
  return self->fencing_number != 0 && !self->is_leaving && is_lease_valid (self);
}

uint64_t
gg_membership_get_fencing_number (const GgMembership *self)
{
  return self->fencing_number;
}

void
gg_membership_resign (GgMembership *self)
{
  gg_event_log_add (GG_EVENT_NOTABLE, "leader_resigned", "fence=%" G_GUINT64_FORMAT,
                    (guint64) self->fencing_number);
  self->fencing_number = 0;
}

static void
set_leading (GgMembership *self, uint64_t revision)
{
  self->fencing_number = revision;
  self->last_fencing_number = revision;
  gg_event_log_add (GG_EVENT_NOTABLE, "leader_elected",
                    "fence=%" G_GUINT64_FORMAT " lease=%" G_GUINT64_FORMAT, (guint64) revision,
                    (guint64) self->lease);
}

static void
on_campaigned (void *data, const GgStoreReply *reply)
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
campaign (void *data)
{
  GgMembership *self = data;
  if (self->leader_revision != 0 || self->leader_call != NULL || !self->is_joined
      || !is_lease_valid (self) || self->is_leaving)
    return;
  self->leader_call = gg_store_write (self->router->store, LEADER_KEY, 0, self->router->instance,
                                      self->lease, on_campaigned, self);
}

/* Position of this instance among all, ordered by key. */
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
rebuild_delegates (GgMembership *self)
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
  self->delegate = NULL;
  g_ptr_array_set_size (self->remote_delegates, 0);
  g_hash_table_iter_init (&iter, firsts);
  while (g_hash_table_iter_next (&iter, NULL, &key))
    {
      GgPeer *peer = g_hash_table_lookup (self->instances, key);
      if (strcmp (peer->data_centre, self->router->data_centre) == 0)
        self->delegate = peer;
      else
        g_ptr_array_add (self->remote_delegates, peer);
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
  rebuild_delegates (self);
  gg_router_set_instances (self->router, self->peers->len + 1);
}

static void
apply_leader (GgMembership *self, const GgStoreItem *item)
{
  self->leader_revision = item->value != NULL ? item->revision : 0;
  /* The reply to this instance's write was lost, but the write was applied. */
  if (self->fencing_number == 0 && item->value != NULL && self->lease != 0
      && item->lease == self->lease && item->revision > self->last_fencing_number)
    set_leading (self, item->revision);
  if (self->fencing_number != 0 && item->revision >= self->fencing_number
      && self->leader_revision != self->fencing_number)
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "leader_replaced",
                        "fence=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
                        (guint64) self->fencing_number, (guint64) item->revision);
      self->fencing_number = 0;
    }
}

static void
apply_item (GgMembership *self, const GgStoreItem *item)
{
  if (strcmp (item->key, LEADER_KEY) == 0)
    apply_leader (self, item);
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
  if (reply->result == GG_STORE_COMPACTED)
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
    apply_item (self, g_ptr_array_index (reply->items, i));
  self->is_listed = TRUE;
  self->watch_revision = reply->revision;
  rebuild_peers (self);
  if (self->leader_revision == 0)
    gg_loop_timer_start (self->campaign_timer,
                         (self->has_listed_once ? CAMPAIGN_DELAY_MS : FIRST_CAMPAIGN_DELAY_MS)
                             + (uint64_t) get_rank (self) * CAMPAIGN_STEP_MS);
  self->has_listed_once = TRUE;
  gg_loop_timer_start (self->watch_timer, reply->items->len > 0 ? WATCH_PAUSE_MS : 0);
}

static void
watch (void *data)
{
  GgMembership *self = data;
  if (self->router->is_store_unavailable)
    gg_loop_timer_start (self->watch_timer, GG_STORE_RECOVERY_CHECK_MS);
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
gg_membership_find_delegate (const GgMembership *self)
{
  return self->delegate != NULL ? self->delegate->address : NULL;
}

const GPtrArray *
gg_membership_get_remote_delegates (const GgMembership *self)
{
  return self->remote_delegates;
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
  self->remote_delegates = g_ptr_array_new ();
  self->lease_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->watch_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->lease_timer = gg_loop_timer_create (router->loop, open_or_renew_lease, self);
  self->watch_timer = gg_loop_timer_create (router->loop, watch, self);
  self->campaign_timer = gg_loop_timer_create (router->loop, campaign, self);
  open_or_renew_lease (self);
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
  self->fencing_number = 0;
}

void
gg_membership_destroy (GgMembership *self)
{
  gg_store_call_cancel (self->lease_call);
  gg_store_call_cancel (self->watch_call);
  gg_store_call_cancel (self->leader_call);
  gg_loop_timer_destroy (self->lease_timer);
  gg_loop_timer_destroy (self->watch_timer);
  gg_loop_timer_destroy (self->campaign_timer);
  g_hash_table_unref (self->instances);
  g_ptr_array_unref (self->peers);
  g_ptr_array_unref (self->remote_delegates);
  g_free (self->address);
  g_free (self->own_key);
  g_free (self->own_value);
  g_free (self);
}
