#include "daemons/routerd/link_monitor.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/request_queue.h"
#include "loop/fetch.h"
#include "ports/relay_wire.h"

#include <string.h>

#define CHECK_MS 50
/* Probes that are sent at the beginning of a doubt, CHECK_MS apart, so that an answer to the first
 * makes the others needless. */
#define FIRST_PROBES 3
#define PROBE_INTERVAL_MS 300
#define CONNECT_TIMEOUT_MS 300
#define ANSWER_TIMEOUT_MS 400
#define MAX_BODY_BYTES (256 * 1024)
/* What was received so long ago is too old for the answer to a peer. */
#define REFRESH_MS 300
/* Links that were in doubt for so long have failed, even if no peer reports that it reaches
 * runners: what was counted against the runners meanwhile is no evidence against them. */
#define PARTITION_MS 1000

/* The links to the runners of one service, or to all. */
typedef struct
{
  char *service; /* NULL for all */
  GgLinkState state;
  uint64_t doubted_ms;    /* since when they are not up */
  gboolean has_been_down; /* since then */
  guint n_probes;         /* since then */
  uint64_t probed_ms;
} Links;

typedef struct
{
  GgLinkMonitor *monitor;
  GgFleetRunner *runner;
  GgLoopFetch *fetch; /* NULL once it has ended */
  uint64_t sent_ms;
} Probe;

struct _GgLinkMonitor
{
  GgRouter *router;
  GgLinkHealth *health;
  GgLoopTimer *timer;
  gboolean is_timer_running;
  gboolean is_due; /* the timer expires at once */
  Links all;
  GHashTable *services; /* name -> Links */
  GHashTable *probes;   /* set of Probe */
  gboolean is_doubted;  /* some links are not up */
  gboolean is_querying;
};

static GgCounter probes_total
    = GG_COUNTER ("greengage_router_link_probes_total",
                  "Probes of runners while links of this instance are in doubt or down");
static GgCounter down_total = GG_COUNTER ("greengage_router_links_down_total",
                                          "Times that links of this instance went down");
static GgCounter links_state
    = GG_GAUGE ("greengage_router_links_state",
                "Links of this instance to all runners: 0 up, 1 in doubt, 2 down");

static void
free_links (void *data)
{
  Links *links = data;
  g_free (links->service);
  g_free (links);
}

static void
free_probe (void *data)
{
  Probe *probe = data;
  gg_loop_fetch_cancel (probe->fetch);
  gg_fleet_runner_unref (probe->runner);
  g_free (probe);
}

static Links *
get_links (GgLinkMonitor *self, const char *service)
{
  Links *links = g_hash_table_lookup (self->services, service);
  if (links != NULL)
    return links;
  links = g_new0 (Links, 1);
  links->service = g_strdup (service);
  g_hash_table_insert (self->services, links->service, links);
  return links;
}

static void
schedule_check (GgLinkMonitor *self)
{
  if (self->is_timer_running)
    return;
  self->is_timer_running = TRUE;
  gg_loop_timer_start (self->timer, CHECK_MS);
}

static void
schedule_check_now (GgLinkMonitor *self)
{
  if (self->is_due)
    return;
  self->is_timer_running = TRUE;
  self->is_due = TRUE;
  gg_loop_timer_start (self->timer, 0);
}

static void
on_probed (void *data, const GgFetchResult *result)
{
  Probe *probe = data;
  GgLinkMonitor *self = probe->monitor;
  const GgRunnerRecord *record = &probe->runner->record;
  probe->fetch = NULL;
  /* Any status shows that the runner can be reached. */
  if (result->end == GG_FETCH_ANSWERED)
    gg_link_health_note_received (self->health, record->service, gg_clock_now_ms ());
  else
    gg_link_health_note_probe_failed (self->health, record->service, record->id, probe->sent_ms,
                                      gg_clock_now_ms ());
  g_hash_table_remove (self->probes, probe);
  schedule_check_now (self);
}

static gboolean
is_probed (const GgLinkMonitor *self, const GgFleetRunner *runner)
{
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, self->probes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((const Probe *) key)->runner == runner)
      return TRUE;
  return FALSE;
}

gboolean
gg_link_monitor_may_probe (const GgLinkMonitor *self, const GgFleetRunner *runner)
{
  return !runner->record.is_leaving
         && gg_retry_after_may_send (&runner->retry_after, gg_clock_now_ms ())
         && gg_fleet_runner_has_permit (runner, gg_clock_boot_ms ())
         && gg_routing_config_find_service (self->router->config, runner->record.service) != NULL;
}

static gboolean
may_probe (const GgLinkMonitor *self, const char *service, const GgFleetRunner *runner)
{
  return (service == NULL || strcmp (runner->record.service, service) == 0)
         && gg_link_monitor_may_probe (self, runner) && !is_probed (self, runner);
}

/* Returns a random runner, one without failures if there is any; NULL for none. */
static GgFleetRunner *
choose_runner (const GgLinkMonitor *self, const char *service)
{
  const GgFleet *fleet = self->router->fleet;
  GgFleetRunner *best = NULL;
  guint n_best = 0;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      if (!may_probe (self, service, runner)
          || (best != NULL && best->failures == 0 && runner->failures > 0))
        continue;
      if (best != NULL && best->failures > 0 && runner->failures == 0)
        n_best = 0;
      if (g_random_int_range (0, (gint32) ++n_best) == 0)
        best = runner;
    }
  return best;
}

GgMessageHead *
gg_link_monitor_build_probe (const GgLinkMonitor *self, const GgFleetRunner *runner)
{
  const GgRoutedService *service
      = gg_routing_config_find_service (self->router->config, runner->record.service);
  if (service->model != NULL)
    return gg_relay_wire_build_report_request (runner->record.id);
  return gg_relay_wire_build_health_request (runner->record.id, service->health_path);
}

/* Probes a runner over a new connection: those that are kept may live on in a partition. */
static void
send_probe (GgLinkMonitor *self, Links *links, uint64_t now_ms)
{
  GgFleetRunner *runner
      = self->router->config != NULL ? choose_runner (self, links->service) : NULL;
  links->probed_ms = now_ms;
  if (runner == NULL)
    return;
  Probe *probe = g_new0 (Probe, 1);
  probe->monitor = self;
  probe->runner = gg_fleet_runner_ref (runner);
  probe->sent_ms = now_ms;
  GgMessageHead *head = gg_link_monitor_build_probe (self, runner);
  const GgFetchRequest request = { .call = { .address = runner->record.address,
                                             .head = head,
                                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                             .max_idle_ms = 0 },
                                   .timeout_ms = ANSWER_TIMEOUT_MS,
                                   .max_body_bytes = MAX_BODY_BYTES };
  gg_fleet_runner_take_permit (runner, gg_clock_boot_ms ());
  probe->fetch
      = gg_loop_fetch (self->router->loop, self->router->client, &request, on_probed, probe);
  g_hash_table_add (self->probes, probe);
  gg_counter_add (&probes_total, 1);
  gg_message_head_destroy (head);
}

static const char *
get_state_name (GgLinkState state)
{
  switch (state)
    {
    case GG_LINKS_UP:
      return "up";
    case GG_LINKS_DOUBT:
      return "doubt";
    case GG_LINKS_DOWN:
      return "down";
    }
  return "?";
}

static void
log_change (const GgLinkMonitor *self, const Links *links, GgEventClass class, uint64_t now_ms)
{
  uint64_t age_ms = gg_link_health_get_received_age_ms (self->health, links->service, now_ms);
  char *age = age_ms == G_MAXUINT64 ? g_strdup ("-")
                                    : g_strdup_printf ("%" G_GUINT64_FORMAT, (guint64) age_ms);
  gg_event_log_add (class, "links_changed", "state=%s service=%s received_ms=%s probes=%u",
                    get_state_name (links->state), links->service != NULL ? links->service : "-",
                    age, links->n_probes);
  g_free (age);
}

static void
set_state (GgLinkMonitor *self, Links *links, GgLinkState state, uint64_t now_ms)
{
  if (links->state == state)
    return;
  if (links->state == GG_LINKS_UP)
    links->doubted_ms = now_ms;
  links->state = state;
  gboolean is_notable = state == GG_LINKS_DOWN || links->has_been_down;
  log_change (self, links, is_notable ? GG_EVENT_NOTABLE : GG_EVENT_ORDINARY, now_ms);
  switch (state)
    {
    case GG_LINKS_UP:
      if (links->has_been_down || now_ms - links->doubted_ms >= PARTITION_MS)
        gg_fleet_clear_failures (self->router->fleet, links->service);
      links->has_been_down = FALSE;
      links->n_probes = 0;
      break;
    case GG_LINKS_DOUBT:
      break;
    case GG_LINKS_DOWN:
      links->has_been_down = TRUE;
      gg_counter_add (&down_total, 1);
      break;
    }
  if (is_notable)
    gg_request_queue_wake (self->router->request_queue);
}

static void
probe_if_due (GgLinkMonitor *self, Links *links, uint64_t now_ms)
{
  uint64_t interval_ms = links->n_probes < FIRST_PROBES ? CHECK_MS : PROBE_INTERVAL_MS;
  if (links->state == GG_LINKS_UP || now_ms - links->probed_ms < interval_ms)
    return;
  links->n_probes++;
  send_probe (self, links, now_ms);
}

/* Probes, and returns whether the peers are to be queried: that some failure confirms the doubt
 * keeps slow answers from causing queries. */
static gboolean
update_links (GgLinkMonitor *self, Links *links, uint64_t now_ms)
{
  set_state (self, links, gg_link_health_get_state (self->health, links->service, now_ms), now_ms);
  probe_if_due (self, links, now_ms);
  self->is_doubted |= links->state != GG_LINKS_UP;
  return links->state == GG_LINKS_DOWN
         || (links->state == GG_LINKS_DOUBT
             && gg_link_health_has_failures (self->health, links->service, now_ms));
}

static void
set_querying (GgLinkMonitor *self, gboolean is_querying)
{
  if (self->is_querying == is_querying)
    return;
  self->is_querying = is_querying;
  gg_link_exchange_set_querying (self->router->link_exchange, is_querying);
}

static void
on_check (void *data)
{
  GgLinkMonitor *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  self->is_timer_running = FALSE;
  self->is_due = FALSE;
  self->is_doubted = FALSE;
  gboolean needs_peers = update_links (self, &self->all, now_ms);
  gg_counter_set (&links_state, self->all.state);
  /* While all links are in doubt, their probes tell; those to a single service are judged later. */
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->services);
  while (self->all.state == GG_LINKS_UP && g_hash_table_iter_next (&iter, NULL, &value))
    needs_peers |= update_links (self, value, now_ms);
  set_querying (self, needs_peers);
  if (self->is_doubted || gg_link_health_is_awaiting (self->health))
    schedule_check (self);
}

void
gg_link_monitor_note_sent (GgLinkMonitor *self, const char *service)
{
  get_links (self, service);
  gg_link_health_note_sent (self->health, service, gg_clock_now_ms ());
  schedule_check (self);
}

void
gg_link_monitor_note_ended (GgLinkMonitor *self, const char *service)
{
  gg_link_health_note_ended (self->health, service);
}

void
gg_link_monitor_note_received (GgLinkMonitor *self, const GgFleetRunner *runner)
{
  gg_link_health_note_received (self->health, runner->record.service, gg_clock_now_ms ());
  if (self->is_doubted)
    schedule_check_now (self);
}

void
gg_link_monitor_note_missed (GgLinkMonitor *self, const GgFleetRunner *runner, uint64_t since_ms)
{
  get_links (self, runner->record.service);
  gg_link_health_note_missed (self->health, runner->record.service, runner->record.id, since_ms,
                              gg_clock_now_ms ());
  schedule_check_now (self);
}

void
gg_link_monitor_note_peer_received (GgLinkMonitor *self,
                                    const char *service,
                                    uint64_t received_age_ms)
{
  gg_link_health_note_peer_received (self->health, service, received_age_ms, gg_clock_now_ms ());
  if (self->is_doubted)
    schedule_check_now (self);
}

void
gg_link_monitor_refresh (GgLinkMonitor *self, const char *service)
{
  uint64_t now_ms = gg_clock_now_ms ();
  if (self->router->config == NULL
      || gg_routing_config_find_service (self->router->config, service) == NULL
      || gg_link_monitor_get_received_age_ms (self, service) < REFRESH_MS)
    return;
  Links *links = get_links (self, service);
  if (now_ms - links->probed_ms >= REFRESH_MS)
    send_probe (self, links, now_ms);
}

GgLinkState
gg_link_monitor_get_state (const GgLinkMonitor *self, const char *service)
{
  return gg_link_health_get_state (self->health, service, gg_clock_now_ms ());
}

uint64_t
gg_link_monitor_get_received_age_ms (const GgLinkMonitor *self, const char *service)
{
  return gg_link_health_get_received_age_ms (self->health, service, gg_clock_now_ms ());
}

gboolean
gg_link_monitor_is_runner_at_fault (const GgLinkMonitor *self,
                                    const char *service,
                                    uint64_t missed_ms)
{
  return gg_link_health_is_runner_at_fault (self->health, service, missed_ms, gg_clock_now_ms ());
}

GgLinkMonitor *
gg_link_monitor_create (GgRouter *router)
{
  GgLinkMonitor *self = g_new0 (GgLinkMonitor, 1);
  self->router = router;
  self->health = gg_link_health_create ();
  self->timer = gg_loop_timer_create (router->loop, on_check, self);
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_links);
  self->probes = g_hash_table_new_full (NULL, NULL, free_probe, NULL);
  gg_counter_register (&down_total);
  gg_counter_set (&links_state, GG_LINKS_UP);
  return self;
}

void
gg_link_monitor_destroy (GgLinkMonitor *self)
{
  gg_loop_timer_destroy (self->timer);
  g_hash_table_unref (self->probes);
  g_hash_table_unref (self->services);
  gg_link_health_destroy (self->health);
  g_free (self);
}
