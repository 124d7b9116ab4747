#include "daemons/routerd/router_settings.h"

#define MINUTE_MS (60 * 1000)
/* Messages between instances hold these texts, with a prefix in some. */
#define MAX_NAME_BYTES 120
/* A petabyte. Beyond 2^64 bytes the conversion to an integer gives 0 on x86-64, so that every
 * request is refused, and the greatest number on arm64. */
#define MAX_MEMORY_MB 1000000000

const GgSetting gg_router_settings[] = {
  { "instance", "name", GG_SETTING_STRING, NULL, 0, MAX_NAME_BYTES, "", "Name of this instance." },
  { "instance", "data_centre", GG_SETTING_STRING, NULL, 0, MAX_NAME_BYTES, "",
    "Data centre of this instance." },
  { "instance", "processor_share", GG_SETTING_DECIMAL, "1", 0, 0, "cores",
    "Share of a core that this instance has; larger instances watch the store for smaller ones." },
  { "instance", "first_start", GG_SETTING_BOOLEAN, "false", 0, 0, "",
    "Whether the whole system starts for the first time, all instances at about the same time." },
  { "listen", "callers", GG_SETTING_ADDRESS, NULL, 0, 0, "", "Address for callers." },
  { "listen", "ready", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address at which the platform's balancer polls for readiness." },
  { "listen", "peers", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address for the other instances: load reports and watch messages (UDP), documents and "
    "requests that are handed over (TCP)." },
  { "listen", "metrics", GG_SETTING_ADDRESS, NULL, 0, 0, "", "Address for metrics." },
  { "store", "address", GG_SETTING_ADDRESS, NULL, 0, 0, "", "Address of the platform's store." },
  { "store", "lease_floor_ms", GG_SETTING_DECIMAL, "1000", 1, 10 * MINUTE_MS, "ms",
    "Shortest lease that the store grants." },
  { "runners", "fenced_orders", GG_SETTING_BOOLEAN, "true", 0, 0, "",
    "Whether orders to runners carry the fencing token of the leader." },
  { "retries", "window_s", GG_SETTING_DECIMAL, "10", 0, 0, "s",
    "Time window over which retries to a service are limited." },
  { "retries", "ratio", GG_SETTING_DECIMAL, "0.1", 0, 0, "",
    "Retries allowed for each request in the window." },
  { "retries", "extra", GG_SETTING_DECIMAL, "50", 0, 1000000, "",
    "Additional retries allowed in the window, for all instances together." },
  { "keys", "revoke_ms", GG_SETTING_DECIMAL, "5000", 100, 10 * MINUTE_MS, "ms",
    "Time after which no instance may accept a revoked key." },
  { "keys", "strict", GG_SETTING_BOOLEAN, "true", 0, 0, "",
    "Whether requests with a key are refused while the configuration can't be proven up to date." },
  { "zones", "balance", GG_SETTING_BOOLEAN, "true", 0, 0, "",
    "Whether the instances decide together how many requests leave their data centre; otherwise "
    "each request is placed by itself." },
  { "limits", "memory_mb", GG_SETTING_DECIMAL, "0", 0, MAX_MEMORY_MB, "MB",
    "Memory of the instance; 0: as the operating system reports it." },
  { "limits", "buffer_mb", GG_SETTING_DECIMAL, "0", 0, MAX_MEMORY_MB, "MB",
    "Memory for input and unsent output of all clients together; 0: a fifth of the instance's "
    "memory, but at most 64 MB." },
  { "limits", "connections", GG_SETTING_UINT, "0", 0, 1000000, "",
    "Connections of callers; 0: half of the descriptors that the process may open." },
  { "stop", "grace_s", GG_SETTING_DECIMAL, "8", 0, 0, "s",
    "Time from SIGTERM until the platform kills the process." },
};

const size_t gg_n_router_settings = G_N_ELEMENTS (gg_router_settings);
