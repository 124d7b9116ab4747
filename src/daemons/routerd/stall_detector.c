#include "daemons/routerd/stall_detector.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "daemons/routerd/link_monitor.h"
#include "loop/fetch.h"
#include "ports/relay_wire.h"

#include <string.h>

#define CHECK_MS 50
/* Each check looks for a path for all hedges that lack room. */
#define MIN_CHECK_MS 20
/* A report shows the state of some hundred ms before, so it is requested again if it does not show
 * the stall yet. */
#define REQUERY_MS 150
/* A runner that does not answer a report request in this time counts as failed. */
#define ANSWER_TIMEOUT_MS 400
#define CONNECT_TIMEOUT_MS 300
#define MAX_IDLE_MS 5000
#define MAX_BODY_BYTES (256 * 1024)

/* Query for the report of a runner that is the first one on the path of stalled requests. */
typedef struct
{
  GgStallDetector *detector;
  GgFleetRunner *runner;
  GgLoopFetch *fetch; /* NULL while no call is pending */
  uint64_t sent_ms;
} ReportQuery;

struct _GgStallDetector
{
  GgRouter *router;
  GgLoopTimer *timer;
  GHashTable *sends;   /* set of GgSend */
  GHashTable *queries; /* GgFleetRunner -> ReportQuery */
  gboolean lacks_room; /* no runner had room for a hedge at the last check */
  uint64_t checked_ms;
  gboolean is_wake_pending;
};

static void
free_query (void *data)
{
  ReportQuery *self = data;
  gg_loop_fetch_cancel (self->fetch);
  gg_fleet_runner_unref (self->runner);
  g_free (self);
}

static GgStallAction
decide (const GgSend *send, uint64_t now_ms)
{
  GgStallState state = gg_send_get_stall_state (send);
  return gg_stall_policy_decide (&state, now_ms);
}

/* Lists the idle sends whose first runner is @p runner; freed by the caller. */
static GList *
list_idle (GgStallDetector *self, const GgFleetRunner *runner, uint64_t now_ms)
{
  GList *list = NULL;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->sends);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (gg_send_get_runner (key) == runner && decide (key, now_ms) != GG_STALL_NONE)
      list = g_list_prepend (list, key);
  return list;
}

static void
log_suspicion (const GgFleetRunner *runner, const char *reason, uint64_t now_ms)
{
  uint64_t until_ms = MAX (runner->suspended_until_ms, runner->silent_until_ms);
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_suspected",
                    "runner=%s reason=%s failures=%u suspended_ms=%" G_GUINT64_FORMAT,
                    runner->record.id, reason, runner->failures, (guint64) (until_ms - now_ms));
}

/* Suspends a silent runner until the next query for a report will have ended. */
static void
suspect (GgFleetRunner *runner, const char *reason, uint64_t now_ms)
{
  if (gg_fleet_runner_note_silent (runner, now_ms + REQUERY_MS + ANSWER_TIMEOUT_MS, now_ms))
    log_suspicion (runner, reason, now_ms);
}

static const GgStalledRequest *
find_stalled (const GgRunnerReport *report, const GgSend *send)
{
  for (guint i = 0; i < report->stalled->len; i++)
    {
      const GgStalledRequest *stalled = g_ptr_array_index (report->stalled, i);
      if (strcmp (stalled->attempt_id, gg_send_get_attempt_id (send)) == 0)
        return stalled;
    }
  return NULL;
}

static void
act_on_report (ReportQuery *query, const GgRunnerReport *report)
{
  GgStallDetector *self = query->detector;
  uint64_t now_ms = gg_clock_now_ms ();
  gg_fleet_runner_note_heard (query->runner);
  for (guint i = 0; i < report->stalled->len; i++)
    {
      const GgStalledRequest *stalled = g_ptr_array_index (report->stalled, i);
      GgFleetRunner *runner = gg_fleet_find_address (self->router->fleet, stalled->address);
      if (runner != NULL)
        suspect (runner, "path_stalled", now_ms);
    }
  GList *idle = list_idle (self, query->runner, now_ms);
  for (GList *l = idle; l != NULL; l = l->next)
    if (find_stalled (report, l->data) != NULL)
      gg_send_reroute (l->data);
    else
      gg_send_set_suspected (l->data, FALSE);
  g_list_free (idle);
}

static void
act_on_no_answer (ReportQuery *query)
{
  GgStallDetector *self = query->detector;
  uint64_t now_ms = gg_clock_now_ms ();
  suspect (query->runner, "report_unanswered", now_ms);
  GList *idle = list_idle (self, query->runner, now_ms);
  for (GList *l = idle; l != NULL; l = l->next)
    gg_send_set_suspected (l->data, TRUE);
  g_list_free (idle);
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  ReportQuery *self = data;
  GgLinkMonitor *link_monitor = self->detector->router->link_monitor;
  GgRunnerReport report;
  self->fetch = NULL;
  if (result->end == GG_FETCH_ANSWERED)
    gg_link_monitor_note_received (link_monitor, self->runner);
  else
    gg_link_monitor_note_missed (link_monitor, self->runner, self->sent_ms);
  if (result->end != GG_FETCH_ANSWERED)
    act_on_no_answer (self);
  else if (result->status == 200
           && gg_relay_wire_read_report (result->body, result->body_bytes, &report))
    {
      act_on_report (self, &report);
      gg_runner_report_clear (&report);
    }
}

static void
query_runner (GgStallDetector *self, GgFleetRunner *runner, uint64_t now_ms)
{
  if (runner == NULL)
    return;
  ReportQuery *query = g_hash_table_lookup (self->queries, runner);
  if (query == NULL)
    {
      query = g_new0 (ReportQuery, 1);
      query->detector = self;
      query->runner = gg_fleet_runner_ref (runner);
      g_hash_table_insert (self->queries, runner, query);
    }
  if (query->fetch != NULL || now_ms - query->sent_ms < REQUERY_MS)
    return;
  GgMessageHead *head = gg_relay_wire_build_report_request (runner->record.id);
  const GgFetchRequest request = { .call = { .address = runner->record.address,
                                             .head = head,
                                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                             .max_idle_ms = MAX_IDLE_MS,
                                             .foreign_field = gg_relay_wire_get_answer_field () },
                                   .timeout_ms = ANSWER_TIMEOUT_MS,
                                   .max_body_bytes = MAX_BODY_BYTES };
  query->sent_ms = now_ms;
  query->fetch
      = gg_loop_fetch (self->router->loop, self->router->client, &request, on_fetched, query);
  gg_message_head_destroy (head);
}

/* Whether no report of the runner was requested for a while. */
static gboolean
is_unused (void *key, void *value, void *data)
{
  const ReportQuery *query = value;
  const uint64_t *now_ms = data;
  return query->fetch == NULL && *now_ms - query->sent_ms > 10 * REQUERY_MS;
}

/* Returns the sends in doubt, freed by the caller, and queries their runners. */
static GList *
list_doubtful (GgStallDetector *self, uint64_t now_ms)
{
  GList *list = NULL;
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->sends);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    switch (decide (key, now_ms))
      {
      case GG_STALL_NONE:
        break;
      case GG_STALL_HEDGE:
        list = g_list_prepend (list, key);
        query_runner (self, gg_send_get_runner (key), now_ms);
        break;
      case GG_STALL_QUERY:
        if (gg_send_is_runner_replaced (key))
          list = g_list_prepend (list, key);
        query_runner (self, gg_send_get_runner (key), now_ms);
        break;
      }
  return list;
}

static void
on_check (void *data)
{
  GgStallDetector *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  GList *list = list_doubtful (self, now_ms);
  self->lacks_room = FALSE;
  self->checked_ms = now_ms;
  for (GList *l = list; l != NULL; l = l->next)
    {
      /* Acting on one send may end others. */
      if (!g_hash_table_contains (self->sends, l->data))
        continue;
      if (gg_send_is_runner_replaced (l->data))
        gg_send_abandon (l->data, "runner_replaced");
      else
        self->lacks_room |= gg_send_hedge (l->data) == GG_HEDGE_NO_ROOM;
    }
  g_list_free (list);
  g_hash_table_foreach_remove (self->queries, is_unused, &now_ms);
  if (g_hash_table_size (self->sends) > 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
}

static void
on_wake (void *data)
{
  GgStallDetector *self = data;
  self->is_wake_pending = FALSE;
  on_check (self);
}

void
gg_stall_detector_wake (GgStallDetector *self)
{
  if (!self->lacks_room || self->is_wake_pending
      || gg_clock_now_ms () - self->checked_ms < MIN_CHECK_MS)
    return;
  self->is_wake_pending = TRUE;
  gg_loop_defer (self->router->loop, on_wake, self);
}

GgStallDetector *
gg_stall_detector_create (GgRouter *router)
{
  GgStallDetector *self = g_new0 (GgStallDetector, 1);
  self->router = router;
  self->timer = gg_loop_timer_create (router->loop, on_check, self);
  self->sends = g_hash_table_new (NULL, NULL);
  self->queries = g_hash_table_new_full (NULL, NULL, NULL, free_query);
  return self;
}

void
gg_stall_detector_destroy (GgStallDetector *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->queries);
  g_hash_table_unref (self->sends);
  g_free (self);
}

void
gg_stall_detector_add (GgStallDetector *self, GgSend *send)
{
  if (g_hash_table_size (self->sends) == 0)
    gg_loop_timer_start (self->timer, CHECK_MS);
  g_hash_table_add (self->sends, send);
}

void
gg_stall_detector_remove (GgStallDetector *self, GgSend *send)
{
  g_hash_table_remove (self->sends, send);
}
