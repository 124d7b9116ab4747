/** @file
 * Whether an instance may rely on another one that watches the store for its data centre, instead
 * of watching by itself. Times are CLOCK_BOOTTIME, so that a suspension counts as silence. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct
{
  uint32_t n_good;     /**< Good words in a row. */
  uint64_t heard_ms;   /**< When the question for the latest good word was sent. */
  uint64_t word_ms;    /**< When the question for the latest word was sent, good or bad. */
  gboolean has_failed; /**< The source was relied on, and then failed. */
} GgWatchDelegation;

/** What an instance says of its own view of the store. */
typedef struct
{
  gboolean is_source; /**< It believes that it is the one to watch, and it reaches the store. */
  uint64_t age_ms;    /**< Its configuration was the newest one so long ago at most. */
} GgWatchStatus;

/** Takes a word that was asked for at @p asked_ms. A bad one ends the reliance at once. */
void gg_watch_delegation_note_status (GgWatchDelegation *self,
                                      const GgWatchStatus *word,
                                      uint64_t asked_ms);

/** Whether the source still speaks, so that its word will tell when the store is back. */
gboolean gg_watch_delegation_has_delegate (const GgWatchDelegation *self, uint64_t now_ms);

/** Forgets everything, since there is no source but this instance. */
void gg_watch_delegation_reset (GgWatchDelegation *self);

/** Whether the source is to be relied on now. */
gboolean gg_watch_delegation_is_active (const GgWatchDelegation *self, uint64_t now_ms);

/** Returns the time for which a word proves the configuration, 0 if for none: the source counted
 * the age at some time after it was asked. */
uint64_t gg_watch_status_get_proven_ms (const GgWatchStatus *self, uint64_t asked_ms);
