#include "daemons/routerd/placement_controller.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/placement.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/loss_prober.h"
#include "loop/fetch.h"
#include "ports/relay_wire.h"

#include <string.h>

#define TICK_MS 200
#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS 1500
#define MAX_IDLE_MS 5000
#define MAX_BODY_BYTES 65536
/* If the runner's entry does not show the result of an order after the load time plus this, the
 * runner is polled again. */
#define SETTLE_MS 3500
/* An order that got no answer may still be carried out seconds later. */
#define UNANSWERED_MS 4000
#define RETRY_MS 500
/* The first placement waits until no runner has joined for a while: a plan for the first few would
 * have to be changed. */
#define FLEET_QUIET_MS 1000
#define FLEET_QUIET_MAX_MS 5000
#define MS_PER_S 1000.0

typedef enum
{
  JOB_REPORT, /* a request for the runner's state is pending */
  JOB_ORDER,  /* an order, conditional on that state, is pending */
  JOB_SETTLE, /* waits until the entry shows the range that was ordered */
} JobStep;

/* Change of the range that one runner holds. */
typedef struct
{
  GgPlacementController *controller;
  char *id;
  uint64_t started_ms;
  GgLayerRange target;
  double load_ms;
  JobStep step;
  GgLoopFetch *fetch; /* NULL while no call is pending */
  uint64_t sent_ms;
  GgLoopTimer *timer;      /* runs during JOB_SETTLE */
  uint64_t fencing_number; /* sent with the order */
  uint64_t n_orders;       /* orders that the runner was expected to have accepted before */
} Job;

struct _GgPlacementController
{
  GgRouter *router;
  GgMembership *membership;
  GgLoopTimer *timer;
  GgLossProber *loss_prober;
  GHashTable *jobs; /* id of a runner -> Job */
  uint64_t fleet_revision;
  uint64_t fleet_changed_ms;
  uint64_t waiting_since_ms; /* start of the wait for more runners; 0: not yet */
};

static GgCounter orders_total
    = GG_COUNTER ("greengage_router_orders_total", "Orders sent to runners");

static void
free_job (void *data)
{
  Job *job = data;
  gg_loop_fetch_cancel (job->fetch);
  gg_loop_timer_destroy (job->timer);
  g_free (job->id);
  g_free (job);
}

static void
end_job (Job *job)
{
  g_hash_table_remove (job->controller->jobs, job->id);
}

static void
wait_job (Job *job, JobStep step, uint64_t wait_ms)
{
  job->step = step;
  gg_loop_timer_start (job->timer, wait_ms);
}

static void send_job (Job *job, JobStep step, uint64_t n_orders);

static void
on_report (Job *job, const GgFetchResult *result)
{
  GgRunnerReport report;
  if (result->status != 200
      || !gg_relay_wire_read_report (result->body, result->body_bytes, &report))
    {
      wait_job (job, JOB_SETTLE, RETRY_MS);
      return;
    }
  gboolean is_in_place = report.range.first_layer == job->target.first_layer
                         && report.range.end_layer == job->target.end_layer;
  gboolean is_busy = report.is_busy;
  uint64_t n_orders = report.n_orders;
  gg_runner_report_clear (&report);
  if (is_in_place || is_busy)
    wait_job (job, JOB_SETTLE, SETTLE_MS);
  else if (!gg_membership_is_leader (job->controller->membership))
    end_job (job);
  else
    send_job (job, JOB_ORDER, n_orders);
}

static void
assign_range (Job *job)
{
  GgFleetRunner *runner = gg_fleet_find (job->controller->router->fleet, job->id);
  if (runner != NULL)
    gg_fleet_runner_assign_range (runner, &job->target, gg_clock_now_ms ());
}

static void
on_order (Job *job, uint32_t status)
{
  gg_event_log_add (GG_EVENT_NOTABLE, "layers_ordered",
                    "runner=%s layers=%u-%u status=%u fence=%" G_GUINT64_FORMAT, job->id,
                    job->target.first_layer, job->target.end_layer, status,
                    (guint64) job->fencing_number);
  switch (gg_relay_wire_read_order_status (status))
    {
    case GG_ORDER_STARTED:
    case GG_ORDER_DONE:
      assign_range (job);
      wait_job (job, JOB_SETTLE, (uint64_t) job->load_ms + SETTLE_MS);
      break;
    case GG_ORDER_FENCED:
      if (job->fencing_number == gg_membership_get_fencing_number (job->controller->membership))
        gg_membership_resign (job->controller->membership);
      wait_job (job, JOB_SETTLE, RETRY_MS);
      break;
    case GG_ORDER_STALE:
    case GG_ORDER_FAILED:
      wait_job (job, JOB_SETTLE, RETRY_MS);
      break;
    }
}

static void
on_no_answer (Job *job)
{
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_unanswered", "runner=%s step=%s", job->id,
                    job->step == JOB_ORDER ? "order" : "report");
  wait_job (job, JOB_SETTLE, job->step == JOB_ORDER ? UNANSWERED_MS : RETRY_MS);
}

/* Records what the end of a call shows about the link to the runner. */
static void
note_link (const Job *job, GgFetchEnd end)
{
  const GgRouter *router = job->controller->router;
  const GgFleetRunner *runner = gg_fleet_find (router->fleet, job->id);
  if (runner == NULL)
    return;
  if (end == GG_FETCH_ANSWERED)
    gg_link_monitor_note_received (router->link_monitor, runner);
  else
    gg_link_monitor_note_missed (router->link_monitor, runner, job->sent_ms);
}

static void
on_fetched (void *data, const GgFetchResult *result)
{
  Job *job = data;
  job->fetch = NULL;
  note_link (job, result->end);
  if (result->end != GG_FETCH_ANSWERED)
    on_no_answer (job);
  else if (job->step == JOB_REPORT)
    on_report (job, result);
  else
    on_order (job, result->status);
}

/* Sends the report request or the order of a job. Ends the job if the runner is gone or has been
 * restarted. */
static void
send_job (Job *job, JobStep step, uint64_t n_orders)
{
  GgPlacementController *self = job->controller;
  const GgFleetRunner *runner = gg_fleet_find (self->router->fleet, job->id);
  if (runner == NULL || runner->record.started_ms != job->started_ms)
    {
      end_job (job);
      return;
    }
  char *body = NULL;
  GgMessageHead *head = NULL;
  if (step == JOB_REPORT)
    head = gg_relay_wire_build_report_request (job->id);
  else
    {
      gboolean is_fenced
          = gg_settings_get_boolean (self->router->settings, "runners", "fenced_orders");
      job->n_orders = n_orders;
      job->fencing_number = gg_membership_get_fencing_number (self->membership);
      head = gg_relay_wire_build_placement_order (
          job->id, &job->target, is_fenced ? job->fencing_number : 0, n_orders, &body);
      gg_counter_add (&orders_total, 1);
    }
  /* Answers to orders and reports do not identify the call, so an order needs a connection without
   * earlier answers. */
  const GgFetchRequest request = { .call = { .address = runner->record.address,
                                             .head = head,
                                             .body = body,
                                             .body_bytes = body != NULL ? strlen (body) : 0,
                                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                             .max_idle_ms = step == JOB_REPORT ? MAX_IDLE_MS : 0,
                                             .foreign_field = gg_relay_wire_get_answer_field () },
                                   .timeout_ms = ANSWER_TIMEOUT_MS,
                                   .max_body_bytes = MAX_BODY_BYTES };
  job->step = step;
  job->sent_ms = gg_clock_now_ms ();
  job->fetch = gg_loop_fetch (self->router->loop, self->router->client, &request, on_fetched, job);
  gg_message_head_destroy (head);
  g_free (body);
}

static void
on_job_timer (void *data)
{
  end_job (data); /* the next plan uses what the entry shows then */
}

static void
start_job (GgPlacementController *self, const GgPlacementRunner *plan, const GgEngineModel *model)
{
  Job *job = g_new0 (Job, 1);
  uint32_t n_layers = plan->target.end_layer - plan->target.first_layer;
  job->controller = self;
  job->id = g_strdup (plan->id);
  job->started_ms = gg_fleet_find (self->router->fleet, plan->id)->record.started_ms;
  job->target = plan->target;
  job->load_ms = model->load_s * MS_PER_S * n_layers / model->n_layers;
  job->timer = gg_loop_timer_create (self->router->loop, on_job_timer, job);
  g_hash_table_insert (self->jobs, job->id, job);
  send_job (job, JOB_REPORT, 0);
}

/* Returns the range that the runner holds, or will hold after its pending order. Ends a job that is
 * done or whose runner was restarted. */
static GgLayerRange
get_current (GgPlacementController *self, const GgFleetRunner *runner, gboolean *is_pending_out)
{
  Job *job = g_hash_table_lookup (self->jobs, runner->record.id);
  const GgLayerRange *held = &runner->record.range;
  *is_pending_out = FALSE;
  if (job == NULL)
    return *held;
  gboolean is_in_place
      = held->first_layer == job->target.first_layer && held->end_layer == job->target.end_layer;
  if (job->started_ms != runner->record.started_ms || (is_in_place && job->step == JOB_SETTLE))
    {
      end_job (job);
      return *held;
    }
  *is_pending_out = TRUE;
  return job->target;
}

/* Whether nothing has been placed yet and runners are still joining. */
static gboolean
is_fleet_starting (GgPlacementController *self, const char *service)
{
  const GgFleet *fleet = self->router->fleet;
  uint64_t now_ms = gg_clock_now_ms ();
  if (self->fleet_revision != gg_fleet_get_revision (fleet))
    {
      self->fleet_revision = gg_fleet_get_revision (fleet);
      self->fleet_changed_ms = now_ms;
    }
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgRunnerRecord *record = &gg_fleet_get (fleet, i)->record;
      if (strcmp (record->service, service) == 0 && record->range.end_layer > 0)
        return FALSE;
    }
  if (self->waiting_since_ms == 0)
    self->waiting_since_ms = now_ms;
  return now_ms - self->fleet_changed_ms < FLEET_QUIET_MS
         && now_ms - self->waiting_since_ms < FLEET_QUIET_MAX_MS;
}

static void
place_service (GgPlacementController *self, const GgRoutedService *service)
{
  GgFleet *fleet = self->router->fleet;
  GArray *plan = g_array_new (FALSE, TRUE, sizeof (GgPlacementRunner));
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (strcmp (runner->record.service, service->name) != 0)
        continue;
      GgPlacementRunner entry
          = { .id = runner->record.id,
              .data_centre = runner->record.data_centre,
              .is_usable
              = !runner->record.is_leaving && !gg_loss_prober_is_lost (self->loss_prober, runner) };
      entry.accelerator
          = gg_engine_model_find_accelerator (service->model, runner->record.accelerator);
      entry.current = get_current (self, runner, &entry.is_moving);
      g_array_append_val (plan, entry);
    }
  GgPlacementRunner *runners = (GgPlacementRunner *) plan->data;
  gg_placement_plan (service->model, runners, plan->len);
  for (guint i = 0; i < plan->len; i++)
    {
      gboolean is_same = runners[i].target.first_layer == runners[i].current.first_layer
                         && runners[i].target.end_layer == runners[i].current.end_layer;
      if (!is_same && runners[i].target.end_layer > runners[i].target.first_layer)
        start_job (self, &runners[i], service->model);
    }
  g_array_unref (plan);
}

static void
on_tick (void *data)
{
  GgPlacementController *self = data;
  gg_loop_timer_start (self->timer, TICK_MS);
  const GgRoutingConfig *config = self->router->config;
  if (config == NULL || !self->router->has_runner_list
      || !gg_membership_is_leader (self->membership))
    return;
  if (gg_link_monitor_get_state (self->router->link_monitor, NULL) == GG_LINKS_DOWN)
    {
      gg_membership_hand_over_leading (self->membership);
      return;
    }
  for (guint i = 0; i < gg_routing_config_count_services (config); i++)
    {
      const GgRoutedService *service = gg_routing_config_get_service (config, i);
      /* While links are in doubt, the failures of runners may be this instance's own. */
      if (service->model != NULL
          && gg_link_monitor_get_state (self->router->link_monitor, service->name) == GG_LINKS_UP
          && !is_fleet_starting (self, service->name))
        place_service (self, service);
    }
}

GgPlacementController *
gg_placement_controller_create (GgRouter *router, GgMembership *membership)
{
  GgPlacementController *self = g_new0 (GgPlacementController, 1);
  self->router = router;
  self->membership = membership;
  self->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  self->loss_prober = gg_loss_prober_create (router);
  self->timer = gg_loop_timer_create (router->loop, on_tick, self);
  gg_loop_timer_start (self->timer, TICK_MS);
  return self;
}

void
gg_placement_controller_destroy (GgPlacementController *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->jobs);
  gg_loss_prober_destroy (self->loss_prober);
  g_free (self);
}
