/** @file
 * Coalesced, bounded record of state changes for the morning shift. Thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgAccount GgAccount;

/** @param max_entries bound of own entries, and again of entries taken over from others; when it
 *   is reached the oldest entries go, those that need a person last, and an entry of kind "gap"
 *   with sequence 0 counts them. */
GgAccount *gg_account_create (const char *instance, uint32_t max_entries);
void gg_account_destroy (GgAccount *self);

/** Records an event, or raises the count of an open one with equal kind and subject; an entry is
 * open for ten minutes after its latest event. Texts longer than 512 bytes are cut.
 * @param kind a fixed word, such as "runner-ejected", "runner-restored", "booking-unknown",
 *   "stage-replaced", "platform-down", "platform-up", "config-accepted", "drain", "cut".
 * @param subject what it concerns; the runner, service or key.
 * @param needs_person TRUE if somebody must settle it. */
void gg_account_record (GgAccount *self,
                        const char *kind,
                        const char *subject,
                        const char *detail,
                        gboolean needs_person,
                        uint64_t wall_ms);

/** Returns entries with last_ms >= @p since_ms as a JSON array, owned by the caller. Each has
 * "instance", "sequence", "kind", "subject", "detail", "first_ms", "last_ms", "count",
 * "needs_person". */
char *gg_account_format (GgAccount *self, uint64_t since_ms);

/** Adds entries in the form of gg_account_format() that were taken over from another process;
 * entries already known (instance, sequence) are updated.
 * @return FALSE if @p json is malformed. */
gboolean gg_account_merge (GgAccount *self, const char *json);

/** Grows with each change. */
uint64_t gg_account_get_version (GgAccount *self);
