#include "daemons/routerd/stall_watch.h"

#include "base/clock.h"
#include "base/event_log.h"
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
  GgLoopCall *call; /* NULL between questions */
  GgLoopTimer *timer;
  GString *body;
  uint32_t status;
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
  gg_loop_call_cancel (self->call);
  gg_loop_timer_destroy (self->timer);
  g_string_free (self->body, TRUE);
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
  gg_fleet_runner_fail (runner, now_ms);
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

static gboolean
on_call (void *data, const GgCallEvent *event)
{
  Inquiry *self = data;
  GgRunnerReport report;
  switch (event->kind)
    {
    case GG_CALL_HEAD:
      self->status = gg_message_head_get_status (event->head);
      gg_message_head_destroy (event->head);
      return TRUE;
    case GG_CALL_BODY:
      if (self->body->len + event->body.size_bytes <= MAX_BODY_BYTES)
        g_string_append_len (self->body, event->body.bytes, (gssize) event->body.size_bytes);
      return TRUE;
    case GG_CALL_END:
      self->call = NULL;
      gg_loop_timer_stop (self->timer);
      if (event->end != GG_CALL_COMPLETE)
        act_on_silence (self);
      else if (self->status == 200
               && gg_relay_read_report (self->body->str, self->body->len, &report))
        {
          act_on_report (self, &report);
          gg_runner_report_clear (&report);
        }
      return TRUE;
    }
  return FALSE;
}

static void
on_answer_timeout (void *data)
{
  Inquiry *self = data;
  gg_loop_call_cancel (self->call);
  self->call = NULL;
  act_on_silence (self);
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
      inquiry->timer = gg_loop_timer_create (self->router->loop, on_answer_timeout, inquiry);
      inquiry->body = g_string_new (NULL);
      g_hash_table_insert (self->inquiries, runner, inquiry);
    }
  if (inquiry->call != NULL || now_ms - inquiry->asked_ms < ASK_AGAIN_MS)
    return;
  GgMessageHead *head = gg_relay_build_report_request (runner->record.id);
  GgCallRequest request = { .address = runner->record.address,
                            .head = head,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .max_idle_ms = MAX_IDLE_MS };
  inquiry->asked_ms = now_ms;
  inquiry->status = 0;
  g_string_truncate (inquiry->body, 0);
  inquiry->call = gg_loop_client_call (self->router->client, &request, on_call, inquiry);
  gg_loop_timer_start (inquiry->timer, ANSWER_TIMEOUT_MS);
  gg_message_head_destroy (head);
}

/* Drops questions to runners that were not asked for a while. */
static gboolean
is_old (void *key, void *value, void *data)
{
  const Inquiry *inquiry = value;
  const uint64_t *now_ms = data;
  return inquiry->call == NULL && *now_ms - inquiry->asked_ms > 10 * ASK_AGAIN_MS;
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
