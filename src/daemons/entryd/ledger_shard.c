#include "daemons/entryd/ledger_shard.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/json.h"
#include "core/mutation.h"

#include <json-glib/json-glib.h>
#include <pthread.h>
#include <string.h>

/* Attempts to commit a batch, in case of conflicts with other instances, before its writes fail. */
#define MAX_COMMIT_ATTEMPTS 8
#define CONFLICT_BACKOFF_US 2000
/* Above this size records older than PRUNE_AGE_MS are removed; the platform limits values to one
 * megabyte. */
#define PRUNE_ABOVE_BYTES (768 * 1024)
#define PRUNE_AGE_MS (24ULL * 3600 * 1000)

static GgCounter commits
    = GG_COUNTER ("greengage_ledger_commits_total", "Group commits of booking records");
static GgCounter committed
    = GG_COUNTER ("greengage_ledger_committed_total", "Booking records written by group commits");
static GgCounter conflicts = GG_COUNTER ("greengage_ledger_races_total",
                                         "Group commits that lost a race against another instance");

typedef struct
{
  const char *record;
  const char *text;
  uint64_t version;
  GgKvResult result;
  gboolean done;
} Write;

struct _GgLedgerShard
{
  GgKv *kv;
  char *key;
  uint64_t timeout_ms;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *waiting; /* Write */
  gboolean committing;
};

GgLedgerShard *
gg_ledger_shard_create (GgKv *kv, const char *key, uint64_t timeout_ms)
{
  GgLedgerShard *self = g_new0 (GgLedgerShard, 1);
  self->kv = kv;
  self->key = g_strdup (key);
  self->timeout_ms = timeout_ms;
  self->waiting = g_ptr_array_new ();
  pthread_mutex_init (&self->lock, NULL);
  pthread_cond_init (&self->changed, NULL);
  return self;
}

void
gg_ledger_shard_destroy (GgLedgerShard *self)
{
  if (self == NULL)
    return;
  g_ptr_array_unref (self->waiting);
  pthread_cond_destroy (&self->changed);
  pthread_mutex_destroy (&self->lock);
  g_free (self->key);
  g_free (self);
}

/* Reads the document as an object of records, which is empty if the document does not exist. */
static GgKvResult
read_document (GgLedgerShard *self,
               JsonParser *parser,
               JsonObject **records_out,
               uint64_t *version_out)
{
  GgKvValue value = { 0 };
  *version_out = 0;
  GgKvResult result
      = gg_kv_get (self->kv, self->key, gg_clock_now_ms () + self->timeout_ms, &value);
  if (result != GG_KV_OK)
    {
      gg_kv_value_clear (&value);
      if (result != GG_KV_ABSENT)
        return GG_KV_UNREACHABLE;
      *records_out = json_object_new ();
      return GG_KV_OK;
    }

  *version_out = value.version;
  JsonNode *root = gg_json_check (value.text, strlen (value.text), NULL)
                           && json_parser_load_from_data (parser, value.text, -1, NULL)
                       ? json_parser_get_root (parser)
                       : NULL;
  gg_kv_value_clear (&value);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return GG_KV_UNREACHABLE;
  *records_out = json_object_ref (json_node_get_object (root));
  return GG_KV_OK;
}

static JsonObject *
find_record (JsonObject *records, const char *name)
{
  JsonNode *node = json_object_get_member (records, name);
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static uint64_t
get_version (JsonObject *record)
{
  return record != NULL ? (uint64_t) json_object_get_int_member_with_default (record, "version", 0)
                        : 0;
}

GgKvResult
gg_ledger_shard_read (GgLedgerShard *self, const char *name, char **text_out, uint64_t *version_out)
{
  uint64_t document_version;
  JsonObject *records = NULL;
  JsonParser *parser = json_parser_new ();
  *text_out = NULL;
  *version_out = 0;
  GgKvResult result = read_document (self, parser, &records, &document_version);
  if (result == GG_KV_OK)
    {
      JsonObject *record = find_record (records, name);
      *version_out = get_version (record);
      JsonNode *stored = record != NULL ? json_object_get_member (record, "record") : NULL;
      *text_out = stored != NULL ? json_to_string (stored, FALSE) : NULL;
      result = record != NULL ? GG_KV_OK : GG_KV_ABSENT;
      json_object_unref (records);
    }
  g_object_unref (parser);
  return result;
}

/* Applies one write to the document, or marks it as a conflict. Returns whether the document has
 * changed. */
static gboolean
apply_write (JsonObject *records, Write *write)
{
  JsonObject *old = find_record (records, write->record);
  if (get_version (old) != write->version && !GG_IS_MUTATED ("ledger-shard-skip-version"))
    {
      write->result = GG_KV_CONFLICT;
      return FALSE;
    }
  JsonObject *record = json_object_new ();
  json_object_set_int_member (record, "version", (gint64) write->version + 1);
  json_object_set_int_member (record, "written_ms", (gint64) gg_clock_wall_ms ());
  /* Stored as an object and not as a string, so that greengagectl records finds it. */
  json_object_set_member (record, "record", json_from_string (write->text, NULL));
  json_object_set_object_member (records, write->record, record);
  write->result = GG_KV_OK;
  return TRUE;
}

static void
prune (JsonObject *records)
{
  uint64_t now = gg_clock_wall_ms ();
  GList *names = json_object_get_members (records);
  for (GList *l = names; l != NULL; l = l->next)
    {
      JsonObject *record = find_record (records, l->data);
      uint64_t written
          = record != NULL
                ? (uint64_t) json_object_get_int_member_with_default (record, "written_ms", 0)
                : 0;
      if (written + PRUNE_AGE_MS < now)
        json_object_remove_member (records, l->data);
    }
  g_list_free (names);
}

static char *
format_records (JsonObject *records)
{
  JsonNode *root = json_node_new (JSON_NODE_OBJECT);
  json_node_set_object (root, records);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  return text;
}

static char *
format_bounded (JsonObject *records)
{
  char *text = format_records (records);
  if (strlen (text) <= PRUNE_ABOVE_BYTES)
    return text;
  g_free (text);
  prune (records);
  return format_records (records);
}

static void
set_results (GPtrArray *batch, GgKvResult from, GgKvResult to)
{
  for (guint i = 0; i < batch->len; i++)
    {
      Write *write = g_ptr_array_index (batch, i);
      if (write->result == from)
        write->result = to;
    }
}

/* Makes one attempt: a read and a compare-and-swap. Returns GG_KV_CONFLICT if another instance has
 * written the document in between. */
static GgKvResult
try_commit (GgLedgerShard *self, GPtrArray *batch)
{
  uint64_t version;
  JsonObject *records = NULL;
  JsonParser *parser = json_parser_new ();
  GgKvResult result = read_document (self, parser, &records, &version);
  if (result == GG_KV_OK)
    {
      gboolean changed = FALSE;
      for (guint i = 0; i < batch->len; i++)
        changed = apply_write (records, g_ptr_array_index (batch, i)) || changed;
      if (changed)
        {
          char *text = format_bounded (records);
          result = gg_kv_put_if_version (self->kv, self->key, text, version,
                                         gg_clock_now_ms () + self->timeout_ms);
          g_free (text);
        }
      json_object_unref (records);
    }
  g_object_unref (parser);
  return result;
}

static void
commit (GgLedgerShard *self, GPtrArray *batch)
{
  GgKvResult result = GG_KV_CONFLICT;
  gg_counter_add (&commits, 1);
  gg_counter_add (&committed, batch->len);
  for (int i = 0; i < MAX_COMMIT_ATTEMPTS && result == GG_KV_CONFLICT; i++)
    {
      if (i > 0)
        {
          gg_counter_add (&conflicts, 1);
          g_usleep ((gulong) g_random_int_range (1, CONFLICT_BACKOFF_US * i));
        }
      result = try_commit (self, batch);
    }
  switch (result)
    {
    case GG_KV_OK:
      break;
    case GG_KV_ABSENT:
    case GG_KV_CONFLICT:
    case GG_KV_UNREACHABLE:
      /* None of the batch was written. */
      set_results (batch, GG_KV_OK, GG_KV_UNREACHABLE);
      set_results (batch, GG_KV_CONFLICT, GG_KV_UNREACHABLE);
      break;
    case GG_KV_IN_DOUBT:
      set_results (batch, GG_KV_OK, GG_KV_IN_DOUBT);
      break;
    }
}

/* Commits batches until @own is done. Only one thread at a time may run this; call with the lock
 * held. */
static void
commit_waiting (GgLedgerShard *self, const Write *own)
{
  self->committing = TRUE;
  while (!own->done)
    {
      GPtrArray *batch = self->waiting;
      self->waiting = g_ptr_array_new ();
      pthread_mutex_unlock (&self->lock);
      commit (self, batch);
      pthread_mutex_lock (&self->lock);
      for (guint i = 0; i < batch->len; i++)
        ((Write *) g_ptr_array_index (batch, i))->done = TRUE;
      g_ptr_array_unref (batch);
      pthread_cond_broadcast (&self->changed);
    }
  self->committing = FALSE;
  pthread_cond_broadcast (&self->changed);
}

GgKvResult
gg_ledger_shard_write (GgLedgerShard *self, const char *record, const char *text, uint64_t version)
{
  Write write = { .record = record, .text = text, .version = version };
  pthread_mutex_lock (&self->lock);
  g_ptr_array_add (self->waiting, &write);
  while (!write.done && self->committing)
    pthread_cond_wait (&self->changed, &self->lock);
  if (!write.done)
    commit_waiting (self, &write);
  pthread_mutex_unlock (&self->lock);
  return write.result;
}
