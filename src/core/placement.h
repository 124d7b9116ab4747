/** @file
 * Which layers each runner of a model should hold. */
#pragma once

#include "core/engine_model.h"
#include "core/fleet.h"

/** One runner in a plan. */
typedef struct
{
  const char *id; /**< Borrowed. */
  const char *data_centre;
  const GgAccelerator *accelerator;
  gboolean is_usable;   /**< Alive and staying. */
  gboolean is_moving;   /**< It carries out an order; set by the plan for those that it moves. */
  GgLayerRange current; /**< What it holds, or will hold when its present load ends. */
  GgLayerRange target;  /**< Result: what it should hold. */
} GgPlacementRunner;

/** Sets the target of each runner. A data centre that holds nothing is laid out in whole copies,
 * the fast cards first. Otherwise the plan makes a few changes, each the one that widens the
 * narrowest layers most: runners that hold nothing go first, and one that serves is moved only
 * where a range was lost. Targets of runners that can't be used equal what they hold. */
void gg_placement_plan (const GgEngineModel *model, GgPlacementRunner *runners, guint n_runners);
