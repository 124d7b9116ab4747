/** @file
 * State of one request of a caller, and its handlers. */
#pragma once

#include "core/config.h"
#include "daemons/entryd/entry_context.h"
#include "greengage/id.h"

#include <glib.h>
#include <microhttpd.h>

typedef struct
{
  GgEntry *entry;
  struct MHD_Connection *connection;
  GgId id;
  char *uri; /**< Path and query as received. */
  const char *method;
  GByteArray *body; /**< NUL-terminated when the handler runs; len excludes the terminator. */
  size_t body_limit_bytes;
  gboolean body_too_large;
  GgConfig *config; /**< In force when the request was received, and used for all of it. */
  const GgTeam *team;
  uint64_t started_at_ms; /**< Monotonic. */
} GgCallerRequest;

/** Returns the value of a request header, or NULL. */
const char *gg_caller_request_get_header (const GgCallerRequest *self, const char *name);

/** Returns the caller's trace context, or NULL if it is missing or of the wrong length. */
const char *gg_caller_request_get_traceparent (const GgCallerRequest *self);

/** Request handlers. Each queues exactly one reply. */
enum MHD_Result gg_completion_handle (GgCallerRequest *request, gboolean is_chat);
enum MHD_Result gg_stream_resume_handle (GgCallerRequest *request, const char *stream_id);
enum MHD_Result gg_plain_call_handle (GgCallerRequest *request, const char *rest);

/** Queues the reply to a request that was not admitted. */
enum MHD_Result gg_caller_request_refuse (GgCallerRequest *request,
                                          GgAdmissionResult result,
                                          uint64_t retry_after_ms);

/** Queues the reply for a service that the team is not allowed to call, or that has no runners. */
enum MHD_Result gg_caller_request_reply_forbidden (GgCallerRequest *request, const char *service);
enum MHD_Result gg_caller_request_reply_no_runner (GgCallerRequest *request, const char *service);

/** Decides whether to admit a request for @p tokens, given the times predicted by @p plan. */
GgAdmissionResult gg_caller_request_admit (GgCallerRequest *request,
                                           const GgRoutePlan *plan,
                                           uint32_t tokens,
                                           uint64_t *retry_after_ms_out);
