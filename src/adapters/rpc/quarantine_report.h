/** @file
 * Datagram with what an instance suspects or has in quarantine (XDR). */
#pragma once

#include "core/crash_quarantine.h"

#include <stddef.h>

/** Largest size of a datagram; it holds GG_QUARANTINE_MAX_SUSPECTS suspects. */
#define GG_QUARANTINE_REPORT_MAX_BYTES 1400

/** @param suspects GgSuspect, GG_QUARANTINE_MAX_SUSPECTS at most. Times are sent as ages.
 * @return the size in bytes, 0 if they do not fit. */
size_t gg_quarantine_report_encode (
    GgSuspectKind kind, const GArray *suspects, uint64_t now_ms, char *buffer, size_t size_bytes);

/** Appends the suspects of a report to @p suspects_out; their times are those of this instance.
 * @param kind_out set if the report is valid.
 * @return FALSE if the bytes are no valid report; some suspects may have been appended then. */
gboolean gg_quarantine_report_decode (char *buffer,
                                      size_t size_bytes,
                                      uint64_t now_ms,
                                      GgSuspectKind *kind_out,
                                      GArray *suspects_out);
