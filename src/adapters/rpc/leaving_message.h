/** @file
 * Datagrams that name runners which have announced that they are leaving (XDR). */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Largest size of a datagram, and the most runners in it. */
#define GG_LEAVING_MESSAGE_MAX_BYTES 1400
#define GG_LEAVING_MESSAGE_MAX_RUNNERS 300

/** @param hashes uint32_t, gg_load_report_hash() of each runner's id and start.
 * @return the size in bytes, 0 if it does not fit. */
size_t gg_leaving_message_encode (const GArray *hashes, char *buffer, size_t size_bytes);

/** Appends the runners of a message to @p hashes_out.
 * @return FALSE if the bytes are no valid message; what was appended is not valid then. */
gboolean gg_leaving_message_decode (char *buffer, size_t size_bytes, GArray *hashes_out);
