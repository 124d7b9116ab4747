/** @file
 * Grace period after an outage of the store, in which runners whose entries are missing are kept:
 * runners that are alive write their entries again soon after the store is available. It must begin
 * with the first sign of the store's return, from whichever call: a watch without news returns
 * seconds later, and a period that begins then would keep runners that leave. Times are
 * CLOCK_BOOTTIME. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct
{
  uint64_t outage_since_ms;   /**< Start of the outage; 0 while the store is available. */
  uint64_t grace_until_ms;    /**< End of the grace period. */
  uint64_t restored_until_ms; /**< End of the one after a restore, for entries that are missing from
                               * the first list only: an entry that is removed later is gone. */
} GgOutageGrace;

/** Records that the store is unavailable; repeated calls are allowed. */
void gg_outage_grace_note_outage (GgOutageGrace *self, uint64_t now_ms);

/** Records that the store has answered a call that was sent at @p sent_ms. Ignored if that was
 * before the outage. */
void gg_outage_grace_note_recovery (GgOutageGrace *self, uint64_t sent_ms, uint64_t now_ms);

/** Records that the store was restored from a copy, in which entries may be missing that were
 * written since; however short the outage was. */
void gg_outage_grace_note_restored (GgOutageGrace *self, uint64_t now_ms);

/** Returns whether a runner whose entry is missing now is to be kept in use. */
gboolean gg_outage_grace_is_active (const GgOutageGrace *self, uint64_t now_ms);

/** Returns until when a runner is to be kept in use whose entry is missing from a list of all
 * entries. */
uint64_t gg_outage_grace_get_list_end_ms (const GgOutageGrace *self);
