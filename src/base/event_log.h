/** @file
 * Structured lines on standard output: "time=... event=NAME key=value ...".
 *
 * Lines are buffered in memory and written without blocking, so that a slow reader of the output
 * never delays a request; lines that do not fit in the buffer are dropped and counted. Ordinary
 * lines are rate-limited, failures are not. Not thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Longest identifier from a client in a line; an id of the platform has 36 bytes. */
#define GG_EVENT_LOG_ID_BYTES 64

typedef enum
{
  GG_EVENT_ORDINARY, /**< Dropped above a fixed number of lines per second. */
  GG_EVENT_NOTABLE,  /**< A failure or a state change; not rate-limited. */
} GgEventClass;

/** Makes @p fd the output, sets it non-blocking, and sets the instance name of later lines. */
void gg_event_log_init (const char *instance, int fd);

/** Adds one line. @p format gives "key=value" pairs separated by spaces; control characters in the
 * values are written as "?". */
void gg_event_log_add (GgEventClass event_class, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Makes an identifier from a client fit for a line: cuts it to GG_EVENT_LOG_ID_BYTES, since
 * clients may send kilobytes, and replaces spaces, at which fields end. Writes "-" for NULL or an
 * empty one. */
void gg_event_log_format_id (const char *id, char text_out[GG_EVENT_LOG_ID_BYTES + 1]);

/** Writes as much of the buffer as the output accepts. Call it about ten times a second. */
void gg_event_log_flush (void);

/** Returns the number of lines dropped so far by the rate limit or for lack of buffer space. */
uint64_t gg_event_log_count_dropped (void);
