#include "base/daemon_options.h"
#include "base/log.h"
#include "daemons/controld/account_store.h"
#include "daemons/controld/config_watch.h"
#include "daemons/controld/control_http.h"
#include "daemons/controld/control_rpc.h"
#include "daemons/controld/control_settings.h"
#include "daemons/controld/list_reader.h"
#include "daemons/controld/load_collector.h"
#include "daemons/controld/record_sweep.h"
#include "daemons/controld/peer_exchange.h"
#include "greengage/version.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct
{
  GgControlState *state;
  GgKv *kv;
  GgRpcServer *rpc;
  GgControlHttp *http;
  GgListReader *list;
  GgLoadCollector *loads;
  GgPeerExchange *exchange;
  GgAccountStore *store;
} Daemon;

static gboolean
bind_servers (Daemon *daemon, const GgSettings *settings)
{
  GError *error = NULL;
  daemon->rpc = gg_control_rpc_create (daemon->state, daemon->kv, settings, &error);
  if (daemon->rpc != NULL)
    daemon->http = gg_control_http_create (daemon->state, settings, &error);
  if (daemon->http != NULL)
    return TRUE;
  gg_log (LOG_ERR, "event=start-failed error=\"%s\"", error->message);
  g_error_free (error);
  return FALSE;
}

static void
start (Daemon *daemon, const GgSettings *settings)
{
  gg_rpc_server_start (daemon->rpc);
  gg_config_watch_start (daemon->state, daemon->kv, settings);
  daemon->list = gg_list_reader_create (daemon->state, settings);
  daemon->exchange = gg_peer_exchange_create (daemon->state, settings);
  daemon->loads = gg_load_collector_create (daemon->state, settings);
  daemon->store = gg_account_store_create (daemon->state, daemon->kv, settings);
  gg_record_sweep_start (daemon->state, daemon->kv, settings);
  gg_log (LOG_NOTICE, "event=started instance=%s rpc=%s", daemon->state->name,
          daemon->state->rpc_address);
}

/* Does not mark the instance as leaving: its entry process keeps running and reports that itself
 * when it drains. The servers answer until the account is saved. */
static void
stop (Daemon *daemon)
{
  gg_log (LOG_NOTICE, "event=stopping");
  /* Hands the latest state to peers before the threads stop. */
  gg_peer_exchange_announce (daemon->state);
  gg_control_state_stop (daemon->state);
  gg_peer_exchange_destroy (daemon->exchange);
  gg_list_reader_destroy (daemon->list);
  gg_load_collector_destroy (daemon->loads);
  gg_account_store_destroy (daemon->store);
  gg_control_http_destroy (daemon->http);
  gg_rpc_server_destroy (daemon->rpc);
  gg_log (LOG_NOTICE, "event=stopped");
}

static int
run (const GgSettings *settings)
{
  sigset_t signals;
  int received;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);

  Daemon daemon = { .state = gg_control_state_create (settings) };
  char **kv = gg_settings_get_list (settings, "platform", "kv");
  daemon.kv = gg_kv_create ((const char *const *) kv);
  g_strfreev (kv);
  if (!bind_servers (&daemon, settings))
    {
      gg_kv_destroy (daemon.kv);
      gg_control_state_destroy (daemon.state);
      return EXIT_FAILURE;
    }
  start (&daemon, settings);
  sigwait (&signals, &received);
  stop (&daemon);
  /* The threads of the configuration watch and the record sweep may still use the state and the
   * key-value client, so neither is freed and no exit handlers run. */
  _exit (EXIT_SUCCESS);
}

static int
run_with_settings (const GgDaemonOptions *options)
{
  GError *error = NULL;
  GgSettings *settings = gg_settings_create (options->settings_path, gg_control_settings,
                                             gg_control_settings_count, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "greengage-controld: %s\n", error->message);
      g_error_free (error);
      return GG_EXIT_USAGE;
    }
  int status = EXIT_SUCCESS;
  if (options->check_only)
    printf ("%s: settings are valid\n", options->settings_path);
  else
    status = run (settings);
  gg_settings_destroy (settings);
  return status;
}

int
main (int argc, char **argv)
{
  const GgDaemonInfo info = { .program = "greengage-controld",
                              .summary = "Control process of greengagepost: configuration, "
                                         "membership, loads and the account.",
                              .settings = gg_control_settings,
                              .n_settings = gg_control_settings_count };
  GgDaemonOptions options;
  int status;
  gg_log_init (info.program);
  if (gg_daemon_options_parse (&options, &info, argc, argv, &status))
    status = run_with_settings (&options);
  gg_daemon_options_clear (&options);
  return status;
}
