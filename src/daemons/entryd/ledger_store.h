/** @file
 * Stored records of non-idempotent calls, in the platform's key-value service. Thread-safe.
 *
 * There are two layouts: one key per record, or sharded documents with group commit (see
 * docs/decisions/). In both, the version check fences writers that were paused. */
#pragma once

#include "core/ledger.h"
#include "ports/kv.h"

typedef struct _GgLedgerStore GgLedgerStore;

typedef enum
{
  GG_LEDGER_LAYOUT_RECORD,
  GG_LEDGER_LAYOUT_SHARDED,
} GgLedgerLayout;

/** @param kv not owned.
 *  @param shards number of documents in the sharded layout.
 *  @param timeout_ms timeout of each call to the key-value service. */
GgLedgerStore *
gg_ledger_store_create (GgKv *kv, GgLedgerLayout layout, uint32_t shards, uint64_t timeout_ms);
void gg_ledger_store_destroy (GgLedgerStore *self);

/** Returns the key of the record for an idempotency key, owned by the caller. */
char *gg_ledger_store_make_key (const char *team, const char *service, const char *key);

/** Reads a record.
 * @param version_out 0 if there is none.
 * @return GG_KV_OK, GG_KV_ABSENT or GG_KV_UNREACHABLE; the last one also for a malformed record. */
GgKvResult gg_ledger_store_read (GgLedgerStore *self,
                                 const char *key,
                                 GgLedgerRecord *record_out,
                                 uint64_t *version_out);

/** Writes a record if its stored version is @p version (0: if there is none). */
GgKvResult gg_ledger_store_write (GgLedgerStore *self,
                                  const char *key,
                                  const GgLedgerRecord *record,
                                  uint64_t version);
