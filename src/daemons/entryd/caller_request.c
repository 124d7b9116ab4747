#include "daemons/entryd/caller_request.h"

#include "base/clock.h"
#include "base/counters.h"
#include "daemons/entryd/caller_reply.h"

#include <string.h>

/* Retry-After if no runner is known: about the time in which the list is read again. */
#define NO_RUNNER_RETRY_MS 1000
/* Length of a traceparent header of version 00. */
#define TRACEPARENT_LENGTH 55

static GgCounter refused_limit = GG_COUNTER ("greengage_refused_total{reason=\"team-limit\"}",
                                             "Requests refused before they ran, by reason");
static GgCounter refused_overload = GG_COUNTER ("greengage_refused_total{reason=\"overload\"}",
                                                "Requests refused before they ran, by reason");
static GgCounter refused_deadline = GG_COUNTER ("greengage_refused_total{reason=\"deadline\"}",
                                                "Requests refused before they ran, by reason");
static GgCounter refused_no_runner = GG_COUNTER ("greengage_refused_total{reason=\"no-runner\"}",
                                                 "Requests refused before they ran, by reason");

const char *
gg_caller_request_get_header (const GgCallerRequest *self, const char *name)
{
  return MHD_lookup_connection_value (self->connection, MHD_HEADER_KIND, name);
}

const char *
gg_caller_request_get_traceparent (const GgCallerRequest *self)
{
  const char *value = gg_caller_request_get_header (self, "traceparent");
  return value != NULL && strlen (value) == TRACEPARENT_LENGTH ? value : NULL;
}

GgAdmissionResult
gg_caller_request_admit (GgCallerRequest *request,
                         const GgRoutePlan *plan,
                         uint32_t tokens,
                         uint64_t *retry_after_ms_out)
{
  GgEntry *entry = request->entry;
  uint64_t unloaded_ms = plan->predicted_ms - plan->predicted_wait_ms;
  uint64_t slack_ms
      = entry->request_deadline_ms > unloaded_ms ? entry->request_deadline_ms - unloaded_ms : 0;
  uint64_t now = gg_clock_now_ms ();
  GgAdmissionQuery query = {
    .team = request->team->name,
    .weight = request->team->weight,
    .requests_per_s = request->team->requests_per_s,
    .cost_tokens = tokens,
    .predicted_wait_ms = plan->predicted_wait_ms,
    .deadline_ms = now + MIN (entry->max_wait_ms, slack_ms),
  };
  return gg_admission_decide (entry->admission, &query, now, retry_after_ms_out);
}

enum MHD_Result
gg_caller_request_refuse (GgCallerRequest *request,
                          GgAdmissionResult result,
                          uint64_t retry_after_ms)
{
  GgProblem problem = { .outcome = GG_OUTCOME_NOT_RUN, .retry_after_ms = MAX (retry_after_ms, 1) };
  switch (result)
    {
    case GG_ADMISSION_ADMITTED:
      g_assert_not_reached ();
    case GG_ADMISSION_TEAM_LIMIT:
      gg_counter_add (&refused_limit, 1);
      problem.status = MHD_HTTP_TOO_MANY_REQUESTS;
      problem.title = "Team limit reached";
      problem.detail = "The team sends more requests a second than its declaration allows; "
                       "try again after the time in Retry-After.";
      break;
    case GG_ADMISSION_OVERLOAD:
      gg_counter_add (&refused_overload, 1);
      problem.status = MHD_HTTP_TOO_MANY_REQUESTS;
      problem.title = "Fair share used up";
      problem.detail = "The runners are busy and the team already has its share of them; try "
                       "again after the time in Retry-After.";
      break;
    case GG_ADMISSION_DEADLINE:
      gg_counter_add (&refused_deadline, 1);
      problem.status = MHD_HTTP_SERVICE_UNAVAILABLE;
      problem.title = "Runners are full";
      problem.detail = "The request would wait for longer than its deadline allows; try again "
                       "after the time in Retry-After.";
      break;
    }
  return gg_caller_reply_problem (request->connection, &request->id, &problem);
}

enum MHD_Result
gg_caller_request_reply_forbidden (GgCallerRequest *request, const char *service)
{
  char *detail = g_strdup_printf ("Team '%s' may not call service '%s'; the team's declaration "
                                  "lists the services that it may call.",
                                  request->team->name, service);
  GgProblem problem = { .status = MHD_HTTP_FORBIDDEN,
                        .title = "Service not allowed",
                        .detail = detail,
                        .outcome = GG_OUTCOME_NOT_RUN };
  enum MHD_Result result = gg_caller_reply_problem (request->connection, &request->id, &problem);
  g_free (detail);
  return result;
}

enum MHD_Result
gg_caller_request_reply_no_runner (GgCallerRequest *request, const char *service)
{
  gg_counter_add (&refused_no_runner, 1);
  char *detail = g_strdup_printf ("No live runners cover service '%s' at the moment.", service);
  GgProblem problem = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
                        .title = "No runner",
                        .detail = detail,
                        .outcome = GG_OUTCOME_NOT_RUN,
                        .retry_after_ms = NO_RUNNER_RETRY_MS };
  enum MHD_Result result = gg_caller_reply_problem (request->connection, &request->id, &problem);
  g_free (detail);
  return result;
}
