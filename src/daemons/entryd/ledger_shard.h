/** @file
 * A document that contains many records, with group commit: writes that arrive during a commit are
 * combined in the next one. Thread-safe.
 *
 * Any instance may commit to any shard. Compare-and-swap on the document's version fences writers
 * that were paused; a conflicting commit is retried on the newer document. */
#pragma once

#include "ports/kv.h"

typedef struct _GgLedgerShard GgLedgerShard;

/** @param kv not owned.
 *  @param key key of the document.
 *  @param timeout_ms timeout of each call to the key-value service. */
GgLedgerShard *gg_ledger_shard_create (GgKv *kv, const char *key, uint64_t timeout_ms);
void gg_ledger_shard_destroy (GgLedgerShard *self);

/** Reads the text and version of one record.
 * @param text_out owned by the caller; NULL if the record does not exist.
 * @param version_out 0 if the record does not exist.
 * @return GG_KV_OK, GG_KV_ABSENT or GG_KV_UNREACHABLE. */
GgKvResult gg_ledger_shard_read (GgLedgerShard *self,
                                 const char *record,
                                 char **text_out,
                                 uint64_t *version_out);

/** Writes one record if its version is @p version (0: if it does not exist).
 * @return GG_KV_OK, GG_KV_CONFLICT, GG_KV_UNREACHABLE if nothing was written, or GG_KV_IN_DOUBT. */
GgKvResult
gg_ledger_shard_write (GgLedgerShard *self, const char *record, const char *text, uint64_t version);
