/** @file
 * Port to model engines that hold a layer range, as a stage of a pipeline. Thread-safe. A lineage
 * is the state (KV cache) that an engine keeps for one attempt. */
#pragma once

#include "greengage/id.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgStageClient GgStageClient;

typedef enum
{
  GG_STAGE_OK,
  GG_STAGE_REFUSED,  /**< Refused before it was accepted; see refusal. */
  GG_STAGE_NOT_SENT, /**< No connection; no byte was sent. */
  GG_STAGE_IN_DOUBT, /**< Timeout, reset, wrong ids, malformed reply, 410 (an engine may cancel a
                          step that it had accepted), or a refusal after the HTTP library (neon)
                          repeated the call. */
} GgStageResult;

typedef enum
{
  GG_STAGE_REFUSAL_NONE,
  GG_STAGE_REFUSAL_LEAVING,
  GG_STAGE_REFUSAL_BUSY,
  GG_STAGE_REFUSAL_LOADING,
  GG_STAGE_REFUSAL_LINEAGE, /**< Position or epoch differs from the engine's. */
  GG_STAGE_REFUSAL_VERSION,
} GgStageRefusal;

typedef struct
{
  GgId request;
  GgId attempt;
  uint32_t epoch;
  const char *model;
  const char *version;
  uint32_t first_layer;
  uint32_t end_layer;
  uint32_t position;
  const char *const *inputs;
  uint32_t n_inputs;
  const char *traceparent;      /**< Trace context of the caller; NULL for none. */
  gboolean on_fresh_connection; /**< Open a new connection; an idle one may be broken. */
} GgStageStep;

typedef struct
{
  GgStageRefusal refusal;
  GPtrArray *outputs; /**< char *, one per input; free function set. */
  gboolean end;
  gboolean connection_was_fresh; /**< A new connection was used; see runner_health. */
} GgStageReply;

void gg_stage_reply_clear (GgStageReply *self);

typedef struct _GgHttpPool GgHttpPool;

/** @param pool connections, not owned. */
GgStageClient *gg_stage_client_create (GgHttpPool *pool);
void gg_stage_client_destroy (GgStageClient *self);

/** Runs one step of a lineage at @p address; returns by @p deadline_ms. A reply whose ids differ
 * from those of the step gives GG_STAGE_IN_DOUBT, is counted, and its connection is closed.
 * @param deadline_ms monotonic.
 * @param reply_out cleared by the caller with gg_stage_reply_clear(), whatever the result. */
GgStageResult gg_stage_client_step (GgStageClient *self,
                                    const char *address,
                                    const GgStageStep *step,
                                    uint64_t deadline_ms,
                                    GgStageReply *reply_out);

/** Cancels a lineage without waiting for the reply. */
void gg_stage_client_cancel (GgStageClient *self, const char *address, const GgId *attempt);

/** Exports the KV cache of a lineage as text, owned by the caller. */
GgStageResult gg_stage_client_export (GgStageClient *self,
                                      const char *address,
                                      const GgId *attempt,
                                      uint64_t deadline_ms,
                                      char **kv_out);

/** Imports an exported KV cache as a new lineage. */
GgStageResult gg_stage_client_import (GgStageClient *self,
                                      const char *address,
                                      const GgId *attempt,
                                      uint32_t epoch,
                                      const char *kv,
                                      uint64_t deadline_ms);
