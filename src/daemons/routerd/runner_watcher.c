#include "daemons/routerd/runner_watcher.h"

#include "adapters/rpc/watch_message.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "core/backoff.h"
#include "daemons/routerd/delegated_watch.h"
#include "daemons/routerd/leaving_exchange.h"
#include "daemons/routerd/peer_documents.h"
#include "ports/directory.h"

#include <string.h>

/* Each reply proves that the view was complete when the call was sent. A lost reply looks like a
 * store without news until the end of this wait and the store's reply timeout, which together are
 * no longer than the time for which a leaving runner may still be used after a fault. */
#define WATCH_MS 1000
/* Entries often change together, as at a start or a release; a watch without a pause would return
 * for each of them. A change is known this much later, well within the time for which a leaving
 * runner keeps serving. */
#define WATCH_PAUSE_MS 500
#define RETRY_MS 100
#define RETRY_MAX_MS 1500
/* After the end of a delegation the watch begins this much later: by then the configuration's
 * watcher has found out whether this instance reaches the store. */
#define TAKEOVER_DELAY_MS 150
#define STATUS_OK 200
/* After a restore the store may list runners that have left; their entries are removed again within
 * this time. One that is still listed then is in use. */
#define DOUBT_MS 4000
/* A removal is remembered for this long, which is more than a copy of the store may be old. */
#define REMOVAL_KEPT_MS 120000

/* A runner whose entry was removed. */
typedef struct
{
  uint64_t started_ms;
  uint64_t removed_boot_ms;
} Removal;

struct _GgRunnerWatcher
{
  GgRouter *router;
  GgStoreCall *call;
  GgLoopFetch *fetch; /* of the document of a source; NULL for none */
  GgLoopTimer *timer;
  uint64_t revision;
  gboolean is_listed;          /* all pages were read; changes are watched from then on */
  GHashTable *listed_ids;      /* ids of the pages read so far */
  char *last_key;              /* of the last page */
  uint64_t first_revision;     /* of the first page: the watch returns later changes */
  uint64_t first_sent_boot_ms; /* when the first page was requested */
  gboolean is_started;         /* the list was requested */
  gboolean has_news;           /* something has changed since the last report to other instances */
  gboolean is_store_lost;
  gboolean is_delegated;    /* a delegate watches */
  GgRunnerChanges *changes; /* since the last listing */
  GgBackoff backoff;
  GHashTable *retained_ids;     /* ids of runners with a missing entry, kept in the grace period */
  GgLoopTimer *retained_timer;  /* fires at the end of the grace period */
  GHashTable *removals;         /* id -> Removal */
  uint64_t doubt_until_boot_ms; /* a list until then may name runners that have left */
  GgLoopTimer *doubt_timer;
  gboolean has_doubted; /* such a runner was listed */
};

static void send_call (GgRunnerWatcher *self);

/* Returns the revision under which a change is recorded: changes found by a listing get the
 * revision of the listing. */
static uint64_t
get_change_revision (const GgRunnerWatcher *self, uint64_t revision)
{
  return self->is_listed ? revision : self->first_revision;
}

/* Adds or updates a runner; takes the contents of @p record. */
static void
put_runner (GgRunnerWatcher *self, GgRunnerRecord *record, uint64_t revision)
{
  char *id = g_strdup (record->id);
  record->is_leaving = record->is_leaving
                       || gg_leaving_exchange_is_leaving (self->router->leaving_exchange, record);
  g_hash_table_remove (self->retained_ids, id);
  gboolean is_changed = gg_fleet_put (self->router->fleet, record);
  self->has_news |= is_changed;
  const GgRunnerRecord *known = &gg_fleet_find (self->router->fleet, id)->record;
  if (is_changed)
    gg_event_log_add (
        GG_EVENT_ORDINARY, "runner_changed",
        "runner=%s service=%s address=%s data_centre=%s accelerator=%s leaving=%d layers=%u-%u "
        "revision=%" G_GUINT64_FORMAT,
        id, known->service, known->address, known->data_centre,
        known->accelerator != NULL ? known->accelerator : "-", known->is_leaving,
        known->range.first_layer, known->range.end_layer, (guint64) revision);
  gg_runner_changes_put (self->changes, get_change_revision (self, revision), known, is_changed,
                         gg_clock_now_ms ());
  g_free (id);
}

/* Whether an entry in a list is that of a runner which has left, shown by a restored store. */
static gboolean
is_doubtful (const GgRunnerWatcher *self, const GgRunnerRecord *record)
{
  const Removal *removal = g_hash_table_lookup (self->removals, record->id);
  return !self->is_listed && gg_clock_boot_ms () < self->doubt_until_boot_ms && removal != NULL
         && removal->started_ms == record->started_ms;
}

/* @return whether the entry can be read. */
static gboolean
apply_entry (GgRunnerWatcher *self, const GgStoreItem *item)
{
  GgRunnerRecord record;
  GError *error = NULL;
  if (gg_directory_decode_runner (item->key, item->value, &record, &error))
    {
      if (is_doubtful (self, &record))
        {
          gg_event_log_add (GG_EVENT_NOTABLE, "runner_doubted",
                            "runner=%s revision=%" G_GUINT64_FORMAT, record.id,
                            (guint64) item->revision);
          self->has_doubted = TRUE;
          gg_runner_record_clear (&record);
          return TRUE;
        }
      put_runner (self, &record, item->revision);
      return TRUE;
    }
  gg_event_log_add (GG_EVENT_ORDINARY, "runner_entry_unreadable", "key=%s reason=\"%s\"", item->key,
                    error->message);
  g_error_free (error);
  return FALSE;
}

static gboolean
is_old_removal (void *id, void *removal, void *data)
{
  return ((const Removal *) removal)->removed_boot_ms + REMOVAL_KEPT_MS < *(const uint64_t *) data;
}

static void
note_removal (GgRunnerWatcher *self, const char *id)
{
  const GgFleetRunner *runner = gg_fleet_find (self->router->fleet, id);
  uint64_t now_ms = gg_clock_boot_ms ();
  if (runner == NULL)
    return;
  Removal removal = { runner->record.started_ms, now_ms };
  g_hash_table_foreach_remove (self->removals, is_old_removal, &now_ms);
  g_hash_table_replace (self->removals, g_strdup (id), g_memdup2 (&removal, sizeof removal));
}

static void
remove_runner (GgRunnerWatcher *self, const char *id, uint64_t revision)
{
  note_removal (self, id);
  if (gg_fleet_remove (self->router->fleet, id))
    gg_event_log_add (GG_EVENT_NOTABLE, "runner_gone", "runner=%s revision=%" G_GUINT64_FORMAT, id,
                      (guint64) revision);
}

static void
on_grace_ended (void *data)
{
  GgRunnerWatcher *self = data;
  GList *ids = g_hash_table_get_keys (self->retained_ids);
  for (GList *l = ids; l != NULL; l = l->next)
    remove_runner (self, l->data, self->revision);
  g_list_free (ids);
  g_hash_table_remove_all (self->retained_ids);
}

/* Removes a runner whose entry is missing; in the grace period after an outage, only if the entry
 * does not come back by the end of the period. */
static void
retain_or_remove_runner (GgRunnerWatcher *self, const char *id, uint64_t revision)
{
  const GgOutageGrace *grace = &self->router->outage_grace;
  uint64_t now_ms = gg_clock_boot_ms ();
  uint64_t until_ms
      = self->is_listed ? grace->grace_until_ms : gg_outage_grace_get_list_end_ms (grace);
  if (now_ms >= until_ms)
    {
      remove_runner (self, id, revision);
      return;
    }
  g_hash_table_add (self->retained_ids, g_strdup (id));
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_retained",
                    "runner=%s revision=%" G_GUINT64_FORMAT " for_ms=%" G_GUINT64_FORMAT, id,
                    (guint64) revision, (guint64) (until_ms - now_ms));
  gg_loop_timer_start (self->retained_timer, until_ms - now_ms);
}

static void
handle_missing_entry (GgRunnerWatcher *self, const char *id, uint64_t revision)
{
  self->has_news = TRUE;
  retain_or_remove_runner (self, id, revision);
  gg_runner_changes_remove (self->changes, get_change_revision (self, revision), id,
                            gg_clock_now_ms ());
}

/* An unreadable entry names no runner, also if it replaces one that did. An outage does not cause
 * that, so the runner is not retained. */
static void
handle_unreadable_entry (GgRunnerWatcher *self, const char *id, uint64_t revision)
{
  if (gg_fleet_find (self->router->fleet, id) == NULL)
    return;
  self->has_news = TRUE;
  g_hash_table_remove (self->retained_ids, id);
  remove_runner (self, id, revision);
  gg_runner_changes_remove (self->changes, get_change_revision (self, revision), id,
                            gg_clock_now_ms ());
}

static void
apply_item (GgRunnerWatcher *self, const GgStoreItem *item)
{
  const char *id = gg_directory_get_runner_id (item->key);
  if (!self->is_listed)
    g_hash_table_add (self->listed_ids, g_strdup (id));
  if (item->value != NULL)
    {
      if (!apply_entry (self, item))
        handle_unreadable_entry (self, id, item->revision);
    }
  else if (gg_runner_record_is_text_valid (id)) /* another entry never named a runner */
    handle_missing_entry (self, id, item->revision);
}

static void
handle_unlisted (GgRunnerWatcher *self)
{
  const GgFleet *fleet = self->router->fleet;
  for (guint i = gg_fleet_get_size (fleet); i-- > 0;)
    {
      char *id = g_strdup (gg_fleet_get (fleet, i)->record.id);
      if (!g_hash_table_contains (self->listed_ids, id))
        handle_missing_entry (self, id, self->first_revision);
      g_free (id);
    }
}

/* Completes a list of which all entries were applied. */
static void
end_list (GgRunnerWatcher *self, const char *origin)
{
  handle_unlisted (self);
  g_hash_table_remove_all (self->listed_ids);
  if (self->revision == 0)
    gg_runner_changes_reset (self->changes, self->first_revision);
  self->revision = self->first_revision;
  self->is_listed = TRUE;
  self->router->has_runner_list = TRUE;
  gg_event_log_add (GG_EVENT_NOTABLE, "runners_listed",
                    "count=%u revision=%" G_GUINT64_FORMAT " origin=%s",
                    gg_fleet_get_size (self->router->fleet), (guint64) self->revision, origin);
}

static void
end_page (GgRunnerWatcher *self, const GgStoreReply *reply)
{
  if (reply->has_more && reply->items->len > 0)
    {
      const GgStoreItem *last = g_ptr_array_index (reply->items, reply->items->len - 1);
      g_free (self->last_key);
      self->last_key = g_strdup (last->key);
      return;
    }
  end_list (self, "store");
  self->router->runners_fresh_boot_ms = self->first_sent_boot_ms;
}

/* @param sent_boot_ms when the call that showed it was sent. */
static void
set_store_lost (GgRunnerWatcher *self, gboolean is_store_lost, uint64_t sent_boot_ms)
{
  if (self->is_store_lost != is_store_lost)
    gg_event_log_add (GG_EVENT_NOTABLE, is_store_lost ? "store_lost" : "store_regained",
                      "watch=runners revision=%" G_GUINT64_FORMAT " pending_ms=%" G_GUINT64_FORMAT,
                      (guint64) self->revision, (guint64) (gg_clock_boot_ms () - sent_boot_ms));
  self->is_store_lost = is_store_lost;
}

static void
start_listing (GgRunnerWatcher *self)
{
  self->is_started = TRUE;
  self->is_listed = FALSE;
  self->first_revision = 0;
  g_hash_table_remove_all (self->listed_ids);
  g_free (self->last_key);
  self->last_key = g_strdup ("");
}

static void
on_reply (void *data, const GgStoreReply *reply)
{
  GgRunnerWatcher *self = data;
  self->call = NULL;
  switch (reply->result)
    {
    case GG_STORE_OK:
    case GG_STORE_ABSENT:
      set_store_lost (self, FALSE, reply->sent_boot_ms);
      gg_outage_grace_note_recovery (&self->router->outage_grace, reply->sent_boot_ms,
                                     gg_clock_boot_ms ());
      gg_backoff_reset (&self->backoff);
      if (!self->is_listed && self->first_revision == 0)
        {
          self->first_revision = reply->revision;
          self->first_sent_boot_ms = reply->sent_boot_ms;
        }
      for (guint i = 0; i < reply->items->len; i++)
        apply_item (self, g_ptr_array_index (reply->items, i));
      if (self->is_listed)
        {
          self->revision = reply->revision;
          self->router->runners_fresh_boot_ms = reply->sent_boot_ms;
          if (self->has_news)
            gg_delegated_watch_notify (self->router->delegated_watch);
          self->has_news = FALSE;
          gg_loop_timer_start (self->timer, reply->items->len > 0 ? WATCH_PAUSE_MS : 0);
          return;
        }
      end_page (self, reply);
      if (!self->is_listed)
        send_call (self);
      else if (!self->is_delegated)
        gg_loop_timer_start (self->timer, GG_DELEGATED_WATCH_START_DELAY_MS);
      return;
    case GG_STORE_COMPACTED:
      start_listing (self);
      send_call (self);
      return;
    case GG_STORE_CONFLICT:
    case GG_STORE_REFUSED:
    case GG_STORE_UNKNOWN:
      set_store_lost (self, TRUE, reply->sent_boot_ms);
      gg_outage_grace_note_outage (&self->router->outage_grace, gg_clock_boot_ms ());
      gg_loop_timer_start (self->timer, gg_backoff_next_ms (&self->backoff, g_random_int ()));
      return;
    }
}

static void
send_call (GgRunnerWatcher *self)
{
  const char *prefix = gg_directory_get_runner_prefix ();
  if (self->is_listed)
    self->call
        = gg_store_watch (self->router->store, prefix, self->revision, WATCH_MS, on_reply, self);
  else
    self->call = gg_store_list (self->router->store, prefix, self->last_key, on_reply, self);
}

static void
on_timer (void *data)
{
  GgRunnerWatcher *self = data;
  if (self->router->is_store_unavailable)
    gg_loop_timer_start (self->timer, GG_STORE_RECOVERY_CHECK_MS);
  else
    send_call (self);
}

/* Lists all entries, whatever call or pause is pending. */
static void
list_again (GgRunnerWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_timer_stop (self->timer);
  start_listing (self);
  send_call (self);
}

/* Lists the entries of the restored store, unless a delegate does. */
static void
on_store_restored (void *data)
{
  GgRunnerWatcher *self = data;
  uint64_t now_ms = gg_clock_boot_ms ();
  gg_outage_grace_note_restored (&self->router->outage_grace, now_ms);
  self->doubt_until_boot_ms = now_ms + DOUBT_MS;
  gg_loop_timer_start (self->doubt_timer, DOUBT_MS);
  if (!self->is_delegated || self->call != NULL)
    list_again (self);
}

static void
on_doubt_ended (void *data)
{
  GgRunnerWatcher *self = data;
  if (self->has_doubted && !self->is_delegated)
    list_again (self);
  self->has_doubted = FALSE;
}

static void
list_from_store (GgRunnerWatcher *self)
{
  if (self->call != NULL)
    return;
  start_listing (self);
  send_call (self);
}

/* Applies the list of a source.
 * @return FALSE if it is damaged or older than what is known. */
static gboolean
apply_document (GgRunnerWatcher *self, const char *bytes, size_t size_bytes)
{
  GgWatchMessage message;
  char *copy = g_memdup2 (bytes, size_bytes);
  gboolean is_valid = gg_watch_message_decode (copy, size_bytes, &message);
  g_free (copy);
  if (!is_valid)
    return FALSE;
  gboolean is_new
      = message.kind == GG_WATCH_MESSAGE_LIST && message.report.runners_revision >= self->revision;
  if (is_new)
    {
      start_listing (self);
      self->first_revision = message.report.runners_revision;
      for (guint i = 0; i < message.report.changes->len; i++)
        {
          GgRunnerRecord record;
          gg_runner_record_copy (&record,
                                 &g_array_index (message.report.changes, GgRunnerChange, i).record);
          g_hash_table_add (self->listed_ids, g_strdup (record.id));
          put_runner (self, &record, self->first_revision);
        }
      end_list (self, "source");
    }
  gg_watch_message_clear (&message);
  return is_new;
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  GgRunnerWatcher *self = data;
  self->fetch = NULL;
  if (result->end == GG_FETCH_ANSWERED && result->status == STATUS_OK
      && apply_document (self, result->body, result->body_bytes))
    return;
  gg_event_log_add (GG_EVENT_NOTABLE, "document_not_read", "document=runners end=%d status=%u",
                    result->end, result->end == GG_FETCH_ANSWERED ? result->status : 0);
  list_from_store (self);
}

void
gg_runner_watcher_relist (GgRunnerWatcher *self, const char *source)
{
  if (!self->is_delegated || self->call != NULL || self->fetch != NULL)
    return;
  self->fetch
      = gg_peer_document_fetch (self->router, source, GG_PEER_DOCUMENT_RUNNERS, on_fetched, self);
}

GByteArray *
gg_runner_watcher_build_document (const GgRunnerWatcher *self)
{
  if (!self->is_listed)
    return NULL;
  GgWatchMessage message;
  const GgFleet *fleet = self->router->fleet;
  gg_watch_message_init (&message, GG_WATCH_MESSAGE_LIST);
  message.report.runners_revision = self->revision;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgRunnerRecord *record = &gg_fleet_get (fleet, i)->record;
      GgRunnerChange change = { .revision = self->revision };
      if (g_hash_table_contains (self->retained_ids, record->id))
        continue;
      gg_runner_record_copy (&change.record, record);
      g_array_append_val (message.report.changes, change);
    }
  GByteArray *document = gg_watch_message_encode_document (&message);
  gg_watch_message_clear (&message);
  return document;
}

void
gg_runner_watcher_set_delegated (GgRunnerWatcher *self, gboolean is_delegated)
{
  self->is_delegated = is_delegated;
  if (!is_delegated && !self->is_started)
    {
      gg_loop_fetch_cancel (self->fetch);
      self->fetch = NULL;
      list_from_store (self);
    }
  if (!self->is_listed)
    return; /* a listing is always completed */
  if (!is_delegated)
    gg_loop_timer_start (self->timer, TAKEOVER_DELAY_MS);
  else
    {
      gg_store_call_cancel (self->call);
      self->call = NULL;
      gg_loop_timer_stop (self->timer);
      /* The delegate reaches the store: entries removed from now on don't result from an outage. */
      set_store_lost (self, FALSE, gg_clock_boot_ms ());
      gg_outage_grace_note_recovery (&self->router->outage_grace, gg_clock_boot_ms (),
                                     gg_clock_boot_ms ());
    }
}

void
gg_runner_watcher_note_proof (GgRunnerWatcher *self, uint64_t revision, uint64_t proven_boot_ms)
{
  if (self->is_delegated && self->is_listed && self->revision >= revision)
    self->router->runners_fresh_boot_ms = MAX (self->router->runners_fresh_boot_ms, proven_boot_ms);
}

uint64_t
gg_runner_watcher_get_revision (const GgRunnerWatcher *self)
{
  return self->revision;
}

const GgRunnerChanges *
gg_runner_watcher_get_changes (const GgRunnerWatcher *self)
{
  return self->is_listed ? self->changes : NULL;
}

void
gg_runner_watcher_apply_changes (GgRunnerWatcher *self, const GArray *changes, uint64_t revision)
{
  if (!self->is_delegated || !self->is_listed)
    return;
  for (guint i = 0; i < changes->len; i++)
    {
      const GgRunnerChange *change = &g_array_index (changes, GgRunnerChange, i);
      if (change->revision <= self->revision)
        continue;
      GgRunnerRecord record;
      gg_runner_record_copy (&record, &change->record);
      if (change->is_removed)
        {
          handle_missing_entry (self, record.id, change->revision);
          gg_runner_record_clear (&record);
        }
      else
        put_runner (self, &record, change->revision);
    }
  self->revision = MAX (self->revision, revision);
}

GgRunnerWatcher *
gg_runner_watcher_create (GgRouter *router)
{
  GgRunnerWatcher *self = g_new0 (GgRunnerWatcher, 1);
  self->router = router;
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  self->listed_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->retained_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->changes = gg_runner_changes_create ();
  self->retained_timer = gg_loop_timer_create (router->loop, on_grace_ended, self);
  self->removals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->doubt_timer = gg_loop_timer_create (router->loop, on_doubt_ended, self);
  gg_store_add_restored_func (router->store, on_store_restored, self);
  self->last_key = g_strdup ("");
  self->is_delegated = TRUE;
  return self;
}

void
gg_runner_watcher_destroy (GgRunnerWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_fetch_cancel (self->fetch);
  gg_loop_timer_destroy (self->timer);
  gg_loop_timer_destroy (self->retained_timer);
  gg_loop_timer_destroy (self->doubt_timer);
  g_hash_table_unref (self->removals);
  gg_runner_changes_destroy (self->changes);
  g_hash_table_unref (self->retained_ids);
  g_hash_table_unref (self->listed_ids);
  g_free (self->last_key);
  g_free (self);
}
