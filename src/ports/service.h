/** @file
 * Port to plain services. Thread-safe. */
#pragma once

#include "greengage/id.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgHttpPool GgHttpPool;
typedef struct _GgServiceClient GgServiceClient;

typedef enum
{
  GG_SERVICE_OK,
  GG_SERVICE_REFUSED,  /**< 503 with Greengage-Refused: refused before it was accepted. */
  GG_SERVICE_NOT_SENT, /**< No byte was sent. */
  GG_SERVICE_IN_DOUBT, /**< It may have run. */
} GgServiceResult;

typedef struct
{
  GgId request;
  GgId attempt;
  const char *method;
  const char *path; /**< Includes the query; relative to the service's root. */
  const char *content_type;
  const char *traceparent; /**< Trace context of the caller; NULL for none. */
  const char *body;
  size_t body_size_bytes;
  gboolean idempotent; /**< FALSE: sent once, on a fresh connection. */
} GgServiceCall;

typedef struct
{
  uint32_t status;
  char *content_type;
  char *body;
  size_t body_size_bytes;
  gboolean leaving; /**< A refusal because the runner is leaving. */
  gboolean connection_was_fresh;
} GgServiceReply;

void gg_service_reply_clear (GgServiceReply *self);

GgServiceClient *gg_service_client_create (GgHttpPool *pool);
void gg_service_client_destroy (GgServiceClient *self);

/** Calls a service at @p address; returns by @p deadline_ms. A reply whose ids differ from those of
 * the call gives GG_SERVICE_IN_DOUBT, is counted, and its connection is closed.
 * @param deadline_ms monotonic.
 * @param reply_out cleared by the caller with gg_service_reply_clear(), whatever the result. */
GgServiceResult gg_service_client_call (GgServiceClient *self,
                                        const char *address,
                                        const GgServiceCall *call,
                                        uint64_t deadline_ms,
                                        GgServiceReply *reply_out);
