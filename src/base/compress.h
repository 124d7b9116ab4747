/** @file
 * Compression of documents that instances pass to each other (gzip, whose checksum reveals
 * damage). */
#pragma once

#include <glib.h>

/** Compresses @p bytes. */
GByteArray *gg_compress (const void *bytes, gsize size_bytes);

/** @return NULL with @p error set if the bytes are no complete and undamaged compressed document,
 *   or if its content is larger than @p max_bytes. */
GByteArray *gg_decompress (const void *bytes, gsize size_bytes, gsize max_bytes, GError **error);
