/** @file
 * Reads declaration files from a directory tree. */
#pragma once

#include <glib.h>

/** Reads all *.ini files below @p folder. Hidden entries and symbolic links to folders are skipped.
 * @return table of "PREFIX/relative-path" to text, owned by the caller; NULL on failure, with
 *   @p error (G_FILE_ERROR) naming the file. */
GHashTable *declaration_files_read (const char *folder, const char *prefix, GError **error);
