#include "daemons/controld/control_settings.h"

#define MINUTE_MS (60 * 1000)

const GgSetting gg_control_settings[] = {
  { "instance", "name", GG_SETTING_STRING, NULL, 0, 0, "",
    "Name of this instance; the same as in the settings of the entry process." },
  { "instance", "data_centre", GG_SETTING_STRING, NULL, 0, 0, "", "Data centre of this instance." },
  { "listen", "rpc", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address for the entry process, peers and greengagectl (TCP and UDP)." },
  { "listen", "http", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address for health checks and metrics." },
  { "platform", "kv", GG_SETTING_ADDRESS_LIST, NULL, 0, 0, "",
    "Addresses of the platform's key-value service." },
  { "platform", "list", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address of the platform's list of instances." },
  { "platform", "list_poll_ms", GG_SETTING_UINT, "500", 50, MINUTE_MS, "ms",
    "How often the list of instances is read." },
  { "platform", "watch_ms", GG_SETTING_UINT, "3000", 100, 10 * MINUTE_MS, "ms",
    "Longest wait of one watch on the configuration; a dead connection delays updates by as "
    "much." },
  { "platform", "backoff_max_ms", GG_SETTING_UINT, "5000", 100, 10 * MINUTE_MS, "ms",
    "Longest pause between attempts while the platform is down." },
  { "peers", "seeds", GG_SETTING_ADDRESS_LIST, "", 0, 0, "",
    "Control addresses of peers to start from while the list can't be read." },
  { "peers", "exchange_ms", GG_SETTING_UINT, "500", 50, MINUTE_MS, "ms",
    "How often digests are exchanged with a few peers." },
  { "peers", "fanout", GG_SETTING_UINT, "2", 1, 16, "", "Peers per exchange." },
  { "loads", "poll_ms", GG_SETTING_UINT, "250", 20, MINUTE_MS, "ms",
    "How often the load of a runner is collected." },
  { "members", "hold_ms", GG_SETTING_UINT, "10000", 0, 60 * MINUTE_MS, "ms",
    "How long a member that vanished from the list is kept." },
  { "account", "max_entries", GG_SETTING_UINT, "500", 10, 5000, "",
    "Entries of the account kept per instance." },
  { "account", "save_ms", GG_SETTING_UINT, "1000", 50, MINUTE_MS, "ms",
    "How often new entries of the account are written to the platform." },
  { "account", "sweep_ms", GG_SETTING_UINT, "30000", 100, 60 * MINUTE_MS, "ms",
    "How often one instance looks for bookings whose entry process was lost." },
  { "account", "owner_lost_ms", GG_SETTING_UINT, "30000", 100, 60 * MINUTE_MS, "ms",
    "Age at which an open booking counts as lost; above the longest timeout of a service." },
};

const size_t gg_control_settings_count = G_N_ELEMENTS (gg_control_settings);
