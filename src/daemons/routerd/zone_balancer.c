#include "daemons/routerd/zone_balancer.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "core/layer_path.h"
#include "core/zone_share.h"

#include <math.h>
#include <string.h>

struct _GgZoneBalancer
{
  GgRouter *router;
  GgLoopTimer *timer;
  GHashTable *services; /* service -> Service */
};

typedef struct
{
  GgZoneShare *shares;
  uint64_t version; /* of the configuration that needed_ms comes from */
  double needed_ms; /* token time that the callers' targets allow; 0 if there is none */
} Service;

static void
free_service (void *data)
{
  Service *self = data;
  gg_zone_share_destroy (self->shares);
  g_free (self);
}

static Service *
get_service (GgZoneBalancer *self, const GgRoutedService *routed)
{
  const GgRoutingConfig *config = self->router->config;
  uint64_t version = gg_routing_config_get_version (config);
  Service *service = g_hash_table_lookup (self->services, routed->name);
  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      service->shares = gg_zone_share_create (self->router->data_centre);
      g_hash_table_insert (self->services, g_strdup (routed->name), service);
    }
  if (service->version != version)
    {
      /* An event holds the tokens of one pass. */
      service->needed_ms = (double) gg_routing_config_get_gap_target_ms (config, routed->name)
                           / MAX (routed->model->steps_per_pass, 1);
      service->version = version;
    }
  return service;
}

/* Lists the data centres of the service's runners, each once; the names are borrowed. */
static GPtrArray *
list_data_centres (const GgFleet *fleet, const char *service)
{
  GPtrArray *names = g_ptr_array_new ();
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      const GgRunnerRecord *record = &gg_fleet_get (fleet, i)->record;
      if (strcmp (record->service, service) == 0
          && !g_ptr_array_find_with_equal_func (names, record->data_centre, g_str_equal, NULL))
        g_ptr_array_add (names, record->data_centre);
    }
  return names;
}

static double
get_use (const GgRouter *router, const GgRoutedService *service, const char *data_centre)
{
  GgPathQuery query = { .fleet = router->fleet,
                        .model = service->model,
                        .service = service->name,
                        .data_centre = router->data_centre,
                        .now_ms = gg_clock_now_ms (),
                        .boot_ms = gg_clock_boot_ms () };
  return gg_layer_path_get_zone_use (&query, data_centre);
}

static void
log_shares (const GgZoneShare *shares, const char *service, const GArray *offers)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < offers->len; i++)
    {
      const GgZoneOffer *offer = &g_array_index (offers, GgZoneOffer, i);
      g_string_append_printf (text, "%s%s:%.2f:%.2f", i > 0 ? "," : "", offer->data_centre,
                              gg_zone_share_get (shares, offer->data_centre),
                              isfinite (offer->use) ? offer->use : -1.0);
    }
  gg_event_log_add (GG_EVENT_NOTABLE, "zone_shares", "service=%s shares=%s", service, text->str);
  g_string_free (text, TRUE);
}

static void
update_service (GgZoneBalancer *self, const GgRoutedService *routed)
{
  const GgRouter *router = self->router;
  Service *service = get_service (self, routed);
  GPtrArray *names = list_data_centres (router->fleet, routed->name);
  GArray *offers = g_array_new (FALSE, TRUE, sizeof (GgZoneOffer));
  for (guint i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      GgZoneOffer offer
          = { .data_centre = name,
              .use = get_use (router, routed, name),
              .link_ms = gg_engine_model_get_delay_ms (routed->model, router->data_centre, name) };
      g_array_append_val (offers, offer);
    }
  if (gg_zone_share_update (service->shares, (const GgZoneOffer *) offers->data, offers->len,
                            service->needed_ms))
    log_shares (service->shares, routed->name, offers);
  g_array_unref (offers);
  g_ptr_array_unref (names);
}

static void
on_timer (void *data)
{
  GgZoneBalancer *self = data;
  const GgRoutingConfig *config = self->router->config;
  gg_loop_timer_start (self->timer, GG_ZONE_SHARE_INTERVAL_MS);
  for (guint i = 0; config != NULL && i < gg_routing_config_count_services (config); i++)
    {
      const GgRoutedService *service = gg_routing_config_get_service (config, i);
      if (service->model != NULL)
        update_service (self, service);
    }
}

GgZoneBalancer *
gg_zone_balancer_create (GgRouter *router)
{
  GgZoneBalancer *self = g_new0 (GgZoneBalancer, 1);
  self->router = router;
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_service);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  if (gg_settings_get_boolean (router->settings, "zones", "balance"))
    gg_loop_timer_start (self->timer, GG_ZONE_SHARE_INTERVAL_MS);
  return self;
}

void
gg_zone_balancer_destroy (GgZoneBalancer *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->services);
  g_free (self);
}

const char *
gg_zone_balancer_choose (const GgZoneBalancer *self,
                         const char *service,
                         uint32_t random,
                         double *good_enough_ms_out)
{
  const Service *known = g_hash_table_lookup (self->services, service);
  *good_enough_ms_out = known != NULL ? GG_ZONE_SHARE_GOOD_ENOUGH * known->needed_ms : 0;
  return known != NULL ? gg_zone_share_choose (known->shares, random) : NULL;
}
