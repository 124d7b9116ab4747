/** @file
 * A model and fleets of runners like those of the users' sites, for tests. */
#pragma once

#include "core/engine_model.h"
#include "core/fleet.h"

#define FIXTURE_LAYERS 80
#define FIXTURE_SERVICE "reader"

static inline GgEngineModel *
fixture_create_model (void)
{
  GgEngineModel *m = gg_engine_model_create ();
  m->n_layers = FIXTURE_LAYERS;
  m->layer_mb = 1750;
  m->token_bytes = 918000;
  m->slots = 192;
  m->step_ms = 1.02;
  m->request_ms = 0.00714;
  m->context_ms_per_1000 = 0.00956;
  m->prefill_tokens_per_s = 105000;
  m->steps_per_pass = 3;
  m->load_s = 14;
  m->loads_at_once = 5;
  m->typical_prompt_tokens = 774;
  m->typical_answer_tokens = 200;
  gg_engine_model_add_accelerator (m, "a100", 72000, 2.4, 3.2);
  gg_engine_model_add_accelerator (m, "l40s", 43200, 5.6, 2.7);
  gg_engine_model_add_accelerator (m, "l4", 21600, 16, 8.2);
  gg_engine_model_add_link (m, "north", "south", 0.75);
  return m;
}

/** Adds @p n runners without layers, named DATA_CENTRE-ACCELERATOR-N. */
static inline void
fixture_add_runners (GgFleet *fleet, const char *data_centre, const char *accelerator, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      GgRunnerRecord record = { .service = g_strdup (FIXTURE_SERVICE),
                                .data_centre = g_strdup (data_centre),
                                .accelerator = g_strdup (accelerator),
                                .started_ms = 1,
                                .slots = 192 };
      record.id = g_strdup_printf ("%s-%s-%u", data_centre, accelerator, i);
      record.address = g_strdup_printf ("10.0.0.%u:80", gg_fleet_get_size (fleet) + 1);
      gg_fleet_put (fleet, &record);
    }
}

static inline void
fixture_set_range (GgFleet *fleet, const char *id, uint32_t first_layer, uint32_t end_layer)
{
  gg_fleet_find (fleet, id)->record.range = (GgLayerRange){ first_layer, end_layer };
}
