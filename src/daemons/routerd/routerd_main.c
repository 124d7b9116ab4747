#include "base/clock.h"
#include "base/counters.h"
#include "base/daemon_options.h"
#include "base/event_log.h"
#include "base/metric_family.h"
#include "daemons/routerd/answer_memory.h"
#include "daemons/routerd/client_limits.h"
#include "daemons/routerd/config_watcher.h"
#include "daemons/routerd/leaving_exchange.h"
#include "daemons/routerd/limit_exchange.h"
#include "daemons/routerd/link_exchange.h"
#include "daemons/routerd/link_monitor.h"
#include "daemons/routerd/placement_controller.h"
#include "daemons/routerd/problem.h"
#include "daemons/routerd/quarantine_exchange.h"
#include "daemons/routerd/relay.h"
#include "daemons/routerd/router_settings.h"
#include "daemons/routerd/runner_watcher.h"
#include "daemons/routerd/stall_detector.h"
#include "daemons/routerd/team_shares.h"
#include "daemons/routerd/zone_balancer.h"
#include "daemons/routerd/delegated_watch.h"
#include "daemons/routerd/request_queue.h"
#include "daemons/routerd/load_exchange.h"
#include "daemons/routerd/peer_documents.h"
#include "ports/relay_wire.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MS_PER_S 1000
#define LOG_FLUSH_MS 100
/* The balancer polls readiness once a second and removes an instance after two failures; new
 * connections arrive until then. */
#define BALANCER_SETTLE_MS 2600
#define STOP_CHECK_MS 100
/* Time to send the answers to requests that the stop ends. */
#define LAST_ANSWERS_MS 50
/* The process exits this long before it would be killed. */
#define KILL_MARGIN_MS 300
/* The configuration counts as stale for keys this long before the end of keys.revoke_ms, which is
 * counted from the time at which a request was sent. */
#define KEY_MARGIN_MS 150
/* Limits that apply until the configuration is known. */
#define INITIAL_MAX_HEAD_BYTES 16384
#define INITIAL_MAX_BODY_BYTES 65536
#define INITIAL_HEAD_TIMEOUT_MS 3000
#define INITIAL_IDLE_TIMEOUT_MS 15000
/* Limit of the servers for readiness and metrics, which accept no bodies. */
#define SMALL_MAX_HEAD_BYTES 4096

typedef struct
{
  GgRouter router;
  GgSettings *settings;
  GgLoopServer *ready_server;
  GgLoopServer *metrics_server; /* NULL if its address can't be used */
  GgConfigWatcher *config_watcher;
  GgRunnerWatcher *runner_watcher;
  GgMembership *membership;
  GgLoadExchange *load_exchange;
  GgPeerDocumentServer *peer_document_server;
  GgPlacementController *placement_controller;
  GgLoopTimer *log_timer;
  GgLoopTimer *stop_timer;
  uint64_t stop_started_ms;
  gboolean has_ended_requests; /* those that were open at the end of the stop */
  guint n_cut;
  const char *settings_path;
} Daemon;

static void
on_ready_event (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  const GgRouter *router = data;
  if (event->kind == GG_SERVER_REJECTED)
    {
      gg_problem_reply_rejected (connection, event->status);
      return;
    }
  if (event->kind != GG_SERVER_REQUEST)
    return;
  const char *target = gg_message_head_get_target (event->request.head);
  uint32_t status = 404;
  if (strcmp (target, gg_relay_wire_get_ready_path ()) == 0)
    status = gg_router_is_ready (router) ? 200 : 503;
  gg_problem_reply (connection, status, router->is_stopping ? "stopping" : "state", 0);
  gg_message_head_destroy (event->request.head);
  if (event->request.body != NULL)
    g_byte_array_unref (event->request.body);
}

static void
on_metrics_event (void *data, GgServerConnection *connection, const GgServerEvent *event)
{
  if (event->kind == GG_SERVER_REJECTED)
    {
      gg_problem_reply_rejected (connection, event->status);
      return;
    }
  if (event->kind != GG_SERVER_REQUEST)
    return;
  GString *text = g_string_new (NULL);
  gg_counters_expose (text);
  gg_metric_families_expose (text);
  GgMessageHead *head = gg_message_head_create_response (200);
  gg_message_head_add (head, "Content-Type", "text/plain; version=0.0.4");
  gg_server_connection_reply (connection, head, text->str, text->len);
  gg_message_head_destroy (head);
  g_string_free (text, TRUE);
  gg_message_head_destroy (event->request.head);
  if (event->request.body != NULL)
    g_byte_array_unref (event->request.body);
}

static void
on_peer_datagram (void *data, char *bytes, size_t size_bytes)
{
  Daemon *self = data;
  if (!gg_delegated_watch_receive (self->router.delegated_watch, bytes, size_bytes)
      && !gg_quarantine_exchange_receive (self->router.quarantine_exchange, bytes, size_bytes)
      && !gg_limit_exchange_receive (self->router.limit_exchange, bytes, size_bytes)
      && !gg_leaving_exchange_receive (self->router.leaving_exchange, bytes, size_bytes)
      && !gg_link_exchange_receive (self->router.link_exchange, bytes, size_bytes))
    gg_load_exchange_receive (self->load_exchange, bytes, size_bytes);
}

static void
on_log_timer (void *data)
{
  Daemon *self = data;
  gg_event_log_flush ();
  gg_loop_timer_start (self->log_timer, LOG_FLUSH_MS);
}

/* Returns the number of connections of callers and peers with work in progress. */
static guint
count_busy (const Daemon *self)
{
  return gg_loop_server_count_busy (self->router.caller_server)
         + gg_loop_server_count_busy (self->router.peer_server);
}

static void
on_stop_timer (void *data)
{
  Daemon *self = data;
  uint64_t now_ms = gg_clock_now_ms ();
  uint64_t stopped_ms = now_ms - self->stop_started_ms;
  gboolean is_over = now_ms >= self->router.stop_end_ms;
  guint n_busy = count_busy (self);
  if (stopped_ms >= BALANCER_SETTLE_MS)
    {
      self->router.is_refusing = TRUE;
      gg_loop_server_stop_listening (self->router.caller_server);
      gg_loop_server_close_idle (self->router.caller_server);
    }
  if (is_over && !self->has_ended_requests)
    {
      self->has_ended_requests = TRUE;
      self->n_cut = n_busy;
      gg_loop_server_foreach_open (self->router.caller_server, gg_relay_end_for_stop);
      gg_loop_server_foreach_open (self->router.peer_server, gg_relay_end_for_stop);
      gg_loop_timer_start (self->stop_timer, LAST_ANSWERS_MS);
      return;
    }
  if (is_over || (stopped_ms >= BALANCER_SETTLE_MS && n_busy == 0))
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "process_stopped",
                        "ms=%" G_GUINT64_FORMAT " requests_cut=%u", (guint64) stopped_ms,
                        self->n_cut);
      gg_loop_stop (self->router.loop);
      return;
    }
  gg_loop_timer_start (self->stop_timer, MIN (STOP_CHECK_MS, self->router.stop_end_ms - now_ms));
}

/* How long requests may go on in a stop. */
static uint64_t
get_stop_ms (const Daemon *self)
{
  double grace_ms = gg_settings_get_decimal (self->settings, "stop", "grace_s") * MS_PER_S;
  return grace_ms > KILL_MARGIN_MS ? (uint64_t) grace_ms - KILL_MARGIN_MS : 0;
}

static void
on_terminate (void *data)
{
  Daemon *self = data;
  if (self->router.is_stopping)
    return;
  self->router.is_stopping = TRUE;
  self->stop_started_ms = gg_clock_now_ms ();
  self->router.stop_end_ms = self->stop_started_ms + get_stop_ms (self);
  gg_event_log_add (GG_EVENT_NOTABLE, "process_stopping", "signal=TERM requests=%u",
                    count_busy (self));
  gg_loop_server_set_closing (self->router.caller_server);
  gg_loop_server_set_closing (self->router.peer_server);
  gg_membership_leave (self->membership);
  gg_loop_timer_start (self->stop_timer, STOP_CHECK_MS);
}

/* Settings stay in force for the life of the process; a changed file is only checked, and the
 * result logged. */
static void
on_reload (void *data)
{
  Daemon *self = data;
  GError *error = NULL;
  GgSettings *settings
      = gg_settings_create (self->settings_path, gg_router_settings, gg_n_router_settings, &error);
  gg_event_log_add (GG_EVENT_NOTABLE, "settings_read", "valid=%d reason=\"%s\"", settings != NULL,
                    error != NULL ? error->message : "");
  g_clear_error (&error);
  if (settings != NULL)
    gg_settings_destroy (settings);
}

static void
init_router (Daemon *self)
{
  GgRouter *router = &self->router;
  router->settings = self->settings;
  router->started_ms = gg_clock_now_ms ();
  router->loop = gg_loop_create ();
  router->client_limits = gg_client_limits_create (router->loop, self->settings);
  router->answer_memory = gg_answer_memory_create (
      router->loop, gg_client_limits_get_answer_bytes (router->client_limits));
  router->client = gg_loop_client_create (router->loop);
  router->store = gg_store_create (router->loop, router->client,
                                   gg_settings_get_string (self->settings, "store", "address"));
  router->instance = gg_settings_get_string (self->settings, "instance", "name");
  router->data_centre = gg_settings_get_string (self->settings, "instance", "data_centre");
  router->fleet = gg_fleet_create ();
  router->durations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify) gg_duration_window_destroy);
  router->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify) gg_send_budget_destroy);
  router->urgencies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  router->team_shares = gg_team_shares_create (router->loop);
  router->return_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  router->zone_balancer = gg_zone_balancer_create (router);
  router->request_queue = gg_request_queue_create (router->loop);
  router->stall_detector = gg_stall_detector_create (router);
  router->link_monitor = gg_link_monitor_create (router);
  if (gg_settings_get_boolean (self->settings, "keys", "strict"))
    {
      uint64_t revoke_ms = (uint64_t) gg_settings_get_decimal (self->settings, "keys", "revoke_ms");
      router->key_age_limit_ms
          = revoke_ms > 2 * KEY_MARGIN_MS ? revoke_ms - KEY_MARGIN_MS : revoke_ms / 2;
    }
}

static gboolean
open_servers (Daemon *self, GError **error)
{
  GgRouter *router = &self->router;
  GgServerLimits limits = { .max_head_bytes = INITIAL_MAX_HEAD_BYTES,
                            .max_body_bytes = INITIAL_MAX_BODY_BYTES,
                            .head_timeout_ms = INITIAL_HEAD_TIMEOUT_MS,
                            .idle_timeout_ms = INITIAL_IDLE_TIMEOUT_MS };
  GgServerLimits small = limits;
  small.max_head_bytes = SMALL_MAX_HEAD_BYTES;
  small.max_body_bytes = 0;
  router->caller_server = gg_loop_server_create (
      router->loop, gg_settings_get_string (self->settings, "listen", "callers"), &limits,
      gg_relay_on_server_event, router, error);
  if (router->caller_server == NULL)
    return FALSE;
  gg_client_limits_apply (router->client_limits, router->caller_server, GG_CLIENTS_CALLERS);
  self->ready_server = gg_loop_server_create (
      router->loop, gg_settings_get_string (self->settings, "listen", "ready"), &small,
      on_ready_event, router, error);
  if (self->ready_server == NULL)
    return FALSE;
  gg_client_limits_apply (router->client_limits, self->ready_server, GG_CLIENTS_MONITORS);
  GError *cause = NULL;
  self->metrics_server = gg_loop_server_create (
      router->loop, gg_settings_get_string (self->settings, "listen", "metrics"), &small,
      on_metrics_event, router, &cause);
  if (self->metrics_server == NULL)
    {
      gg_event_log_add (GG_EVENT_NOTABLE, "metrics_not_served", "reason=\"%s\"", cause->message);
      g_error_free (cause);
      return TRUE;
    }
  gg_client_limits_apply (router->client_limits, self->metrics_server, GG_CLIENTS_MONITORS);
  return TRUE;
}

static gboolean
start (Daemon *self, GError **error)
{
  GgRouter *router = &self->router;
  const char *peer_address = gg_settings_get_string (self->settings, "listen", "peers");
  init_router (self);
  if (!open_servers (self, error))
    return FALSE;
  router->peer_socket
      = gg_datagram_socket_create (router->loop, peer_address, on_peer_datagram, self, error);
  if (router->peer_socket == NULL)
    return FALSE;
  self->config_watcher = gg_config_watcher_create (router);
  self->runner_watcher = gg_runner_watcher_create (router);
  self->peer_document_server = gg_peer_document_server_create (
      router, self->config_watcher, self->runner_watcher, peer_address, error);
  if (self->peer_document_server == NULL)
    return FALSE;
  gg_client_limits_apply (router->client_limits, router->peer_server, GG_CLIENTS_PEERS);
  self->membership = gg_membership_create (router, peer_address);
  self->load_exchange = gg_load_exchange_create (router, self->membership);
  router->quarantine_exchange = gg_quarantine_exchange_create (router, self->membership);
  router->limit_exchange = gg_limit_exchange_create (router, self->membership);
  router->leaving_exchange = gg_leaving_exchange_create (router, self->membership);
  router->link_exchange = gg_link_exchange_create (router, self->membership, self->load_exchange);
  const GgDelegatedWatchParams watch = { .router = router,
                                         .membership = self->membership,
                                         .config_watcher = self->config_watcher,
                                         .runner_watcher = self->runner_watcher };
  router->delegated_watch = gg_delegated_watch_create (&watch);
  self->placement_controller = gg_placement_controller_create (router, self->membership);
  self->log_timer = gg_loop_timer_create (router->loop, on_log_timer, self);
  self->stop_timer = gg_loop_timer_create (router->loop, on_stop_timer, self);
  gg_loop_timer_start (self->log_timer, LOG_FLUSH_MS);
  gg_loop_watch_signal (router->loop, SIGTERM, on_terminate, self);
  gg_loop_watch_signal (router->loop, SIGINT, on_terminate, self);
  gg_loop_watch_signal (router->loop, SIGHUP, on_reload, self);
  return TRUE;
}

/* Destroys the components in the reverse order of their creation. */
static void
stop (Daemon *self)
{
  GgRouter *router = &self->router;
  gg_loop_server_destroy (router->caller_server);
  gg_loop_server_destroy (self->ready_server);
  gg_loop_server_destroy (self->metrics_server);
  gg_peer_document_server_destroy (self->peer_document_server);
  gg_datagram_socket_destroy (router->peer_socket);
  gg_placement_controller_destroy (self->placement_controller);
  gg_delegated_watch_destroy (router->delegated_watch);
  gg_link_exchange_destroy (router->link_exchange);
  gg_leaving_exchange_destroy (router->leaving_exchange);
  gg_limit_exchange_destroy (router->limit_exchange);
  gg_quarantine_exchange_destroy (router->quarantine_exchange);
  gg_load_exchange_destroy (self->load_exchange);
  gg_membership_destroy (self->membership);
  gg_runner_watcher_destroy (self->runner_watcher);
  gg_config_watcher_destroy (self->config_watcher);
  gg_loop_timer_destroy (self->log_timer);
  gg_loop_timer_destroy (self->stop_timer);
  /* Deferred calls still use the components that are destroyed below. */
  gg_loop_run_deferred (router->loop);
  gg_stall_detector_destroy (router->stall_detector);
  gg_link_monitor_destroy (router->link_monitor);
  gg_request_queue_destroy (router->request_queue);
  gg_zone_balancer_destroy (router->zone_balancer);
  gg_team_shares_destroy (router->team_shares);
  gg_loop_client_destroy (router->client);
  gg_loop_run_deferred (router->loop);
  gg_answer_memory_destroy (router->answer_memory);
  gg_client_limits_destroy (router->client_limits);
  gg_store_destroy (router->store);
  gg_fleet_destroy (router->fleet);
  gg_routing_config_unref (router->config);
  g_hash_table_unref (router->budgets);
  g_hash_table_unref (router->urgencies);
  g_hash_table_unref (router->return_times);
  g_hash_table_unref (router->durations);
  gg_loop_destroy (router->loop);
  gg_settings_destroy (self->settings);
}

static int
run (const GgDaemonOptions *options)
{
  Daemon self = { .settings_path = options->settings_path };
  GError *error = NULL;
  self.settings = gg_settings_create (options->settings_path, gg_router_settings,
                                      gg_n_router_settings, &error);
  if (self.settings == NULL)
    {
      fprintf (stderr, "greengage-routerd: %s\n", error->message);
      g_error_free (error);
      return GG_EXIT_USAGE;
    }
  if (options->check_only)
    {
      gg_settings_destroy (self.settings);
      return EXIT_SUCCESS;
    }
  gg_event_log_init (gg_settings_get_string (self.settings, "instance", "name"), STDOUT_FILENO);
  gg_event_log_add (GG_EVENT_NOTABLE, "process_started", "version=%s pid=%d", GG_VERSION,
                    (int) getpid ());
  if (!start (&self, &error))
    {
      fprintf (stderr, "greengage-routerd: %s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  gg_loop_run (self.router.loop);
  stop (&self);
  gg_event_log_flush ();
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  const GgDaemonInfo info = {
    .program = "greengage-routerd",
    .summary = "Serves callers on the platform: routes requests to runners and places models.",
    .settings = gg_router_settings,
    .n_settings = gg_n_router_settings,
  };
  GgDaemonOptions options;
  int status;
  if (!gg_daemon_options_parse (&options, &info, argc, argv, &status))
    return status;
  signal (SIGPIPE, SIG_IGN);
  status = run (&options);
  gg_daemon_options_clear (&options);
  return status;
}
