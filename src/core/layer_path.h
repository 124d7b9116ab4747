/** @file
 * Choice of the runners that a model request passes through. */
#pragma once

#include "core/engine_model.h"
#include "core/fleet.h"

/** Runners in one path, as many as an engine accepts. */
#define GG_PATH_MAX_HOPS 32

typedef struct
{
  GgFleetRunner *runner;
  GgLayerRange range;
} GgPathHop;

/** Every layer once, in order. Runners are referenced by the path. */
typedef struct
{
  GgPathHop hops[GG_PATH_MAX_HOPS];
  guint n_hops;
  uint32_t tokens; /**< Request memory that was reserved for each layer. */
  double token_ms; /**< Forecast of the time of one token. */
} GgLayerPath;

typedef enum
{
  GG_PATH_FOUND,
  GG_PATH_FULL, /**< The layers are covered, but some range has no room. */
  GG_PATH_NONE, /**< Some layer is held by no usable runner. */
} GgPathResult;

typedef struct
{
  const GgFleet *fleet;
  const GgEngineModel *model;
  const char *service;
  const char *data_centre;       /**< Where the request came in. */
  uint32_t tokens;               /**< Prompt and expected answer. */
  const GgFleetRunner *excluded; /**< A runner not to use, or NULL. */
  const GgPathHop *first;        /**< The hop that the path must begin with, or NULL. */
  uint64_t now_ms;
} GgPathQuery;

/** Chooses the path with the lowest forecast of token time. Paths inside one data centre are
 * preferred, the caller's own first among equals; paths across data centres are the last resort.
 * On GG_PATH_FOUND the caller ends @p path_out with gg_layer_path_clear(). */
GgPathResult gg_layer_path_choose (const GgPathQuery *query, GgLayerPath *path_out);
void gg_layer_path_clear (GgLayerPath *self);

/** Adds the path's work to its runners, or takes it off again. */
void gg_layer_path_reserve (const GgLayerPath *self);
void gg_layer_path_release (const GgLayerPath *self);

/** Tells all runners of the path that a request that was sent at @p sent_ms passed through them. */
void gg_layer_path_succeed (const GgLayerPath *self, uint64_t sent_ms);

/** Share of a runner's request memory that is taken, by this process and by its peers. */
double gg_layer_path_get_use (const GgEngineModel *model, const GgFleetRunner *runner);
