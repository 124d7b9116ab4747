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
  GgLayerRange current; /**< What it holds, or will hold when its present load ends. */
  GgLayerRange target;  /**< Result: what it should hold. */
} GgPlacementRunner;

/** Sets the target of each runner. The plan moves as few layers as it can: a data centre whose
 * layers are all held is left alone; gaps go to runners that hold nothing; only if these can't
 * fill them the data centre is laid out anew. Runners that are left over form further copies
 * where they can hold a whole one. Targets of runners that can't be used equal what they hold. */
void gg_placement_plan (const GgEngineModel *model, GgPlacementRunner *runners, guint n_runners);
