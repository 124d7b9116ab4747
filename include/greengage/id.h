/** @file
 * Random 128-bit identifiers of requests and attempts. */
#pragma once

#include <glib.h>
#include <stdint.h>

#define GG_ID_SIZE_BYTES 16
#define GG_ID_TEXT_LENGTH 32

/** A request or attempt identifier. */
typedef struct
{
  uint8_t bytes[GG_ID_SIZE_BYTES];
} GgId;

/** Fills @p id_out from getrandom(2); aborts if the kernel gives no entropy. */
void gg_id_generate (GgId *id_out);

/** As gg_id_generate(), with the first four bytes set to @p instance_hash (big-endian), which
 * identifies the entry instance that holds the stream of the request. */
void gg_id_generate_for_instance (GgId *id_out, uint32_t instance_hash);

/** Returns the instance hash from the first four bytes. */
uint32_t gg_id_get_instance_hash (const GgId *id);

/** Returns the 32-bit hash of an instance's name (leading bytes of its SHA-256). */
uint32_t gg_id_hash_instance (const char *instance);

/** Writes 32 lower-case hexadecimal digits and a terminating NUL to @p text_out. */
void gg_id_format (const GgId *id, char text_out[GG_ID_TEXT_LENGTH + 1]);

/** Parses 32 hexadecimal digits.
 * @return FALSE if @p text is NULL or malformed. */
gboolean gg_id_parse (GgId *id_out, const char *text);

gboolean gg_id_equal (const GgId *a, const GgId *b);
