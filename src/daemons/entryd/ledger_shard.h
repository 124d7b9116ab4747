/** @file
 * One document that holds many records, with group commit: writes that wait while a commit is
 * on its way are put into the next one together. Thread-safe.
 *
 * Any instance may commit to any shard; compare-and-swap on the document's version fences
 * writers that were paused, and a lost race is tried again on the newer document. */
#pragma once

#include "ports/kv.h"

typedef struct _GgLedgerShard GgLedgerShard;

/** @param key key of the document.
 *  @param timeout_ms bound of each call to the key-value service. */
GgLedgerShard *gg_ledger_shard_create (GgKv *kv, const char *key, uint64_t timeout_ms);
void gg_ledger_shard_destroy (GgLedgerShard *self);

/** Reads the text and version of one record.
 * @param text_out owned by the caller; NULL if there is none.
 * @return GG_KV_OK, GG_KV_ABSENT or GG_KV_UNREACHABLE. */
GgKvResult gg_ledger_shard_read (GgLedgerShard *self,
                                 const char *record,
                                 char **text_out,
                                 uint64_t *version_out);

/** Writes one record if its version is @p version (0: if there is none). */
GgKvResult
gg_ledger_shard_write (GgLedgerShard *self, const char *record, const char *text, uint64_t version);
