#include "core/engine_model.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
#define BYTES_PER_MB 1e6
#define TOKENS_PER_CONTEXT_UNIT 1000.0

GgEngineModel *
gg_engine_model_create (void)
{
  return g_new0 (GgEngineModel, 1);
}

void
gg_engine_model_destroy (GgEngineModel *self)
{
  if (self == NULL)
    return;
  for (guint i = 0; i < self->n_accelerators; i++)
    g_free (self->accelerators[i].name);
  for (guint i = 0; i < self->n_links; i++)
    {
      g_free (self->links[i].from);
      g_free (self->links[i].to);
    }
  g_free (self->accelerators);
  g_free (self->links);
  g_free (self);
}

gboolean
gg_engine_model_is_bounded (const GgEngineModel *self)
{
  const double numbers[]
      = { self->layer_mb,   self->token_bytes,         self->step_ms,
          self->request_ms, self->context_ms_per_1000, self->prefill_tokens_per_s,
          self->load_s,     self->activation_bytes,    self->data_centre_link_mbps };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (!isfinite (numbers[i]))
      return FALSE;
  for (guint i = 0; i < self->n_accelerators; i++)
    {
      const GgAccelerator *accelerator = &self->accelerators[i];
      if (!isfinite (accelerator->memory_mb) || !isfinite (accelerator->step_factor)
          || !isfinite (accelerator->prefill_factor))
        return FALSE;
    }
  for (guint i = 0; i < self->n_links; i++)
    if (!isfinite (self->links[i].delay_ms))
      return FALSE;
  return self->n_layers <= GG_ENGINE_MODEL_MAX_LAYERS;
}

void
gg_engine_model_add_accelerator (GgEngineModel *self,
                                 const char *name,
                                 double memory_mb,
                                 double step_factor,
                                 double prefill_factor)
{
  self->accelerators = g_renew (GgAccelerator, self->accelerators, self->n_accelerators + 1);
  self->accelerators[self->n_accelerators++] = (GgAccelerator){ .name = g_strdup (name),
                                                                .memory_mb = memory_mb,
                                                                .step_factor = step_factor,
                                                                .prefill_factor = prefill_factor };
}

void
gg_engine_model_add_link (GgEngineModel *self, const char *from, const char *to, double delay_ms)
{
  self->links = g_renew (GgLinkDelay, self->links, self->n_links + 1);
  self->links[self->n_links++]
      = (GgLinkDelay){ .from = g_strdup (from), .to = g_strdup (to), .delay_ms = delay_ms };
}

const GgAccelerator *
gg_engine_model_find_accelerator (const GgEngineModel *self, const char *name)
{
  for (guint i = 0; name != NULL && i < self->n_accelerators; i++)
    if (strcmp (self->accelerators[i].name, name) == 0)
      return &self->accelerators[i];
  return NULL;
}

double
gg_engine_model_get_delay_ms (const GgEngineModel *self, const char *from, const char *to)
{
  if (strcmp (from, to) == 0)
    return 0;
  double longest_ms = 0;
  for (guint i = 0; i < self->n_links; i++)
    {
      const GgLinkDelay *link = &self->links[i];
      if ((strcmp (link->from, from) == 0 && strcmp (link->to, to) == 0)
          || (strcmp (link->from, to) == 0 && strcmp (link->to, from) == 0))
        return link->delay_ms;
      longest_ms = MAX (longest_ms, link->delay_ms);
    }
  return longest_ms;
}

uint32_t
gg_engine_model_fit_layers (const GgEngineModel *self, const GgAccelerator *accelerator)
{
  return (uint32_t) (accelerator->memory_mb / self->layer_mb);
}

double
gg_engine_model_get_capacity (const GgEngineModel *self,
                              const GgAccelerator *accelerator,
                              uint32_t n_layers)
{
  double free_mb = accelerator->memory_mb - n_layers * self->layer_mb;
  double token_layer_bytes = self->token_bytes / self->n_layers;
  return free_mb > 0 ? free_mb * BYTES_PER_MB / token_layer_bytes : 0;
}

double
gg_engine_model_get_step_ms (const GgEngineModel *self,
                             const GgAccelerator *accelerator,
                             uint32_t n_layers,
                             uint32_t n_requests)
{
  double context = self->typical_prompt_tokens + self->typical_answer_tokens / 2.0;
  double request_ms
      = self->request_ms + self->context_ms_per_1000 * context / TOKENS_PER_CONTEXT_UNIT;
  double share = (double) n_layers / self->n_layers;
  return share * accelerator->step_factor * (self->step_ms + request_ms * n_requests);
}

double
gg_engine_model_get_reading_ms (const GgEngineModel *self,
                                const GgAccelerator *accelerator,
                                uint32_t n_layers,
                                uint32_t n_requests)
{
  if (self->prefill_tokens_per_s <= 0 || self->typical_answer_tokens == 0)
    return 0;
  double prompt_ms = self->typical_prompt_tokens * MS_PER_S / self->prefill_tokens_per_s;
  double share = (double) n_layers / self->n_layers;
  return share * accelerator->prefill_factor * prompt_ms * n_requests / self->typical_answer_tokens;
}
