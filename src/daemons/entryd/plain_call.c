#include "daemons/entryd/plain_call.h"

#include "base/clock.h"
#include "base/counters.h"
#include "core/mutation.h"
#include "core/runner_health.h"

/* The timeout of one attempt at an idempotent call leaves time for this many attempts. */
#define IDEMPOTENT_ATTEMPTS 3
#define MIN_ATTEMPT_TIMEOUT_MS 50
#define MAX_SENDS 8
#define RETRY_BACKOFF_MS 10

static GgCounter retries
    = GG_COUNTER ("greengage_retries_total", "Calls of services that were sent again");

static GgRouteQuery
make_query (const GgPlainCall *self, const char *excluded_id)
{
  return (GgRouteQuery){ .service = self->service->name,
                         .tokens = 1,
                         .policy = self->entry->policy,
                         .now_ms = gg_clock_now_ms (),
                         .random = gg_entry_random (),
                         .excluded_id = excluded_id };
}

/* Prefers a runner other than @excluded_id, which failed last. */
static gboolean
choose (GgPlainCall *self, const char *excluded_id, GgRoutePlan *plan)
{
  GgRouteQuery query = make_query (self, excluded_id);
  if (gg_snapshot_client_choose (self->entry->snapshots, &query, plan))
    return TRUE;
  query.excluded_id = NULL;
  return excluded_id != NULL && gg_snapshot_client_choose (self->entry->snapshots, &query, plan);
}

static void
note_result (GgPlainCall *self,
             GgRunner *runner,
             GgServiceResult result,
             const GgServiceReply *reply,
             uint64_t elapsed_us)
{
  switch (result)
    {
    case GG_SERVICE_OK:
      gg_runner_observe_step (runner, elapsed_us, gg_clock_now_ms ());
      gg_entry_apply_runner_event (self->entry, runner, GG_RUNNER_EVENT_SUCCESS);
      break;
    case GG_SERVICE_REFUSED:
      if (reply->leaving)
        gg_entry_apply_runner_event (self->entry, runner, GG_RUNNER_EVENT_LEAVING);
      break;
    case GG_SERVICE_NOT_SENT:
      gg_entry_apply_runner_event (self->entry, runner, GG_RUNNER_EVENT_FAILED_FRESH);
      break;
    case GG_SERVICE_IN_DOUBT:
      gg_entry_apply_runner_event (self->entry, runner,
                                   reply->connection_was_fresh ? GG_RUNNER_EVENT_FAILED_FRESH
                                                               : GG_RUNNER_EVENT_FAILED_REUSED);
      break;
    }
}

static uint64_t
get_attempt_deadline (const GgPlainCall *self)
{
  if (!self->call.idempotent)
    return self->deadline_ms;
  uint64_t share_ms = MAX (self->service->timeout_ms / IDEMPOTENT_ATTEMPTS, MIN_ATTEMPT_TIMEOUT_MS);
  return MIN (gg_clock_now_ms () + share_ms, self->deadline_ms);
}

static GgServiceResult
send_once (GgPlainCall *self, GgRunner *runner, GgServiceReply *reply_out)
{
  uint64_t started_us = gg_clock_now_us ();
  gg_runner_begin_work (runner);
  GgServiceResult result = gg_service_client_call (
      self->entry->services, runner->address, &self->call, get_attempt_deadline (self), reply_out);
  gg_runner_end_work (runner);
  note_result (self, runner, result, reply_out, gg_clock_now_us () - started_us);
  return result;
}

static gboolean
may_send_again (const GgPlainCall *self, GgServiceResult result)
{
  switch (result)
    {
    case GG_SERVICE_OK:
      return FALSE;
    case GG_SERVICE_REFUSED:
    case GG_SERVICE_NOT_SENT:
      return TRUE;
    case GG_SERVICE_IN_DOUBT:
      return self->call.idempotent || GG_IS_MUTATED ("plain-repeat-doubtful");
    }
  g_assert_not_reached ();
}

GgServiceResult
gg_plain_call_send (GgPlainCall *self, GgServiceReply *reply_out)
{
  GgServiceResult result = GG_SERVICE_NOT_SENT;
  GgRetryBudget *budget = self->entry->retries;
  GgRunner *last = NULL;
  gg_retry_budget_deposit (budget);
  for (uint32_t sent = 0; sent < MAX_SENDS; sent++)
    {
      GgRoutePlan plan;
      if (!choose (self, last != NULL ? last->id : NULL, &plan))
        break;
      gg_runner_unref (last);
      last = gg_runner_ref (plan.stages[0]);
      gg_route_plan_clear (&plan);

      gg_service_reply_clear (reply_out);
      result = send_once (self, last, reply_out);
      if (!may_send_again (self, result)
          || !gg_retry_budget_withdraw (budget, gg_clock_now_ms (), self->deadline_ms))
        break;
      gg_counter_add (&retries, 1);
      g_usleep (sent * RETRY_BACKOFF_MS * 1000);
    }
  gg_runner_unref (last);
  return result;
}
