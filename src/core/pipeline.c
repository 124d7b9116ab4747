#include "core/pipeline.h"

#include "core/mutation.h"

#include <string.h>

typedef enum
{
  PHASE_WAIT_START,       /**< Before START, at first and after RESTART. */
  PHASE_WAIT_REPLY,       /**< A step of `stage` is outstanding. */
  PHASE_WAIT_NEXT,        /**< A token was emitted. */
  PHASE_WAIT_REPLACEMENT, /**< The lineage of `stage` is abandoned. */
  PHASE_ENDED,
} Phase;

/** One stage and its current lineage. */
typedef struct
{
  GgId attempt;
  uint32_t epoch;
  uint32_t confirmed; /**< Number of positions that the lineage has run. */
  gboolean is_abandoned;
  GPtrArray *inputs;   /**< Retained inputs; stage 0 uses `tokens` of the pipeline instead. */
  uint32_t n_released; /**< Positions before the first retained input. */
} Stage;

struct _GgPipeline
{
  Phase phase;
  uint32_t max_tokens;
  size_t retained_limit_bytes;
  size_t retained_bytes;
  gboolean is_over_limit; /**< Inputs were released since the last START. */
  GArray *stages;
  GPtrArray *tokens; /**< The prompt, then all tokens: the inputs of stage 0. */
  uint32_t stage;    /**< Current stage. */
  uint32_t last_epoch;
  uint32_t recoveries;
  gboolean has_model_ended;
};

static void
clear_stage (gpointer data)
{
  Stage *st = data;
  g_ptr_array_unref (st->inputs);
}

GgPipeline *
gg_pipeline_create (const GgPipelineParams *params)
{
  GgPipeline *self = g_new0 (GgPipeline, 1);
  self->max_tokens = params->max_tokens;
  self->retained_limit_bytes = params->retained_limit_bytes;
  self->stages = g_array_sized_new (FALSE, TRUE, sizeof (Stage), params->n_stages);
  g_array_set_clear_func (self->stages, clear_stage);
  self->tokens = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (self->tokens, g_strdup (params->prompt));
  return self;
}

void
gg_pipeline_destroy (GgPipeline *self)
{
  if (self == NULL)
    return;
  g_array_unref (self->stages);
  g_ptr_array_unref (self->tokens);
  g_free (self);
}

static Stage *
get_stage (GgPipeline *self, uint32_t index)
{
  return &g_array_index (self->stages, Stage, index);
}

/** Returns the newest position, which is the number of tokens so far: token p is the input at
 * position p. */
static uint32_t
get_position (const GgPipeline *self)
{
  return self->tokens->len - 1;
}

static void
release_confirmed (GgPipeline *self, Stage *st)
{
  uint32_t n = MIN (st->confirmed - st->n_released, st->inputs->len);
  for (uint32_t i = 0; i < n; i++)
    self->retained_bytes -= strlen (g_ptr_array_index (st->inputs, i));
  if (n > 0)
    g_ptr_array_remove_range (st->inputs, 0, n);
  st->n_released += n;
}

/** Above the limit, inputs are retained only until their stage has confirmed them. */
static void
enforce_limit (GgPipeline *self)
{
  if (self->retained_bytes > self->retained_limit_bytes
      && !GG_IS_MUTATED ("pipeline-unbounded-retention"))
    self->is_over_limit = TRUE;
  if (!self->is_over_limit)
    return;
  for (uint32_t i = 1; i < self->stages->len; i++)
    release_confirmed (self, get_stage (self, i));
}

static void
retain_input (GgPipeline *self, Stage *st, const char *input)
{
  g_ptr_array_add (st->inputs, g_strdup (input));
  self->retained_bytes += strlen (input);
}

static void
end (GgPipeline *self, GgPipelineEffectType type, GgPipelineEffect *effect_out)
{
  self->phase = PHASE_ENDED;
  effect_out->type = type;
}

static void
restart (GgPipeline *self, GgPipelineEffect *effect_out)
{
  if (self->recoveries >= GG_PIPELINE_MAX_RECOVERIES)
    {
      end (self, GG_PIPELINE_EFFECT_FAIL, effect_out);
      return;
    }
  self->recoveries++;
  self->phase = PHASE_WAIT_START;
  effect_out->type = GG_PIPELINE_EFFECT_RESTART;
}

/** Replaces the abandoned lineage of the current stage, or restarts the answer. */
static void
recover (GgPipeline *self, GgPipelineEffect *effect_out)
{
  const Stage *st = get_stage (self, self->stage);
  if (self->is_over_limit || self->recoveries >= GG_PIPELINE_MAX_RECOVERIES)
    {
      restart (self, effect_out);
      return;
    }
  self->recoveries++;
  self->phase = PHASE_WAIT_REPLACEMENT;
  effect_out->type = GG_PIPELINE_EFFECT_REPLACE;
  effect_out->replace.stage = self->stage;
  effect_out->replace.attempt = st->attempt;
}

/** Returns the inputs of the current stage from the first position that its lineage has not run. */
static const char *const *
get_pending_inputs (GgPipeline *self)
{
  const Stage *st = get_stage (self, self->stage);
  const GPtrArray *inputs = self->stage == 0 ? self->tokens : st->inputs;
  return (const char *const *) inputs->pdata + (st->confirmed - st->n_released);
}

static void
step (GgPipeline *self, GgPipelineEffect *effect_out)
{
  const Stage *st = get_stage (self, self->stage);
  if (st->is_abandoned)
    {
      recover (self, effect_out);
      return;
    }
  self->phase = PHASE_WAIT_REPLY;
  effect_out->type = GG_PIPELINE_EFFECT_STEP;
  effect_out->step.stage = self->stage;
  effect_out->step.attempt = st->attempt;
  effect_out->step.epoch = st->epoch;
  effect_out->step.position = st->confirmed;
  effect_out->step.inputs = get_pending_inputs (self);
  effect_out->step.n_inputs = get_position (self) + 1 - st->confirmed;
  effect_out->step.is_replay = effect_out->step.n_inputs > 1;
}

static void
add_stage (GgPipeline *self, const GgId *attempt)
{
  Stage st = { .attempt = *attempt, .epoch = self->last_epoch };
  st.inputs = g_ptr_array_new_with_free_func (g_free);
  g_array_append_val (self->stages, st);
}

static void
reset_retained (GgPipeline *self)
{
  self->retained_bytes = 0;
  for (uint32_t i = 0; i < self->tokens->len; i++)
    self->retained_bytes += strlen (g_ptr_array_index (self->tokens, i));
  self->is_over_limit = FALSE;
  enforce_limit (self);
}

static void
apply_start (GgPipeline *self, const GgPipelineEvent *event, GgPipelineEffect *effect_out)
{
  if (self->phase != PHASE_WAIT_START)
    return;
  if (event->start.n_stages == 0)
    {
      end (self, GG_PIPELINE_EFFECT_FAIL, effect_out);
      return;
    }
  if (self->max_tokens == 0)
    {
      end (self, GG_PIPELINE_EFFECT_FINISH, effect_out);
      return;
    }
  g_array_set_size (self->stages, 0);
  self->last_epoch++;
  for (uint32_t i = 0; i < event->start.n_stages; i++)
    add_stage (self, &event->start.attempts[i]);
  reset_retained (self);
  self->stage = 0;
  step (self, effect_out);
}

static gboolean
is_awaited_reply (GgPipeline *self, const GgPipelineEvent *event)
{
  if (self->phase != PHASE_WAIT_REPLY)
    return FALSE;
  const Stage *st = get_stage (self, self->stage);
  gboolean is_attempt = gg_id_equal (&event->reply.attempt, &st->attempt)
                        || GG_IS_MUTATED ("pipeline-accept-any-attempt");
  gboolean is_epoch
      = event->reply.epoch == st->epoch || GG_IS_MUTATED ("pipeline-accept-any-epoch");
  gboolean is_position
      = event->reply.position == st->confirmed || GG_IS_MUTATED ("pipeline-accept-any-position");
  return is_attempt && is_epoch && is_position;
}

/** Passes those outputs to the next stage that it does not have yet. Outputs of replayed positions
 * are skipped, since the next stage has run the outputs of the earlier lineage. */
static void
forward_outputs (GgPipeline *self,
                 const GgPipelineEvent *event,
                 uint32_t first,
                 GgPipelineEffect *effect)
{
  self->stage++;
  Stage *next = get_stage (self, self->stage);
  uint32_t n_received = next->n_released + next->inputs->len;
  for (uint32_t i = n_received - first; i < event->reply.n_outputs; i++)
    retain_input (self, next, event->reply.outputs[i]);
  enforce_limit (self);
  step (self, effect);
}

/** The newest output of the last stage is the next token. */
static void
emit (GgPipeline *self, const GgPipelineEvent *event, GgPipelineEffect *effect_out)
{
  uint32_t newest = GG_IS_MUTATED ("pipeline-use-replayed-output") ? 0 : event->reply.n_outputs - 1;
  g_ptr_array_add (self->tokens, g_strdup (event->reply.outputs[newest]));
  self->retained_bytes += strlen (event->reply.outputs[newest]);
  enforce_limit (self);
  self->has_model_ended = event->reply.end;
  self->phase = PHASE_WAIT_NEXT;
  effect_out->type = GG_PIPELINE_EFFECT_EMIT;
  effect_out->emit.number = get_position (self);
  effect_out->emit.token = g_ptr_array_index (self->tokens, get_position (self));
}

static void
apply_reply (GgPipeline *self, const GgPipelineEvent *event, GgPipelineEffect *effect_out)
{
  if (!is_awaited_reply (self, event))
    return;
  Stage *st = get_stage (self, self->stage);
  uint32_t first = st->confirmed;
  if (event->reply.n_outputs != get_position (self) + 1 - first)
    {
      st->is_abandoned = TRUE;
      recover (self, effect_out);
      return;
    }
  st->confirmed += event->reply.n_outputs;
  if (self->stage + 1 < self->stages->len)
    forward_outputs (self, event, first, effect_out);
  else
    emit (self, event, effect_out);
}

static void
apply_failed (GgPipeline *self, const GgPipelineEvent *event, GgPipelineEffect *effect_out)
{
  if (self->phase == PHASE_WAIT_START || event->failed.stage >= self->stages->len)
    return;
  Stage *st = get_stage (self, event->failed.stage);
  if (st->is_abandoned)
    return;
  if (event->failed.epoch != st->epoch && !GG_IS_MUTATED ("pipeline-accept-any-epoch"))
    return;
  st->is_abandoned = TRUE;
  if (self->phase == PHASE_WAIT_REPLY && event->failed.stage == self->stage)
    recover (self, effect_out);
}

static void
apply_replaced (GgPipeline *self, const GgPipelineEvent *event, GgPipelineEffect *effect_out)
{
  if (self->phase != PHASE_WAIT_REPLACEMENT || event->replaced.stage != self->stage)
    return;
  Stage *st = get_stage (self, self->stage);
  g_assert (!gg_id_equal (&event->replaced.attempt, &st->attempt));
  st->is_abandoned = FALSE;
  if (!GG_IS_MUTATED ("pipeline-reuse-lineage"))
    {
      st->attempt = event->replaced.attempt;
      if (!GG_IS_MUTATED ("pipeline-keep-epoch"))
        st->epoch = ++self->last_epoch;
      if (!GG_IS_MUTATED ("pipeline-skip-replay"))
        st->confirmed = 0;
    }
  step (self, effect_out);
}

static void
apply_no_runner (GgPipeline *self, GgPipelineEffect *effect_out)
{
  if (self->phase == PHASE_WAIT_REPLACEMENT)
    restart (self, effect_out);
  else if (self->phase == PHASE_WAIT_START)
    end (self, GG_PIPELINE_EFFECT_FAIL, effect_out);
}

void
gg_pipeline_apply (GgPipeline *self,
                   const GgPipelineEvent *event,
                   uint64_t now_ms,
                   GgPipelineEffect *effect_out)
{
  *effect_out = (GgPipelineEffect){ .type = GG_PIPELINE_EFFECT_NONE };
  if (self->phase == PHASE_ENDED)
    return;
  switch (event->type)
    {
    case GG_PIPELINE_EVENT_START:
      apply_start (self, event, effect_out);
      break;
    case GG_PIPELINE_EVENT_REPLY:
      apply_reply (self, event, effect_out);
      break;
    case GG_PIPELINE_EVENT_FAILED:
      apply_failed (self, event, effect_out);
      break;
    case GG_PIPELINE_EVENT_REPLACED:
      apply_replaced (self, event, effect_out);
      break;
    case GG_PIPELINE_EVENT_NO_RUNNER:
      apply_no_runner (self, effect_out);
      break;
    case GG_PIPELINE_EVENT_CANCEL:
      end (self, GG_PIPELINE_EFFECT_FAIL, effect_out);
      break;
    }
}

void
gg_pipeline_next (GgPipeline *self, GgPipelineEffect *effect_out)
{
  *effect_out = (GgPipelineEffect){ .type = GG_PIPELINE_EFFECT_NONE };
  if (self->phase != PHASE_WAIT_NEXT)
    return;
  if (self->has_model_ended || gg_pipeline_get_emitted (self) >= self->max_tokens)
    {
      end (self, GG_PIPELINE_EFFECT_FINISH, effect_out);
      return;
    }
  self->stage = 0;
  step (self, effect_out);
}

uint32_t
gg_pipeline_get_emitted (const GgPipeline *self)
{
  return get_position (self);
}

uint32_t
gg_pipeline_get_recoveries (const GgPipeline *self)
{
  return self->recoveries;
}

size_t
gg_pipeline_get_retained_bytes (const GgPipeline *self)
{
  return self->retained_bytes;
}
