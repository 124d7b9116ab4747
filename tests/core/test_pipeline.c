/* Guards that each layer of a token runs once and in order: whichever stages fail or reply late,
 * twice or to another call, the tokens equal those of a run without faults. */
#include "core/pipeline.h"
#include "seeds.h"

#include <string.h>

#define N_LAYERS 6
#define N_SEEDS 20000
#define END_EVERY 29 /* About one token in so many ends the answer. */

/* Simulated model: each layer hashes its input into its cache and derives its output from both, so
 * that a missing, repeated or reordered step changes all later tokens. */
typedef struct
{
  guint64 cache[N_LAYERS];
} Model;

static guint64
mix (guint64 a, guint64 b)
{
  guint64 x = (a ^ (b + G_GUINT64_CONSTANT (0x9e3779b97f4a7c15))) * 0xff51afd7ed558ccdu;
  return x ^ (x >> 31);
}

/** Layers pass text to each other, so that the split into stages does not affect the result. */
static char *
run_layers (Model *model, uint32_t first, uint32_t end, const char *input)
{
  char *text = g_strdup (input);
  for (uint32_t i = first; i < end; i++)
    {
      guint64 value = g_str_hash (text) + i;
      model->cache[i] = mix (model->cache[i], value);
      g_free (text);
      text = g_strdup_printf ("%" G_GINT64_MODIFIER "x", mix (value, model->cache[i]));
    }
  return text;
}

static gboolean
is_end_token (const char *token)
{
  return g_str_hash (token) % END_EVERY == 0;
}

/** Returns the tokens of a run without faults over one stage. */
static GPtrArray *
run_without_faults (const char *prompt, uint32_t max_tokens)
{
  Model model = { 0 };
  GPtrArray *tokens = g_ptr_array_new_with_free_func (g_free);
  const char *input = prompt;
  while (tokens->len < max_tokens)
    {
      g_ptr_array_add (tokens, run_layers (&model, 0, N_LAYERS, input));
      input = g_ptr_array_index (tokens, tokens->len - 1);
      if (is_end_token (input))
        break;
    }
  return tokens;
}

/** KV cache of one attempt at a stage, as kept by its engine. */
typedef struct
{
  GgId attempt;
  uint32_t stage;
  uint32_t first_layer;
  uint32_t end_layer;
  uint32_t min_epoch;
  uint32_t epoch; /**< 0 before the first step. */
  uint32_t next_position;
  gboolean is_abandoned;
  Model model;
} Lineage;

typedef struct
{
  GgId attempt;
  uint32_t epoch;
  uint32_t position;
  GPtrArray *outputs;
  gboolean end;
} Reply;

typedef struct
{
  GRand *rand;
  GgPipeline *pipeline;
  GPtrArray *expected;
  uint32_t emitted;
  uint32_t max_epoch;
  uint32_t serial;
  GPtrArray *lineages; /**< Of all plans; owned. */
  GPtrArray *plan;     /**< Lineage of each stage; borrowed. */
  GPtrArray *replies;  /**< Delivered, lost and late replies. */
  gboolean may_fail;   /**< A plan was not found, or the caller cancelled. */
  gboolean is_ended;
  int fault_percent;
  char *failure;
} Simulation;

static void
fail (Simulation *sim, const char *what)
{
  if (sim->failure == NULL)
    sim->failure = g_strdup_printf ("%s (after %u tokens)", what, sim->emitted);
  sim->is_ended = TRUE;
}

static void
require (Simulation *sim, gboolean condition, const char *what)
{
  if (!condition)
    fail (sim, what);
}

static GgId
create_id (Simulation *sim)
{
  GgId id = { { 0 } };
  sim->serial++;
  memcpy (id.bytes, &sim->serial, sizeof sim->serial);
  return id;
}

static void
reply_free (gpointer data)
{
  Reply *reply = data;
  g_ptr_array_unref (reply->outputs);
  g_free (reply);
}

static Lineage *
create_lineage (Simulation *sim, uint32_t stage, uint32_t first, uint32_t end, uint32_t min_epoch)
{
  Lineage *lineage = g_new0 (Lineage, 1);
  lineage->attempt = create_id (sim);
  lineage->stage = stage;
  lineage->first_layer = first;
  lineage->end_layer = end;
  lineage->min_epoch = min_epoch;
  g_ptr_array_add (sim->lineages, lineage);
  return lineage;
}

static GgPipelineEffect
apply (Simulation *sim, const GgPipelineEvent *event)
{
  GgPipelineEffect effect;
  gg_pipeline_apply (sim->pipeline, event, 0, &effect);
  return effect;
}

static GgPipelineEffect
deliver (Simulation *sim, const Reply *reply)
{
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_REPLY };
  event.reply.attempt = reply->attempt;
  event.reply.epoch = reply->epoch;
  event.reply.position = reply->position;
  event.reply.outputs = (const char *const *) reply->outputs->pdata;
  event.reply.n_outputs = reply->outputs->len;
  event.reply.end = reply->end;
  return apply (sim, &event);
}

static GgPipelineEffect
report_failed (Simulation *sim, uint32_t stage, uint32_t epoch)
{
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_FAILED };
  event.failed.stage = stage;
  event.failed.epoch = epoch;
  return apply (sim, &event);
}

static GgPipelineEffect
start (Simulation *sim)
{
  GArray *attempts = g_array_new (FALSE, FALSE, sizeof (GgId));
  uint32_t first = 0;
  g_ptr_array_set_size (sim->plan, 0);
  while (first < N_LAYERS)
    {
      uint32_t end = (uint32_t) g_rand_int_range (sim->rand, (int) first + 1, N_LAYERS + 1);
      Lineage *lineage = create_lineage (sim, sim->plan->len, first, end, sim->max_epoch + 1);
      g_ptr_array_add (sim->plan, lineage);
      g_array_append_val (attempts, lineage->attempt);
      first = end;
    }
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_START };
  event.start.attempts = (const GgId *) (const void *) attempts->data;
  event.start.n_stages = attempts->len;
  GgPipelineEffect effect = apply (sim, &event);
  g_array_unref (attempts);
  return effect;
}

/** Delivers replies to earlier steps, replies with a wrong id and late failures, all of which must
 * be ignored. */
static void
inject_unexpected_events (Simulation *sim, const Lineage *current, uint32_t n_inputs)
{
  GPtrArray *garbage = g_ptr_array_new ();
  for (uint32_t i = 0; i < n_inputs; i++)
    g_ptr_array_add (garbage, (gpointer) "garbage");
  Reply wrong
      = { current->attempt, current->epoch, current->next_position - n_inputs, garbage, FALSE };
  GgPipelineEffect effect = { .type = GG_PIPELINE_EFFECT_NONE };
  int kind = g_rand_int_range (sim->rand, 0, 5);
  if (kind == 0)
    wrong.attempt = create_id (sim);
  else if (kind == 1)
    wrong.epoch += seeds_chance (sim->rand, 50) ? 1 : -1;
  else if (kind == 2)
    wrong.position += seeds_chance (sim->rand, 50) ? 1 : -1;
  if (kind < 3)
    effect = deliver (sim, &wrong);
  else if (kind == 3 && sim->replies->len > 0)
    effect = deliver (
        sim, g_ptr_array_index (sim->replies,
                                (guint) g_rand_int_range (sim->rand, 0, (int) sim->replies->len)));
  else if (kind == 4)
    effect = report_failed (sim, current->stage, current->epoch - 1);
  require (sim, effect.type == GG_PIPELINE_EFFECT_NONE, "an event that does not match took effect");
  g_ptr_array_unref (garbage);
}

static Lineage *
find_lineage (Simulation *sim, const GgId *attempt)
{
  for (guint i = 0; i < sim->lineages->len; i++)
    {
      Lineage *lineage = g_ptr_array_index (sim->lineages, i);
      if (gg_id_equal (&lineage->attempt, attempt))
        return lineage;
    }
  return NULL;
}

/** Checks a step against the state of the engine. */
static Lineage *
check_step (Simulation *sim, const GgPipelineEffect *effect)
{
  Lineage *lineage = find_lineage (sim, &effect->step.attempt);
  require (sim, lineage != NULL, "a step names an attempt that does not exist");
  if (lineage == NULL)
    return NULL;
  require (sim, g_ptr_array_index (sim->plan, effect->step.stage) == lineage,
           "a step names an attempt of another plan or stage");
  require (sim, !lineage->is_abandoned, "a lineage is stepped after a failure");
  require (sim, effect->step.position == lineage->next_position,
           "a lineage skips or repeats a position");
  require (sim, effect->step.n_inputs > 0, "a step has no input");
  require (sim, effect->step.is_replay == (effect->step.n_inputs > 1), "wrong replay flag");
  require (sim, effect->step.epoch >= lineage->min_epoch, "the epoch does not increase");
  require (sim, lineage->epoch == 0 || lineage->epoch == effect->step.epoch, "the epoch changes");
  return lineage;
}

static Reply *
run_step (Simulation *sim, Lineage *lineage, const GgPipelineEffect *effect)
{
  Reply *reply = g_new0 (Reply, 1);
  lineage->epoch = effect->step.epoch;
  sim->max_epoch = MAX (sim->max_epoch, lineage->epoch);
  reply->attempt = lineage->attempt;
  reply->epoch = lineage->epoch;
  reply->position = lineage->next_position;
  reply->outputs = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < effect->step.n_inputs; i++)
    g_ptr_array_add (reply->outputs, run_layers (&lineage->model, lineage->first_layer,
                                                 lineage->end_layer, effect->step.inputs[i]));
  lineage->next_position += effect->step.n_inputs;
  const char *newest = g_ptr_array_index (reply->outputs, reply->outputs->len - 1);
  reply->end = lineage->end_layer == N_LAYERS && is_end_token (newest);
  g_ptr_array_add (sim->replies, reply);
  return reply;
}

/** Reports the failure of a stage without an outstanding step. */
static void
fail_idle_stage (Simulation *sim, const Lineage *current)
{
  Lineage *idle = g_ptr_array_index (sim->plan,
                                     (guint) g_rand_int_range (sim->rand, 0, (int) sim->plan->len));
  if (idle == current || idle->epoch == 0)
    return;
  idle->is_abandoned = TRUE;
  require (sim, report_failed (sim, idle->stage, idle->epoch).type == GG_PIPELINE_EFFECT_NONE,
           "an idle stage's failure interrupts another stage");
}

static GgPipelineEffect
lose_reply (Simulation *sim, Lineage *lineage, Reply *reply)
{
  lineage->is_abandoned = TRUE;
  if (seeds_chance (sim->rand, 80))
    return report_failed (sim, lineage->stage, lineage->epoch);
  Reply with_more = *reply; /* A reply of the current lineage with a wrong number of outputs. */
  with_more.outputs = g_ptr_array_copy (reply->outputs, NULL, NULL);
  g_ptr_array_set_free_func (with_more.outputs, NULL);
  g_ptr_array_add (with_more.outputs, (gpointer) "surplus");
  GgPipelineEffect effect = deliver (sim, &with_more);
  g_ptr_array_unref (with_more.outputs);
  return effect;
}

static GgPipelineEffect
perform_step (Simulation *sim, const GgPipelineEffect *effect)
{
  Lineage *lineage = check_step (sim, effect);
  uint32_t n_inputs = effect->step.n_inputs;
  if (sim->is_ended)
    return *effect;
  Reply *reply = run_step (sim, lineage, effect);
  while (seeds_chance (sim->rand, sim->fault_percent))
    {
      g_ptr_array_steal_index (
          sim->replies, sim->replies->len - 1); /* It does not count as an earlier reply yet. */
      inject_unexpected_events (sim, lineage, n_inputs);
      g_ptr_array_add (sim->replies, reply);
    }
  if (seeds_chance (sim->rand, sim->fault_percent / 3))
    fail_idle_stage (sim, lineage);
  if (seeds_chance (sim->rand, sim->fault_percent / 3))
    return lose_reply (sim, lineage, reply);
  return deliver (sim, reply);
}

static GgPipelineEffect
report_no_runner (Simulation *sim)
{
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_NO_RUNNER };
  return apply (sim, &event);
}

static GgPipelineEffect
perform_replace (Simulation *sim, const GgPipelineEffect *effect)
{
  Lineage *old = g_ptr_array_index (sim->plan, effect->replace.stage);
  require (sim, gg_id_equal (&old->attempt, &effect->replace.attempt),
           "another lineage is replaced");
  require (sim, old->is_abandoned, "a lineage without a failure is replaced");
  if (seeds_chance (sim->rand, 10))
    return report_no_runner (sim);
  Lineage *lineage
      = create_lineage (sim, old->stage, old->first_layer, old->end_layer, old->epoch + 1);
  sim->plan->pdata[old->stage] = lineage;
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_REPLACED };
  event.replaced.stage = old->stage;
  event.replaced.attempt = lineage->attempt;
  return apply (sim, &event);
}

static GgPipelineEffect
perform_restart (Simulation *sim)
{
  for (guint i = 0; i < sim->plan->len; i++)
    ((Lineage *) g_ptr_array_index (sim->plan, i))->is_abandoned = TRUE;
  if (!seeds_chance (sim->rand, 3))
    return start (sim);
  sim->may_fail = TRUE;
  return report_no_runner (sim);
}

static GgPipelineEffect
perform_emit (Simulation *sim, const GgPipelineEffect *effect)
{
  GgPipelineEffect next;
  sim->emitted++;
  require (sim, effect->emit.number == sim->emitted, "tokens are not numbered in order");
  require (sim, sim->emitted <= sim->expected->len, "a token is emitted after the end");
  if (sim->is_ended)
    return *effect;
  require (sim, strcmp (effect->emit.token, sim->expected->pdata[sim->emitted - 1]) == 0,
           "a token differs from the run without faults");
  gg_pipeline_next (sim->pipeline, &next);
  return next;
}

static void
check_end (Simulation *sim, GgPipelineEffectType type)
{
  gboolean is_exhausted = gg_pipeline_get_recoveries (sim->pipeline) >= GG_PIPELINE_MAX_RECOVERIES;
  sim->is_ended = TRUE;
  if (type == GG_PIPELINE_EFFECT_FINISH)
    require (sim, sim->emitted == sim->expected->len, "the answer is not complete");
  else
    require (sim, sim->may_fail || is_exhausted, "the answer fails without a cause");
  if (sim->replies->len > 0)
    require (sim,
             deliver (sim, g_ptr_array_index (sim->replies, 0)).type == GG_PIPELINE_EFFECT_NONE
                 && start (sim).type == GG_PIPELINE_EFFECT_NONE,
             "an event after the end took effect");
}

static GgPipelineEffect
perform (Simulation *sim, const GgPipelineEffect *effect)
{
  switch (effect->type)
    {
    case GG_PIPELINE_EFFECT_STEP:
      return perform_step (sim, effect);
    case GG_PIPELINE_EFFECT_EMIT:
      return perform_emit (sim, effect);
    case GG_PIPELINE_EFFECT_REPLACE:
      return perform_replace (sim, effect);
    case GG_PIPELINE_EFFECT_RESTART:
      return perform_restart (sim);
    case GG_PIPELINE_EFFECT_FINISH:
    case GG_PIPELINE_EFFECT_FAIL:
      check_end (sim, effect->type);
      break;
    case GG_PIPELINE_EFFECT_NONE:
      fail (sim, "the answer makes no progress");
      break;
    }
  return *effect;
}

static GgPipelineEffect
cancel (Simulation *sim)
{
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_CANCEL };
  sim->may_fail = TRUE;
  return apply (sim, &event);
}

static void
clear_simulation (Simulation *sim)
{
  gg_pipeline_destroy (sim->pipeline);
  g_ptr_array_unref (sim->expected);
  g_ptr_array_unref (sim->plan);
  g_ptr_array_unref (sim->replies);
  g_ptr_array_unref (sim->lineages);
}

static char *
check_random_history (GRand *rand)
{
  char prompt[32];
  static const size_t limits[] = { 1, 60, 400, 100000 };
  GgPipelineParams params = { .n_stages = 1, .prompt = prompt };
  Simulation sim = { .rand = rand };
  g_snprintf (prompt, sizeof prompt, "prompt %u", g_rand_int (rand));
  params.max_tokens = (uint32_t) g_rand_int_range (rand, 0, 30);
  params.retained_limit_bytes = limits[g_rand_int_range (rand, 0, 4)];
  sim.fault_percent = g_rand_int_range (rand, 0, 4) * 10;
  sim.pipeline = gg_pipeline_create (&params);
  sim.expected = run_without_faults (prompt, params.max_tokens);
  sim.lineages = g_ptr_array_new_with_free_func (g_free);
  sim.plan = g_ptr_array_new ();
  sim.replies = g_ptr_array_new_with_free_func (reply_free);
  GgPipelineEffect effect = start (&sim);
  while (!sim.is_ended)
    effect = seeds_chance (rand, 1) && effect.type == GG_PIPELINE_EFFECT_STEP
                 ? cancel (&sim)
                 : perform (&sim, &effect);
  clear_simulation (&sim);
  return sim.failure;
}

/* Guards the order of layers and the integrity of the answer under random failures. */
static void
test_random_histories (void)
{
  seeds_run (check_random_history, N_SEEDS);
}

static GgPipeline *
create_started (uint32_t n_stages, size_t limit, GgId *attempts, GgPipelineEffect *effect_out)
{
  GgPipelineParams params = { n_stages, 1000, limit, "prompt" };
  GgPipeline *pipeline = gg_pipeline_create (&params);
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_START };
  for (uint32_t i = 0; i < n_stages; i++)
    gg_id_generate (&attempts[i]);
  event.start.attempts = attempts;
  event.start.n_stages = n_stages;
  gg_pipeline_apply (pipeline, &event, 0, effect_out);
  return pipeline;
}

static void
answer_step (GgPipeline *pipeline, const char *output, GgPipelineEffect *effect)
{
  const char *outputs[] = { output };
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_REPLY };
  event.reply.attempt = effect->step.attempt;
  event.reply.epoch = effect->step.epoch;
  event.reply.position = effect->step.position;
  event.reply.outputs = outputs;
  event.reply.n_outputs = 1;
  gg_pipeline_apply (pipeline, &event, 0, effect);
  if (effect->type == GG_PIPELINE_EFFECT_EMIT)
    gg_pipeline_next (pipeline, effect);
}

static void
fail_step (GgPipeline *pipeline, GgPipelineEffect *effect)
{
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_FAILED };
  event.failed.stage = effect->step.stage;
  event.failed.epoch = effect->step.epoch;
  gg_pipeline_apply (pipeline, &event, 0, effect);
}

/* Guards the replay: one step with all inputs of the stage, under a new attempt and epoch. */
static void
test_replacement_replays_all_inputs (void)
{
  GgId attempts[2];
  GgPipelineEffect effect;
  GgPipeline *pipeline = create_started (2, 1000, attempts, &effect);
  answer_step (pipeline, "h0", &effect);
  answer_step (pipeline, "one", &effect);
  answer_step (pipeline, "h1", &effect);
  uint32_t epoch = effect.step.epoch;
  fail_step (pipeline, &effect);
  CU_ASSERT_EQUAL (effect.type, GG_PIPELINE_EFFECT_REPLACE);
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_REPLACED };
  event.replaced.stage = 1;
  gg_id_generate (&event.replaced.attempt);
  gg_pipeline_apply (pipeline, &event, 0, &effect);
  CU_ASSERT_EQUAL (effect.type, GG_PIPELINE_EFFECT_STEP);
  CU_ASSERT_EQUAL_FATAL (effect.step.n_inputs, 2);
  CU_ASSERT_EQUAL (effect.step.position, 0);
  CU_ASSERT_STRING_EQUAL (effect.step.inputs[0], "h0");
  CU_ASSERT_STRING_EQUAL (effect.step.inputs[1], "h1");
  CU_ASSERT_TRUE (effect.step.is_replay && effect.step.epoch > epoch);
  CU_ASSERT_TRUE (gg_id_equal (&effect.step.attempt, &event.replaced.attempt));
  gg_pipeline_destroy (pipeline);
}

/* Guards against long answers that exhaust the memory of an entry process. */
static void
test_retained_inputs_are_bounded (void)
{
  GgId attempts[3];
  GgPipelineEffect effect;
  GgPipeline *pipeline = create_started (3, 200, attempts, &effect);
  size_t own_bytes = strlen ("prompt");
  while (gg_pipeline_get_emitted (pipeline) < 100)
    {
      answer_step (pipeline, "0123456789", &effect);
      own_bytes = strlen ("prompt") + 10 * (size_t) gg_pipeline_get_emitted (pipeline);
      CU_ASSERT_TRUE (gg_pipeline_get_retained_bytes (pipeline) <= MAX (200, own_bytes + 20));
    }
  fail_step (pipeline, &effect);
  CU_ASSERT_EQUAL (effect.type, GG_PIPELINE_EFFECT_RESTART);
  gg_pipeline_destroy (pipeline);
}

/* Guards against an answer that is recovered without limit. */
static void
test_recoveries_are_capped (void)
{
  GgId attempt;
  GgPipelineEffect effect;
  GgPipeline *pipeline = create_started (1, 1000, &attempt, &effect);
  GgPipelineEvent event = { .type = GG_PIPELINE_EVENT_REPLACED };
  uint32_t replaced = 0;
  for (fail_step (pipeline, &effect); effect.type == GG_PIPELINE_EFFECT_REPLACE && replaced < 100;
       fail_step (pipeline, &effect))
    {
      replaced++;
      gg_id_generate (&event.replaced.attempt);
      gg_pipeline_apply (pipeline, &event, 0, &effect);
    }
  CU_ASSERT_EQUAL (effect.type, GG_PIPELINE_EFFECT_FAIL);
  CU_ASSERT_EQUAL (replaced, GG_PIPELINE_MAX_RECOVERIES);
  gg_pipeline_destroy (pipeline);
}

int
main (int argc, char **argv)
{
  static const GgTestCase cases[] = {
    { "replacement replays all inputs", test_replacement_replays_all_inputs },
    { "retained inputs are bounded", test_retained_inputs_are_bounded },
    { "recoveries are capped", test_recoveries_are_capped },
    { "random histories", test_random_histories },
  };
  seeds_init (argc, argv);
  return gg_test_run ("pipeline", cases, G_N_ELEMENTS (cases));
}
