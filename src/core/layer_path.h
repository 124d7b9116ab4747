/** @file
 * Selection of the runners that a model request passes through. */
#pragma once

#include "core/engine_model.h"
#include "core/fleet.h"

/** Maximum number of runners in a path, a limit of the engines. */
#define GG_PATH_MAX_HOPS 32

typedef struct
{
  GgFleetRunner *runner;
  GgLayerRange range;
} GgPathHop;

/** Hops that cover every layer once, in order. The path holds references to the runners. */
typedef struct
{
  GgPathHop hops[GG_PATH_MAX_HOPS];
  guint n_hops;
  uint32_t tokens; /**< Request memory reserved in each layer, in tokens. */
  double token_ms; /**< Predicted time of one token. */
} GgLayerPath;

typedef enum
{
  GG_PATH_FOUND,
  GG_PATH_FULL, /**< Usable runners cover all layers, but those of some range have no free capacity,
                 * or no first one's rate limit allows a request now. */
  GG_PATH_NONE, /**< Some layer is not held by any usable runner. */
} GgPathResult;

typedef struct
{
  const GgFleet *fleet;
  const GgEngineModel *model;
  const char *service;
  const char *data_centre; /**< Data centre that received the request. */
  const char *preferred;   /**< Data centre for which the request is meant; NULL for the one that
                            * received it. */
  double good_enough_ms;   /**< A path in the preferred data centre with this token time or less
                            * is taken without a look at others; 0 always compares. */
  double usable_memory;    /**< Part of a runner's request memory that may be used, 0 to 1; 0 for
                            * the usual one. */
  double unseen_peers;     /**< Peers that send as this process does and whose load is not
                            * reported yet (core/startup_load.h). */
  uint32_t tokens;         /**< Tokens of the prompt and of the expected answer. */
  const GgFleetRunner *excluded; /**< A runner that must not be used, or NULL. */
  const GgPathHop *first_hop;    /**< The hop that the path must start with, or NULL. */
  uint32_t random;               /**< Differs between requests. */
  uint64_t now_ms;
  uint64_t boot_ms; /**< The same time by CLOCK_BOOTTIME. */
} GgPathQuery;

/** Chooses the path with the lowest predicted token time. Paths inside one data centre are
 * preferred, with a penalty if it is not the query's preferred one; a path across data centres is a
 * last resort, if no data centre covers all layers. On GG_PATH_FOUND the caller releases @p
 * path_out with gg_layer_path_clear(). */
GgPathResult gg_layer_path_choose (const GgPathQuery *query, GgLayerPath *path_out);
void gg_layer_path_clear (GgLayerPath *self);

/** As gg_layer_path_choose(), inside one data centre. */
GgPathResult gg_layer_path_choose_within (const GgPathQuery *query,
                                          const char *data_centre,
                                          GgLayerPath *path_out);

/** Returns the use of the request memory at the layers of a data centre that have least left (1:
 * full); INFINITY if a layer is not held there by any usable runner. */
double gg_layer_path_get_zone_use (const GgPathQuery *query, const char *data_centre);

/** Adds the request to the load that this process causes at the path's runners, or subtracts it
 * again. */
void gg_layer_path_reserve (const GgLayerPath *self);
void gg_layer_path_release (const GgLayerPath *self);

/** Records at all runners of the path that they served a request that was sent at @p sent_ms. */
void gg_layer_path_note_success (const GgLayerPath *self, uint64_t sent_ms);

/** Returns the share of a runner's request memory that is in use by requests of this process and
 * its peers (1: fully used); 1 if it has no request memory or its accelerator is unknown. */
double gg_layer_path_get_memory_use (const GgEngineModel *model, const GgFleetRunner *runner);
