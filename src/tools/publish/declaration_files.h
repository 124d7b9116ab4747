/** @file
 * Reads the declarations beside the services. */
#pragma once

#include <glib.h>

/** Reads all *.ini files below @p folder. Hidden entries and linked folders are skipped.
 * @return "PREFIX/relative-path" to text, or NULL with @p error (G_FILE_ERROR) naming the file. */
GHashTable *declaration_files_read (const char *folder, const char *prefix, GError **error);
