/** @file
 * State machine of one answer over a sequence of layer ranges.
 *
 * Invariants: position p enters stage s only after position p left stage s - 1 and position
 * p - 1 was confirmed by stage s, in one lineage (attempt id). A lineage with an ambiguous step
 * is never stepped again. Tokens are emitted once, in order. */
#pragma once

#include "greengage/id.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgPipeline GgPipeline;

/** Recoveries (replacements and restarts) of one answer before it fails. An answer that needs
 * more fails for a reason that other runners don't cure; 16 is two for each of eight stages. */
#define GG_PIPELINE_MAX_RECOVERIES 16

typedef struct
{
  uint32_t n_stages;
  uint32_t max_tokens;
  size_t retained_limit_bytes; /**< Bound of retained stage inputs; above it, restart. */
  const char *prompt;
} GgPipelineParams;

GgPipeline *gg_pipeline_create (const GgPipelineParams *params);
void gg_pipeline_destroy (GgPipeline *self);

typedef enum
{
  GG_PIPELINE_EVENT_START,     /**< Runners for all stages are known; attempt ids are given. */
  GG_PIPELINE_EVENT_REPLY,     /**< A step was answered. */
  GG_PIPELINE_EVENT_FAILED,    /**< A step failed or is in doubt; its lineage is abandoned. A
                                  stage that is not being stepped is replaced at its next turn. */
  GG_PIPELINE_EVENT_REPLACED,  /**< A replacement runner exists for the failed stage. */
  GG_PIPELINE_EVENT_NO_RUNNER, /**< None exists for its range. */
  GG_PIPELINE_EVENT_CANCEL,    /**< The caller has gone or the deadline passed. */
} GgPipelineEventType;

typedef struct
{
  GgPipelineEventType type;
  union
  {
    struct
    {
      const GgId *attempts; /**< One per stage, none used before. */
      uint32_t n_stages;    /**< A restart may have another number of stages. */
    } start;
    struct
    {
      GgId attempt; /**< As echoed by the runner. */
      uint32_t epoch;
      uint32_t position; /**< Of the first output. */
      const char *const *outputs;
      uint32_t n_outputs;
      gboolean end; /**< The model ended the answer with the last output. */
    } reply;
    struct
    {
      uint32_t stage;
      uint32_t epoch;
    } failed;
    struct
    {
      uint32_t stage;
      GgId attempt;
    } replaced;
  };
} GgPipelineEvent;

typedef enum
{
  GG_PIPELINE_EFFECT_NONE,    /**< Nothing to do (an event that did not match was ignored). If the
                                 outstanding step will have no other reply, send FAILED. */
  GG_PIPELINE_EFFECT_STEP,    /**< Call a stage. */
  GG_PIPELINE_EFFECT_EMIT,    /**< Append a token, then call gg_pipeline_next(). */
  GG_PIPELINE_EFFECT_REPLACE, /**< Cancel the lineage, choose a replacement for the stage. */
  GG_PIPELINE_EFFECT_RESTART, /**< Cancel all lineages, choose a new plan, then START again. */
  GG_PIPELINE_EFFECT_FINISH,  /**< The answer is whole. */
  GG_PIPELINE_EFFECT_FAIL,    /**< The answer can't be completed. */
} GgPipelineEffectType;

typedef struct
{
  GgPipelineEffectType type;
  union
  {
    struct
    {
      uint32_t stage;
      GgId attempt;
      uint32_t epoch;
      uint32_t position;         /**< Of the first input. */
      const char *const *inputs; /**< Valid until the next event. */
      uint32_t n_inputs;
      gboolean is_replay; /**< More than the newest position is sent to rebuild a lineage. */
    } step;
    struct
    {
      uint32_t number; /**< From 1. */
      const char *token;
    } emit;
    struct
    {
      uint32_t stage;
      GgId attempt; /**< Lineage to cancel. */
    } replace;
  };
} GgPipelineEffect;

/** Applies one event. After GG_PIPELINE_EFFECT_EMIT the caller asks gg_pipeline_next(). A reply
 * whose ids match but which has another number of outputs than inputs counts as FAILED. CANCEL
 * gives GG_PIPELINE_EFFECT_FAIL; events after the end give GG_PIPELINE_EFFECT_NONE. */
void gg_pipeline_apply (GgPipeline *self,
                        const GgPipelineEvent *event,
                        uint64_t now_ms,
                        GgPipelineEffect *effect_out);

/** Returns the next effect after an emitted token. */
void gg_pipeline_next (GgPipeline *self, GgPipelineEffect *effect_out);

/** Number of tokens emitted. */
uint32_t gg_pipeline_get_emitted (const GgPipeline *self);

/** Number of stage replacements and of restarts so far. */
uint32_t gg_pipeline_get_recoveries (const GgPipeline *self);

/** Bytes of stage inputs that are retained: the prompt and the tokens, and the inputs of later
 * stages. Above the limit the latter are only those that their stage has not confirmed. */
size_t gg_pipeline_get_retained_bytes (const GgPipeline *self);
