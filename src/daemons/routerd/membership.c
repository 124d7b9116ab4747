#include "daemons/routerd/membership.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "core/backoff.h"
#include "core/store_position.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/quarantine_exchange.h"
#include "loop/address.h"

#include <math.h>
#include <netinet/in.h>
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
/* A lost reply looks like a store without news until the end of this wait: the death of the leader
 * is unknown for that long, beside its lease. */
#define WATCH_MS 5000
#define RETRY_MS 150
#define RETRY_MAX_MS 1000
/* Instances mostly join and leave together; a pause after a change collects further ones. */
#define WATCH_PAUSE_MS 700
/* Instances campaign for leadership one after another, so that one write is mostly enough. */
#define CAMPAIGN_STEP_MS 60
#define CAMPAIGN_DELAY_MS 10
/* Pause before an instance whose links to the runners are down tries again to give up leading, or
 * checks whether it may campaign. */
#define LINKS_CHECK_MS 500
/* A process that has just started knows the instances that start with it only after it has read the
 * list twice. */
#define FIRST_CAMPAIGN_DELAY_MS (WATCH_PAUSE_MS + 50)
/* When all instances start, large instances read the list before small ones, and these at
 * different times, so that the ones that read it late find enough of the others registered. */
#define LARGE_CAPACITY 250 /* thousandths of a core */
#define LARGE_START_SPREAD_MS 100
#define SMALL_START_DELAY_MS 300
#define SMALL_START_SPREAD_MS 500
/* When registered instances are missing, the others register at different times. */
#define REGISTER_SPREAD_MS 400
/* Surplus instances leave after this long, at different times. */
#define SURPLUS_MS 8000
#define SURPLUS_SPREAD_MS 4000
/* Pause between two reads of the list by a member that finds no source. */
#define REFRESH_INTERVAL_MS 2000
#define THOUSANDTHS 1000.0

struct _GgMembership
{
  GgRouter *router;
  char *address;
  char *own_value; /* "IP:PORT DATA_CENTRE CAPACITY" */
  char *own_key;
  uint32_t capacity; /* in thousandths of a core */
  uint64_t lease;    /* 0 for none */
  uint64_t lease_ms;
  uint64_t valid_until_boot_ms;
  GgRole role;
  gboolean is_joined; /* this instance's key is written under the current lease */
  gboolean is_leaving;
  uint64_t fencing_number;  /* revision of this process's write of the leader key; 0: not leader */
  gboolean is_handing_over; /* the key of the leader is still to be deleted */
  uint64_t last_fencing_number; /* highest token with which this process has led */

  GgRoster *roster;
  uint64_t leader_revision; /* of the leader key; 0: no leader */
  uint64_t watch_revision;
  gboolean is_listed;
  gboolean has_listed_once; /* the list was read at least once */
  gboolean is_registering;  /* the list is read in order to register if it is still needed */
  uint64_t refreshed_ms;
  uint64_t restored_boot_ms; /* when this instance learned that the store was restored; 0: never */

  GgStoreCall *lease_call; /* opens, renews or ends the lease, or writes own_key */
  GgStoreCall *watch_call;
  GgStoreCall *leader_call;
  GgBackoff lease_backoff;
  GgBackoff watch_backoff;
  GgLoopTimer *lease_timer;
  GgLoopTimer *watch_timer;
  GgLoopTimer *campaign_timer;
  GgLoopTimer *role_timer; /* until this instance registers or leaves as surplus */
};

static void open_or_renew_lease (void *data);
static void watch (void *data);

/* Whether the instance can be reached, and passed on to other instances. */
static gboolean
is_peer_valid (const char *name, const char *address, const char *data_centre)
{
  struct sockaddr_in target;
  return gg_runner_record_is_text_valid (name) && gg_runner_record_is_text_valid (data_centre)
         && gg_runner_record_is_text_valid (address) && gg_address_resolve (address, &target, NULL)
         && target.sin_port != 0;
}

/* Decodes the key and the value of an instance.
 * @return NULL if it is malformed. */
static GgPeer *
decode_peer (const char *key, GBytes *value)
{
  gsize size = 0;
  const char *bytes = g_bytes_get_data (value, &size);
  char *text = g_strndup (bytes, size);
  char **fields = g_strsplit (text, " ", 3);
  const char *name = key + strlen (INSTANCE_PREFIX);
  GgPeer *peer = NULL;
  if (g_strv_length (fields) >= 2 && is_peer_valid (name, fields[0], fields[1]))
    peer = gg_peer_create (name, fields[0], fields[1],
                           fields[2] != NULL ? (uint32_t) g_ascii_strtoull (fields[2], NULL, 10)
                                             : 0);
  g_strfreev (fields);
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
  self->is_handing_over = FALSE;
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
  if (self->is_leaving || self->role != GG_ROLE_REGISTERED)
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
  if (self->is_leaving || self->role != GG_ROLE_REGISTERED || self->lease_call != NULL)
    return;
  if (self->router->is_store_unavailable)
    {
      gg_loop_timer_start (self->lease_timer, GG_STORE_RECOVERY_CHECK_MS);
      return;
    }
  if (self->lease == 0)
    {
      uint64_t floor_ms = (uint64_t) ceil (
          gg_settings_get_decimal (self->router->settings, "store", "lease_floor_ms"));
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

gboolean
gg_membership_has_lease (const GgMembership *self)
{
  return self->is_joined && !self->is_leaving && is_lease_valid (self);
}

gboolean
gg_membership_is_leaving (const GgMembership *self)
{
  return self->is_leaving;
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
on_leader_deleted (void *data, const GgStoreReply *reply)
{
  GgMembership *self = data;
  self->leader_call = NULL;
  if (reply->result == GG_STORE_OK || reply->result == GG_STORE_CONFLICT)
    self->is_handing_over = FALSE;
  gg_loop_timer_start (self->campaign_timer, LINKS_CHECK_MS);
}

/* Deletes the key of the leader that this instance has written. Otherwise its lease would hold the
 * key, and no other instance would lead. */
static void
delete_leader_key (GgMembership *self)
{
  if (self->leader_call == NULL && !self->router->is_store_unavailable)
    self->leader_call = gg_store_delete (self->router->store, LEADER_KEY, self->last_fencing_number,
                                         on_leader_deleted, self);
  else
    gg_loop_timer_start (self->campaign_timer, LINKS_CHECK_MS);
}

void
gg_membership_hand_over_leading (GgMembership *self)
{
  if (self->fencing_number == 0 || self->is_leaving)
    return;
  gg_membership_resign (self);
  self->is_handing_over = TRUE;
  delete_leader_key (self);
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
  uint64_t now_ms = gg_clock_boot_ms ();
  /* The key of the leader may be missing from the copy while it still leads: its lease lasts this
   * long after the last renewal, which was before the restore. */
  uint64_t free_ms = self->restored_boot_ms + MAX (LEASE_MS, self->lease_ms);
  if (self->restored_boot_ms != 0 && now_ms < free_ms)
    {
      gg_loop_timer_start (self->campaign_timer, free_ms - now_ms);
      return;
    }
  if (self->is_handing_over && !self->is_leaving)
    {
      delete_leader_key (self);
      return;
    }
  /* An instance that can't reach the runners leaves the election to those that can. */
  if (gg_link_monitor_get_state (self->router->link_monitor, NULL) == GG_LINKS_DOWN)
    {
      gg_loop_timer_start (self->campaign_timer, LINKS_CHECK_MS);
      return;
    }
  if (self->leader_revision != 0 || self->leader_call != NULL || !self->is_joined
      || !is_lease_valid (self) || self->is_leaving)
    return;
  self->leader_call = gg_store_write (self->router->store, LEADER_KEY, 0, self->router->instance,
                                      self->lease, on_campaigned, self);
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
  else if (strcmp (item->key, gg_quarantine_exchange_get_key ()) == 0)
    gg_quarantine_exchange_apply_item (self->router->quarantine_exchange, item);
  else if (!g_str_has_prefix (item->key, INSTANCE_PREFIX))
    return;
  else if (item->value == NULL)
    gg_roster_remove (self->roster, item->key + strlen (INSTANCE_PREFIX));
  else
    {
      GgPeer *peer = decode_peer (item->key, item->value);
      if (peer != NULL)
        gg_roster_put (self->roster, peer);
      else
        {
          gg_event_log_add (GG_EVENT_ORDINARY, "instance_entry_unreadable",
                            "key=%s revision=%" G_GUINT64_FORMAT, item->key,
                            (guint64) item->revision);
          gg_roster_remove (self->roster, item->key + strlen (INSTANCE_PREFIX));
        }
    }
}

static void
become (GgMembership *self, GgRole role, const char *reason)
{
  if (self->role == role)
    return;
  self->role = role;
  self->router->is_registered = role == GG_ROLE_REGISTERED;
  gg_event_log_add (GG_EVENT_NOTABLE, "role_changed", "role=%s reason=%s rank=%u",
                    role == GG_ROLE_REGISTERED ? "registered" : "member", reason,
                    gg_roster_get_rank (self->roster));
}

static void
register_self (GgMembership *self, const char *reason)
{
  become (self, GG_ROLE_REGISTERED, reason);
  open_or_renew_lease (self);
}

/* Ends the registration of this instance, which others have made needless. */
static void
unregister (GgMembership *self)
{
  become (self, GG_ROLE_MEMBER, "surplus");
  gg_loop_timer_stop (self->lease_timer);
  gg_loop_timer_stop (self->watch_timer);
  gg_loop_timer_stop (self->campaign_timer);
  gg_store_call_cancel (self->lease_call);
  gg_store_call_cancel (self->watch_call);
  self->watch_call = NULL;
  self->lease_call = gg_store_end_lease (self->router->store, self->lease, on_renewed, self);
  drop_lease (self, "surplus");
}

static void
on_role_timer (void *data)
{
  GgMembership *self = data;
  if (self->is_leaving)
    return;
  if (self->role == GG_ROLE_REGISTERED)
    {
      if (gg_roster_is_surplus (self->roster) && self->lease != 0
          && !gg_membership_is_leader (self))
        unregister (self);
      return;
    }
  if (self->watch_call != NULL || !gg_roster_is_needed (self->roster))
    return;
  self->is_registering = TRUE;
  self->is_listed = FALSE;
  watch (self);
}

/* Decides whether to register or to leave, now that the roster has changed. */
static void
update_role (GgMembership *self)
{
  if (self->is_leaving)
    return;
  if (self->role == GG_ROLE_REGISTERED)
    {
      if (gg_roster_is_surplus (self->roster))
        gg_loop_timer_start (self->role_timer,
                             SURPLUS_MS + (uint64_t) g_random_int_range (0, SURPLUS_SPREAD_MS));
      else
        gg_loop_timer_stop (self->role_timer);
      return;
    }
  if (gg_roster_is_needed (self->roster))
    gg_loop_timer_start (self->role_timer, (uint64_t) g_random_int_range (0, REGISTER_SPREAD_MS));
  else
    gg_loop_timer_stop (self->role_timer);
}

/* The first read decides the role. An instance whose earlier process was registered, or that starts
 * together with all others and is needed, registers at once. */
static void
choose_first_role (GgMembership *self)
{
  gboolean is_needed = gg_roster_is_needed (self->roster);
  gboolean was_registered = gg_roster_get_rank (self->roster) < GG_ROSTER_TARGET
                            && gg_roster_has_name (self->roster, self->router->instance);
  gboolean is_first_start
      = gg_settings_get_boolean (self->router->settings, "instance", "first_start");
  if (is_needed && (was_registered || is_first_start || self->is_registering))
    register_self (self, was_registered ? "restart" : "needed");
  else
    become (self, GG_ROLE_MEMBER, "start");
}

static void
on_list_read (GgMembership *self)
{
  if (self->role == GG_ROLE_UNKNOWN)
    choose_first_role (self);
  else if (self->role == GG_ROLE_MEMBER && self->is_registering
           && gg_roster_is_needed (self->roster))
    register_self (self, "needed");
  self->is_registering = FALSE;
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
      if (self->is_registering)
        gg_loop_timer_start (self->role_timer, REFRESH_INTERVAL_MS);
      self->is_registering = FALSE;
      /* A member reads the list again when it still finds no source. */
      if (self->role != GG_ROLE_MEMBER)
        gg_loop_timer_start (self->watch_timer,
                             gg_backoff_next_ms (&self->watch_backoff, g_random_int ()));
      return;
    }
  gg_backoff_reset (&self->watch_backoff);
  if (!self->is_listed)
    {
      gg_roster_clear (self->roster);
      self->leader_revision = 0;
    }
  for (guint i = 0; i < reply->items->len; i++)
    apply_item (self, g_ptr_array_index (reply->items, i));
  gboolean was_listed = self->is_listed;
  self->is_listed = TRUE;
  self->watch_revision = reply->revision;
  if (!was_listed)
    on_list_read (self);
  update_role (self);
  if (self->role != GG_ROLE_REGISTERED)
    return;
  if (self->leader_revision == 0)
    gg_loop_timer_start (self->campaign_timer,
                         (self->has_listed_once ? CAMPAIGN_DELAY_MS : FIRST_CAMPAIGN_DELAY_MS)
                             + (uint64_t) gg_roster_get_overall_rank (self->roster)
                                   * CAMPAIGN_STEP_MS);
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

/* What this process has written since the copy is gone, and leases of the time before may be: it
 * registers anew, and no longer leads. */
static void
on_store_restored (void *data)
{
  GgMembership *self = data;
  self->restored_boot_ms = gg_clock_boot_ms ();
  gg_quarantine_exchange_note_restored (self->router->quarantine_exchange);
  gg_store_call_cancel (self->leader_call);
  self->leader_call = NULL;
  if (self->role == GG_ROLE_MEMBER || self->is_leaving)
    return;
  gg_store_call_cancel (self->lease_call);
  gg_store_call_cancel (self->watch_call);
  self->lease_call = NULL;
  gg_loop_timer_stop (self->lease_timer);
  gg_loop_timer_stop (self->watch_timer);
  drop_lease (self, "restored");
  self->is_listed = FALSE;
  open_or_renew_lease (self);
  watch (self);
}

void
gg_membership_note_position (GgMembership *self, uint64_t position)
{
  if (self->fencing_number != 0
      && gg_store_position_get_era (position) > gg_store_get_era (self->router->store))
    gg_membership_resign (self);
}

const char *
gg_membership_get_address (const GgMembership *self)
{
  return self->address;
}

GgRole
gg_membership_get_role (const GgMembership *self)
{
  return self->role;
}

gboolean
gg_membership_is_first (const GgMembership *self)
{
  return self->role == GG_ROLE_REGISTERED && self->is_joined && gg_roster_is_first (self->roster);
}

const GgRoster *
gg_membership_get_roster (const GgMembership *self)
{
  return self->roster;
}

uint64_t
gg_membership_get_roster_revision (const GgMembership *self)
{
  return self->is_listed ? self->watch_revision : 0;
}

void
gg_membership_apply_roster (GgMembership *self, uint64_t revision, const GPtrArray *peers)
{
  if (self->role != GG_ROLE_MEMBER || self->watch_call != NULL
      || (self->is_listed && revision <= self->watch_revision))
    return;
  gg_roster_clear (self->roster);
  for (guint i = 0; i < peers->len; i++)
    {
      const GgPeer *peer = g_ptr_array_index (peers, i);
      gg_roster_put (self->roster,
                     gg_peer_create (peer->name, peer->address, peer->data_centre, peer->capacity));
    }
  self->is_listed = TRUE;
  self->watch_revision = revision;
  update_role (self);
}

void
gg_membership_refresh (GgMembership *self)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (self->role != GG_ROLE_MEMBER || self->watch_call != NULL
      || now_ms < self->refreshed_ms + REFRESH_INTERVAL_MS || self->router->is_store_unavailable)
    return;
  self->refreshed_ms = now_ms;
  self->is_listed = FALSE;
  watch (self);
}

/* Returns how long this instance waits before it reads the list for the first time. */
static uint64_t
get_start_delay_ms (const GgMembership *self)
{
  if (!gg_settings_get_boolean (self->router->settings, "instance", "first_start"))
    return 0;
  if (self->capacity >= LARGE_CAPACITY)
    return (uint64_t) g_random_int_range (0, LARGE_START_SPREAD_MS);
  return SMALL_START_DELAY_MS + (uint64_t) g_random_int_range (0, SMALL_START_SPREAD_MS);
}

GgMembership *
gg_membership_create (GgRouter *router, const char *peer_address)
{
  GgMembership *self = g_new0 (GgMembership, 1);
  self->router = router;
  self->address = g_strdup (peer_address);
  self->capacity
      = (uint32_t) (gg_settings_get_decimal (router->settings, "instance", "processor_share")
                    * THOUSANDTHS);
  self->own_value = g_strdup_printf ("%s %s %u", peer_address, router->data_centre, self->capacity);
  self->own_key = g_strconcat (INSTANCE_PREFIX, router->instance, NULL);
  GgPeer *own
      = gg_peer_create (router->instance, peer_address, router->data_centre, self->capacity);
  self->roster = gg_roster_create (own);
  gg_peer_destroy (own);
  self->lease_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->watch_backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->lease_timer = gg_loop_timer_create (router->loop, open_or_renew_lease, self);
  self->watch_timer = gg_loop_timer_create (router->loop, watch, self);
  self->campaign_timer = gg_loop_timer_create (router->loop, campaign, self);
  self->role_timer = gg_loop_timer_create (router->loop, on_role_timer, self);
  gg_loop_timer_start (self->watch_timer, get_start_delay_ms (self));
  gg_store_add_restored_func (router->store, on_store_restored, self);
  return self;
}

void
gg_membership_leave (GgMembership *self)
{
  self->is_leaving = TRUE;
  gg_loop_timer_stop (self->lease_timer);
  gg_loop_timer_stop (self->role_timer);
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
  gg_loop_timer_destroy (self->role_timer);
  gg_roster_destroy (self->roster);
  g_free (self->address);
  g_free (self->own_key);
  g_free (self->own_value);
  g_free (self);
}
