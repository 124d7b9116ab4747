/* Protocol of the entry process.
 * Regenerate with script/generate-rpc; the output is committed under gen/. */

const GG_ENTRY_NAME_MAX = 256;
const GG_ENTRY_TEXT_MAX = 4194304;

typedef string gg_entry_name<GG_ENTRY_NAME_MAX>;
typedef string gg_entry_text<GG_ENTRY_TEXT_MAX>;

struct gg_entry_stream_query {
  gg_entry_name request_id;
  gg_entry_name team;
  unsigned int from;    /* number of the first token requested */
  unsigned int wait_ms; /* at most 1000; the reply is sent earlier if there are new tokens */
};

enum gg_entry_stream_state {
  GG_ENTRY_STREAM_UNKNOWN = 0, /* no such stream for this team */
  GG_ENTRY_STREAM_OPEN = 1,
  GG_ENTRY_STREAM_ENDED = 2
};

struct gg_entry_stream_part {
  gg_entry_stream_state state;
  gg_entry_text tokens<>;
  unsigned int outcome; /* GgOutcome, if ended */
  gg_entry_text detail;
};

program GG_ENTRY_PROGRAM {
  version GG_ENTRY_V1 {
    gg_entry_stream_part GG_ENTRY_STREAM_READ (gg_entry_stream_query) = 1;
    gg_entry_text GG_ENTRY_STATUS (void) = 2;
    gg_entry_text GG_ENTRY_DUMP (void) = 3;
    bool GG_ENTRY_DRAIN (void) = 4;
  } = 1;
} = 0x20047002;
