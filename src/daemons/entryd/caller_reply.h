/** @file
 * Replies to callers: problem details, JSON, outcome headers. */
#pragma once

#include "greengage/id.h"
#include "greengage/outcome.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

/** One problem (RFC 9457). */
typedef struct
{
  uint32_t status;
  const char *title;
  const char *detail; /**< What is wrong and what to do. */
  const char *field;  /**< Field at fault; NULL if none. */
  GgOutcome outcome;
  uint64_t retry_after_ms; /**< 0 for no Retry-After. */
} GgProblem;

/** Queues a problem.
 * @param request_id may be NULL. */
enum MHD_Result gg_caller_reply_problem (struct MHD_Connection *connection,
                                         const GgId *request_id,
                                         const GgProblem *problem);

/** Queues a body with its outcome; @p body is copied. */
enum MHD_Result gg_caller_reply_body (struct MHD_Connection *connection,
                                      const GgId *request_id,
                                      uint32_t status,
                                      const char *content_type,
                                      const char *body,
                                      size_t size_bytes,
                                      GgOutcome outcome);

/** Queues @p response, which is released, with the headers common to all replies. */
enum MHD_Result gg_caller_reply_queue (struct MHD_Connection *connection,
                                       const GgId *request_id,
                                       uint32_t status,
                                       struct MHD_Response *response);

/** While TRUE each reply carries "Connection: close". */
void gg_caller_reply_set_closing (gboolean closing);
