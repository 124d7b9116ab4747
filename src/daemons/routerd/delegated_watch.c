#include "daemons/routerd/delegated_watch.h"

#include "adapters/rpc/watch_message.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "core/source_choice.h"

#include <string.h>

/* If the delegate's unrequested report of a change is lost, the change is known this much later. */
#define POLL_INTERVAL_MS 300
/* Interval while a source is sought. */
#define SEARCH_INTERVAL_MS 80
/* The role of a process that is started again is known this soon. */
#define FIRST_TICK_MS 20
/* How long an instance goes on without a valid source before it watches by itself. The second in
 * rank takes the place of the first one at once; the others wait for it, for different times, so
 * that they don't all call the store if it does not. */
#define REGISTERED_SEARCH_TIMEOUT_MS 500
#define MEMBER_SEARCH_TIMEOUT_MS 700
#define MEMBER_SEARCH_SPREAD_MS 700
/* The same for a member while registered instances respond but none reaches the store: it would
 * hardly reach the store itself, and each call of a large deployment during an outage is one of
 * hundreds. */
#define OUTAGE_SEARCH_TIMEOUT_MS 8000
/* After its start a member waits this long for a source, and any process for its role. */
#define START_SEARCH_TIMEOUT_MS 1500
/* A subscriber that has not sent a request for this long no longer relies on this instance. */
#define SUBSCRIBER_EXPIRY_MS 1000
/* Number of the latest requests whose reports are accepted as proof. */
#define MAX_PENDING_REQUESTS 32

typedef struct
{
  uint64_t number; /* 0 for none */
  uint64_t sent_boot_ms;
  char *address;
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
  GgMembership *membership;
  GgConfigWatcher *config_watcher;
  GgRunnerWatcher *runner_watcher;
  GgLoopTimer *timer;
  GgSourceChoice *choice;
  uint64_t roster_revision; /* of the roster that the choice knows */
  uint64_t started_boot_ms;
  uint64_t search_timeout_ms; /* of a member */
  uint64_t last_number;
  PendingRequest pending[MAX_PENDING_REQUESTS];
  gboolean is_delegated;
  GHashTable *subscribers; /* address -> Subscriber */
};

/* How long this instance goes on without a valid source. */
static uint64_t
get_search_timeout_ms (const GgDelegatedWatch *self)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  uint64_t started_ms = gg_clock_boot_ms () - self->started_boot_ms;
  switch (gg_membership_get_role (self->membership))
    {
    case GG_ROLE_UNKNOWN:
      return START_SEARCH_TIMEOUT_MS;
    case GG_ROLE_REGISTERED:
      return gg_roster_get_rank (roster) <= 1 ? 0 : REGISTERED_SEARCH_TIMEOUT_MS;
    case GG_ROLE_MEMBER:
      if (gg_source_choice_has_responding (self->choice, gg_clock_boot_ms ()))
        return OUTAGE_SEARCH_TIMEOUT_MS;
      return started_ms < START_SEARCH_TIMEOUT_MS ? START_SEARCH_TIMEOUT_MS
                                                  : self->search_timeout_ms;
    }
  return 0;
}

/* The first instance in rank watches by itself while it reaches the store. */
static gboolean
is_own_watch_due (const GgDelegatedWatch *self)
{
  return gg_membership_is_first (self->membership)
         && gg_config_watcher_is_healthy (self->config_watcher);
}

static void
update_sources (GgDelegatedWatch *self)
{
  uint64_t revision = gg_membership_get_roster_revision (self->membership);
  if (revision == self->roster_revision)
    return;
  self->roster_revision = revision;
  const GPtrArray *peers = gg_roster_get_sources (gg_membership_get_roster (self->membership));
  GPtrArray *addresses = g_ptr_array_new ();
  for (guint i = 0; i < peers->len; i++)
    g_ptr_array_add (addresses, ((GgPeer *) g_ptr_array_index (peers, i))->address);
  gg_source_choice_set_sources (self->choice, addresses);
  g_ptr_array_unref (addresses);
}

static void
update_delegation (GgDelegatedWatch *self)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  gboolean is_delegated
      = gg_source_choice_update (self->choice, now_ms, get_search_timeout_ms (self));
  is_delegated = is_delegated && !is_own_watch_due (self);
  if (!is_delegated)
    gg_membership_refresh (self->membership);
  if (is_delegated == self->is_delegated)
    return;
  self->is_delegated = is_delegated;
  const char *source = gg_source_choice_get_source (self->choice);
  gg_event_log_add (GG_EVENT_NOTABLE, is_delegated ? "feed_begun" : "feed_ended",
                    "source=%s rank=%u", source != NULL ? source : "-",
                    gg_roster_get_rank (gg_membership_get_roster (self->membership)));
  gg_config_watcher_set_delegated (self->config_watcher, is_delegated);
  gg_runner_watcher_set_delegated (self->runner_watcher, is_delegated);
}

gboolean
gg_delegated_watch_is_source (const GgDelegatedWatch *self)
{
  return self != NULL && !self->is_delegated
         && gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED
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
  report->is_complete = FALSE;
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
  report->is_complete = n >= 0 && n == (int) n_taken;
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
  gboolean is_empty = FALSE;
  for (guint max_changes = GG_WATCH_MESSAGE_MAX_CHANGES; size_bytes == 0 && !is_empty;
       max_changes /= 2)
    {
      if (message->report.status.is_delegate)
        is_all = fill_changes (self, &message->report, max_changes);
      is_empty = max_changes == 0;
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
  report->sender = g_strdup (gg_membership_get_address (self->membership));
  report->status.is_delegate = gg_delegated_watch_is_source (self);
  report->status.age_ms = gg_clock_boot_ms () - self->router->config_fresh_boot_ms;
  report->status.runners_age_ms = gg_clock_boot_ms () - self->router->runners_fresh_boot_ms;
  report->config_revision = gg_config_watcher_get_revision (self->config_watcher);
  report->n_instances = self->router->n_instances;
  report->changes_after = known_revision;
  while (!send_part (self, address, &message))
    {
      report->number = 0;
      report->changes_after = report->runners_revision;
    }
  gg_watch_message_clear (&message);
}

static void
add_peer (GgWatchMessage *message, const GgPeer *peer)
{
  if (message->roster.peers->len < GG_WATCH_MESSAGE_MAX_PEERS)
    g_ptr_array_add (message->roster.peers,
                     gg_peer_create (peer->name, peer->address, peer->data_centre, peer->capacity));
}

/* Adds the first registered instances of a data centre. */
static void
add_ranked (GgWatchMessage *message, const GgRoster *roster, const char *data_centre, guint n_max)
{
  const GPtrArray *ranked = gg_roster_get_ranked (roster, data_centre);
  for (guint i = 0; ranked != NULL && i < MIN (ranked->len, n_max); i++)
    add_peer (message, g_ptr_array_index (ranked, i));
}

/* Sends the registered instances that a member of this data centre has to know: those of this data
 * centre, and of the others as many as fit. */
static void
send_roster (const GgDelegatedWatch *self, const char *address)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  const GPtrArray *names = gg_roster_get_data_centres (roster);
  const char *own = self->router->data_centre;
  GgWatchMessage message;
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_ROSTER);
  message.roster.revision = gg_membership_get_roster_revision (self->membership);
  add_ranked (&message, roster, own, GG_ROSTER_TARGET + 1);
  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), own) != 0)
      add_ranked (&message, roster, g_ptr_array_index (names, i), 1);
  GPtrArray *peers = message.roster.peers;
  guint n_known = peers->len;
  size_t size_bytes = gg_watch_message_encode (&message, bytes, sizeof bytes);
  while (size_bytes == 0 && peers->len > 0)
    {
      g_ptr_array_set_size (peers, (gint) peers->len - 1);
      size_bytes = gg_watch_message_encode (&message, bytes, sizeof bytes);
    }
  if (peers->len < n_known)
    gg_event_log_add (GG_EVENT_NOTABLE, "roster_too_large", "count=%u sent=%u", n_known,
                      peers->len);
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
  gg_watch_message_clear (&message);
}

static void
handle_request (GgDelegatedWatch *self, const GgWatchRequest *request)
{
  Subscriber subscriber = { gg_clock_now_ms (), request->runners_revision };
  g_hash_table_replace (self->subscribers, g_strdup (request->reply_address),
                        g_memdup2 (&subscriber, sizeof subscriber));
  send_report (self, request->reply_address, request->number, request->runners_revision);
  if (gg_membership_get_role (self->membership) == GG_ROLE_REGISTERED
      && gg_membership_get_roster_revision (self->membership) > request->roster_revision
      && strcmp (request->data_centre, self->router->data_centre) == 0
      && !gg_roster_has_address (gg_membership_get_roster (self->membership),
                                 request->reply_address))
    send_roster (self, request->reply_address);
}

static void
clear_request (PendingRequest *request)
{
  g_free (request->address);
  *request = (PendingRequest){ 0 };
}

/* Applies what a source has reported. */
static void
apply_report (GgDelegatedWatch *self, const GgWatchReport *report, const char *source)
{
  if (report->n_instances > 0 && gg_membership_get_role (self->membership) == GG_ROLE_MEMBER)
    gg_router_set_instances (self->router, report->n_instances);
  gg_config_watcher_note_revision (self->config_watcher, report->config_revision, source);
  uint64_t known_revision = gg_runner_watcher_get_revision (self->runner_watcher);
  if (known_revision < report->changes_after || known_revision > report->runners_revision)
    return; /* an earlier datagram was lost, so the next request states the known revision; or this
             * instance has listed the entries later than the source */
  if (report->is_listing_needed)
    gg_runner_watcher_relist (self->runner_watcher, source);
  else
    gg_runner_watcher_apply_changes (self->runner_watcher, report->changes,
                                     report->runners_revision);
}

static void
handle_report (GgDelegatedWatch *self, const GgWatchReport *report)
{
  PendingRequest *request = &self->pending[report->number % MAX_PENDING_REQUESTS];
  uint64_t runners_proven_ms = 0;
  if (report->number != 0 && request->number == report->number
      && g_strcmp0 (request->address, report->sender) == 0)
    {
      uint64_t sent_boot_ms = request->sent_boot_ms;
      gg_source_choice_note_status (self->choice, request->address, &report->status, sent_boot_ms,
                                    gg_clock_boot_ms ());
      gg_config_watcher_note_proof (self->config_watcher, report->config_revision,
                                    gg_watch_status_get_proven_ms (&report->status, sent_boot_ms));
      runners_proven_ms = gg_watch_status_get_runners_proven_ms (&report->status, sent_boot_ms);
      clear_request (request);
    }
  update_delegation (self);
  gg_membership_note_position (self->membership, report->config_revision);
  const char *source = gg_source_choice_get_source (self->choice);
  /* The documents are read from the source, so only its own reports state what it has. */
  if (self->is_delegated && source != NULL && report->status.is_delegate
      && g_strcmp0 (report->sender, source) == 0)
    apply_report (self, report, source);
  if (report->is_complete)
    gg_runner_watcher_note_proof (self->runner_watcher, report->runners_revision,
                                  runners_proven_ms);
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
    case GG_WATCH_MESSAGE_ROSTER:
      gg_membership_apply_roster (self->membership, message.roster.revision, message.roster.peers);
      break;
    case GG_WATCH_MESSAGE_LIST:
      break; /* only sent as a document */
    }
  gg_watch_message_clear (&message);
  return TRUE;
}

static void
send_request (GgDelegatedWatch *self, const char *address)
{
  PendingRequest *request = &self->pending[++self->last_number % MAX_PENDING_REQUESTS];
  clear_request (request);
  *request = (PendingRequest){ self->last_number, gg_clock_boot_ms (), g_strdup (address) };
  GgWatchMessage message;
  char bytes[GG_WATCH_MESSAGE_MAX_BYTES];
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_REQUEST);
  message.request.number = request->number;
  message.request.reply_address = g_strdup (gg_membership_get_address (self->membership));
  message.request.runners_revision = gg_runner_watcher_get_revision (self->runner_watcher);
  message.request.data_centre = g_strdup (self->router->data_centre);
  message.request.roster_revision = gg_membership_get_roster_revision (self->membership);
  size_t size_bytes = gg_watch_message_encode (&message, bytes, sizeof bytes);
  gg_datagram_socket_send (self->router->peer_socket, address, bytes, size_bytes);
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
  const char *polled[GG_SOURCE_CHOICE_MAX_POLLS];
  update_sources (self);
  update_delegation (self);
  guint n = is_own_watch_due (self) ? 0 : gg_source_choice_get_polls (self->choice, polled);
  for (guint i = 0; i < n; i++)
    send_request (self, polled[i]);
  g_hash_table_foreach_remove (self->subscribers, is_expired_subscriber, &now_ms);
  gboolean is_settled
      = is_own_watch_due (self) || gg_source_choice_get_source (self->choice) != NULL;
  gg_loop_timer_start (self->timer, is_settled ? POLL_INTERVAL_MS : SEARCH_INTERVAL_MS);
}

gboolean
gg_delegated_watch_has_delegate (const GgDelegatedWatch *self)
{
  /* The first one in rank does not wait for the others, or all would wait for each other. */
  return self != NULL && !gg_roster_is_first (gg_membership_get_roster (self->membership))
         && gg_source_choice_has_responding (self->choice, gg_clock_boot_ms ());
}

void
gg_delegated_watch_foreach_member (const GgDelegatedWatch *self,
                                   void (*func) (void *data, const char *address),
                                   void *data)
{
  const GgRoster *roster = gg_membership_get_roster (self->membership);
  GHashTableIter iter;
  void *address;
  g_hash_table_iter_init (&iter, self->subscribers);
  while (g_hash_table_iter_next (&iter, &address, NULL))
    if (!gg_roster_has_address (roster, address))
      func (data, address);
}

void
gg_delegated_watch_notify (GgDelegatedWatch *self)
{
  if (!gg_delegated_watch_is_source (self))
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
  self->started_boot_ms = gg_clock_boot_ms ();
  self->choice = gg_source_choice_create (self->started_boot_ms);
  self->search_timeout_ms
      = MEMBER_SEARCH_TIMEOUT_MS + (uint64_t) g_random_int_range (0, MEMBER_SEARCH_SPREAD_MS);
  self->is_delegated = TRUE;
  self->timer = gg_loop_timer_create (self->router->loop, on_timer, self);
  gg_loop_timer_start (self->timer, FIRST_TICK_MS);
  return self;
}

void
gg_delegated_watch_destroy (GgDelegatedWatch *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->subscribers);
  for (guint i = 0; i < MAX_PENDING_REQUESTS; i++)
    clear_request (&self->pending[i]);
  gg_source_choice_destroy (self->choice);
  g_free (self);
}
