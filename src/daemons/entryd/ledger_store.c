#include "daemons/entryd/ledger_store.h"

#include "base/clock.h"
#include "daemons/entryd/ledger_shard.h"
#include "greengage/id.h"

#include <string.h>

#define KEY_PREFIX "greengage/ledger/"

struct _GgLedgerStore
{
  GgLedgerLayout layout;
  GgKv *kv;
  uint64_t timeout_ms;
  GgLedgerShard **shards; /* only for the sharded layout */
  uint32_t n_shards;
};

static void
create_shards (GgLedgerStore *self, uint32_t n_shards)
{
  self->n_shards = n_shards;
  self->shards = g_new0 (GgLedgerShard *, n_shards);
  for (uint32_t i = 0; i < n_shards; i++)
    {
      char *key = g_strdup_printf (KEY_PREFIX "shard-%u", i);
      self->shards[i] = gg_ledger_shard_create (self->kv, key, self->timeout_ms);
      g_free (key);
    }
}

GgLedgerStore *
gg_ledger_store_create (GgKv *kv, GgLedgerLayout layout, uint32_t shards, uint64_t timeout_ms)
{
  GgLedgerStore *self = g_new0 (GgLedgerStore, 1);
  self->layout = layout;
  self->kv = kv;
  self->timeout_ms = timeout_ms;
  if (layout == GG_LEDGER_LAYOUT_SHARDED)
    create_shards (self, shards);
  return self;
}

void
gg_ledger_store_destroy (GgLedgerStore *self)
{
  if (self == NULL)
    return;
  for (uint32_t i = 0; i < self->n_shards; i++)
    gg_ledger_shard_destroy (self->shards[i]);
  g_free (self->shards);
  g_free (self);
}

static GgLedgerShard *
get_shard (GgLedgerStore *self, const char *key)
{
  return self->shards[gg_id_hash_instance (key) % self->n_shards];
}

char *
gg_ledger_store_make_key (const char *team, const char *service, const char *key)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *name = g_strdup_printf (KEY_PREFIX "%s/%s/%s", team, service, hash);
  g_free (hash);
  return name;
}

static GgKvResult
read_text (GgLedgerStore *self, const char *key, char **text_out, uint64_t *version_out)
{
  switch (self->layout)
    {
    case GG_LEDGER_LAYOUT_SHARDED:
      return gg_ledger_shard_read (get_shard (self, key), key, text_out, version_out);
    case GG_LEDGER_LAYOUT_RECORD:
      {
        GgKvValue value = { 0 };
        GgKvResult result
            = gg_kv_get (self->kv, key, gg_clock_now_ms () + self->timeout_ms, &value);
        *text_out = g_steal_pointer (&value.text);
        *version_out = value.version;
        gg_kv_value_clear (&value);
        return result;
      }
    }
  g_assert_not_reached ();
}

GgKvResult
gg_ledger_store_read (GgLedgerStore *self,
                      const char *key,
                      GgLedgerRecord *record_out,
                      uint64_t *version_out)
{
  char *text = NULL;
  memset (record_out, 0, sizeof *record_out);
  *version_out = 0;
  GgKvResult result = read_text (self, key, &text, version_out);
  /* A malformed record must not be treated as absent, or its call could run again. */
  if (result == GG_KV_OK && (text == NULL || !gg_ledger_record_parse (record_out, text)))
    result = GG_KV_UNREACHABLE;
  if (result == GG_KV_ABSENT)
    *version_out = 0;
  g_free (text);
  return result;
}

GgKvResult
gg_ledger_store_write (GgLedgerStore *self,
                       const char *key,
                       const GgLedgerRecord *record,
                       uint64_t version)
{
  GgKvResult result = GG_KV_UNREACHABLE;
  char *text = gg_ledger_record_format (record);
  switch (self->layout)
    {
    case GG_LEDGER_LAYOUT_RECORD:
      result = gg_kv_put_if_version (self->kv, key, text, version,
                                     gg_clock_now_ms () + self->timeout_ms);
      break;
    case GG_LEDGER_LAYOUT_SHARDED:
      result = gg_ledger_shard_write (get_shard (self, key), key, text, version);
      break;
    }
  g_free (text);
  return result;
}
