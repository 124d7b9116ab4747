#include "daemons/routerd/config_watcher.h"

#include "base/clock.h"
#include "base/compress.h"
#include "base/event_log.h"
#include "core/backoff.h"
#include "daemons/routerd/delegated_watch.h"
#include "daemons/routerd/peer_documents.h"
#include "ports/directory.h"

#include <string.h>

#define STATUS_OK 200
/* Each reply proves that the configuration was the newest one when the call was sent, so at the
 * start of an outage the proof is up to twice this old. That leaves most of the time limit for keys
 * (keys.revoke_ms) for the outage. The wait also outlasts the second for which a store that drops
 * its history may report no changes: what was written before the call was sent is reported within
 * it. */
#define WATCH_MS 1000
/* Pauses after failed calls. The first one is short, since a pending watch may be cut off while the
 * store is available; all are shorter than the time in which keys must be proven again. */
#define RETRY_MS 60
#define RETRY_MAX_MS 1000
/* Pause during an outage while a delegate retries for the data centre. Its reports show the end of
 * the outage, unless the store refuses only the delegate's calls. */
#define DELEGATED_RETRY_MS 2500

/* A call that exceeds the wait time of the watch by this much counts as hung. */
#define OVERDUE_MS 250
/* A configuration that takes more than this is not read from a source. */
#define MAX_CONFIG_BYTES (16 * 1024 * 1024)
/* Most failed calls succeed at the first retry, so a shorter failure is no sign of an outage. */
#define FAILURE_GRACE_MS 300
/* Routes that are decoded before the loop goes on with requests: some 0.3 ms of a whole core.
 * Decoding a configuration of 1,900 routes at once paused all streams of an instance with 0.12 of a
 * core for 300 ms. */
#define ROUTES_PER_STEP 16

typedef enum
{
  STEP_READ,  /* the key was never read, or the store has dropped the history */
  STEP_CHECK, /* a call failed: check the known revision before watching again */
  STEP_WATCH,
} Step;

/* A configuration that is not in force yet. */
typedef struct
{
  uint64_t revision;
  GBytes *value;
  uint64_t proven_boot_ms; /* when it was proven to be the newest one (CLOCK_BOOTTIME); 0: never */
} PendingConfig;

struct _GgConfigWatcher
{
  GgRouter *router;
  GgStoreCall *call;
  GgLoopFetch *fetch;   /* of the document of a source; NULL for none */
  GByteArray *document; /* revision of the key and compressed value; NULL for none */
  GgLoopTimer *retry_timer;
  Step step;
  uint64_t revision;         /* of the store, up to which changes are known */
  uint64_t item_revision;    /* of the configuration decoded last; 0: the key does not exist */
  GgConfigDecoder *decoder;  /* of a newer one; NULL for none */
  PendingConfig *decoded;    /* that one */
  PendingConfig *next;       /* the newest one that has arrived since; NULL for none */
  GgLoopTimer *decode_timer; /* runs while there is a decoder */
  gboolean is_store_lost;    /* the last call to the store failed */
  gboolean is_delegated;     /* a delegate watches */
  gboolean has_started;      /* the first call has succeeded */
  GgBackoff backoff;
  /* CLOCK_BOOTTIME: */
  uint64_t sent_boot_ms;          /* when the latest call was sent */
  uint64_t failed_boot_ms;        /* end of the last failed call */
  uint64_t failing_since_boot_ms; /* end of the first one in a row */
};

static void send_call (GgConfigWatcher *self);

static void
log_unreadable (uint64_t revision, GError *error)
{
  gg_event_log_add (GG_EVENT_NOTABLE, "config_unreadable",
                    "revision=%" G_GUINT64_FORMAT " reason=\"%s\"", (guint64) revision,
                    error->message);
  g_error_free (error);
}

/* Other instances request the document from registered ones only. */
static void
keep_document (GgConfigWatcher *self, uint64_t revision, GBytes *value)
{
  if (self->document != NULL)
    g_byte_array_unref (self->document);
  self->document = NULL;
  if (!self->router->is_registered)
    return;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (value, &size);
  uint64_t revision_be = GUINT64_TO_BE (revision);
  self->document = gg_compress (bytes, size);
  g_byte_array_prepend (self->document, (const guint8 *) &revision_be, sizeof revision_be);
}

/* States that the document holds what is to be used as of a revision. */
static void
label_document (GgConfigWatcher *self, uint64_t revision)
{
  uint64_t revision_be = GUINT64_TO_BE (revision);
  memcpy (self->document->data, &revision_be, sizeof revision_be);
}

static void
apply_config (GgConfigWatcher *self, const PendingConfig *pending, GgRoutingConfig *config)
{
  gboolean is_new = pending->revision != self->item_revision;
  self->item_revision = pending->revision;
  gboolean is_older = self->router->config != NULL
                      && gg_routing_config_get_version (config)
                             < gg_routing_config_get_version (self->router->config);
  gg_router_apply_config (self->router, config);
  /* A store that was restored may hold an older version for a while. Others are to get the newest
   * one that is known. */
  if (is_older && self->document != NULL)
    label_document (self, pending->revision);
  else if (!is_older && (is_new || self->document == NULL))
    keep_document (self, pending->revision, pending->value);
  gg_delegated_watch_notify (self->router->delegated_watch);
}

static PendingConfig *
create_pending (const GgStoreItem *item)
{
  PendingConfig *pending = g_new0 (PendingConfig, 1);
  pending->revision = item->revision;
  pending->value = g_bytes_ref (item->value);
  return pending;
}

static void
free_pending (PendingConfig *pending)
{
  if (pending == NULL)
    return;
  g_bytes_unref (pending->value);
  g_free (pending);
}

static void
note_fresh (GgConfigWatcher *self, uint64_t proven_boot_ms)
{
  self->router->config_fresh_boot_ms = MAX (self->router->config_fresh_boot_ms, proven_boot_ms);
}

/* Takes ownership of @p pending. */
static void
start_decoding (GgConfigWatcher *self, PendingConfig *pending)
{
  self->decoded = pending;
  self->decoder = gg_config_decoder_create (pending->value, self->router->config);
  gg_loop_timer_start (self->decode_timer, 0);
}

/* Puts the decoded configuration in force, and goes on with a newer one if there is one. */
static void
finish_decoding (GgConfigWatcher *self, GgRoutingConfig *config, GError *error)
{
  PendingConfig *pending = g_steal_pointer (&self->decoded);
  gg_config_decoder_destroy (self->decoder);
  self->decoder = NULL;
  if (config != NULL)
    apply_config (self, pending, config);
  else
    {
      self->item_revision = MAX (self->item_revision, pending->revision);
      log_unreadable (pending->revision, error);
    }
  note_fresh (self, pending->proven_boot_ms);
  free_pending (pending);
  if (self->next != NULL)
    start_decoding (self, g_steal_pointer (&self->next));
}

static void
on_decode_timer (void *data)
{
  GgConfigWatcher *self = data;
  GgRoutingConfig *config = NULL;
  GError *error = NULL;
  switch (gg_config_decoder_step (self->decoder, ROUTES_PER_STEP, &config, &error))
    {
    case GG_DECODE_MORE:
      gg_loop_timer_start (self->decode_timer, 0);
      break;
    case GG_DECODE_DONE:
    case GG_DECODE_INVALID:
      finish_decoding (self, config, error);
      break;
    }
}

/* Returns the revision of the newest configuration that has arrived. */
static uint64_t
get_arrived_revision (const GgConfigWatcher *self)
{
  uint64_t revision = self->item_revision;
  if (self->decoded != NULL)
    revision = MAX (revision, self->decoded->revision);
  if (self->next != NULL)
    revision = MAX (revision, self->next->revision);
  return revision;
}

/* Records that a revision was the newest one at a time; it counts when that revision is in force.
 */
static void
note_proof (GgConfigWatcher *self, uint64_t revision, uint64_t proven_boot_ms)
{
  if (self->next != NULL && revision == self->next->revision)
    self->next->proven_boot_ms = MAX (self->next->proven_boot_ms, proven_boot_ms);
  else if (self->decoded != NULL && revision == self->decoded->revision)
    self->decoded->proven_boot_ms = MAX (self->decoded->proven_boot_ms, proven_boot_ms);
  else if (revision == self->item_revision)
    note_fresh (self, proven_boot_ms);
}

/* Starts to decode a configuration, or keeps it until the one that is being decoded is in force.
 * Of several that arrive meanwhile, the newest one alone is decoded. */
static void
apply_item (GgConfigWatcher *self, const GgStoreItem *item)
{
  if (item->value == NULL || strcmp (item->key, gg_directory_get_config_key ()) != 0
      || item->revision < get_arrived_revision (self)
      || (self->decoder != NULL && item->revision == get_arrived_revision (self)))
    return;
  if (self->decoder == NULL)
    start_decoding (self, create_pending (item));
  else
    {
      free_pending (self->next);
      self->next = create_pending (item);
    }
}

static void
set_store_lost (GgConfigWatcher *self, gboolean is_store_lost)
{
  if (self->is_store_lost != is_store_lost)
    gg_event_log_add (GG_EVENT_NOTABLE, is_store_lost ? "store_lost" : "store_regained",
                      "watch=config revision=%" G_GUINT64_FORMAT " pending_ms=%" G_GUINT64_FORMAT,
                      (guint64) self->revision,
                      (guint64) (gg_clock_boot_ms () - self->sent_boot_ms));
  self->is_store_lost = is_store_lost;
  self->router->is_store_unavailable = is_store_lost;
}

static void
apply_reply (GgConfigWatcher *self, const GgStoreReply *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    apply_item (self, g_ptr_array_index (reply->items, i));
  /* A check covers one key only, so the watch continues from the revision known before it. */
  if (self->step != STEP_CHECK)
    self->revision = reply->revision;
  self->step = STEP_WATCH;
  note_proof (self, get_arrived_revision (self), reply->sent_boot_ms);
  gg_backoff_reset (&self->backoff);
  set_store_lost (self, FALSE);
  gg_outage_grace_note_recovery (&self->router->outage_grace, reply->sent_boot_ms,
                                 gg_clock_boot_ms ());
  if (self->is_delegated)
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
  if (self->is_store_lost && gg_delegated_watch_has_delegate (self->router->delegated_watch))
    pause_ms = DELEGATED_RETRY_MS;
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
      apply_reply (self, reply);
      return;
    case GG_STORE_COMPACTED:
      self->step = STEP_READ;
      send_call (self);
      return;
    case GG_STORE_REFUSED:
    case GG_STORE_UNKNOWN:
      if (self->step == STEP_WATCH)
        self->step = STEP_CHECK;
      self->failed_boot_ms = gg_clock_boot_ms ();
      if (!self->is_store_lost)
        self->failing_since_boot_ms = self->failed_boot_ms;
      start_retry (self);
      set_store_lost (self, TRUE);
      gg_outage_grace_note_outage (&self->router->outage_grace, self->failed_boot_ms);
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

/* Cancels the pending call or pause and reads the configuration at once. A document that is being
 * read from a source is still welcome: it may come first. */
static void
read_now (GgConfigWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_timer_stop (self->retry_timer);
  self->step = STEP_READ;
  send_call (self);
}

/* Reads the configuration of the restored store, unless a delegate does. */
static void
on_store_restored (void *data)
{
  GgConfigWatcher *self = data;
  if (!self->is_delegated || self->call != NULL)
    read_now (self);
}

GgConfigWatcher *
gg_config_watcher_create (GgRouter *router)
{
  GgConfigWatcher *self = g_new0 (GgConfigWatcher, 1);
  self->router = router;
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (RETRY_MS, RETRY_MAX_MS);
  self->retry_timer = gg_loop_timer_create (router->loop, on_retry, self);
  self->decode_timer = gg_loop_timer_create (router->loop, on_decode_timer, self);
  self->is_delegated = TRUE;
  gg_store_add_restored_func (router->store, on_store_restored, self);
  return self;
}

GByteArray *
gg_config_watcher_build_document (const GgConfigWatcher *self)
{
  return self->document != NULL ? g_byte_array_ref (self->document) : NULL;
}

/* Whether the connection of the pending call may be dead: the store has answered a later call, and
 * this one has received nothing. A call that only takes long must not be repeated, since that would
 * take as long again. */
static gboolean
is_overtaken (const GgConfigWatcher *self, uint64_t proven_boot_ms)
{
  return self->sent_boot_ms < proven_boot_ms && !gg_store_call_has_data (self->call);
}

void
gg_config_watcher_set_delegated (GgConfigWatcher *self, gboolean is_delegated)
{
  self->is_delegated = is_delegated;
  if (!is_delegated)
    read_now (self);
  else if (!self->router->is_registered || (self->step == STEP_WATCH && !self->is_store_lost))
    {
      gg_store_call_cancel (self->call);
      self->call = NULL;
      gg_loop_timer_stop (self->retry_timer);
      set_store_lost (self, FALSE);
    }
}

gboolean
gg_config_watcher_is_healthy (const GgConfigWatcher *self)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  if (self->is_store_lost)
    return now_ms - self->failing_since_boot_ms < FAILURE_GRACE_MS;
  return self->call == NULL || now_ms - self->sent_boot_ms < WATCH_MS + OVERDUE_MS;
}

uint64_t
gg_config_watcher_get_revision (const GgConfigWatcher *self)
{
  return self->item_revision;
}

void
gg_config_watcher_note_proof (GgConfigWatcher *self, uint64_t revision, uint64_t proven_boot_ms)
{
  note_proof (self, revision, proven_boot_ms);
  if (self->router->is_registered && self->is_store_lost && proven_boot_ms > self->failed_boot_ms
      && (self->call == NULL || is_overtaken (self, proven_boot_ms)))
    read_now (self);
}

/* Applies the document of a source.
 * @return FALSE if it is damaged or not newer than the known configuration. */
static gboolean
apply_document (GgConfigWatcher *self, const char *bytes, size_t size_bytes)
{
  uint64_t revision_be = 0;
  if (size_bytes <= sizeof revision_be)
    return FALSE;
  memcpy (&revision_be, bytes, sizeof revision_be);
  GgStoreItem item = { .key = (char *) gg_directory_get_config_key (),
                       .revision = GUINT64_FROM_BE (revision_be) };
  if (item.revision <= get_arrived_revision (self))
    return FALSE;
  GError *error = NULL;
  GByteArray *value = gg_decompress (bytes + sizeof revision_be, size_bytes - sizeof revision_be,
                                     MAX_CONFIG_BYTES, &error);
  if (value == NULL)
    {
      log_unreadable (item.revision, error);
      return FALSE;
    }
  item.value = g_byte_array_free_to_bytes (value);
  apply_item (self, &item);
  g_bytes_unref (item.value);
  return TRUE;
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  GgConfigWatcher *self = data;
  self->fetch = NULL;
  if (result->end == GG_FETCH_ANSWERED && result->status == STATUS_OK
      && apply_document (self, result->body, result->body_bytes))
    return;
  gg_event_log_add (GG_EVENT_NOTABLE, "document_not_read", "document=config end=%d status=%u",
                    result->end, result->end == GG_FETCH_ANSWERED ? result->status : 0);
  if (self->call == NULL)
    read_now (self);
}

void
gg_config_watcher_note_revision (GgConfigWatcher *self, uint64_t revision, const char *source)
{
  if (!self->is_delegated || revision <= get_arrived_revision (self) || self->fetch != NULL)
    return;
  self->fetch
      = gg_peer_document_fetch (self->router, source, GG_PEER_DOCUMENT_CONFIG, on_fetched, self);
}

void
gg_config_watcher_destroy (GgConfigWatcher *self)
{
  gg_store_call_cancel (self->call);
  gg_loop_fetch_cancel (self->fetch);
  gg_loop_timer_destroy (self->retry_timer);
  gg_loop_timer_destroy (self->decode_timer);
  gg_config_decoder_destroy (self->decoder);
  free_pending (self->decoded);
  free_pending (self->next);
  if (self->document != NULL)
    g_byte_array_unref (self->document);
  g_free (self);
}
