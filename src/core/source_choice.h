/** @file
 * Chooses the instance that watches the store for this one, its source, among several that could. A
 * source that fails is replaced by another one before this instance turns to the store itself, so
 * that the failure of one source does not make all that rely on it call the store at once. Times
 * are CLOCK_BOOTTIME. */
#pragma once

#include "core/watch_delegation.h"

/** Sources that are polled at once at most. */
#define GG_SOURCE_CHOICE_MAX_POLLS 2

typedef struct _GgSourceChoice GgSourceChoice;

GgSourceChoice *gg_source_choice_create (uint64_t now_ms);
void gg_source_choice_destroy (GgSourceChoice *self);

/** Sets the possible sources, the preferred one first. What is known of those that stay is kept.
 * @param addresses const char *; not kept. */
void gg_source_choice_set_sources (GgSourceChoice *self, const GPtrArray *addresses);

/** Records a status that was requested from a source at @p requested_ms. */
void gg_source_choice_note_status (GgSourceChoice *self,
                                   const char *address,
                                   const GgWatchStatus *status,
                                   uint64_t requested_ms,
                                   uint64_t now_ms);

/** Chooses the source again.
 * @param search_timeout_ms how long to go on without any valid source before relying on none.
 * @return whether to rely on sources, of which one may just be sought. */
gboolean
gg_source_choice_update (GgSourceChoice *self, uint64_t now_ms, uint64_t search_timeout_ms);

/** Returns the address of the valid source that was chosen last; NULL if there is none now. */
const char *gg_source_choice_get_source (const GgSourceChoice *self);

/** Lists the sources to poll now: the chosen one and at times the preferred one, or while there is
 * no valid one all of them in turn.
 * @return their number. */
guint gg_source_choice_get_polls (GgSourceChoice *self,
                                  const char *addresses_out[GG_SOURCE_CHOICE_MAX_POLLS]);

/** Whether some source still responds, so that its status will show when the store is available
 * again. */
gboolean gg_source_choice_has_responding (const GgSourceChoice *self, uint64_t now_ms);
