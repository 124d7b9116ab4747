/** @file
 * The published configuration document: generation, publish id and files.
 *
 * It also holds the generation at which each file last changed, so that a publisher can name an
 * old base, and the newest publish ids, so that a publisher that lost the reply to its write can
 * still find out whether it took effect after others have written. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Immutable, reference counted. */
typedef struct _GgConfigDocument GgConfigDocument;

/** Size limit of the JSON form; the key-value service stores values of up to one megabyte. */
#define GG_CONFIG_DOCUMENT_MAX_BYTES 1000000

/** Creates a document without history, in which every file changed at @p generation.
 * @param files path to INI text (both char *); copied. */
GgConfigDocument *
gg_config_document_create (uint64_t generation, const char *publish_id, GHashTable *files);
GgConfigDocument *gg_config_document_ref (GgConfigDocument *self);
void gg_config_document_unref (GgConfigDocument *self);

/** Parses the JSON form.
 * @return NULL on failure, with @p error of the domain GG_CONFIG_ERROR. */
GgConfigDocument *gg_config_document_parse (const char *json, GError **error);

/** Returns the JSON form, owned by the caller. Equal documents give equal bytes. */
char *gg_config_document_format (const GgConfigDocument *self);

uint64_t gg_config_document_get_generation (const GgConfigDocument *self);
const char *gg_config_document_get_publish_id (const GgConfigDocument *self);

/** Returns the table of path to text, owned by @p self; do not modify it. */
GHashTable *gg_config_document_get_files (const GgConfigDocument *self);

/** Returns the generation at which @p path was last written or removed. For a path without a
 * record this is the newest generation whose records may have been dropped, or 0 if
 * none were. */
uint64_t gg_config_document_get_changed (const GgConfigDocument *self, const char *path);

/** Returns the generation that @p publish_id published, or 0 if it is not among the newest
 * publishes. */
uint64_t gg_config_document_find_publish (const GgConfigDocument *self, const char *publish_id);

/** Returns TRUE if @p candidate may replace @p current: its generation is higher.
 * @param current NULL if there is none yet. */
gboolean gg_config_document_supersedes (const GgConfigDocument *candidate,
                                        const GgConfigDocument *current);

/** Merges a publisher's changes into a newer document (three-way merge). A text equal to the one
 * in @p base is not a change, and a change that @p current already has is not a conflict.
 *
 * @param base document that the publisher read; NULL if there was none.
 * @param changes path to text; a NULL text removes the file.
 * @param current the newer document; NULL if there is none.
 * @param conflict_out on FALSE, a path that both changed differently (owned by the caller).
 * @return TRUE with @p merged_out set to generation current + 1. */
gboolean gg_config_document_merge (GgConfigDocument **merged_out,
                                   char **conflict_out,
                                   const GgConfigDocument *base,
                                   GHashTable *changes,
                                   const GgConfigDocument *current,
                                   const char *publish_id);
