#include "daemons/routerd/delegated_watch.h"

#include "adapters/rpc/watch_message.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "core/watch_delegation.h"

#include <string.h>

/* If the delegate's unrequested report of a change is lost, the change is known this much later. */
#define POLL_INTERVAL_MS 300
/* Interval and number of the first requests, for instances that start together. */
#define FIRST_POLL_INTERVAL_MS 60
#define N_FIRST_POLLS 10
/* A subscriber that has not sent a request for this long no longer relies on this instance. */
#define SUBSCRIBER_EXPIRY_MS 1000
/* Number of the latest requests whose reports are accepted as proof. */
#define MAX_PENDING_REQUESTS 8

typedef struct
{
  uint64_t number; /* 0 for none */
  uint64_t sent_boot_ms;
} PendingRequest;

/* Instance that relies on this one. */
typedef struct
{
  uint64_t last_request_ms;
  uint64_t runners_revision;
} Subscriber;

struct _GgDelegatedWatch
{
  GgRouter *router;
  const GgMembership *membership;
  GgConfigWatcher *config_watcher;
  GgRunnerWatcher *runner_watcher;
  GgLoopTimer *timer;
  GgWatchDelegation delegation;
  char *delegate_address; /* latest known one, may be this instance's; NULL for none */
  uint64_t last_number;
  PendingRequest pending[MAX_PENDING_REQUESTS];
  gboolean is_delegated;
  GHashTable *subscribers; /* address -> Subscriber */
};

static gboolean
is_own_address (const GgDelegatedWatch *self, const char *address)
{
  return strcmp (address, gg_membership_get_address (self->membership)) == 0;
}

static void
update_delegation (GgDelegatedWatch *self)
{
  gboolean is_delegated = gg_watch_delegation_is_active (&self->delegation, gg_clock_boot_ms ());
  if (is_delegated == self->is_delegated)
    return;
  self->is_delegated = is_delegated;
  gg_event_log_add (GG_EVENT_NOTABLE, is_delegated ? "feed_begun" : "feed_ended",
                    "source=%s words_in_a_row=%u",
                    self->delegate_address != NULL ? self->delegate_address : "-",
                    self->delegation.n_valid_reports);
  gg_config_watcher_set_delegated (self->config_watcher, is_delegated);
  gg_runner_watcher_set_delegated (self->runner_watcher, is_delegated);
}

static gboolean
is_delegate (const GgDelegatedWatch *self)
{
  const char *delegate_address = gg_membership_find_delegate (self->membership);
  return delegate_address != NULL && is_own_address (self, delegate_address)
         && !self->router->is_stopping && self->router->config_fresh_boot_ms != 0
         && gg_config_watcher_is_healthy (self->config_watcher);
}

/* Fills in the first changes after a revision, @p max_changes at most. Changes of one revision stay
 * together.
 * @return whether these are all changes. */
static gboolean
fill_changes (const GgDelegatedWatch *self, GgWatchReport *report, guint max_changes)
{
  const GgRunnerChanges *changes = gg_runner_watcher_get_changes (self->runner_watcher);
  g_array_set_size (report->changes, 0);
  report->runners_revision = report->changes_after;
  if (changes == NULL)
    return TRUE; /* the entries are being listed again: nothing to report until that has ended */
  guint first = 0;
  int n = gg_runner_changes_find (changes, report->changes_after, &first);
  guint n_taken = MIN ((guint) MAX (n, 0), max_changes);
  report->is_listing_needed = n < 0;
  report->runners_revision = gg_runner_watcher_get_revision (self->runner_watcher);
  if (n > (int) n_taken)
    report->runners_revision = gg_runner_changes_get (changes, first + n_taken)->revision - 1;
  for (guint i = first; i < first + n_taken; i++)
    {
      const GgRunnerChange *known = gg_runner_changes_get (changes, i);
      GgRunnerChange change = { .revision = known->revision, .is_removed = known->is_removed };
      if (known->revision > report->runners_revision)
        break;
      gg_runner_record_copy (&change.record, &known->record);
      g_array_append_val (report->changes, change);
    }
  return n <= (int) n_taken;
}

/* Fills and sends one datagram with as many changes as fit.
 * @return whether all changes are in it. */
static gboolean
send_part (const GgDelegatedWatch *self, const char *address, GgWatchMessage *message)
{
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  size_t size_bytes = 0;
  gboolean is_all = TRUE;
  for (guint max_changes = GG_WATCH_MESSAGE_MAX_CHANGES; size_bytes == 0; max_changes /= 2)
    {
      if (message->report.status.is_delegate)
        is_all = fill_changes (self, &message->report, max_changes);
      size_bytes = gg_watch_message_encode (message, bytes, sizeof bytes);
    }
  /* If one revision has more changes than fit into a datagram, the receiver has to list all. */
  if (!is_all && message->report.runners_revision <= message->report.changes_after)
    {
      message->report.is_listing_needed = TRUE;
      size_bytes = gg_watch_message_encode (message, bytes, sizeof bytes);
      is_all = TRUE;
    }
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
  return is_all;
}

/* Sends this instance's status and the changes after a revision, in as many reports as needed. */
static void
send_report (const GgDelegatedWatch *self,
             const char *address,
             uint64_t number,
             uint64_t known_revision)
{
  GgWatchMessage message;
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REPORT);
  GgWatchReport *report = &message.report;
  report->number = number;
  report->status.is_delegate = is_delegate (self);
  report->status.age_ms = gg_clock_boot_ms () - self->router->config_fresh_boot_ms;
  report->config_revision = gg_config_watcher_get_revision (self->config_watcher);
  report->changes_after = known_revision;
  while (!send_part (self, address, &message))
    {
      report->number = 0;
      report->changes_after = report->runners_revision;
    }
  gg_watch_message_clear (&message);
}

static void
handle_request (GgDelegatedWatch *self, const GgWatchRequest *request)
{
  Subscriber subscriber = { gg_clock_now_ms (), request->runners_revision };
  g_hash_table_replace (self->subscribers, g_strdup (request->reply_address),
                        g_memdup2 (&subscriber, sizeof subscriber));
  send_report (self, request->reply_address, request->number, request->runners_revision);
}

/* @return when the request was sent (CLOCK_BOOTTIME), 0 if it is no longer pending. */
static uint64_t
complete_request (GgDelegatedWatch *self, uint64_t number)
{
  PendingRequest *request = &self->pending[number % MAX_PENDING_REQUESTS];
  if (number == 0 || request->number != number)
    return 0;
  request->number = 0;
  return request->sent_boot_ms;
}

static void
handle_report (GgDelegatedWatch *self, const GgWatchReport *report)
{
  uint64_t sent_boot_ms = complete_request (self, report->number);
  if (sent_boot_ms != 0)
    {
      gg_watch_delegation_note_status (&self->delegation, &report->status, sent_boot_ms);
      gg_config_watcher_note_proof (self->config_watcher, report->config_revision,
                                    gg_watch_status_get_proven_ms (&report->status, sent_boot_ms));
    }
  update_delegation (self);
  if (!self->is_delegated || !report->status.is_delegate)
    return;
  gg_config_watcher_note_revision (self->config_watcher, report->config_revision);
  uint64_t known_revision = gg_runner_watcher_get_revision (self->runner_watcher);
  if (known_revision < report->changes_after)
    return; /* an earlier datagram was lost; the next request states the known revision */
  if (report->is_listing_needed)
    gg_runner_watcher_relist (self->runner_watcher);
  else
    gg_runner_watcher_apply_changes (self->runner_watcher, report->changes,
                                     report->runners_revision);
}

gboolean
gg_delegated_watch_receive (GgDelegatedWatch *self, char *bytes, size_t size_bytes)
{
  GgWatchMessage message;
  if (!gg_watch_message_decode (bytes, size_bytes, &message))
    return FALSE;
  switch (message.kind)
    {
    case GG_WATCH_MESSAGE_REQUEST:
      handle_request (self, &message.request);
      break;
    case GG_WATCH_MESSAGE_REPORT:
      handle_report (self, &message.report);
      break;
    }
  gg_watch_message_clear (&message);
  return TRUE;
}

static void
send_request (GgDelegatedWatch *self)
{
  PendingRequest *request = &self->pending[++self->last_number % MAX_PENDING_REQUESTS];
  *request = (PendingRequest){ self->last_number, gg_clock_boot_ms () };
  GgWatchMessage message;
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REQUEST);
  message.request.number = request->number;
  message.request.reply_address = g_strdup (gg_membership_get_address (self->membership));
  message.request.runners_revision = gg_runner_watcher_get_revision (self->runner_watcher);
  size_t size_bytes = gg_watch_message_encode (&message, bytes, sizeof bytes);
  gg_datagram_socket_send (self->router->peer_socket, self->delegate_address, bytes, size_bytes);
  gg_watch_message_clear (&message);
}

static gboolean
is_expired_subscriber (void *address, void *subscriber, void *data)
{
  return ((const Subscriber *) subscriber)->last_request_ms + SUBSCRIBER_EXPIRY_MS
         < *(const uint64_t *) data;
}

static void
on_timer (void *data)
{
  GgDelegatedWatch *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  const char *delegate_address = gg_membership_find_delegate (self->membership);
  if (g_strcmp0 (delegate_address, self->delegate_address) != 0)
    {
      /* The delegation stays as it is: the new delegate must respond by the time by which the old
       * one would have had to. */
      memset (self->pending, 0, sizeof self->pending);
      g_free (self->delegate_address);
      self->delegate_address = g_strdup (delegate_address);
    }
  if (delegate_address == NULL || is_own_address (self, delegate_address))
    gg_watch_delegation_reset (&self->delegation);
  update_delegation (self);
  if (delegate_address != NULL && !is_own_address (self, delegate_address))
    send_request (self);
  g_hash_table_foreach_remove (self->subscribers, is_expired_subscriber, &now_ms);
  gboolean is_starting = !self->is_delegated && self->last_number < N_FIRST_POLLS;
  gg_loop_timer_start (self->timer, is_starting ? FIRST_POLL_INTERVAL_MS : POLL_INTERVAL_MS);
}

gboolean
gg_delegated_watch_has_delegate (const GgDelegatedWatch *self)
{
  return self != NULL && gg_watch_delegation_has_delegate (&self->delegation, gg_clock_boot_ms ());
}

void
gg_delegated_watch_notify (GgDelegatedWatch *self)
{
  if (self == NULL || !is_delegate (self))
    return;
  GHashTableIter iter;
  void *address;
  void *subscriber;
  g_hash_table_iter_init (&iter, self->subscribers);
  while (g_hash_table_iter_next (&iter, &address, &subscriber))
    send_report (self, address, 0, ((const Subscriber *) subscriber)->runners_revision);
}

GgDelegatedWatch *
gg_delegated_watch_create (const GgDelegatedWatchParams *params)
{
  GgDelegatedWatch *self = g_new0 (GgDelegatedWatch, 1);
  self->router = params->router;
  self->membership = params->membership;
  self->config_watcher = params->config_watcher;
  self->runner_watcher = params->runner_watcher;
  self->subscribers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->timer = gg_loop_timer_create (self->router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, FIRST_POLL_INTERVAL_MS);
  return self;
}

void
gg_delegated_watch_destroy (GgDelegatedWatch *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->subscribers);
  g_free (self->delegate_address);
  g_free (self);
}
