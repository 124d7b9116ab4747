/* Protocol of the control process.
 * Regenerate with script/generate-rpc; the output is committed under gen/. */

const GG_RPC_NAME_MAX = 256;
const GG_RPC_TEXT_MAX = 4194304;
const GG_RPC_MEMBERS_MAX = 8192;
const GG_RPC_LOAD_SIZE = 8;

typedef string gg_rpc_name<GG_RPC_NAME_MAX>;
typedef string gg_rpc_text<GG_RPC_TEXT_MAX>;

struct gg_rpc_member {
  gg_rpc_name id;
  unsigned hyper incarnation;
  unsigned int role;   /* GgMemberRole */
  unsigned int state;  /* GgMemberState */
  gg_rpc_name address;
  gg_rpc_name control_address;
  gg_rpc_name entry_rpc_address;
  gg_rpc_name data_centre;
  gg_rpc_name service;
  unsigned int first_layer;
  unsigned int end_layer;
  gg_rpc_name accelerator;
};

struct gg_rpc_load {
  unsigned int runner_hash;
  unsigned int outstanding_tokens;
  unsigned int tokens_per_s;
  unsigned int age_ms;
  bool leaving;
};

/* Request rate of one team, in thousandths of a request per second. */
struct gg_rpc_team_use {
  gg_rpc_name team;
  unsigned int milli_requests_per_s;
};

/* Entry process to its control process. */
struct gg_rpc_snapshot_query {
  unsigned hyper known_generation;
  unsigned hyper known_members_version;
};

struct gg_rpc_snapshot {
  unsigned hyper generation;
  gg_rpc_text config_json;   /* empty if the generation is known */
  unsigned hyper members_version;
  gg_rpc_member members<GG_RPC_MEMBERS_MAX>; /* empty if the version is known */
  gg_rpc_load loads<GG_RPC_MEMBERS_MAX>;
  gg_rpc_team_use remote_use<>;
  bool ready; /* a configuration and a member list are known */
};

struct gg_rpc_leaving {
  gg_rpc_name id;
  unsigned hyper incarnation;
};

struct gg_rpc_account_event {
  gg_rpc_name kind;
  gg_rpc_name subject;
  gg_rpc_text detail;
  bool needs_person;
  unsigned hyper wall_ms;
};

/* Report of an entry process to its control process; also sent when a peer drains. */
struct gg_rpc_report {
  gg_rpc_name sender;
  unsigned hyper sequence; /* a repeated report is ignored */
  gg_rpc_leaving leaving<>;
  gg_rpc_account_event events<>;
  gg_rpc_team_use local_use<>;
};

/* Between control processes, over UDP; idempotent. */
struct gg_rpc_model_sum {
  gg_rpc_name service;
  unsigned int runners;
  unsigned int outstanding_tokens;
  unsigned int tokens_per_s;
};

struct gg_rpc_team_share {
  unsigned int team_hash; /* names would take up most of a digest between data centres */
  unsigned int milli_requests_per_s;
};

struct gg_rpc_digest {
  gg_rpc_name sender;
  gg_rpc_name data_centre;
  unsigned hyper generation;
  opaque loads<65536>; /* records of GG_RPC_LOAD_SIZE bytes, see core/load_record.h */
  gg_rpc_leaving leaving<>;
  gg_rpc_team_share use<>; /* request rates at the sender only */
  gg_rpc_model_sum sums<>;
};

program GG_CONTROL_PROGRAM {
  version GG_CONTROL_V1 {
    gg_rpc_snapshot GG_CONTROL_SNAPSHOT (gg_rpc_snapshot_query) = 1;
    gg_rpc_digest GG_CONTROL_EXCHANGE (gg_rpc_digest) = 2;
    gg_rpc_text GG_CONTROL_CONFIG_FETCH (unsigned hyper) = 3; /* empty if there is none newer */
    bool GG_CONTROL_REPORT (gg_rpc_report) = 4;
    gg_rpc_text GG_CONTROL_STATUS (void) = 5;  /* JSON */
    gg_rpc_text GG_CONTROL_DUMP (void) = 6;    /* JSON */
    bool GG_CONTROL_DRAIN (gg_rpc_leaving) = 7; /* marks an instance as leaving */
    gg_rpc_text GG_CONTROL_ACCOUNT (unsigned hyper) = 8; /* JSON, since ms of the Unix epoch */
    bool GG_CONTROL_ACCOUNT_COPY (gg_rpc_text) = 9; /* a peer's unsaved entries */
    gg_rpc_text GG_CONTROL_RECORDS (void) = 10; /* JSON, records in intent or unknown */
  } = 1;
} = 0x20047001;
