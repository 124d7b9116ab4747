/* Fake of the platform's key-value service: compare-and-swap, blocking queries, recursive reads
 * and sessions. POST /control {"down":bool,"delay_ms":N,"lose_replies":N} injects faults;
 * "prefix":TEXT limits lost replies to keys that start with it, and with "hold":true reads of such
 * keys block from the next lost reply until "hold":false. */
#include "common_http.h"

#include "base/clock.h"
#include "greengage/id.h"

#include <pthread.h>
#include <string.h>

#define KV_PATH "/v1/kv/"
#define MAX_VALUE_BYTES (1024 * 1024)
#define DEFAULT_WAIT_MS (5 * 60 * 1000)
#define HOLD_STEP_MS 50
#define MAX_WAIT_MS (10 * 60 * 1000)

/* A deleted key stays as an item without a value, so that its index never decreases. */
typedef struct
{
  char *value;
  size_t size_bytes;
  guint64 modify_index;
  char *session;
} Item;

typedef struct
{
  guint64 ttl_ms; /* 0 for none */
  guint64 expires_ms;
} Session;

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GTree *items;         /* key to Item */
  GHashTable *sessions; /* id to Session */
  guint64 index;
  gboolean is_stopping;
  gboolean is_down;
  gint64 delay_ms;
  gint64 lose_replies;
  char *prefix;        /* of keys whose replies are lost and whose reads block */
  gboolean may_hold;   /* "hold" is set: the next lost reply sets is_holding */
  gboolean is_holding; /* reads of keys with the prefix block */
  GString *records;
  guint64 reads, watches, writes, session_calls, conflicts, closed, lost;
  guint64 blocked; /* blocking queries that are waiting */
} Platform;

static void
item_free (gpointer data)
{
  Item *item = data;
  g_free (item->value);
  g_free (item->session);
  g_free (item);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static void
touch (Platform *p, Item *item)
{
  item->modify_index = ++p->index;
  pthread_cond_broadcast (&p->changed);
}

static gboolean
release_key (gpointer key, gpointer value, gpointer data)
{
  Item *item = value;
  gpointer *args = data;
  if (g_strcmp0 (item->session, args[1]) == 0)
    {
      g_clear_pointer (&item->session, g_free);
      touch (args[0], item);
    }
  return FALSE;
}

static void
end_session (Platform *p, const char *id)
{
  gpointer args[] = { p, (gpointer) id };
  g_tree_foreach (p->items, release_key, args);
}

static void
expire_sessions (Platform *p)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, p->sessions);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      Session *session = value;
      if (session->ttl_ms == 0 || session->expires_ms > gg_clock_now_ms ())
        continue;
      end_session (p, id);
      g_hash_table_iter_remove (&iter);
    }
}

/* Parses "10s", "1.5s", "200ms" or "2m". */
static guint64
parse_duration_ms (const char *text, guint64 fallback)
{
  char *unit;
  double number = text != NULL ? g_ascii_strtod (text, &unit) : -1;
  if (number < 0)
    return fallback;
  double scale = strcmp (unit, "ms") == 0 ? 1 : strcmp (unit, "m") == 0 ? 60000 : 1000;
  return (guint64) MIN (number * scale, MAX_WAIT_MS);
}

/* Waits for a change until @p until_ms, at most 50 ms at a time, since a session may expire in
 * between. */
static void
wait_for_change (Platform *p, guint64 until_ms)
{
  guint64 now = gg_clock_now_ms ();
  guint64 step_ms = until_ms > now ? MIN (until_ms - now, 50) : 0;
  gint64 until_us = g_get_monotonic_time () + (gint64) step_ms * 1000;
  struct timespec until
      = { .tv_sec = until_us / 1000000, .tv_nsec = (long) (until_us % 1000000) * 1000 };
  pthread_cond_timedwait (&p->changed, &p->lock, &until);
}

static void
sleep_ms (Platform *p, guint64 ms)
{
  guint64 until_ms = gg_clock_now_ms () + ms;
  while (!p->is_stopping && gg_clock_now_ms () < until_ms)
    wait_for_change (p, until_ms);
}

typedef struct
{
  const char *prefix;
  gboolean is_recursive;
  guint64 index;
  JsonBuilder *builder;
  guint n;
} Query;

static gboolean
collect (gpointer key, gpointer value, gpointer data)
{
  Item *item = value;
  Query *query = data;
  if (query->is_recursive ? !g_str_has_prefix (key, query->prefix)
                          : strcmp (key, query->prefix) != 0)
    return FALSE;
  query->index = MAX (query->index, item->modify_index);
  if (query->builder == NULL || item->value == NULL)
    return FALSE;
  query->n++;
  char *text = g_base64_encode ((guchar *) item->value, item->size_bytes);
  json_builder_begin_object (query->builder);
  json_builder_add_string_value (json_builder_set_member_name (query->builder, "Key"), key);
  json_builder_add_string_value (json_builder_set_member_name (query->builder, "Value"), text);
  json_builder_add_int_value (json_builder_set_member_name (query->builder, "ModifyIndex"),
                              (gint64) item->modify_index);
  if (item->session != NULL)
    json_builder_add_string_value (json_builder_set_member_name (query->builder, "Session"),
                                   item->session);
  json_builder_end_object (query->builder);
  g_free (text);
  return FALSE;
}

/* Returns the index of a key or prefix: 1 if it was never written. */
static guint64
find_index (Platform *p, const Query *like)
{
  Query query = { .prefix = like->prefix, .is_recursive = like->is_recursive, .index = 1 };
  g_tree_foreach (p->items, collect, &query);
  return query.index;
}

static void
wait_while_held (Platform *p, const char *key)
{
  while (p->is_holding && g_str_has_prefix (key, p->prefix) && !p->is_stopping)
    wait_for_change (p, gg_clock_now_ms () + HOLD_STEP_MS);
}

static void
read_keys (Platform *p, const GgFakeCall *call, const char *key, GgFakeReply *reply)
{
  Query query = { .prefix = key, .index = 1 };
  query.is_recursive = gg_fake_call_get_argument (call, "recurse") != NULL;
  wait_while_held (p, key);
  const char *index = gg_fake_call_get_argument (call, "index");
  if (index == NULL)
    p->reads++;
  else
    {
      p->watches++;
      guint64 known = g_ascii_strtoull (index, NULL, 10);
      guint64 until_ms
          = gg_clock_now_ms ()
            + parse_duration_ms (gg_fake_call_get_argument (call, "wait"), DEFAULT_WAIT_MS);
      p->blocked++;
      while (find_index (p, &query) <= known && gg_clock_now_ms () < until_ms && !p->is_stopping
             && !p->is_down)
        {
          wait_for_change (p, until_ms);
          expire_sessions (p);
        }
      p->blocked--;
    }
  query.builder = json_builder_new ();
  json_builder_begin_array (query.builder);
  g_tree_foreach (p->items, collect, &query);
  json_builder_end_array (query.builder);
  JsonNode *root = json_builder_get_root (query.builder);
  reply->index = query.index;
  if (query.n > 0)
    reply->body = json_to_string (root, FALSE);
  else
    reply->status = MHD_HTTP_NOT_FOUND;
  json_node_unref (root);
  g_object_unref (query.builder);
}

static gboolean
may_write (Platform *p, const GgFakeCall *call, const Item *item)
{
  const char *cas = gg_fake_call_get_argument (call, "cas");
  const char *acquire = gg_fake_call_get_argument (call, "acquire");
  const char *release = gg_fake_call_get_argument (call, "release");
  guint64 stored = item != NULL && item->value != NULL ? item->modify_index : 0;
  if (cas != NULL && g_ascii_strtoull (cas, NULL, 10) != stored)
    return FALSE;
  if (acquire != NULL
      && (!g_hash_table_contains (p->sessions, acquire)
          || (item != NULL && item->session != NULL && strcmp (item->session, acquire) != 0)))
    return FALSE;
  return release == NULL || (item != NULL && g_strcmp0 (item->session, release) == 0);
}

static gboolean
write_key (Platform *p, const GgFakeCall *call, const char *key)
{
  Item *item = g_tree_lookup (p->items, key);
  if (!may_write (p, call, item))
    {
      p->conflicts++;
      return FALSE;
    }
  gboolean is_removal = strcmp (call->method, "DELETE") == 0;
  if (item == NULL && is_removal)
    return TRUE;
  if (item == NULL)
    {
      item = g_new0 (Item, 1);
      g_tree_insert (p->items, g_strdup (key), item);
    }
  const char *acquire = gg_fake_call_get_argument (call, "acquire");
  g_free (item->value);
  item->value = is_removal ? NULL : g_memdup2 (call->body, call->body_size_bytes + 1);
  item->size_bytes = call->body_size_bytes;
  if (is_removal || acquire != NULL || gg_fake_call_get_argument (call, "release") != NULL)
    {
      g_free (item->session);
      item->session = is_removal ? NULL : g_strdup (acquire);
    }
  touch (p, item);
  return TRUE;
}

static void
create_session (Platform *p, const GgFakeCall *call, GgFakeReply *reply)
{
  GgId id;
  char text[GG_ID_TEXT_LENGTH + 1];
  gg_id_generate (&id);
  gg_id_format (&id, text);
  Session *session = g_new0 (Session, 1);
  if (call->body_size_bytes > 0)
    {
      JsonNode *node = gg_fake_parse_object (call, reply);
      if (node == NULL)
        {
          g_free (session);
          return;
        }
      const char *ttl
          = json_object_get_string_member_with_default (json_node_get_object (node), "TTL", "");
      session->ttl_ms = parse_duration_ms (*ttl != '\0' ? ttl : NULL, 0);
      json_node_unref (node);
    }
  session->expires_ms = gg_clock_now_ms () + session->ttl_ms;
  g_hash_table_insert (p->sessions, g_strdup (text), session);
  reply->body = g_strdup_printf ("{\"ID\":\"%s\"}", text);
}

static void
handle_session (Platform *p, const GgFakeCall *call, GgFakeReply *reply)
{
  p->session_calls++;
  const char *name = call->path + strlen ("/v1/session/");
  const char *id = strchr (name, '/');
  Session *session = id != NULL ? g_hash_table_lookup (p->sessions, id + 1) : NULL;
  if (strcmp (name, "create") == 0)
    create_session (p, call, reply);
  else if (session == NULL)
    gg_fake_reply_set (reply, MHD_HTTP_NOT_FOUND, "no such session");
  else if (g_str_has_prefix (name, "renew/"))
    {
      session->expires_ms = gg_clock_now_ms () + session->ttl_ms;
      reply->body = g_strdup_printf ("[{\"ID\":\"%s\"}]", id + 1);
    }
  else if (g_str_has_prefix (name, "destroy/"))
    {
      end_session (p, id + 1);
      g_hash_table_remove (p->sessions, id + 1);
      reply->body = g_strdup ("true");
    }
  else
    gg_fake_reply_set (reply, MHD_HTTP_NOT_FOUND, "no such call");
}

static gboolean
loses_reply (const Platform *p, const GgFakeCall *call)
{
  gboolean is_kv = g_str_has_prefix (call->path, KV_PATH);
  const char *key = is_kv ? call->path + strlen (KV_PATH) : call->path;
  return p->lose_replies > 0 && g_str_has_prefix (key, p->prefix);
}

static void
handle_write (Platform *p, const GgFakeCall *call, GgFakeReply *reply)
{
  p->writes++;
  if (g_str_has_prefix (call->path, "/v1/session/"))
    handle_session (p, call, reply);
  else if (call->body_size_bytes > MAX_VALUE_BYTES)
    gg_fake_reply_set (reply, MHD_HTTP_CONTENT_TOO_LARGE, "value exceeds one megabyte");
  else
    reply->body = g_strdup (write_key (p, call, call->path + strlen (KV_PATH)) ? "true" : "false");
  if (loses_reply (p, call))
    {
      p->lose_replies--;
      p->lost++;
      p->is_holding = p->may_hold;
      reply->is_closed = TRUE;
    }
}

static enum MHD_Result
append_argument (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  GString *text = cls;
  g_string_append_printf (text, "%s%s", text->len > 0 ? "&" : "", name);
  if (value != NULL)
    g_string_append_printf (text, "=%s", value);
  return MHD_YES;
}

static void
record (Platform *p, const GgFakeCall *call, const char *key, const GgFakeReply *reply)
{
  GString *query = g_string_new (NULL);
  MHD_get_connection_values (call->connection, MHD_GET_ARGUMENT_KIND, append_argument, query);
  char status[16];
  g_snprintf (status, sizeof status, "%u", reply->status);
  gboolean is_flag = g_strcmp0 (reply->body, "true") == 0 || g_strcmp0 (reply->body, "false") == 0;
  const char *result = is_flag ? reply->body : status;
  if (reply->is_closed && strcmp (call->method, "GET") != 0 && !p->is_down)
    g_string_append_printf (p->records, "%s %s %s lost:%s\n", call->method, key,
                            query->len > 0 ? query->str : "-", result);
  else
    g_string_append_printf (p->records, "%s %s %s %s\n", call->method, key,
                            query->len > 0 ? query->str : "-",
                            reply->is_closed ? "closed" : result);
  g_string_free (query, TRUE);
}

static void
handle_kv_call (Platform *p, const GgFakeCall *call, GgFakeReply *reply)
{
  sleep_ms (p, (guint64) p->delay_ms);
  expire_sessions (p);
  gboolean is_kv = g_str_has_prefix (call->path, KV_PATH);
  const char *key = is_kv ? call->path + strlen (KV_PATH) : call->path;
  gboolean is_read = strcmp (call->method, "GET") == 0;
  if (!p->is_down)
    {
      if (is_read && is_kv)
        read_keys (p, call, key, reply);
      else if (is_read)
        gg_fake_reply_set (reply, MHD_HTTP_NOT_FOUND, "no such call");
      else
        handle_write (p, call, reply);
    }
  /* A blocked read also ends without an answer when an outage starts. */
  if (p->is_down)
    {
      p->closed++;
      reply->is_closed = TRUE;
    }
  record (p, call, key, reply);
}

static void
control (Platform *p, const GgFakeCall *call, GgFakeReply *reply)
{
  JsonNode *node = gg_fake_parse_object (call, reply);
  if (node == NULL)
    return;
  p->is_down = gg_fake_get_int (node, "down", p->is_down) != 0;
  p->delay_ms = MAX (0, gg_fake_get_int (node, "delay_ms", p->delay_ms));
  p->lose_replies = MAX (0, gg_fake_get_int (node, "lose_replies", p->lose_replies));
  const char *prefix = json_object_get_string_member_with_default (json_node_get_object (node),
                                                                   "prefix", p->prefix);
  char *old_prefix = p->prefix;
  p->prefix = g_strdup (prefix);
  g_free (old_prefix);
  p->may_hold = gg_fake_get_int (node, "hold", p->may_hold) != 0;
  p->is_holding = p->is_holding && p->may_hold;
  pthread_cond_broadcast (&p->changed);
  json_node_unref (node);
}

static char *
format_stats (const Platform *p)
{
  return g_strdup_printf ("{\"reads\":%" G_GUINT64_FORMAT ",\"watches\":%" G_GUINT64_FORMAT
                          ",\"writes\":%" G_GUINT64_FORMAT ",\"session_calls\":%" G_GUINT64_FORMAT
                          ",\"conflicts\":%" G_GUINT64_FORMAT ",\"closed\":%" G_GUINT64_FORMAT
                          ",\"lost\":%" G_GUINT64_FORMAT ",\"blocked\":%" G_GUINT64_FORMAT
                          ",\"index\":%" G_GUINT64_FORMAT "}",
                          p->reads, p->watches, p->writes, p->session_calls, p->conflicts,
                          p->closed, p->lost, p->blocked, p->index);
}

static void
handle (void *state, const GgFakeCall *call, GgFakeReply *reply)
{
  Platform *p = state;
  pthread_mutex_lock (&p->lock);
  if (gg_fake_call_is (call, "POST", "/control"))
    control (p, call, reply);
  else if (gg_fake_call_is (call, "GET", "/records"))
    gg_fake_reply_set (reply, MHD_HTTP_OK, p->records->str);
  else if (gg_fake_call_is (call, "GET", "/stats"))
    reply->body = format_stats (p);
  else if (g_str_has_prefix (call->path, "/v1/kv/")
           || g_str_has_prefix (call->path, "/v1/session/"))
    handle_kv_call (p, call, reply);
  else
    gg_fake_reply_set (reply, MHD_HTTP_NOT_FOUND, "no such call");
  pthread_mutex_unlock (&p->lock);
}

static void
stop (void *state)
{
  Platform *p = state;
  pthread_mutex_lock (&p->lock);
  p->is_stopping = TRUE;
  pthread_cond_broadcast (&p->changed);
  pthread_mutex_unlock (&p->lock);
}

int
main (int argc, char **argv)
{
  Platform p = { .index = 1, .prefix = g_strdup ("") };
  pthread_mutex_init (&p.lock, NULL);
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&p.changed, &attributes);
  pthread_condattr_destroy (&attributes);
  p.items = g_tree_new_full (compare_keys, NULL, g_free, item_free);
  p.sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p.records = g_string_new (NULL);
  int status = gg_fake_http_run (argc, argv, "Fake key-value service.", handle, stop, &p);
  g_string_free (p.records, TRUE);
  g_free (p.prefix);
  g_hash_table_unref (p.sessions);
  g_tree_unref (p.items);
  return status;
}
