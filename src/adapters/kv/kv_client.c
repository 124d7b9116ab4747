#include "ports/kv.h"

#include "adapters/http/http_json.h"
#include "base/clock.h"
#include "base/counters.h"

#include <string.h>

#define GG_KV_VALUE_MAX_BYTES ((size_t) 1024 * 1024)
#define GG_KV_STATUS_OK 200
#define GG_KV_STATUS_NOT_FOUND 404

/* A recursive read may return several values of one megabyte each, and Base64 adds a third. */
#define GG_KV_REPLY_MAX_BYTES ((size_t) 16 * 1024 * 1024)

/* A watch asks the service to answer this long before the caller's deadline: the time for the reply
 * to arrive, plus a sixteenth of the wait, which the service may add as jitter. */
#define GG_KV_WATCH_MARGIN_MS 50
#define GG_KV_WATCH_JITTER_DIVISOR 16

#define GG_KV_CALLS_HELP "Calls to the key-value service, as it counts them"
#define GG_KV_FAILURES_HELP "Calls to the key-value service without a definite result"

static GgCounter reads = GG_COUNTER ("greengage_kv_calls_total{kind=\"read\"}", GG_KV_CALLS_HELP);
static GgCounter lists = GG_COUNTER ("greengage_kv_calls_total{kind=\"list\"}", GG_KV_CALLS_HELP);
static GgCounter writes = GG_COUNTER ("greengage_kv_calls_total{kind=\"write\"}", GG_KV_CALLS_HELP);
static GgCounter watches
    = GG_COUNTER ("greengage_kv_calls_total{kind=\"watch\"}", GG_KV_CALLS_HELP);
static GgCounter unreachable
    = GG_COUNTER ("greengage_kv_failures_total{result=\"unreachable\"}", GG_KV_FAILURES_HELP);
static GgCounter in_doubt
    = GG_COUNTER ("greengage_kv_failures_total{result=\"in_doubt\"}", GG_KV_FAILURES_HELP);
static GgCounter conflicts = GG_COUNTER ("greengage_kv_conflicts_total",
                                         "Writes refused since the stored version was another one");
static GgCounter too_long
    = GG_COUNTER ("greengage_kv_too_long_total", "Writes not sent since the value was too long");
static GgCounter wrong_keys = GG_COUNTER ("greengage_wrong_replies_total{from=\"kv\"}",
                                          "Replies discarded because they belong to another call");

struct _GgKv
{
  GgHttpPool *pool;
  char **addresses;
  guint n_addresses;
  gint preferred; /* index of the address that answered last; accessed atomically */
};

void
gg_kv_value_clear (GgKvValue *self)
{
  g_free (self->key);
  g_free (self->text);
  memset (self, 0, sizeof *self);
}

GgKv *
gg_kv_create (const char *const *addresses)
{
  GgHttpPoolLimits limits = GG_HTTP_POOL_LIMITS_DEFAULT;
  limits.max_reply_bytes = GG_KV_REPLY_MAX_BYTES;
  GgKv *self = g_new0 (GgKv, 1);
  self->pool = gg_http_pool_create (&limits);
  self->addresses = g_strdupv ((char **) addresses);
  self->n_addresses = g_strv_length (self->addresses);
  return self;
}

void
gg_kv_destroy (GgKv *self)
{
  if (self == NULL)
    return;
  gg_http_pool_destroy (self->pool);
  g_strfreev (self->addresses);
  g_free (self);
}

static char *
make_path (const char *key, const char *query)
{
  char *escaped = g_uri_escape_string (key, "/", FALSE);
  char *path = g_strconcat ("/v1/kv/", escaped, query, NULL);
  g_free (escaped);
  return path;
}

/* Returns the deadline of try @p i: an equal share of the remaining time, so that an address that
 * does not answer leaves time for the others. */
static uint64_t
share_deadline (const GgKv *self, guint i, uint64_t deadline_ms)
{
  uint64_t now = gg_clock_now_ms ();
  return now < deadline_ms ? now + (deadline_ms - now) / (self->n_addresses - i) : deadline_ms;
}

static const char *
get_address (GgKv *self, guint i, gint *index_out)
{
  *index_out = (gint) (((guint) g_atomic_int_get (&self->preferred) + i) % self->n_addresses);
  return self->addresses[*index_out];
}

static GgHttpResult
get_once (GgKv *self, const char *address, const char *path, uint64_t until_ms, GgHttpReply *http)
{
  GgHttpResult sent = gg_http_pool_read (self->pool, address, path, until_ms, http);
  gboolean answered
      = sent == GG_HTTP_OK
        && (http->status == GG_KV_STATUS_OK || http->status == GG_KV_STATUS_NOT_FOUND);
  return answered ? GG_HTTP_OK : GG_HTTP_IN_DOUBT;
}

/* Returns FALSE if no address answered. */
static gboolean
get (GgKv *self, GgCounter *counter, const char *path, uint64_t deadline_ms, GgHttpReply *http)
{
  *http = (GgHttpReply){ 0 };
  for (guint i = 0; i < self->n_addresses && gg_clock_now_ms () < deadline_ms; i++)
    {
      gint index;
      const char *address = get_address (self, i, &index);
      gg_counter_add (counter, 1);
      if (get_once (self, address, path, share_deadline (self, i, deadline_ms), http) == GG_HTTP_OK)
        {
          g_atomic_int_set (&self->preferred, index);
          return TRUE;
        }
      gg_http_reply_clear (http);
    }
  gg_counter_add (&unreachable, 1);
  return FALSE;
}

static gboolean
parse_value (JsonNode *node, GgKvValue *value_out)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  JsonObject *object = json_node_get_object (node);
  const char *key = gg_http_json_get_text (object, "Key");
  gint64 version = json_object_get_int_member_with_default (object, "ModifyIndex", 0);
  if (*key == '\0' || version <= 0)
    return FALSE;
  gsize size = 0;
  guchar *bytes = g_base64_decode (gg_http_json_get_text (object, "Value"), &size);
  value_out->key = g_strdup (key);
  value_out->text = g_strndup ((const char *) bytes, size);
  value_out->version = (uint64_t) version;
  g_free (bytes);
  return TRUE;
}

static void
clear_value (void *data)
{
  gg_kv_value_clear (data);
}

/* Returns NULL if the body is malformed or has a key that does not start with @p prefix. */
static GArray *
parse_values (const GgHttpReply *http, const char *prefix)
{
  GArray *values = g_array_new (FALSE, TRUE, sizeof (GgKvValue));
  g_array_set_clear_func (values, clear_value);
  JsonNode *root = gg_http_json_parse (http);
  gboolean valid = root != NULL && JSON_NODE_HOLDS_ARRAY (root);
  JsonArray *array = valid ? json_node_get_array (root) : NULL;
  for (guint i = 0; valid && i < json_array_get_length (array); i++)
    {
      GgKvValue value = { 0 };
      valid = parse_value (json_array_get_element (array, i), &value);
      if (valid)
        g_array_append_val (values, value);
      if (valid && !g_str_has_prefix (value.key, prefix))
        {
          gg_counter_add (&wrong_keys, 1);
          valid = FALSE;
        }
    }
  g_clear_pointer (&root, json_node_unref);
  if (!valid)
    g_clear_pointer (&values, g_array_unref);
  return values;
}

static void
discard_all (GgKv *self)
{
  for (guint i = 0; i < self->n_addresses; i++)
    gg_http_pool_discard (self->pool, self->addresses[i]);
}

static GgKvResult
reject_reply (GgKv *self)
{
  gg_counter_add (&unreachable, 1);
  discard_all (self);
  return GG_KV_UNREACHABLE;
}

static GgKvResult
read_value (GgKv *self, const GgHttpReply *http, const char *key, GgKvValue *value_out)
{
  if (http->status == GG_KV_STATUS_NOT_FOUND)
    {
      value_out->key = g_strdup (key);
      return GG_KV_ABSENT;
    }
  GArray *values = parse_values (http, key);
  gboolean valid = values != NULL && values->len == 1
                   && strcmp (g_array_index (values, GgKvValue, 0).key, key) == 0;
  if (valid)
    {
      *value_out = g_array_index (values, GgKvValue, 0);
      memset (values->data, 0, sizeof (GgKvValue));
    }
  g_clear_pointer (&values, g_array_unref);
  return valid ? GG_KV_OK : reject_reply (self);
}

GgKvResult
gg_kv_get (GgKv *self, const char *key, uint64_t deadline_ms, GgKvValue *value_out)
{
  *value_out = (GgKvValue){ 0 };
  char *path = make_path (key, "");
  GgHttpReply http;
  GgKvResult result = GG_KV_UNREACHABLE;
  if (get (self, &reads, path, deadline_ms, &http))
    result = read_value (self, &http, key, value_out);
  gg_http_reply_clear (&http);
  g_free (path);
  return result;
}

static GgKvResult
read_list (GgKv *self, const GgHttpReply *http, const char *prefix, GArray **values_out)
{
  if (http->status == GG_KV_STATUS_NOT_FOUND)
    return GG_KV_ABSENT;
  *values_out = parse_values (http, prefix);
  return *values_out != NULL ? GG_KV_OK : reject_reply (self);
}

GgKvResult
gg_kv_list (GgKv *self, const char *prefix, uint64_t deadline_ms, GArray **values_out)
{
  *values_out = NULL;
  char *path = make_path (prefix, "?recurse");
  GgHttpReply http;
  GgKvResult result = GG_KV_UNREACHABLE;
  if (get (self, &lists, path, deadline_ms, &http))
    result = read_list (self, &http, prefix, values_out);
  gg_http_reply_clear (&http);
  g_free (path);
  return result;
}

static GgKvResult
read_written (const GgHttpReply *http)
{
  if (http->status != GG_KV_STATUS_OK)
    return GG_KV_IN_DOUBT;
  char *text = g_strstrip (g_strndup (http->body, http->body_size_bytes));
  GgKvResult result = GG_KV_IN_DOUBT;
  if (strcmp (text, "true") == 0)
    result = GG_KV_OK;
  else if (strcmp (text, "false") == 0)
    result = GG_KV_CONFLICT;
  g_free (text);
  return result;
}

/* neon must not repeat a write: if the first copy took effect and its reply was lost, the second
 * copy would get a conflict. */
static GgKvResult
put_once (GgKv *self, const char *address, const char *path, const char *text, uint64_t deadline_ms)
{
  GgHttpRequest request = { .method = "PUT",
                            .path = path,
                            .body = text,
                            .body_size_bytes = strlen (text),
                            .may_repeat = FALSE };
  GgHttpReply http;
  GgKvResult result = GG_KV_IN_DOUBT;
  gg_counter_add (&writes, 1);
  switch (gg_http_pool_call (self->pool, address, &request, deadline_ms, &http))
    {
    case GG_HTTP_OK:
      result = read_written (&http);
      break;
    case GG_HTTP_NOT_SENT:
      result = GG_KV_UNREACHABLE;
      break;
    case GG_HTTP_IN_DOUBT:
      break;
    }
  gg_http_reply_clear (&http);
  return result;
}

static void
count_write (GgKvResult result)
{
  switch (result)
    {
    case GG_KV_OK:
    case GG_KV_ABSENT:
      break;
    case GG_KV_CONFLICT:
      gg_counter_add (&conflicts, 1);
      break;
    case GG_KV_UNREACHABLE:
      gg_counter_add (&unreachable, 1);
      break;
    case GG_KV_IN_DOUBT:
      gg_counter_add (&in_doubt, 1);
      break;
    }
}

GgKvResult
gg_kv_put_if_version (
    GgKv *self, const char *key, const char *text, uint64_t version, uint64_t deadline_ms)
{
  if (strlen (text) > GG_KV_VALUE_MAX_BYTES)
    {
      gg_counter_add (&too_long, 1);
      return GG_KV_UNREACHABLE;
    }
  char query[40];
  g_snprintf (query, sizeof query, "?cas=%" G_GUINT64_FORMAT, (guint64) version);
  char *path = make_path (key, query);
  GgKvResult result = GG_KV_UNREACHABLE;
  for (guint i = 0; i < self->n_addresses && result == GG_KV_UNREACHABLE; i++)
    {
      gint index;
      const char *address = get_address (self, i, &index);
      result = put_once (self, address, path, text, share_deadline (self, i, deadline_ms));
      if (result == GG_KV_OK || result == GG_KV_CONFLICT)
        g_atomic_int_set (&self->preferred, index);
    }
  g_free (path);
  count_write (result);
  return result;
}

/* A blocking read uses the time up to its deadline, so it is made only once, at the address that
 * answered last. */
static GgKvResult
read_blocking (
    GgKv *self, const char *key, guint64 index, uint64_t deadline_ms, GgKvValue *value_out)
{
  uint64_t now = gg_clock_now_ms ();
  uint64_t left_ms = deadline_ms > now ? deadline_ms - now : 0;
  uint64_t margin_ms = GG_KV_WATCH_MARGIN_MS + left_ms / GG_KV_WATCH_JITTER_DIVISOR;
  uint64_t wait_ms = left_ms > margin_ms ? left_ms - margin_ms : 1;
  char query[80];
  g_snprintf (query, sizeof query, "?index=%" G_GUINT64_FORMAT "&wait=%u.%03us", index,
              (guint) (wait_ms / 1000), (guint) (wait_ms % 1000));
  char *path = make_path (key, query);
  gint unused;
  const char *address = get_address (self, 0, &unused);
  GgHttpRequest request = { .method = "GET", .path = path, .may_repeat = TRUE };
  GgHttpReply http;
  GgKvResult result = GG_KV_UNREACHABLE;
  gg_counter_add (&watches, 1);
  if (gg_http_pool_call (self->pool, address, &request, deadline_ms, &http) == GG_HTTP_OK
      && (http.status == GG_KV_STATUS_OK || http.status == GG_KV_STATUS_NOT_FOUND))
    result = read_value (self, &http, key, value_out);
  else
    {
      gg_counter_add (&unreachable, 1);
      gg_http_pool_discard (self->pool, address);
      g_atomic_int_inc (&self->preferred);
    }
  gg_http_reply_clear (&http);
  g_free (path);
  return result;
}

static guint64
read_index (const GgHttpReply *http)
{
  const char *text = g_hash_table_lookup (http->headers, "x-consul-index");
  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

/* A read with index 0 does not block, so waiting for the creation of a key needs the index at which
 * the key was absent. */
static GgKvResult
watch_absent (GgKv *self, const char *key, uint64_t deadline_ms, GgKvValue *value_out)
{
  char *path = make_path (key, "");
  GgHttpReply http;
  GgKvResult result = GG_KV_UNREACHABLE;
  guint64 index = 0;
  if (get (self, &reads, path, deadline_ms, &http))
    {
      result = read_value (self, &http, key, value_out);
      index = read_index (&http);
    }
  gg_http_reply_clear (&http);
  g_free (path);
  if (result != GG_KV_ABSENT || index == 0)
    return result;
  gg_kv_value_clear (value_out);
  return read_blocking (self, key, index, deadline_ms, value_out);
}

GgKvResult
gg_kv_watch (
    GgKv *self, const char *key, uint64_t version, uint64_t deadline_ms, GgKvValue *value_out)
{
  *value_out = (GgKvValue){ 0 };
  if (version == 0)
    return watch_absent (self, key, deadline_ms, value_out);
  return read_blocking (self, key, version, deadline_ms, value_out);
}
