#include "daemons/controld/record_sweep.h"

#include "base/clock.h"
#include "base/counters.h"
#include "daemons/controld/control_report.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Subject whose recorder, on which all instances agree, does the sweep. */
#define SWEEP_SUBJECT "greengage/ledger"
/* In a shard's document the path of a record is its key with this suffix. */
#define SHARD_PATH_SUFFIX "/record"

static GgCounter lost = GG_COUNTER ("greengage_records_lost_total",
                                    "Bookings found without the entry process that made them");

typedef struct
{
  GgControlState *state;
  GgKv *kv;
  uint64_t period_ms;
  uint64_t owner_lost_ms;
  GHashTable *reported; /* Set of subjects; each open record is reported once. */
} RecordSweep;

static gboolean
is_lost (const RecordSweep *self, JsonObject *record)
{
  gint64 created_ms = json_object_get_int_member_with_default (record, "created_at_ms", 0);
  return strcmp (json_object_get_string_member_with_default (record, "state", ""), "intent") == 0
         && gg_clock_wall_ms () > (uint64_t) created_ms + self->owner_lost_ms;
}

static void
report (RecordSweep *self, const char *subject, JsonObject *record)
{
  if (!g_hash_table_add (self->reported, g_strdup (subject)))
    return;
  char *detail = g_strdup_printf (
      "%s was lost during the call, which may have run; it is not sent again",
      json_object_get_string_member_with_default (record, "owner", "its entry process"));
  gg_counter_add (&lost, 1);
  gg_account_record (self->state->account, "booking-unknown", subject, detail, TRUE,
                     gg_clock_wall_ms ());
  g_free (detail);
}

/* Returns the key of the record, owned by the caller. In the sharded layout it is taken from the
 * path of the record in its document, since all records of a document have the same "key". */
static char *
make_subject (JsonObject *item)
{
  const char *path = json_object_get_string_member (item, "path");
  if (*path == '\0')
    return g_strdup (json_object_get_string_member (item, "key"));
  size_t length = strlen (path);
  return g_strndup (path, g_str_has_suffix (path, SHARD_PATH_SUFFIX)
                              ? length - strlen (SHARD_PATH_SUFFIX)
                              : length);
}

static void
check_record (JsonArray *records, guint i, JsonNode *node, void *data)
{
  RecordSweep *self = data;
  JsonObject *item = json_node_get_object (node);
  JsonObject *record = json_object_get_object_member (item, "record");
  char *subject = make_subject (item);
  if (is_lost (self, record))
    report (self, subject, record);
  g_free (subject);
}

static void
sweep (RecordSweep *self)
{
  char *text = gg_control_report_records (self->state, self->kv);
  JsonNode *root = json_from_string (text, NULL);
  JsonArray *records = json_object_get_array_member (json_node_get_object (root), "records");
  json_array_foreach_element (records, check_record, self);
  json_node_unref (root);
  g_free (text);
}

static void *
run (void *data)
{
  RecordSweep *self = data;
  while (gg_control_state_wait (self->state, self->period_ms))
    if (gg_control_state_is_recorder (self->state, SWEEP_SUBJECT))
      sweep (self);
  g_hash_table_unref (self->reported);
  g_free (self);
  return NULL;
}

void
gg_record_sweep_start (GgControlState *state, GgKv *kv, const GgSettings *settings)
{
  RecordSweep *self = g_new0 (RecordSweep, 1);
  self->state = state;
  self->kv = kv;
  self->period_ms = gg_settings_get_uint (settings, "account", "sweep_ms");
  self->owner_lost_ms = gg_settings_get_uint (settings, "account", "owner_lost_ms");
  self->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gg_counter_register (&lost);
  pthread_t thread;
  gg_control_thread_start (&thread, run, self);
  pthread_detach (thread);
}
