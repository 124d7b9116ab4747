/** @file
 * Cost model of a model service: what a layer, a token and a step cost on each accelerator. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** One kind of accelerator. */
typedef struct
{
  char *name;
  double memory_mb;   /**< For weights and for the memory of requests together. */
  double pace;        /**< Factor on the times of a token step; 1 is the reference engine. */
  double read_factor; /**< Factor on the time of reading a prompt. */
} GgAccelerator;

/** Link between two data centres. */
typedef struct
{
  char *from;
  char *to;
  double delay_ms; /**< One way. */
} GgLinkDelay;

/** Figures of one model service. Arrays and strings are owned by it. */
typedef struct
{
  uint32_t n_layers;
  double layer_mb;
  double token_bytes;         /**< Request memory of one token over all layers. */
  uint32_t slots;             /**< Requests that a runner takes as the first one of a path. */
  double step_ms;             /**< Token step over all layers, without requests. */
  double request_ms;          /**< Added to a step for each request that is writing. */
  double context_ms_per_1000; /**< Added to a step per 1,000 tokens of context of each request. */
  double read_tokens_per_s;   /**< Reading speed over all layers. */
  uint32_t steps_per_pass;
  double load_s; /**< Time to load all layers. */
  uint32_t loads_at_once;
  uint32_t usual_prompt_tokens;
  uint32_t usual_answer_tokens;
  double activation_bytes; /**< Passed on per token at each cut of a path. */
  double pipe_mbps;        /**< Between two data centres, shared by all. */
  GgAccelerator *accelerators;
  guint n_accelerators;
  GgLinkDelay *links;
  guint n_links;
} GgEngineModel;

GgEngineModel *gg_engine_model_create (void);
/** NULL is allowed. */
void gg_engine_model_destroy (GgEngineModel *self);

void gg_engine_model_add_accelerator (
    GgEngineModel *self, const char *name, double memory_mb, double pace, double read_factor);
void
gg_engine_model_add_link (GgEngineModel *self, const char *from, const char *to, double delay_ms);

/** Returns the figures of an accelerator, or NULL if the model names none like it. */
const GgAccelerator *gg_engine_model_find_accelerator (const GgEngineModel *self, const char *name);

/** One-way delay between two data centres in milliseconds; 0 within one. */
double gg_engine_model_get_delay_ms (const GgEngineModel *self, const char *from, const char *to);

/** Most layers that fit on an accelerator. */
uint32_t gg_engine_model_fit_layers (const GgEngineModel *self, const GgAccelerator *accelerator);

/** Request memory of a runner that holds @p n_layers, in tokens x layers. */
double gg_engine_model_get_capacity (const GgEngineModel *self,
                                     const GgAccelerator *accelerator,
                                     uint32_t n_layers);

/** Time of one token step over @p n_layers with @p n_requests in the batch, in milliseconds. */
double gg_engine_model_get_step_ms (const GgEngineModel *self,
                                    const GgAccelerator *accelerator,
                                    uint32_t n_layers,
                                    uint32_t n_requests);
