#include "daemons/routerd/team_shares.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/team_share.h"
#include "daemons/routerd/relay_private.h"

#include <math.h>

static GgCounter refused_total
    = GG_COUNTER ("greengage_router_team_share_refused_total",
                  "Requests refused because their team was over its share");

struct _GgTeamShares
{
  GgLoop *loop;
  GHashTable *services; /* service -> Service */
};

typedef struct
{
  char *name;
  GgTeamShare *share;
  GgLoopTimer *timer; /* runs while a team is over its share, so that the end is logged in time */
} Service;

static void
free_service (void *data)
{
  Service *self = data;
  gg_loop_timer_destroy (self->timer);
  gg_team_share_destroy (self->share);
  g_free (self->name);
  g_free (self);
}

static void
on_change (void *data, const GgTeamShareChange *change)
{
  const Service *service = data;
  gg_event_log_add (GG_EVENT_NOTABLE, "team_over_share",
                    "service=%s team=%s state=%s demand=%.0f share=%.0f", service->name,
                    change->team, change->is_over ? "begun" : "ended", change->demand_per_s,
                    isfinite (change->share_per_s) ? change->share_per_s : -1.0);
  if (change->is_over)
    gg_loop_timer_start (service->timer, GG_TEAM_SHARE_INTERVAL_MS);
}

static void
on_timer (void *data)
{
  Service *service = data;
  if (gg_team_share_update (service->share, gg_clock_now_ms ()))
    gg_loop_timer_start (service->timer, GG_TEAM_SHARE_INTERVAL_MS);
}

GgTeamShares *
gg_team_shares_create (GgLoop *loop)
{
  GgTeamShares *self = g_new0 (GgTeamShares, 1);
  self->loop = loop;
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  gg_counter_register (&refused_total);
  return self;
}

void
gg_team_shares_destroy (GgTeamShares *self)
{
  g_hash_table_unref (self->services);
  g_free (self);
}

static gboolean
is_unused (void *name, void *data, void *now_ms)
{
  const Service *service = data;
  gg_team_share_update (service->share, *(const uint64_t *) now_ms);
  return gg_team_share_count_teams (service->share) == 0;
}

/* Returns the shares of the request's service, or NULL if it is not subject to any. */
static GgTeamShare *
get_share (GgTeamShares *self, const GgRelay *relay)
{
  if (relay->team == NULL || relay->service->model == NULL
      || gg_routing_config_count_teams (relay->config) < 2)
    return NULL;
  Service *service = g_hash_table_lookup (self->services, relay->service->name);
  if (service == NULL)
    {
      /* Configurations add and remove services. */
      uint64_t now_ms = gg_clock_now_ms ();
      g_hash_table_foreach_remove (self->services, is_unused, &now_ms);
      service = g_new0 (Service, 1);
      service->name = g_strdup (relay->service->name);
      service->share = gg_team_share_create (on_change, service);
      service->timer = gg_loop_timer_create (self->loop, on_timer, service);
      g_hash_table_insert (self->services, service->name, service);
    }
  return service->share;
}

void
gg_team_shares_note_request (GgTeamShares *self, const GgRelay *relay)
{
  GgTeamShare *share = get_share (self, relay);
  if (share != NULL)
    gg_team_share_note (share, relay->team->name, gg_relay_get_expected_tokens (relay),
                        relay->received_ms);
}

void
gg_team_shares_note_admitted (GgTeamShares *self, GgRelay *relay)
{
  GgTeamShare *share = get_share (self, relay);
  if (share != NULL && !relay->is_sent)
    gg_team_share_note_admitted (share, relay->team->name, gg_relay_get_expected_tokens (relay),
                                 gg_clock_now_ms ());
  relay->is_sent = TRUE;
}

void
gg_team_shares_note_shortage (GgTeamShares *self, const GgRelay *relay)
{
  GgTeamShare *share = get_share (self, relay);
  if (share != NULL)
    gg_team_share_note_shortage (share, relay->team->name, gg_clock_now_ms ());
}

double
gg_team_shares_get_usable_memory (GgTeamShares *self, const GgRelay *relay)
{
  GgTeamShare *share = get_share (self, relay);
  gboolean is_in_flight = relay->send != NULL && relay->send->call != NULL;
  if (share == NULL || is_in_flight || relay->is_head_sent || relay->attempt.n_possible_runs > 0)
    return 1;
  return gg_team_share_get_usable_memory (share, relay->team->name, gg_clock_now_ms ());
}

void
gg_team_shares_note_refused (void)
{
  gg_counter_add (&refused_total, 1);
}
