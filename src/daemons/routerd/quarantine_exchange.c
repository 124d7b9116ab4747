#include "daemons/routerd/quarantine_exchange.h"

#include "adapters/rpc/quarantine_report.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/request_digest.h"
#include "daemons/routerd/crash_detector.h"
#include "daemons/routerd/delegated_watch.h"

#include <string.h>

#define KEY "greengage/quarantine"

/* Interval of the reports while there are suspects, which replace those that were lost. */
#define SEND_MS 300
/* News is sent this much later, so that what becomes known together is sent at once. */
#define NEWS_MS 10
/* Pause between two writes to the store. */
#define WRITE_INTERVAL_MS 1000

/* Mark of the lines of requests in the store; those of parts have none. */
#define REQUEST_MARK "request "

#define N_KINDS (GG_SUSPECT_REQUEST + 1)

struct _GgQuarantineExchange
{
  GgRouter *router;
  GgMembership *membership;
  GgCrashDetector *detector;
  GgCrashQuarantine *quarantines[N_KINDS]; /* by GgSuspectKind */
  GgLoopTimer *timer;
  GgLoopTimer *news_timer;
  gboolean has_news; /* the news timer runs */
  GgStoreCall *write_call;
  uint64_t written_ms;
  uint64_t revision; /* of the key in the store; 0: it does not exist, or was not read */
  char *stored;      /* its value */
};

static GgCounter parts_total
    = GG_COUNTER ("greengage_router_parts_quarantined_total", "Parts of prompts quarantined");
static GgCounter requests_total
    = GG_COUNTER ("greengage_router_requests_quarantined_total", "Requests quarantined");

const char *
gg_quarantine_exchange_get_key (void)
{
  return KEY;
}

static void
log_part_event (const GgQuarantineEvent *event)
{
  guint64 id = event->id;
  switch (event->kind)
    {
    case GG_QUARANTINE_SUSPECTED:
      gg_event_log_add (GG_EVENT_NOTABLE, "part_suspected",
                        "part=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    case GG_QUARANTINE_QUARANTINED:
      gg_counter_add (&parts_total, 1);
      gg_event_log_add (GG_EVENT_NOTABLE, "part_quarantined",
                        "part=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    case GG_QUARANTINE_TRIED:
      gg_event_log_add (GG_EVENT_NOTABLE, "part_tried", "part=%" G_GINT64_MODIFIER "x crashes=%u",
                        id, event->n_crashes);
      break;
    case GG_QUARANTINE_RELEASED:
      gg_event_log_add (GG_EVENT_NOTABLE, "part_released",
                        "part=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    }
}

static void
log_request_event (const GgQuarantineEvent *event)
{
  guint64 id = event->id;
  switch (event->kind)
    {
    case GG_QUARANTINE_SUSPECTED:
      gg_event_log_add (GG_EVENT_NOTABLE, "request_suspected",
                        "digest=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    case GG_QUARANTINE_QUARANTINED:
      gg_counter_add (&requests_total, 1);
      gg_event_log_add (GG_EVENT_NOTABLE, "request_quarantined",
                        "digest=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    case GG_QUARANTINE_TRIED:
      gg_event_log_add (GG_EVENT_NOTABLE, "request_tried",
                        "digest=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    case GG_QUARANTINE_RELEASED:
      gg_event_log_add (GG_EVENT_NOTABLE, "request_released",
                        "digest=%" G_GINT64_MODIFIER "x crashes=%u", id, event->n_crashes);
      break;
    }
}

static void
log_events (GgQuarantineExchange *self)
{
  GgQuarantineEvent event;
  while (gg_crash_quarantine_take_event (self->quarantines[GG_SUSPECT_PART], &event))
    log_part_event (&event);
  while (gg_crash_quarantine_take_event (self->quarantines[GG_SUSPECT_REQUEST], &event))
    log_request_event (&event);
}

typedef struct
{
  const GgQuarantineExchange *exchange;
  const char *bytes;
  size_t size_bytes;
} Datagram;

static void
send_to (void *data, const char *address)
{
  const Datagram *datagram = data;
  gg_datagram_socket_send (datagram->exchange->router->peer_socket, address, datagram->bytes,
                           datagram->size_bytes);
}

static void
send_kind (GgQuarantineExchange *self, GgSuspectKind kind)
{
  const GArray *suspects = gg_crash_quarantine_get_suspects (self->quarantines[kind]);
  const GPtrArray *peers = gg_roster_get_others (gg_membership_get_roster (self->membership));
  char bytes[GG_QUARANTINE_REPORT_MAX_BYTES];
  if (suspects->len == 0)
    return;
  Datagram datagram = { .exchange = self, .bytes = bytes };
  datagram.size_bytes
      = gg_quarantine_report_encode (kind, suspects, gg_clock_boot_ms (), bytes, sizeof bytes);
  g_assert (datagram.size_bytes > 0);
  for (guint i = 0; i < peers->len; i++)
    send_to (&datagram, ((const GgPeer *) g_ptr_array_index (peers, i))->address);
  gg_delegated_watch_foreach_member (self->router->delegated_watch, send_to, &datagram);
}

/* Sends all that is known to the registered instances, and to the members that rely on this one. */
static void
send_report (GgQuarantineExchange *self)
{
  send_kind (self, GG_SUSPECT_PART);
  send_kind (self, GG_SUSPECT_REQUEST);
}

static void
on_news_timer (void *data)
{
  GgQuarantineExchange *self = data;
  self->has_news = FALSE;
  send_report (self);
}

static void
note_change (GgQuarantineExchange *self, gboolean is_changed)
{
  log_events (self);
  if (!is_changed || self->has_news)
    return;
  self->has_news = TRUE;
  gg_loop_timer_start (self->news_timer, NEWS_MS);
}

/* A whole request is the only suspect of its kind. */
static GgPromptParts
get_ids (const GgRequestSuspects *suspects, GgSuspectKind kind)
{
  if (kind == GG_SUSPECT_PART)
    return suspects->parts;
  return (GgPromptParts){ .ids = { suspects->digest }, .n = suspects->digest != 0 ? 1 : 0 };
}

gboolean
gg_quarantine_exchange_has_requests (const GgQuarantineExchange *self)
{
  return gg_crash_quarantine_get_suspects (self->quarantines[GG_SUSPECT_REQUEST])->len > 0
         || gg_crash_detector_has_pending (self->detector);
}

gboolean
gg_quarantine_exchange_has_prefix (const GgQuarantineExchange *self, uint16_t prefix)
{
  const GArray *requests = gg_crash_quarantine_get_suspects (self->quarantines[GG_SUSPECT_REQUEST]);
  for (guint i = 0; i < requests->len; i++)
    if (gg_request_digest_to_prefix (g_array_index (requests, GgSuspect, i).id) == prefix)
      return TRUE;
  return gg_crash_detector_has_prefix (self->detector, prefix);
}

void
gg_quarantine_exchange_note_served (GgQuarantineExchange *self, const GgRequestSuspects *suspects)
{
  gboolean is_changed = FALSE;
  if (suspects->digest != 0)
    gg_crash_detector_note_served (self->detector, suspects->digest);
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GgPromptParts ids = get_ids (suspects, kind);
      is_changed |= gg_crash_quarantine_note_served (self->quarantines[kind], &ids);
    }
  note_change (self, is_changed);
}

void
gg_quarantine_exchange_note_broken (GgQuarantineExchange *self,
                                    const GgRequestSuspects *suspects,
                                    const GgRunnerRecord *runner)
{
  gg_crash_detector_note_broken (self->detector, suspects, runner);
}

static void
on_crash (void *data, const GgRequestSuspects *suspects, uint32_t runner_hash)
{
  GgQuarantineExchange *self = data;
  gboolean is_changed = FALSE;
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GgPromptParts ids = get_ids (suspects, kind);
      is_changed |= gg_crash_quarantine_note_crash (self->quarantines[kind], &ids, runner_hash,
                                                    gg_clock_boot_ms ());
    }
  note_change (self, is_changed);
}

GgQuarantineVerdict
gg_quarantine_exchange_judge (GgQuarantineExchange *self,
                              const GgRequestSuspects *suspects,
                              GgSuspectKind *kind_out)
{
  GgQuarantineVerdict worst = GG_QUARANTINE_ALLOWED;
  /* There is one leader at most, so a trial costs one runner at most. */
  gboolean is_leader = gg_membership_is_leader (self->membership);
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GgPromptParts ids = get_ids (suspects, kind);
      GgQuarantineVerdict verdict = gg_crash_quarantine_judge (self->quarantines[kind], &ids,
                                                               is_leader, gg_clock_boot_ms ());
      if (verdict <= worst)
        continue;
      worst = verdict;
      *kind_out = kind;
    }
  return worst;
}

void
gg_quarantine_exchange_begin_trial (GgQuarantineExchange *self, const GgRequestSuspects *suspects)
{
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GgPromptParts ids = get_ids (suspects, kind);
      gg_crash_quarantine_begin_trial (self->quarantines[kind], &ids, gg_clock_boot_ms ());
    }
  note_change (self, TRUE);
}

void
gg_quarantine_exchange_withdraw_trial (GgQuarantineExchange *self,
                                       const GgRequestSuspects *suspects)
{
  for (guint kind = 0; kind < N_KINDS; kind++)
    {
      GgPromptParts ids = get_ids (suspects, kind);
      gg_crash_quarantine_withdraw_trial (self->quarantines[kind], &ids);
    }
}

gboolean
gg_quarantine_exchange_receive (GgQuarantineExchange *self, char *bytes, size_t size_bytes)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  GgSuspectKind kind = GG_SUSPECT_PART;
  GArray *suspects = g_array_new (FALSE, TRUE, sizeof (GgSuspect));
  gboolean is_valid = gg_quarantine_report_decode (bytes, size_bytes, now_ms, &kind, suspects);
  gboolean is_changed = FALSE;
  for (guint i = 0; i < suspects->len && is_valid; i++)
    is_changed |= gg_crash_quarantine_merge (self->quarantines[kind],
                                             &g_array_index (suspects, GgSuspect, i), now_ms);
  g_array_unref (suspects);
  note_change (self, is_changed);
  return is_valid;
}

/* Prints what is in quarantine, one a line: identifier, numbers of quarantines and trials, whether
 * it is confirmed, and the runners that crashed. */
static void
print_kind (const GgQuarantineExchange *self, GgSuspectKind kind, GString *text)
{
  const GArray *suspects = gg_crash_quarantine_get_suspects (self->quarantines[kind]);
  for (guint i = 0; i < suspects->len; i++)
    {
      const GgSuspect *suspect = &g_array_index (suspects, GgSuspect, i);
      if (!gg_suspect_is_quarantined (suspect))
        continue;
      g_string_append_printf (text, "%s%" G_GINT64_MODIFIER "x %u %u %d",
                              kind == GG_SUSPECT_REQUEST ? REQUEST_MARK : "", (guint64) suspect->id,
                              suspect->n_quarantines, suspect->n_trials, suspect->is_confirmed);
      for (uint32_t k = 0; k < suspect->n_crashes; k++)
        g_string_append_printf (text, " %x", suspect->crashes[k].runner_hash);
      g_string_append_c (text, '\n');
    }
}

static char *
print_suspects (const GgQuarantineExchange *self)
{
  GString *text = g_string_new (NULL);
  print_kind (self, GG_SUSPECT_PART, text);
  print_kind (self, GG_SUSPECT_REQUEST, text);
  return g_string_free (text, FALSE);
}

/* Reads a line of print_kind() without its mark.
 * @return FALSE if it is malformed. */
static gboolean
read_suspect (const char *line, uint64_t now_ms, GgSuspect *out)
{
  char **fields = g_strsplit (line, " ", -1);
  guint n = g_strv_length (fields);
  *out = (GgSuspect){ .crashed_ms = now_ms };
  if (n >= 4)
    {
      out->id = g_ascii_strtoull (fields[0], NULL, 16);
      out->n_quarantines = (uint32_t) g_ascii_strtoull (fields[1], NULL, 10);
      out->n_trials = (uint32_t) g_ascii_strtoull (fields[2], NULL, 10);
      out->is_confirmed = g_ascii_strtoull (fields[3], NULL, 10) != 0;
    }
  for (guint i = 4; i < n && out->n_crashes < GG_QUARANTINE_MAX_CRASHES; i++)
    out->crashes[out->n_crashes++].runner_hash = (uint32_t) g_ascii_strtoull (fields[i], NULL, 16);
  g_strfreev (fields);
  return out->n_quarantines > 0;
}

void
gg_quarantine_exchange_apply_item (GgQuarantineExchange *self, const GgStoreItem *item)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  self->revision = item->value != NULL ? item->revision : 0;
  g_clear_pointer (&self->stored, g_free);
  if (item->value == NULL)
    {
      for (guint kind = 0; kind < N_KINDS; kind++)
        gg_crash_quarantine_release_all (self->quarantines[kind]);
      note_change (self, TRUE);
      return;
    }
  gsize size = 0;
  const char *bytes = g_bytes_get_data (item->value, &size);
  self->stored = g_strndup (bytes, size);
  gboolean is_changed = FALSE;
  char **lines = g_strsplit (self->stored, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      GgSuspect suspect;
      if (**line == '\0')
        continue;
      gboolean is_request = g_str_has_prefix (*line, REQUEST_MARK);
      if (read_suspect (*line + (is_request ? strlen (REQUEST_MARK) : 0), now_ms, &suspect))
        is_changed |= gg_crash_quarantine_merge (
            self->quarantines[is_request ? GG_SUSPECT_REQUEST : GG_SUSPECT_PART], &suspect, now_ms);
      else
        gg_event_log_add (GG_EVENT_NOTABLE, "quarantine_unreadable", "revision=%" G_GUINT64_FORMAT,
                          (guint64) item->revision);
    }
  g_strfreev (lines);
  note_change (self, is_changed);
}

void
gg_quarantine_exchange_note_restored (GgQuarantineExchange *self)
{
  gg_store_call_cancel (self->write_call);
  self->write_call = NULL;
  self->revision = 0;
  g_clear_pointer (&self->stored, g_free);
}

static void
on_written (void *data, const GgStoreReply *reply)
{
  GgQuarantineExchange *self = data;
  self->write_call = NULL;
  /* The watch of the registered instances brings what was written; on a conflict, and if the reply
   * was lost, the next write has the revision that the watch has brought. */
  if (reply->result == GG_STORE_CONFLICT && reply->items->len > 0)
    gg_quarantine_exchange_apply_item (self, g_ptr_array_index (reply->items, 0));
}

/* The leader writes what is in quarantine when it differs from what the store holds. */
static void
write_suspects (GgQuarantineExchange *self, uint64_t now_ms)
{
  if (self->write_call != NULL || self->router->is_store_unavailable
      || now_ms < self->written_ms + WRITE_INTERVAL_MS
      || !gg_membership_is_leader (self->membership))
    return;
  char *text = print_suspects (self);
  if (strcmp (text, self->stored != NULL ? self->stored : "") != 0)
    {
      self->written_ms = now_ms;
      self->write_call
          = gg_store_write (self->router->store, KEY, self->revision, text, 0, on_written, self);
    }
  g_free (text);
}

static void
on_timer (void *data)
{
  GgQuarantineExchange *self = data;
  uint64_t now_ms = gg_clock_boot_ms ();
  for (guint kind = 0; kind < N_KINDS; kind++)
    gg_crash_quarantine_expire (self->quarantines[kind], now_ms);
  send_report (self);
  write_suspects (self, now_ms);
  gg_loop_timer_start (self->timer, SEND_MS);
}

GgQuarantineExchange *
gg_quarantine_exchange_create (GgRouter *router, GgMembership *membership)
{
  GgQuarantineExchange *self = g_new0 (GgQuarantineExchange, 1);
  self->router = router;
  self->membership = membership;
  self->detector = gg_crash_detector_create (router, on_crash, self);
  for (guint kind = 0; kind < N_KINDS; kind++)
    self->quarantines[kind] = gg_crash_quarantine_create (kind);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  self->news_timer = gg_loop_timer_create (router->loop, on_news_timer, self);
  gg_loop_timer_start (self->timer, SEND_MS);
  return self;
}

void
gg_quarantine_exchange_destroy (GgQuarantineExchange *self)
{
  gg_store_call_cancel (self->write_call);
  gg_loop_timer_destroy (self->timer);
  gg_loop_timer_destroy (self->news_timer);
  gg_crash_detector_destroy (self->detector);
  for (guint kind = 0; kind < N_KINDS; kind++)
    gg_crash_quarantine_destroy (self->quarantines[kind]);
  g_free (self->stored);
  g_free (self);
}
