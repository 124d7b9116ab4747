/** @file
 * Assignment of a model's layers to runners. */
#pragma once

#include "core/engine_model.h"
#include "core/fleet.h"

/** One runner in a plan. */
typedef struct
{
  const char *id; /**< Borrowed. */
  const char *data_centre;
  const GgAccelerator *accelerator;
  gboolean is_usable;   /**< Alive and not leaving. */
  gboolean is_moving;   /**< An order to it is pending; set by the plan for each runner whose target
                         * it changes. */
  GgLayerRange current; /**< Layers that it holds, or will hold once its current loading is done. */
  GgLayerRange target;  /**< Result: layers that it should hold. */
} GgPlacementRunner;

/** Sets the target of each runner. A data centre that holds no layers gets complete copies of the
 * model, on the fastest accelerators first. Otherwise the plan makes a few changes, each the one
 * that adds most capacity where the layers have least: runners that hold no layers are assigned
 * first, and a serving runner is reassigned only if the gain is large, as after the loss of a
 * range. Unusable runners keep their current range as target. */
void gg_placement_plan (const GgEngineModel *model, GgPlacementRunner *runners, guint n_runners);
