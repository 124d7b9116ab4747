/** @file
 * Account of an instance: a bounded journal of the state changes that operators review, in which
 * repeated events are coalesced. Thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgAccount GgAccount;

/** @param max_entries limit for own entries, and separately for entries merged from other
 *   instances. Above it the oldest entries are dropped, those that need a person last, and an
 *   entry of kind "gap" with sequence 0 counts them. */
GgAccount *gg_account_create (const char *instance, uint32_t max_entries);
void gg_account_destroy (GgAccount *self);

/** Records an event, or increments the count of an open entry with equal kind and subject; an
 * entry is open for ten minutes after its latest event. Texts are truncated to 512 bytes.
 * @param kind a fixed identifier, such as "runner-ejected", "runner-restored", "booking-unknown",
 *   "stage-replaced", "platform-down", "platform-up", "config-accepted", "drain", "cut".
 * @param subject the runner, service or key that the event concerns.
 * @param needs_person TRUE if a person must settle it.
 * @param wall_ms time since the Unix epoch. */
void gg_account_record (GgAccount *self,
                        const char *kind,
                        const char *subject,
                        const char *detail,
                        gboolean needs_person,
                        uint64_t wall_ms);

/** Returns entries with last_ms >= @p since_ms (since the Unix epoch) as a JSON array, owned by the
 * caller. Each has
 * "instance", "sequence", "kind", "subject", "detail", "first_ms", "last_ms", "count",
 * "needs_person". */
char *gg_account_format (GgAccount *self, uint64_t since_ms);

/** Merges entries of another process, in the form of gg_account_format(); entries that are
 * already known by instance and sequence are updated.
 * @return FALSE if @p json is malformed. */
gboolean gg_account_merge (GgAccount *self, const char *json);

/** Returns a version that increases with each change. */
uint64_t gg_account_get_version (GgAccount *self);
