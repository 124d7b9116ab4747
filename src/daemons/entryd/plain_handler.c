/* Handler of /services/NAME/PATH, for all methods. */
#include "base/clock.h"
#include "core/mutation.h"
#include "daemons/entryd/caller_reply.h"
#include "daemons/entryd/caller_request.h"
#include "daemons/entryd/keyed_call.h"
#include "daemons/entryd/plain_call.h"

#include <string.h>

#define MAX_IDEMPOTENCY_KEY_LENGTH 256
#define RETRY_AFTER_MS 1000

static enum MHD_Result
reply_problem (GgCallerRequest *request,
               uint32_t status,
               const char *title,
               const char *detail,
               const char *field,
               GgOutcome outcome)
{
  GgProblem problem
      = { .status = status,
          .title = title,
          .detail = detail,
          .field = field,
          .outcome = outcome,
          .retry_after_ms = status == MHD_HTTP_SERVICE_UNAVAILABLE ? RETRY_AFTER_MS : 0 };
  return gg_caller_reply_problem (request->connection, &request->id, &problem);
}

static enum MHD_Result
reply_not_run (GgCallerRequest *request)
{
  return reply_problem (request, MHD_HTTP_SERVICE_UNAVAILABLE, "Not run",
                        "The call did not run and will not run; it may be sent again.", NULL,
                        GG_OUTCOME_NOT_RUN);
}

static enum MHD_Result
reply_unknown (GgCallerRequest *request)
{
  return reply_problem (
      request, MHD_HTTP_GATEWAY_TIMEOUT, "Outcome unknown",
      "The call was sent and may have run; it is not sent again. Ask the service's "
      "operators before you book anew.",
      NULL, GG_OUTCOME_UNKNOWN);
}

static enum MHD_Result
reply_unkeyed (GgCallerRequest *request, GgServiceResult result, const GgServiceReply *reply)
{
  switch (result)
    {
    case GG_SERVICE_OK:
      return gg_caller_reply_body (request->connection, &request->id, reply->status,
                                   reply->content_type, reply->body, reply->body_size_bytes,
                                   GG_OUTCOME_COMPLETE);
    case GG_SERVICE_REFUSED:
    case GG_SERVICE_NOT_SENT:
      return reply_not_run (request);
    case GG_SERVICE_IN_DOUBT:
      return GG_IS_MUTATED ("plain-doubtful-not-run") ? reply_not_run (request)
                                                      : reply_unknown (request);
    }
  g_assert_not_reached ();
}

static enum MHD_Result
reply_keyed (GgCallerRequest *request, const GgKeyedReply *reply)
{
  switch (reply->type)
    {
    case GG_LEDGER_REPLY_RECORDED:
      {
        const char *body = reply->body != NULL ? reply->body : "";
        return gg_caller_reply_body (request->connection, &request->id, reply->status,
                                     reply->content_type, body, strlen (body), GG_OUTCOME_COMPLETE);
      }
    case GG_LEDGER_REPLY_NOT_RUN:
      return reply_not_run (request);
    case GG_LEDGER_REPLY_UNKNOWN:
      return reply_unknown (request);
    case GG_LEDGER_REPLY_MISMATCH:
      return reply_problem (
          request, MHD_HTTP_UNPROCESSABLE_CONTENT, "Idempotency-Key was used before",
          "The key belongs to a call with another method, path or body; use a new "
          "key for a new call.",
          "Idempotency-Key", GG_OUTCOME_NOT_RUN);
    case GG_LEDGER_REPLY_IN_PROGRESS:
      return reply_problem (request, MHD_HTTP_CONFLICT, "Call in progress",
                            "A call with this key is still in progress; ask again later with the "
                            "same key.",
                            "Idempotency-Key", GG_OUTCOME_UNKNOWN);
    }
  g_assert_not_reached ();
}

static char *
make_fingerprint (const GgServiceCall *call)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *) call->method, (gssize) strlen (call->method) + 1);
  g_checksum_update (sum, (const guchar *) call->path, (gssize) strlen (call->path) + 1);
  g_checksum_update (sum, (const guchar *) call->body, (gssize) call->body_size_bytes);
  char *text = g_strdup (g_checksum_get_string (sum));
  g_checksum_free (sum);
  return text;
}

static enum MHD_Result
run_call (GgCallerRequest *request, GgPlainCall *call)
{
  const char *key = gg_caller_request_get_header (request, "Idempotency-Key");
  if (key != NULL && (*key == '\0' || strlen (key) > MAX_IDEMPOTENCY_KEY_LENGTH))
    return reply_problem (request, MHD_HTTP_BAD_REQUEST, "Wrong Idempotency-Key",
                          "Expected a text of 1 to 256 characters.", "Idempotency-Key",
                          GG_OUTCOME_NOT_RUN);
  enum MHD_Result result;
  if (key == NULL || call->call.idempotent)
    {
      GgServiceReply reply = { 0 };
      GgServiceResult sent = gg_plain_call_send (call, &reply);
      result = reply_unkeyed (request, sent, &reply);
      gg_service_reply_clear (&reply);
      return result;
    }
  GgKeyedReply reply;
  char *fingerprint = make_fingerprint (&call->call);
  gg_keyed_call_run (call, request->team->name, key, fingerprint, &reply);
  result = reply_keyed (request, &reply);
  gg_keyed_reply_clear (&reply);
  g_free (fingerprint);
  return result;
}

static enum MHD_Result
admit_and_run (GgCallerRequest *request, GgPlainCall *call)
{
  const char *name = call->service->name;
  GgRouteQuery query = { .service = name,
                         .tokens = 1,
                         .policy = request->entry->policy,
                         .now_ms = gg_clock_now_ms (),
                         .random = gg_entry_random () };
  GgRoutePlan plan;
  if (!gg_snapshot_client_choose (request->entry->snapshots, &query, &plan))
    return gg_caller_request_reply_no_runner (request, name);
  uint64_t retry_after_ms = 0;
  GgAdmissionResult admitted = gg_caller_request_admit (request, &plan, 1, &retry_after_ms);
  gg_route_plan_clear (&plan);
  if (admitted != GG_ADMISSION_ADMITTED)
    return gg_caller_request_refuse (request, admitted, retry_after_ms);
  enum MHD_Result result = run_call (request, call);
  return result;
}

static enum MHD_Result
serve (GgCallerRequest *request, const char *name, const char *path)
{
  const GgService *service = gg_config_find_service (request->config, name);
  if (service == NULL || service->kind != GG_SERVICE_PLAIN)
    {
      char *detail = g_strdup_printf ("No plain service '%s' is declared.", name);
      enum MHD_Result result = reply_problem (request, MHD_HTTP_NOT_FOUND, "Unknown service",
                                              detail, "service", GG_OUTCOME_NOT_RUN);
      g_free (detail);
      return result;
    }
  if (!gg_team_may_call (request->team, name))
    return gg_caller_request_reply_forbidden (request, name);

  char *bare_path = g_strndup (path, strcspn (path, "?"));
  GgPlainCall call
      = { .entry = request->entry,
          .service = service,
          .deadline_ms
          = gg_clock_now_ms () + MIN (service->timeout_ms, request->entry->request_deadline_ms),
          .call
          = { .request = request->id,
              .method = request->method,
              .path = path,
              .content_type = gg_caller_request_get_header (request, "Content-Type"),
              .traceparent = gg_caller_request_get_traceparent (request),
              .body = (const char *) request->body->data,
              .body_size_bytes = request->body->len,
              .idempotent = gg_service_call_is_idempotent (service, request->method, bare_path) } };
  gg_id_generate (&call.call.attempt);
  enum MHD_Result result = admit_and_run (request, &call);
  g_free (bare_path);
  return result;
}

enum MHD_Result
gg_plain_call_handle (GgCallerRequest *request, const char *rest)
{
  const char *slash = strchr (rest, '/');
  char *name = slash != NULL ? g_strndup (rest, (gsize) (slash - rest))
                             : g_strndup (rest, strcspn (rest, "?"));
  enum MHD_Result result = serve (request, name, slash != NULL ? slash : "/");
  g_free (name);
  return result;
}
