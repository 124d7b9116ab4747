/** @file
 * State machine that generates one answer over a sequence of layer ranges (stages).
 *
 * A lineage is the state (KV cache) of one stage at one runner, identified by an attempt id.
 * Invariants: position p enters stage s only after stage s - 1 has output position p and stage s
 * has confirmed position p - 1 in the same lineage. A lineage with a step of unknown outcome is
 * never stepped again. Tokens are emitted once, in order. */
#pragma once

#include "greengage/id.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgPipeline GgPipeline;

/** Recoveries (replacements and restarts) of one answer before it fails: two for each of eight
 * stages. An answer that needs more has a cause that other runners do not remove. */
#define GG_PIPELINE_MAX_RECOVERIES 16

typedef struct
{
  uint32_t n_stages;
  uint32_t max_tokens;
  size_t retained_limit_bytes; /**< Limit of retained inputs; above it a failure restarts
                                    the answer. */
  const char *prompt;
} GgPipelineParams;

GgPipeline *gg_pipeline_create (const GgPipelineParams *params);
void gg_pipeline_destroy (GgPipeline *self);

typedef enum
{
  GG_PIPELINE_EVENT_START,     /**< Runners for all stages were chosen. */
  GG_PIPELINE_EVENT_REPLY,     /**< A step was answered. */
  GG_PIPELINE_EVENT_FAILED,    /**< A step failed or its outcome is unknown; the lineage is
                                  abandoned. A stage without an outstanding step is replaced
                                  before its next step. */
  GG_PIPELINE_EVENT_REPLACED,  /**< A replacement runner was chosen for the failed stage. */
  GG_PIPELINE_EVENT_NO_RUNNER, /**< No runner is available for a range. */
  GG_PIPELINE_EVENT_CANCEL,    /**< The caller disconnected or the deadline passed. */
} GgPipelineEventType;

typedef struct
{
  GgPipelineEventType type;
  union
  {
    struct
    {
      const GgId *attempts; /**< One unused id per stage. */
      uint32_t n_stages;    /**< A restart may have another number of stages. */
    } start;
    struct
    {
      GgId attempt; /**< As echoed by the runner. */
      uint32_t epoch;
      uint32_t position; /**< Of the first output. */
      const char *const *outputs;
      uint32_t n_outputs;
      gboolean end; /**< The last output ends the answer. */
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
  GG_PIPELINE_EFFECT_NONE,    /**< Nothing to do; an event that did not match was ignored. Send
                                 FAILED if the outstanding step gets no other reply. */
  GG_PIPELINE_EFFECT_STEP,    /**< Send a step to a stage. */
  GG_PIPELINE_EFFECT_EMIT,    /**< Append the token to the answer, then call gg_pipeline_next(). */
  GG_PIPELINE_EFFECT_REPLACE, /**< Cancel the lineage, choose a replacement for the stage. */
  GG_PIPELINE_EFFECT_RESTART, /**< Cancel all lineages, choose a new plan, then START again. */
  GG_PIPELINE_EFFECT_FINISH,  /**< The answer is complete. */
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
      gboolean is_replay; /**< Earlier positions are sent again to rebuild a lineage. */
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

/** Applies one event. After GG_PIPELINE_EFFECT_EMIT the caller calls gg_pipeline_next(). A reply
 * with matching ids whose number of outputs differs from that of the inputs counts as FAILED.
 * CANCEL results in GG_PIPELINE_EFFECT_FAIL, an event after the end in GG_PIPELINE_EFFECT_NONE. */
void gg_pipeline_apply (GgPipeline *self,
                        const GgPipelineEvent *event,
                        uint64_t now_ms,
                        GgPipelineEffect *effect_out);

/** Returns the next effect after an emitted token. */
void gg_pipeline_next (GgPipeline *self, GgPipelineEffect *effect_out);

/** Returns the number of tokens emitted. */
uint32_t gg_pipeline_get_emitted (const GgPipeline *self);

/** Returns the number of stage replacements and restarts so far. */
uint32_t gg_pipeline_get_recoveries (const GgPipeline *self);

/** Returns the size of the retained stage inputs: the prompt, the tokens, and the inputs of later
 * stages. Once the limit was exceeded, the latter are only those that their stage has not
 * confirmed. */
size_t gg_pipeline_get_retained_bytes (const GgPipeline *self);
