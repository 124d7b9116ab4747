#include "daemons/entryd/ledger_store.h"

#include "base/clock.h"

#include <string.h>

#define KEY_PREFIX "greengage/ledger/"

struct _GgLedgerStore
{
  GgKv *kv;
  uint64_t timeout_ms;
};

GgLedgerStore *
gg_ledger_store_create (GgKv *kv, GgLedgerLayout layout, uint32_t shards, uint64_t timeout_ms)
{
  GgLedgerStore *self = g_new0 (GgLedgerStore, 1);
  self->kv = kv;
  self->timeout_ms = timeout_ms;
  return self;
}

void
gg_ledger_store_destroy (GgLedgerStore *self)
{
  g_free (self);
}

char *
gg_ledger_store_make_key (const char *team, const char *service, const char *key)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *name = g_strdup_printf (KEY_PREFIX "%s/%s/%s", team, service, hash);
  g_free (hash);
  return name;
}

GgKvResult
gg_ledger_store_read (GgLedgerStore *self,
                      const char *key,
                      GgLedgerRecord *record_out,
                      uint64_t *version_out)
{
  GgKvValue value = { 0 };
  memset (record_out, 0, sizeof *record_out);
  *version_out = 0;
  GgKvResult result = gg_kv_get (self->kv, key, gg_clock_now_ms () + self->timeout_ms, &value);
  if (result == GG_KV_OK)
    {
      *version_out = value.version;
      /* A record that can't be read must not be run again, so it is not taken for absent. */
      if (!gg_ledger_record_parse (record_out, value.text))
        result = GG_KV_UNREACHABLE;
    }
  gg_kv_value_clear (&value);
  return result;
}

GgKvResult
gg_ledger_store_write (GgLedgerStore *self,
                       const char *key,
                       const GgLedgerRecord *record,
                       uint64_t version)
{
  char *text = gg_ledger_record_format (record);
  GgKvResult result
      = gg_kv_put_if_version (self->kv, key, text, version, gg_clock_now_ms () + self->timeout_ms);
  g_free (text);
  return result;
}
