/** @file
 * Replies to callers: problem details, bodies and common headers. */
#pragma once

#include "greengage/id.h"
#include "greengage/outcome.h"

#include <glib.h>
#include <microhttpd.h>
#include <stdint.h>

/** Problem details (RFC 9457). */
typedef struct
{
  uint32_t status;
  const char *title;
  const char *detail; /**< What is wrong and how to correct it. */
  const char *field;  /**< Name of the invalid field; NULL if none. */
  GgOutcome outcome;
  uint64_t retry_after_ms; /**< 0 for no Retry-After. */
} GgProblem;

/** Queues a reply with problem details.
 * @param request_id may be NULL. */
enum MHD_Result gg_caller_reply_problem (struct MHD_Connection *connection,
                                         const GgId *request_id,
                                         const GgProblem *problem);

/** Queues a reply with a body, which is copied, and the header for its outcome. */
enum MHD_Result gg_caller_reply_body (struct MHD_Connection *connection,
                                      const GgId *request_id,
                                      uint32_t status,
                                      const char *content_type,
                                      const char *body,
                                      size_t size_bytes,
                                      GgOutcome outcome);

/** Adds the headers common to all replies, queues @p response and releases it. */
enum MHD_Result gg_caller_reply_queue (struct MHD_Connection *connection,
                                       const GgId *request_id,
                                       uint32_t status,
                                       struct MHD_Response *response);

/** Sets whether each reply has the header "Connection: close". */
void gg_caller_reply_set_closing (gboolean closing);
