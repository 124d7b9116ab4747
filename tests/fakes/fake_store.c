/* Fake of the platform's metadata store: keys with revisions, lists, watches with history, leases,
 * conditional transactions. Nothing is persisted. POST /test/put writes unconditionally, as
 * operators and runners do, also in an outage; a value that is there already is no change. SIGUSR1
 * discards the history (compaction), SIGUSR2 starts or ends an outage in which every call is
 * rejected, SIGHUP one in which no call is answered: waiting watches and connections on which a
 * call is sent then stay silent for good. POST /test/lose does the same to the watches of a
 * "prefix" that wait now. POST /test/copy takes a copy; POST /test/restore makes it the state of
 * the store: later writes, history and leases are gone, and their revisions are given out again.
 * The era in all answers rises by one then. POST /test/delay sets the "ms" by which each call is
 * handled late. */
#include "base/clock.h"
#include "base/json.h"
#include "fake_loop.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_CHECK_MS 20
#define PAGE_ITEMS 500

typedef struct
{
  char *key;
  char *value; /* base64 as received; NULL in a deletion event */
  uint64_t revision;
  uint64_t created;
  uint64_t lease;
} Item;

typedef struct
{
  uint64_t id;
  uint64_t ttl_ms;
  uint64_t end_ms;
} Lease;

typedef struct
{
  GgServerConnection *connection;
  char *prefix;
  uint64_t after;  /* revision after which changes are reported */
  uint64_t end_ms; /* answered without changes at this time */
} Watch;

/* A call that is handled late. */
typedef struct
{
  GgServerConnection *connection;
  char *target;
  JsonObject *body;
  uint64_t due_ms;
} DelayedCall;

static struct
{
  GgFakeLoop *fake;
  GHashTable *items;  /* key -> Item */
  GPtrArray *history; /* Item */
  GHashTable *leases; /* id -> Lease */
  GPtrArray *watches;
  GgLoopTimer *timer;
  uint64_t revision;
  uint64_t first_revision; /* changes up to here are discarded */
  uint64_t next_lease;
  gboolean is_unavailable;
  gboolean is_silent;
  GQueue *delayed; /* DelayedCall, in order of arrival */
  uint64_t era;
  char era_text[24];
  GPtrArray *copied_items; /* Item; NULL for no copy */
  uint64_t copied_revision;
  GArray *copied_leases; /* Lease */
  uint64_t delay_ms;
} store = { .revision = 1, .next_lease = 100 };

static void
free_item (void *data)
{
  Item *item = data;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static void
free_watch (void *data)
{
  Watch *watch = data;
  g_free (watch->prefix);
  g_free (watch);
}

static void
add_item (JsonBuilder *b, const Item *item)
{
  json_builder_begin_object (b);
  gg_json_add_string (b, "key", item->key);
  gg_json_add_uint (b, "revision", item->revision);
  if (item->value == NULL)
    gg_json_add_boolean (b, "is_gone", TRUE);
  else
    {
      gg_json_add_string (b, "value", item->value);
      gg_json_add_uint (b, "created", item->created);
      gg_json_add_uint (b, "lease", item->lease);
    }
  json_builder_end_object (b);
}

/* Answers a watch if there are changes for it or its wait time is over; returns whether it did. */
static gboolean
answer_watch (const Watch *watch, gboolean is_over)
{
  guint n = 0;
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "events");
  json_builder_begin_array (b);
  for (guint i = 0; i < store.history->len; i++)
    {
      const Item *item = g_ptr_array_index (store.history, i);
      if (item->revision > watch->after && g_str_has_prefix (item->key, watch->prefix))
        {
          add_item (b, item);
          n++;
        }
    }
  json_builder_end_array (b);
  gg_json_add_uint (b, "store_revision", store.revision);
  json_builder_end_object (b);
  if (n > 0 || is_over)
    {
      gg_fake_loop_reply_json (watch->connection, 200, b);
      return TRUE;
    }
  g_object_unref (b);
  return FALSE;
}

static void
answer_watches (void)
{
  uint64_t now_ms = gg_clock_now_ms ();
  for (guint i = store.watches->len; i-- > 0;)
    {
      const Watch *watch = g_ptr_array_index (store.watches, i);
      if (answer_watch (watch, now_ms >= watch->end_ms))
        g_ptr_array_remove_index (store.watches, i);
    }
}

static void
record_change (const Item *item)
{
  Item *event = g_new0 (Item, 1);
  *event = *item;
  event->key = g_strdup (item->key);
  event->value = g_strdup (item->value);
  g_ptr_array_add (store.history, event);
}

static void
put (const char *key, const char *value, uint64_t lease)
{
  const Item *known = g_hash_table_lookup (store.items, key);
  if (known != NULL && known->lease == lease && strcmp (known->value, value) == 0)
    return;
  Item *item = g_new0 (Item, 1);
  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = store.revision;
  item->created = known != NULL ? known->created : store.revision;
  item->lease = lease;
  g_hash_table_replace (store.items, item->key, item);
  record_change (item);
}

static void
remove_key (const char *key)
{
  Item deleted = { .key = g_strdup (key), .revision = store.revision };
  if (g_hash_table_remove (store.items, key))
    record_change (&deleted);
  g_free (deleted.key);
}

static void
end_lease (uint64_t id)
{
  GList *keys = g_hash_table_get_keys (store.items);
  store.revision++;
  for (GList *l = keys; l != NULL; l = l->next)
    {
      const Item *item = g_hash_table_lookup (store.items, l->data);
      if (item->lease == id)
        remove_key (l->data);
    }
  g_list_free (keys);
  g_hash_table_remove (store.leases, GUINT_TO_POINTER ((guint) id));
}

static void handle_call (GgServerConnection *connection, const char *target, JsonObject *body);

static void
free_delayed_call (void *data)
{
  DelayedCall *call = data;
  g_free (call->target);
  if (call->body != NULL)
    json_object_unref (call->body);
  g_free (call);
}

static void
handle_delayed_calls (uint64_t now_ms)
{
  DelayedCall *call;
  while ((call = g_queue_peek_head (store.delayed)) != NULL && call->due_ms <= now_ms)
    {
      g_queue_pop_head (store.delayed);
      handle_call (call->connection, call->target, call->body);
      free_delayed_call (call);
    }
}

static void
on_tick (void *data)
{
  uint64_t now_ms = gg_clock_now_ms ();
  handle_delayed_calls (now_ms);
  GList *leases = g_hash_table_get_values (store.leases);
  for (GList *l = leases; l != NULL; l = l->next)
    if (now_ms >= ((const Lease *) l->data)->end_ms)
      end_lease (((const Lease *) l->data)->id);
  g_list_free (leases);
  answer_watches ();
  gg_loop_timer_start (store.timer, LEASE_CHECK_MS);
}

static void
read_key (GgServerConnection *connection, const char *target)
{
  char *key = gg_fake_loop_get_argument (target, "key");
  const Item *item = key != NULL ? g_hash_table_lookup (store.items, key) : NULL;
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  if (item != NULL)
    {
      gg_json_add_string (b, "key", item->key);
      gg_json_add_string (b, "value", item->value);
      gg_json_add_uint (b, "revision", item->revision);
      gg_json_add_uint (b, "lease", item->lease);
    }
  gg_json_add_uint (b, "store_revision", store.revision);
  json_builder_end_object (b);
  gg_fake_loop_reply_json (connection, item != NULL ? 200 : 404, b);
  g_free (key);
}

static void
list_keys (GgServerConnection *connection, const char *target)
{
  char *prefix = gg_fake_loop_get_argument (target, "path_prefix");
  char *after = gg_fake_loop_get_argument (target, "after");
  GList *keys = g_list_sort (g_hash_table_get_keys (store.items), (GCompareFunc) strcmp);
  guint n = 0;
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "items");
  json_builder_begin_array (b);
  for (GList *l = keys; l != NULL && n < PAGE_ITEMS; l = l->next)
    if (g_str_has_prefix (l->data, prefix) && (after == NULL || strcmp (l->data, after) > 0))
      {
        add_item (b, g_hash_table_lookup (store.items, l->data));
        n++;
      }
  json_builder_end_array (b);
  gg_json_add_boolean (b, "has_more", n == PAGE_ITEMS);
  gg_json_add_uint (b, "store_revision", store.revision);
  json_builder_end_object (b);
  gg_fake_loop_reply_json (connection, 200, b);
  g_list_free (keys);
  g_free (after);
  g_free (prefix);
}

static void
watch_keys (GgServerConnection *connection, const char *target)
{
  char *after = gg_fake_loop_get_argument (target, "after");
  char *wait = gg_fake_loop_get_argument (target, "wait_ms");
  Watch *watch = g_new0 (Watch, 1);
  watch->connection = connection;
  watch->prefix = gg_fake_loop_get_argument (target, "path_prefix");
  watch->after = after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0;
  watch->end_ms = gg_clock_now_ms () + (wait != NULL ? g_ascii_strtoull (wait, NULL, 10) : 0);
  g_free (after);
  g_free (wait);
  if (watch->after < store.first_revision || watch->after > store.revision)
    gg_fake_loop_reply (connection, 410, "");
  else if (!answer_watch (watch, FALSE))
    {
      g_ptr_array_add (store.watches, watch);
      return;
    }
  free_watch (watch);
}

/* Returns whether all conditions hold; adds the current items that they name to @p items. */
static gboolean
check_conditions (JsonObject *body, JsonBuilder *items)
{
  JsonArray *expected = NULL;
  gboolean holds = TRUE;
  if (!gg_json_read_array (body, "expected", &expected))
    return TRUE;
  for (guint i = 0; i < json_array_get_length (expected); i++)
    {
      JsonObject *row = gg_json_get_object_element (expected, i);
      const char *key = "";
      uint64_t revision = 0;
      gg_json_read_string (row, "key", &key);
      gg_json_read_uint (row, "revision", &revision);
      const Item *item = g_hash_table_lookup (store.items, key);
      holds = holds && (item != NULL ? item->revision : 0) == revision;
      if (item != NULL)
        add_item (items, item);
    }
  return holds;
}

static void
apply_puts (JsonObject *body)
{
  JsonArray *puts = NULL;
  JsonArray *deletes = NULL;
  gg_json_read_array (body, "puts", &puts);
  gg_json_read_array (body, "deletes", &deletes);
  guint n_puts = puts != NULL ? json_array_get_length (puts) : 0;
  guint n_deletes = deletes != NULL ? json_array_get_length (deletes) : 0;
  if (n_puts + n_deletes > 0)
    store.revision++;
  for (guint i = 0; i < n_puts; i++)
    {
      JsonObject *row = gg_json_get_object_element (puts, i);
      const char *key = "";
      const char *value = "";
      uint64_t lease = 0;
      gg_json_read_string (row, "key", &key);
      gg_json_read_string (row, "value", &value);
      gg_json_read_uint (row, "lease", &lease);
      put (key, value, lease);
    }
  for (guint i = 0; i < n_deletes; i++)
    remove_key (json_array_get_string_element (deletes, i));
}

static void
write_keys (GgServerConnection *connection, JsonObject *body)
{
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "items");
  json_builder_begin_array (b);
  gboolean holds = check_conditions (body, b);
  json_builder_end_array (b);
  if (holds)
    apply_puts (body);
  gg_json_add_uint (b, "revision", store.revision);
  json_builder_end_object (b);
  gg_fake_loop_reply_json (connection, holds ? 200 : 412, b);
  answer_watches ();
}

static void
open_lease (GgServerConnection *connection, JsonObject *body)
{
  Lease *lease = g_new0 (Lease, 1);
  gg_json_read_uint (body, "ttl_ms", &lease->ttl_ms);
  lease->id = store.next_lease++;
  lease->end_ms = gg_clock_now_ms () + lease->ttl_ms;
  g_hash_table_insert (store.leases, GUINT_TO_POINTER ((guint) lease->id), lease);
  JsonBuilder *b = json_builder_new ();
  json_builder_begin_object (b);
  gg_json_add_uint (b, "lease", lease->id);
  gg_json_add_uint (b, "ttl_ms", lease->ttl_ms);
  json_builder_end_object (b);
  gg_fake_loop_reply_json (connection, 200, b);
}

static void
renew_or_end_lease (GgServerConnection *connection, const char *id, gboolean is_end)
{
  Lease *lease = g_hash_table_lookup (store.leases, GUINT_TO_POINTER ((guint) atoi (id)));
  if (lease == NULL)
    {
      gg_fake_loop_reply (connection, 404, "");
      return;
    }
  char *answer = g_strdup_printf ("{\"ttl_ms\":%" G_GUINT64_FORMAT "}", lease->ttl_ms);
  lease->end_ms = gg_clock_now_ms () + lease->ttl_ms;
  if (is_end)
    end_lease (lease->id);
  gg_fake_loop_reply (connection, 200, answer);
  g_free (answer);
  answer_watches ();
}

/* Leaves the waiting watches of a prefix without an answer. */
static void
lose_watches (GgServerConnection *connection, JsonObject *body)
{
  const char *prefix = "";
  gg_json_read_string (body, "prefix", &prefix);
  for (guint i = store.watches->len; i-- > 0;)
    if (strcmp (((const Watch *) g_ptr_array_index (store.watches, i))->prefix, prefix) == 0)
      g_ptr_array_remove_index (store.watches, i);
  gg_fake_loop_reply (connection, 200, "{}");
}

static void
set_era (uint64_t era)
{
  store.era = era;
  g_snprintf (store.era_text, sizeof store.era_text, "%" G_GUINT64_FORMAT, (guint64) era);
  gg_fake_loop_set_field ("Store-Era", store.era_text);
}

static Item *
copy_item (const Item *item)
{
  Item *copy = g_new0 (Item, 1);
  *copy = *item;
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  return copy;
}

static void
take_copy (void)
{
  GHashTableIter iter;
  void *value;
  if (store.copied_items != NULL)
    g_ptr_array_unref (store.copied_items);
  store.copied_items = g_ptr_array_new_with_free_func (free_item);
  g_hash_table_iter_init (&iter, store.items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (store.copied_items, copy_item (value));
  store.copied_revision = store.revision;
  if (store.copied_leases == NULL)
    store.copied_leases = g_array_new (FALSE, FALSE, sizeof (Lease));
  g_array_set_size (store.copied_leases, 0);
  g_hash_table_iter_init (&iter, store.leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (store.copied_leases, value, 1);
}

/* Leases begin anew, as those of a store that was away pause. */
static void
restore_leases (void)
{
  g_hash_table_remove_all (store.leases);
  for (guint i = 0; i < store.copied_leases->len; i++)
    {
      Lease *lease = g_memdup2 (&g_array_index (store.copied_leases, Lease, i), sizeof *lease);
      lease->end_ms = gg_clock_now_ms () + lease->ttl_ms;
      g_hash_table_insert (store.leases, GUINT_TO_POINTER ((guint) lease->id), lease);
    }
}

/* Waiting watches are cut, as by the outage that a restore is. */
static void
cut_watches (void)
{
  for (guint i = store.watches->len; i-- > 0;)
    {
      GgServerConnection *connection
          = ((const Watch *) g_ptr_array_index (store.watches, i))->connection;
      g_ptr_array_remove_index (store.watches, i);
      gg_server_connection_abort (connection);
    }
}

static void
restore_copy (void)
{
  cut_watches ();
  g_hash_table_remove_all (store.items);
  for (guint i = 0; i < store.copied_items->len; i++)
    {
      Item *item = copy_item (g_ptr_array_index (store.copied_items, i));
      g_hash_table_replace (store.items, item->key, item);
    }
  for (guint i = store.history->len; i-- > 0;)
    if (((const Item *) g_ptr_array_index (store.history, i))->revision > store.copied_revision)
      g_ptr_array_remove_index (store.history, i);
  restore_leases ();
  store.revision = store.copied_revision;
  set_era (store.era + 1);
}

static void
delay_call (GgServerConnection *connection, const char *target, JsonObject *body)
{
  DelayedCall *call = g_new0 (DelayedCall, 1);
  call->connection = connection;
  call->target = g_strdup (target);
  call->body = body != NULL ? json_object_ref (body) : NULL;
  call->due_ms = gg_clock_now_ms () + store.delay_ms;
  g_queue_push_tail (store.delayed, call);
}

static void
on_request (GgServerConnection *connection,
            const char *method,
            const char *target,
            JsonObject *body)
{
  if (strcmp (target, "/test/put") == 0 && body != NULL)
    write_keys (connection, body);
  else if (strcmp (target, "/test/lose") == 0 && body != NULL)
    lose_watches (connection, body);
  else if (strcmp (target, "/test/copy") == 0)
    {
      take_copy ();
      gg_fake_loop_reply (connection, 200, "{}");
    }
  else if (strcmp (target, "/test/restore") == 0 && store.copied_items != NULL)
    {
      restore_copy ();
      gg_fake_loop_reply (connection, 200, "{}");
    }
  else if (strcmp (target, "/test/delay") == 0 && body != NULL)
    {
      gg_json_read_uint (body, "ms", &store.delay_ms);
      gg_fake_loop_reply (connection, 200, "{}");
    }
  else if (store.delay_ms > 0)
    delay_call (connection, target, body);
  else
    handle_call (connection, target, body);
}

static void
handle_call (GgServerConnection *connection, const char *target, JsonObject *body)
{
  if (store.is_silent)
    return;
  if (store.is_unavailable)
    gg_fake_loop_reply (connection, 503, "");
  else if (g_str_has_prefix (target, "/api/kv-key?"))
    read_key (connection, target);
  else if (g_str_has_prefix (target, "/api/kv-range?"))
    list_keys (connection, target);
  else if (g_str_has_prefix (target, "/api/kv-watch?"))
    watch_keys (connection, target);
  else if (strcmp (target, "/api/kv-txn") == 0 && body != NULL)
    write_keys (connection, body);
  else if (strcmp (target, "/api/kv-lease") == 0 && body != NULL)
    open_lease (connection, body);
  else if (g_str_has_prefix (target, "/api/kv-keep/"))
    renew_or_end_lease (connection, strrchr (target, '/') + 1, FALSE);
  else if (g_str_has_prefix (target, "/api/kv-lease-end/"))
    renew_or_end_lease (connection, strrchr (target, '/') + 1, TRUE);
  else
    gg_fake_loop_reply (connection, 404, "");
}

static void
on_disconnected (GgServerConnection *connection)
{
  GList *next;
  for (GList *l = store.delayed->head; l != NULL; l = next)
    {
      next = l->next;
      if (((const DelayedCall *) l->data)->connection != connection)
        continue;
      free_delayed_call (l->data);
      g_queue_delete_link (store.delayed, l);
    }
  for (guint i = store.watches->len; i-- > 0;)
    if (((const Watch *) g_ptr_array_index (store.watches, i))->connection == connection)
      g_ptr_array_remove_index (store.watches, i);
}

static void
discard_history (void *data)
{
  store.first_revision = store.revision;
  g_ptr_array_set_size (store.history, 0);
}

static void
toggle_outage (void *data)
{
  store.is_unavailable = !store.is_unavailable;
  if (store.is_unavailable)
    cut_watches ();
}

static void
toggle_silence (void *data)
{
  store.is_silent = !store.is_silent;
  if (store.is_silent)
    g_ptr_array_set_size (store.watches, 0);
}

int
main (int argc, char **argv)
{
  store.items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
  store.history = g_ptr_array_new_with_free_func (free_item);
  store.leases = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  store.watches = g_ptr_array_new_with_free_func (free_watch);
  store.delayed = g_queue_new ();
  store.fake = gg_fake_loop_create (argc, argv, on_request, on_disconnected);
  GgLoop *loop = gg_fake_loop_get_loop (store.fake);
  set_era (1);
  store.timer = gg_loop_timer_create (loop, on_tick, NULL);
  gg_loop_timer_start (store.timer, LEASE_CHECK_MS);
  gg_loop_watch_signal (loop, SIGUSR1, discard_history, NULL);
  gg_loop_watch_signal (loop, SIGUSR2, toggle_outage, NULL);
  gg_loop_watch_signal (loop, SIGHUP, toggle_silence, NULL);
  return gg_fake_loop_run (store.fake);
}
