/** @file
 * Syslog-style lines on standard error; used for state changes only. */
#pragma once

#include <syslog.h>

/** Sets the program name of later lines. Call it once, before threads start. */
void gg_log_init (const char *program);

/** Writes one line "<PRI>program[pid]: message".
 * @param priority LOG_ERR, LOG_WARNING, LOG_NOTICE or LOG_INFO. */
void gg_log (int priority, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
