/** @file
 * Structured lines on standard output: "time=... event=NAME key=value ...".
 *
 * Lines are held in memory and written together, so that a slow reader of the output never
 * delays a request; what it does not take in time is dropped and counted. Ordinary lines are
 * bounded per second, failures are not. Not thread-safe. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
  GG_EVENT_ORDINARY, /**< Left out above a number of lines per second. */
  GG_EVENT_NOTABLE,  /**< A failure, or a change of what the process believes. */
} GgEventClass;

/** Makes the output non-blocking and sets the process name of later lines. */
void gg_event_log_init (const char *instance, int fd);

/** Adds one line. @p format gives "key=value" pairs separated by spaces. */
void gg_event_log_add (GgEventClass event_class, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Writes what is held, as far as the output takes it. Call it about ten times a second. */
void gg_event_log_flush (void);

/** Lines that were left out or dropped so far. */
uint64_t gg_event_log_count_dropped (void);
