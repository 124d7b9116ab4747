#include "daemons/routerd/stall_watch.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "loop/fetch.h"
#include "ports/relay_wire.h"

#include <string.h>

#define CHECK_MS 50
/* Events of a stream come every 30 to 100 ms; a first event may wait behind long prompts. */
#define SILENCE_MS 250
#define FIRST_SILENCE_MS 500
/* A report tells the state of some hundred milliseconds ago, so a stall that it does not show yet
 * is asked about again. */
#define ASK_AGAIN_MS 150
/* A runner that does not answer for its own report is lost itself. */
#define ANSWER_TIMEOUT_MS 400
#define CONNECT_TIMEOUT_MS 300
#define MAX_IDLE_MS 5000
#define MAX_BODY_BYTES (256 * 1024)

/* A question to one runner for the requests that it takes first. */
typedef struct
{
  GgStallWatch *watch;
  GgFleetRunner *runner;
  GgLoopFetch *fetch; /* NULL between questions */
  uint64_t asked_ms;
} Inquiry;

struct _GgStallWatch
{
  GgRouter *router;
  GgLoopTimer *timer;
  GHashTable *relays;    /* set of GgRelay */
  GHashTable *inquiries; /* GgFleetRunner -> Inquiry */
};

static void
free_inquiry (void *data)
{
  Inquiry *self = data;
  gg_loop_fetch_cancel (self->fetch);
  gg_fleet_runner_unref (self->runner);
  g_free (self);
}

static gboolean
is_silent (const GgRelay *relay, uint64_t now_ms)
{
  uint64_t limit_ms = gg_relay_has_events (relay) ? SILENCE_MS : FIRST_SILENCE_MS;
  return now_ms - gg_relay_get_heard_ms (relay) >= limit_ms;
}

/* Requests that @p runner takes first and that are silent; freed by the caller. Acting on one may
 * end others, so each is looked up again before it is touched. */
static GList *
list_silent (GgStallWatch *self, const GgFleetRunner *runner, uint64_t now_ms)
{
  GList *list = NULL;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->relays);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (gg_relay_get_runner (key) == runner && is_silent (key, now_ms))
      list = g_list_prepend (list, key);
  return list;
}

static void
suspect (GgStallWatch *self, GgFleetRunner *runner, const char *reason)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (now_ms < runner->suspended_until_ms)
    return;
  gg_fleet_runner_note_failure (runner, now_ms);
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_suspected",
                    "runner=%s reason=%s failures=%u suspended_ms=%" G_GUINT64_FORMAT,
                    runner->record.id, reason, runner->failures,
                    (guint64) (runner->suspended_until_ms - now_ms));
}

static const GgStalledRequest *
find_stalled (const GgRunnerReport *report, const GgRelay *relay)
{
  for (guint i = 0; i < report->stalled->len; i++)
    {
      const GgStalledRequest *stalled = g_ptr_array_index (report->stalled, i);
      if (strcmp (stalled->attempt_id, gg_relay_get_attempt_id (relay)) == 0)
        return stalled;
    }
  return NULL;
}

static void
act_on_report (Inquiry *inquiry, const GgRunnerReport *report)
{
  GgStallWatch *self = inquiry->watch;
  for (guint i = 0; i < report->stalled->len; i++)
    {
      const GgStalledRequest *stalled = g_ptr_array_index (report->stalled, i);
      GgFleetRunner *runner = gg_fleet_find_address (self->router->fleet, stalled->address);
      if (runner != NULL)
        suspect (self, runner, "path_stalled");
    }
  GList *silent = list_silent (self, inquiry->runner, gg_clock_now_ms ());
  for (GList *l = silent; l != NULL; l = l->next)
    if (g_hash_table_contains (self->relays, l->data) && find_stalled (report, l->data) != NULL)
      gg_relay_move (l->data);
  g_list_free (silent);
}

static void
act_on_silence (Inquiry *inquiry)
{
  GgStallWatch *self = inquiry->watch;
  suspect (self, inquiry->runner, "report_unanswered");
  GList *silent = list_silent (self, inquiry->runner, gg_clock_now_ms ());
  for (GList *l = silent; l != NULL; l = l->next)
    if (g_hash_table_contains (self->relays, l->data))
      gg_relay_give_up_send (l->data);
  g_list_free (silent);
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  Inquiry *self = data;
  GgRunnerReport report;
  self->fetch = NULL;
  if (result->end != GG_FETCH_ANSWERED)
    act_on_silence (self);
  else if (result->status == 200
           && gg_relay_read_report (result->body, result->body_bytes, &report))
    {
      act_on_report (self, &report);
      gg_runner_report_clear (&report);
    }
}

static void
ask (GgStallWatch *self, GgFleetRunner *runner, uint64_t now_ms)
{
  Inquiry *inquiry = g_hash_table_lookup (self->inquiries, runner);
  if (inquiry == NULL)
    {
      inquiry = g_new0 (Inquiry, 1);
      inquiry->watch = self;
      inquiry->runner = gg_fleet_runner_ref (runner);
      g_hash_table_insert (self->inquiries, runner, inquiry);
    }
  if (inquiry->fetch != NULL || now_ms - inquiry->asked_ms < ASK_AGAIN_MS)
    return;
  GgMessageHead *head = gg_relay_build_report_request (runner->record.id);
  const GgFetchRequest request = { .call = { .address = runner->record.address,
                                             .head = head,
                                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                             .max_idle_ms = MAX_IDLE_MS },
                                   .timeout_ms = ANSWER_TIMEOUT_MS,
                                   .max_body_bytes = MAX_BODY_BYTES };
  inquiry->asked_ms = now_ms;
  inquiry->fetch
      = gg_loop_fetch (self->router->loop, self->router->client, &request, on_fetched, inquiry);
  gg_message_head_destroy (head);
}

/* Drops questions to runners that were not asked for a while. */
static gboolean
is_old (void *key, void *value, void *data)
{
  const Inquiry *inquiry = value;
  const uint64_t *now_ms = data;
  return inquiry->fetch == NULL && *now_ms - inquiry->asked_ms > 10 * ASK_AGAIN_MS;
}

static void
on_check (void *data)
{
  GgStallWatch *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->relays);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (is_silent (key, now_ms))
      ask (self, gg_relay_get_runner (key), now_ms);
  g_hash_table_foreach_remove (self->inquiries, is_old, &now_ms);
  if (g_hash_table_size (self->relays) > 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
}

GgStallWatch *
gg_stall_watch_create (GgRouter *router)
{
  GgStallWatch *self = g_new0 (GgStallWatch, 1);
  self->router = router;
  self->timer = gg_loop_timer_create (router->loop, on_check, self);
  self->relays = g_hash_table_new (NULL, NULL);
  self->inquiries = g_hash_table_new_full (NULL, NULL, NULL, free_inquiry);
  return self;
}

void
gg_stall_watch_destroy (GgStallWatch *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->inquiries);
  g_hash_table_unref (self->relays);
  g_free (self);
}

void
gg_stall_watch_add (GgStallWatch *self, GgRelay *relay)
{
  if (g_hash_table_size (self->relays) == 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
  g_hash_table_add (self->relays, relay);
}

void
gg_stall_watch_remove (GgStallWatch *self, GgRelay *relay)
{
  g_hash_table_remove (self->relays, relay);
}
