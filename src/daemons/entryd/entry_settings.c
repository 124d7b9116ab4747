#include "daemons/entryd/entry_settings.h"

#define MINUTE_MS (60 * 1000)
#define HOUR_MS (60 * MINUTE_MS)

const GgSetting gg_entry_settings[] = {
  { "instance", "name", GG_SETTING_STRING, NULL, 0, 0, "",
    "Name of this instance; unique in the fleet." },
  { "instance", "data_centre", GG_SETTING_STRING, NULL, 0, 0, "", "Data centre of this instance." },
  { "listen", "callers", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address for callers, health checks and metrics." },
  { "listen", "rpc", GG_SETTING_ADDRESS, NULL, 0, 0, "", "Address for peers and greengagectl." },
  { "control", "rpc", GG_SETTING_ADDRESS, NULL, 0, 0, "",
    "Address of the control process on this instance." },
  { "control", "poll_ms", GG_SETTING_UINT, "100", 10, 10000, "ms",
    "How often the snapshot is requested." },
  { "platform", "kv", GG_SETTING_ADDRESS_LIST, NULL, 0, 0, "",
    "Addresses of the platform's key-value service." },
  { "limits", "max_connections", GG_SETTING_UINT, "1000", 1, 100000, "",
    "Open connections of callers." },
  { "limits", "max_body_bytes", GG_SETTING_UINT, "1048576", 1024, 67108864, "bytes",
    "Largest request body; a team's own limit may be lower." },
  { "limits", "max_tokens", GG_SETTING_UINT, "4096", 1, 1000000, "",
    "Largest max_tokens of a request." },
  { "limits", "retained_bytes", GG_SETTING_UINT, "4194304", 0, 1073741824, "bytes",
    "Stage inputs kept per answer for replay; above it a lost stage restarts the answer." },
  { "streams", "grace_ms", GG_SETTING_UINT, "10000", 0, HOUR_MS, "ms",
    "How long an answer without a reader continues, and how long it stays readable after its "
    "end." },
  { "requests", "deadline_ms", GG_SETTING_UINT, "60000", 100, HOUR_MS, "ms",
    "Maximum duration of a request." },
  { "requests", "target_wait_ms", GG_SETTING_UINT, "500", 1, HOUR_MS, "ms",
    "Predicted wait above which fair shares of teams are enforced." },
  { "requests", "max_wait_ms", GG_SETTING_UINT, "2000", 1, HOUR_MS, "ms",
    "Predicted wait above which a request is refused." },
  { "requests", "retry_percent", GG_SETTING_UINT, "10", 0, 100, "%",
    "Retries per hundred first attempts." },
  { "routing", "remote_link_us", GG_SETTING_UINT, "1000", 0, 10000000, "us",
    "One-way cost of a link to a runner in another data centre." },
  { "routing", "policy", GG_SETTING_STRING, "predicted", 0, 0, "",
    "predicted, random, round-robin or least-reported; all but the first are baselines." },
  { "ledger", "layout", GG_SETTING_STRING, "record", 0, 0, "",
    "record (one key per call) or sharded (group commit)." },
  { "ledger", "shards", GG_SETTING_UINT, "16", 1, 4096, "",
    "Documents of the sharded layout; the same at all instances." },
  { "ledger", "write_timeout_ms", GG_SETTING_UINT, "1000", 10, MINUTE_MS, "ms",
    "Timeout of each call to the key-value service." },
  { "ledger", "owner_lost_ms", GG_SETTING_UINT, "10000", 100, HOUR_MS, "ms",
    "Age at which another instance's open record counts as lost." },
  { "drain", "balancer_settle_ms", GG_SETTING_UINT, "2000", 0, 10 * MINUTE_MS, "ms",
    "How long new requests are accepted after a stop was requested." },
  { "drain", "timeout_ms", GG_SETTING_UINT, "120000", 0, HOUR_MS, "ms",
    "Maximum time to finish work in flight; work that is still unfinished is aborted and "
    "reported." },
};

const size_t gg_entry_settings_count = G_N_ELEMENTS (gg_entry_settings);
