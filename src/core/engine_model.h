/** @file
 * Cost model of a model service: memory and time per layer, token and step on each accelerator.
 * 1 MB is 10^6 bytes.
 *
 * "Request memory" is what a runner keeps for the tokens of its active requests (the KV
 * cache); a "path" is the sequence of runners that a request passes through. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Most layers of a model. The choice of a path reserves memory for each and takes time that grows
 * with the square of their number; models have about a hundred. */
#define GG_ENGINE_MODEL_MAX_LAYERS 1024

/** One accelerator type. */
typedef struct
{
  char *name;
  double memory_mb;      /**< For weights and request memory together. */
  double step_factor;    /**< Multiplies the time of a token step; 1 for the reference engine. */
  double prefill_factor; /**< Multiplies the time to process a prompt. */
} GgAccelerator;

/** Network link between two data centres. */
typedef struct
{
  char *from;
  char *to;
  double delay_ms; /**< One way. */
} GgLinkDelay;

/** Parameters of one model service, as in the platform's document. Owns the arrays and strings. */
typedef struct
{
  uint32_t n_layers;
  double layer_mb;
  double token_bytes;          /**< Request memory of one token across all layers. */
  uint32_t slots;              /**< Requests that a runner accepts as the first of their paths. */
  double step_ms;              /**< Token step across all layers with an empty batch. */
  double request_ms;           /**< Added to a step for each request that generates tokens. */
  double context_ms_per_1000;  /**< Added to a step per 1,000 tokens of context of each request. */
  double prefill_tokens_per_s; /**< Prompt processing rate across all layers. */
  /** Token steps that a runner executes in one pass if the pass includes requests that generate
   * tokens. No calculation uses it. */
  uint32_t steps_per_pass;
  double load_s; /**< Time to load all layers; proportional for fewer. */
  /** Number of concurrent loads above which each load takes proportionally longer. No calculation
   * uses it. */
  uint32_t loads_at_once;
  uint32_t typical_prompt_tokens; /**< Assumed in step times and placement. */
  uint32_t typical_answer_tokens; /**< As typical_prompt_tokens. */
  double activation_bytes;        /**< Sent per token from one runner of a path to the next. */
  /** Bandwidth of the link between data centres, which all transfers share one after another. */
  double data_centre_link_mbps;
  GgAccelerator *accelerators;
  guint n_accelerators;
  GgLinkDelay *links;
  guint n_links;
} GgEngineModel;

GgEngineModel *gg_engine_model_create (void);
/** NULL is allowed. */
void gg_engine_model_destroy (GgEngineModel *self);

/** Returns whether the number of layers is within its bound and no parameter is infinite. */
gboolean gg_engine_model_is_bounded (const GgEngineModel *self);

void gg_engine_model_add_accelerator (GgEngineModel *self,
                                      const char *name,
                                      double memory_mb,
                                      double step_factor,
                                      double prefill_factor);
void
gg_engine_model_add_link (GgEngineModel *self, const char *from, const char *to, double delay_ms);

/** Returns the accelerator of that name, or NULL if the model has none. */
const GgAccelerator *gg_engine_model_find_accelerator (const GgEngineModel *self, const char *name);

/** Returns the one-way delay between two data centres in milliseconds: 0 within one, the longest
 * known delay if the model has no link between them. */
double gg_engine_model_get_delay_ms (const GgEngineModel *self, const char *from, const char *to);

/** Returns the maximum number of layers that fit on an accelerator. */
uint32_t gg_engine_model_fit_layers (const GgEngineModel *self, const GgAccelerator *accelerator);

/** Returns the request memory of a runner that holds @p n_layers, in tokens x layers. */
double gg_engine_model_get_capacity (const GgEngineModel *self,
                                     const GgAccelerator *accelerator,
                                     uint32_t n_layers);

/** Returns the time of one token step over @p n_layers with @p n_requests in the batch, in
 * milliseconds. */
double gg_engine_model_get_step_ms (const GgEngineModel *self,
                                    const GgAccelerator *accelerator,
                                    uint32_t n_layers,
                                    uint32_t n_requests);

/** Returns the time that a runner with @p n_requests in its batch spends on the prompts of new
 * requests for each token step: in the time of a typical answer each of them is replaced by another
 * one. */
double gg_engine_model_get_reading_ms (const GgEngineModel *self,
                                       const GgAccelerator *accelerator,
                                       uint32_t n_layers,
                                       uint32_t n_requests);
