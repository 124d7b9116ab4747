#include "daemons/controld/account_store.h"

#include "adapters/rpc/control_client.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "core/backoff.h"
#include "daemons/controld/control_random.h"

#include <string.h>

#define CALL_TIMEOUT_MS 2000
#define READ_ALL_TIMEOUT_MS 800
#define COPY_TIMEOUT_MS 1000
#define COPY_MAX_ATTEMPTS 3
#define BACKOFF_BASE_MS 200
#define FINAL_SAVE_TIMEOUT_MS 3000
/* The platform limits values to one megabyte. */
#define VALUE_MAX_BYTES 1000000
#define DAY_MS ((uint64_t) 24 * 3600 * 1000)
/* Leaves room for the JSON around the entries in a reply of GG_RPC_TEXT_MAX bytes. */
#define REPLY_MAX_BYTES (GG_RPC_TEXT_MAX - 65536)
#define VIEW_MAX_ENTRIES 100000

static GgCounter saves
    = GG_COUNTER ("greengage_account_saves_total{result=\"ok\"}", "Writes of the account");
static GgCounter failed_saves
    = GG_COUNTER ("greengage_account_saves_total{result=\"failed\"}", "Writes of the account");
static GgCounter copies
    = GG_COUNTER ("greengage_account_copies_total", "Unsaved accounts copied to a peer");

struct _GgAccountStore
{
  GgControlState *state;
  GgKv *kv;
  char *key;
  uint64_t save_ms;
  gboolean is_merged; /* Entries stored by an earlier process of this instance were merged. */
  uint64_t saved_version;
  uint64_t saved_wall_ms;
  uint64_t copied_version;
  char *copy_peer; /* Control address of the peer that accepted the latest copy. */
  GgBackoff backoff;
  pthread_t thread;
};

/* Omits the oldest entries if the text would exceed @max_bytes; sets @since_out to the time (wall
 * clock) from which the text contains entries. */
static char *
format_bounded (GgAccount *account, size_t max_bytes, uint64_t since_ms, uint64_t *since_out)
{
  uint64_t now_ms = gg_clock_wall_ms ();
  char *text = gg_account_format (account, since_ms);
  for (uint64_t window_ms = 4 * DAY_MS; strlen (text) > max_bytes && window_ms > 1000;
       window_ms /= 2)
    {
      g_free (text);
      since_ms = MAX (since_ms, now_ms - window_ms);
      text = gg_account_format (account, since_ms);
    }
  *since_out = since_ms;
  return text;
}

/* Reads the stored account and, if @merge is set, adds its entries to the local one. Sets the
 * version to 0 for an absent key, so that the next write creates it. */
static GgKvResult
read_stored (GgAccountStore *self, uint64_t *version_out, gboolean merge)
{
  GgKvValue value = { 0 };
  GgKvResult result = gg_kv_get (self->kv, self->key, gg_clock_now_ms () + CALL_TIMEOUT_MS, &value);
  *version_out = result == GG_KV_OK ? value.version : 0;
  if (result == GG_KV_OK && merge && !gg_account_merge (self->state->account, value.text))
    gg_log (LOG_ERR, "event=account-malformed key=%s", self->key);
  gg_kv_value_clear (&value);
  return result;
}

static gboolean
write_account (GgAccountStore *self, uint64_t stored_version)
{
  uint64_t since_ms;
  uint64_t wall_ms = gg_clock_wall_ms ();
  uint64_t version = gg_account_get_version (self->state->account);
  char *text = format_bounded (self->state->account, VALUE_MAX_BYTES, 0, &since_ms);
  GgKvResult result = gg_kv_put_if_version (self->kv, self->key, text, stored_version,
                                            gg_clock_now_ms () + CALL_TIMEOUT_MS);
  g_free (text);
  /* Another process wrote this key, or the reply to an earlier write was lost: merge the stored
   * entries before the next write. */
  if (result == GG_KV_CONFLICT)
    self->is_merged = FALSE;
  if (result != GG_KV_OK)
    return FALSE;
  self->saved_version = version;
  self->saved_wall_ms = wall_ms;
  return TRUE;
}

/* Merges the entries of an earlier process before the first write, which would overwrite them. */
static gboolean
save (GgAccountStore *self)
{
  uint64_t stored_version;
  GgKvResult result = read_stored (self, &stored_version, !self->is_merged);
  gboolean answered = result == GG_KV_OK || result == GG_KV_ABSENT;
  gg_control_state_note_platform (self->state, GG_CONTROL_PLATFORM_KV, answered,
                                  gg_clock_now_ms ());
  gboolean saved = FALSE;
  if (answered)
    {
      self->is_merged = TRUE;
      saved = write_account (self, stored_version);
    }
  gg_counter_add (saved ? &saves : &failed_saves, 1);
  return saved;
}

static gboolean
copy_to_peer (GgAccountStore *self, const char *address, const char *text)
{
  if (!gg_control_client_copy_account (address, text, COPY_TIMEOUT_MS))
    return FALSE;
  char *used = g_strdup (address);
  g_free (self->copy_peer);
  self->copy_peer = used;
  gg_counter_add (&copies, 1);
  return TRUE;
}

/* Prefers the peer that accepted the last copy; tries a few random peers if it fails. */
static gboolean
copy_to_any_peer (GgAccountStore *self, const char *text)
{
  if (self->copy_peer != NULL && copy_to_peer (self, self->copy_peer, text))
    return TRUE;
  GArray *peers = gg_control_state_copy_members (self->state, gg_control_state_is_peer);
  gboolean copied = FALSE;
  for (guint i = 0; i < COPY_MAX_ATTEMPTS && peers->len > 0 && !copied; i++)
    {
      guint choice = (guint) (gg_control_random () % peers->len);
      copied = copy_to_peer (self, g_array_index (peers, GgMember, choice).control_address, text);
    }
  g_array_unref (peers);
  return copied;
}

static void
copy_unsaved (GgAccountStore *self)
{
  uint64_t version = gg_account_get_version (self->state->account);
  if (version == self->copied_version || version == self->saved_version)
    return;
  char *text = gg_account_format (self->state->account, self->saved_wall_ms);
  if (copy_to_any_peer (self, text))
    self->copied_version = version;
  g_free (text);
}

static gboolean
is_saved (GgAccountStore *self)
{
  return gg_account_get_version (self->state->account) == self->saved_version;
}

/* Returns the delay before the next run, ms. */
static uint64_t
run_once (GgAccountStore *self)
{
  if (is_saved (self) || save (self))
    {
      gg_backoff_reset (&self->backoff);
      return self->save_ms + gg_control_random () % (self->save_ms / 4 + 1);
    }
  copy_unsaved (self);
  return gg_backoff_next_ms (&self->backoff, gg_control_random ());
}

static void *
run (void *data)
{
  GgAccountStore *self = data;
  while (gg_control_state_wait (self->state, run_once (self)))
    ;
  uint64_t end_ms = gg_clock_now_ms () + FINAL_SAVE_TIMEOUT_MS;
  while (!is_saved (self) && !save (self) && gg_clock_now_ms () < end_ms)
    g_usleep (1000 * (gulong) gg_backoff_next_ms (&self->backoff, gg_control_random ()));
  if (!is_saved (self))
    {
      copy_unsaved (self);
      gg_log (LOG_WARNING, "event=account-unsaved copied=%s",
              self->copied_version == gg_account_get_version (self->state->account) ? "yes" : "no");
    }
  return NULL;
}

GgAccountStore *
gg_account_store_create (GgControlState *state, GgKv *kv, const GgSettings *settings)
{
  GgAccountStore *self = g_new0 (GgAccountStore, 1);
  self->state = state;
  self->kv = kv;
  self->key = g_strconcat (GG_ACCOUNT_KEY_PREFIX, state->name, NULL);
  self->save_ms = gg_settings_get_uint (settings, "account", "save_ms");
  uint32_t max_ms = (uint32_t) gg_settings_get_uint (settings, "platform", "backoff_max_ms");
  self->backoff = (GgBackoff) GG_BACKOFF_INIT (BACKOFF_BASE_MS, max_ms);
  gg_control_thread_start (&self->thread, run, self);
  return self;
}

void
gg_account_store_destroy (GgAccountStore *self)
{
  pthread_join (self->thread, NULL);
  g_free (self->copy_peer);
  g_free (self->key);
  g_free (self);
}

static void
add_gap (GPtrArray *gaps, char *text)
{
  g_ptr_array_add (gaps, g_strdup_printf ("\"%s\"", text));
  g_free (text);
}

static void
merge_stored (GgControlState *state, GgKv *kv, GgAccount *view, GPtrArray *gaps)
{
  GArray *values = NULL;
  /* Skips the call during a known outage, since RPC procedures must not block. */
  gboolean down = gg_control_state_is_platform_down (state, GG_CONTROL_PLATFORM_KV);
  GgKvResult result = down ? GG_KV_UNREACHABLE
                           : gg_kv_list (kv, GG_ACCOUNT_KEY_PREFIX,
                                         gg_clock_now_ms () + READ_ALL_TIMEOUT_MS, &values);
  if (result != GG_KV_OK && result != GG_KV_ABSENT)
    add_gap (gaps, g_strdup ("the platform does not answer: entries of other instances are "
                             "missing but for those copied here"));
  for (guint i = 0; values != NULL && i < values->len; i++)
    {
      const GgKvValue *value = &g_array_index (values, GgKvValue, i);
      if (value->text == NULL || !gg_account_merge (view, value->text))
        {
          char *key = g_strescape (value->key, NULL);
          add_gap (gaps, g_strdup_printf ("%s is malformed", key));
          g_free (key);
        }
    }
  g_clear_pointer (&values, g_array_unref);
}

char *
gg_account_store_read_all (GgControlState *state, GgKv *kv, uint64_t since_ms)
{
  GPtrArray *gaps = g_ptr_array_new_with_free_func (g_free);
  GgAccount *view = gg_account_create ("", VIEW_MAX_ENTRIES);
  char *own = gg_account_format (state->account, 0);
  merge_stored (state, kv, view, gaps);
  gg_account_merge (view, own);
  g_free (own);

  uint64_t shown_since_ms;
  char *entries = format_bounded (view, REPLY_MAX_BYTES, since_ms, &shown_since_ms);
  if (shown_since_ms != since_ms)
    add_gap (gaps,
             g_strdup_printf ("entries before %" G_GUINT64_FORMAT " do not fit into the reply",
                              shown_since_ms));
  g_ptr_array_add (gaps, NULL);
  char *joined = g_strjoinv (",", (char **) gaps->pdata);
  char *text = g_strdup_printf ("{\"entries\":%s,\"gaps\":[%s]}", entries, joined);
  g_free (joined);
  g_free (entries);
  gg_account_destroy (view);
  g_ptr_array_unref (gaps);
  return text;
}
