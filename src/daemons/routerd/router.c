#include "daemons/routerd/router.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "daemons/routerd/client_limits.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/link_monitor.h"

#define MS_PER_S 1000.0
/* A request may take a little longer than the ones before it. */
#define STOP_MARGIN_MS 100
/* Fields that a handed-over request has in addition to those of its caller. */
#define HANDOVER_HEAD_BYTES 1024
/* Longer than peers keep idle connections, so that no request crosses a close. */
#define PEER_IDLE_TIMEOUT_MS 30000

static GgSendBudget *
create_budget (const GgRouter *self)
{
  double window_s = gg_settings_get_decimal (self->settings, "retries", "window_s");
  double ratio = gg_settings_get_decimal (self->settings, "retries", "ratio");
  double extra = gg_settings_get_decimal (self->settings, "retries", "extra");
  return gg_send_budget_create ((uint64_t) (window_s * MS_PER_S), ratio, extra, self->started_ms);
}

GgSendBudget *
gg_router_get_budget (GgRouter *self, const char *service)
{
  GgSendBudget *budget = g_hash_table_lookup (self->budgets, service);
  if (budget != NULL)
    return budget;
  budget = create_budget (self);
  if (self->n_instances > 0)
    gg_send_budget_set_instances (budget, self->n_instances, gg_clock_now_ms ());
  g_hash_table_insert (self->budgets, g_strdup (service), budget);
  return budget;
}

GgUrgency *
gg_router_get_urgency (GgRouter *self, const char *service)
{
  GgUrgency *urgency = g_hash_table_lookup (self->urgencies, service);
  if (urgency != NULL)
    return urgency;
  urgency = g_new0 (GgUrgency, 1);
  g_hash_table_insert (self->urgencies, g_strdup (service), urgency);
  return urgency;
}

GgReturnTime *
gg_router_get_return_time (GgRouter *self, const char *service)
{
  GgReturnTime *return_time = g_hash_table_lookup (self->return_times, service);
  if (return_time != NULL)
    return return_time;
  return_time = g_new0 (GgReturnTime, 1);
  g_hash_table_insert (self->return_times, g_strdup (service), return_time);
  return return_time;
}

void
gg_router_set_instances (GgRouter *self, uint32_t n_instances)
{
  self->n_instances = n_instances;
  uint64_t now_ms = gg_clock_now_ms ();
  GHashTableIter iter;
  void *budget;
  g_hash_table_iter_init (&iter, self->budgets);
  while (g_hash_table_iter_next (&iter, NULL, &budget))
    gg_send_budget_set_instances (budget, n_instances, now_ms);
}

static void
apply_limits (GgRouter *self)
{
  const GgCallerLimits *limits = gg_routing_config_get_limits (self->config);
  GgServerLimits server = { .max_head_bytes = limits->max_head_bytes,
                            .max_body_bytes = limits->max_body_bytes,
                            .head_timeout_ms = limits->head_timeout_ms,
                            .idle_timeout_ms = limits->idle_timeout_ms };
  gg_loop_server_set_limits (self->caller_server, &server);
  gg_client_limits_set_max_body (self->client_limits, limits->max_body_bytes);
  server.max_head_bytes += HANDOVER_HEAD_BYTES;
  server.idle_timeout_ms = PEER_IDLE_TIMEOUT_MS;
  gg_loop_server_set_limits (self->peer_server, &server);
}

void
gg_router_apply_config (GgRouter *self, GgRoutingConfig *config)
{
  uint64_t version = gg_routing_config_get_version (config);
  uint64_t known = self->config != NULL ? gg_routing_config_get_version (self->config) : 0;
  if (self->config != NULL && version <= known)
    {
      if (version < known)
        gg_event_log_add (GG_EVENT_NOTABLE, "config_older_ignored",
                          "version=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT,
                          (guint64) version, (guint64) known);
      gg_routing_config_unref (config);
      return;
    }
  gg_routing_config_unref (self->config);
  self->config = config;
  apply_limits (self);
  gg_event_log_add (GG_EVENT_NOTABLE, "config_applied",
                    "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
                    " routes=%u services=%u",
                    (guint64) version, (guint64) known, gg_routing_config_count_routes (config),
                    gg_routing_config_count_services (config));
}

static gboolean
is_unused (void *route, void *window, void *now_ms)
{
  return gg_duration_window_is_empty (window, *(const uint64_t *) now_ms);
}

void
gg_router_note_duration (GgRouter *self, const char *route, uint64_t duration_ms)
{
  uint64_t now_ms = gg_clock_now_ms ();
  GgDurationWindow *window = g_hash_table_lookup (self->durations, route);
  if (window == NULL)
    {
      /* Configurations add and remove routes. */
      g_hash_table_foreach_remove (self->durations, is_unused, &now_ms);
      window = gg_duration_window_create ();
      g_hash_table_insert (self->durations, g_strdup (route), window);
    }
  gg_duration_window_add (window, duration_ms, now_ms);
}

/* Returns 0 if too little is known. */
static uint64_t
get_typical_ms (const GgRouter *self, const GgCallerRoute *route, uint64_t now_ms)
{
  const GgDurationWindow *window = g_hash_table_lookup (self->durations, route->name);
  if (window == NULL)
    return 0;
  uint64_t typical_ms = gg_duration_window_get_typical_ms (window, now_ms);
  if (typical_ms == 0 && route->kind == GG_REQUEST_NON_IDEMPOTENT)
    return gg_duration_window_get_longest_ms (window, now_ms);
  return typical_ms;
}

gboolean
gg_router_has_time_for (const GgRouter *self, const GgCallerRoute *route, uint64_t limit_ms)
{
  if (self->stop_end_ms == 0)
    return TRUE;
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t typical_ms = get_typical_ms (self, route, now_ms);
  /* One that is cut could be sent again by its caller, unless it may run only once. */
  if (typical_ms == 0 && route->kind == GG_REQUEST_NON_IDEMPOTENT)
    typical_ms = limit_ms;
  return now_ms + MIN (typical_ms, limit_ms) + STOP_MARGIN_MS <= self->stop_end_ms;
}

gboolean
gg_router_has_fresh_keys (const GgRouter *self)
{
  return self->key_age_limit_ms == 0
         || gg_clock_boot_ms () - self->config_fresh_boot_ms <= self->key_age_limit_ms;
}

/* Whether requests reach no runner, neither directly nor by way of a peer, though peers reach some.
 * While no peer does, no instance would serve callers better than this one. */
static gboolean
is_cut_off (const GgRouter *self)
{
  return gg_link_monitor_get_state (self->link_monitor, NULL) == GG_LINKS_DOWN
         && gg_link_exchange_lacks_room (self->link_exchange);
}

gboolean
gg_router_is_ready (const GgRouter *self)
{
  return !self->is_stopping && self->config != NULL && self->has_runner_list
         && gg_router_has_fresh_keys (self) && !is_cut_off (self);
}
