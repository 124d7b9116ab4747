/** @file
 * Child processes of tests. The kernel kills a child when the thread that started it ends, so start
 * children from the main thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgProcess GgProcess;

/** Starts $GG_BIN/@p program, or @p program if that is an absolute path, with the NULL-terminated
 * @p args and captures its output. */
GgProcess *gg_process_start (const char *program, const char *const *args);

/** Kills the process if it still runs, reaps and frees it; @p self may be NULL. */
void gg_process_destroy (GgProcess *self);

/** Kills and reaps all processes that have not been destroyed. */
void gg_process_kill_all (void);

/** Waits for the line "listening IP:PORT".
 * @return the address, owned by @p self, or NULL after @p timeout_ms or if the process ended. */
const char *gg_process_wait_listening (GgProcess *self, uint64_t timeout_ms);

void gg_process_signal (GgProcess *self, int signal_number);

/** Returns whether the process ended within @p timeout_ms. */
gboolean gg_process_wait_exit (GgProcess *self, uint64_t timeout_ms);

/** Returns the exit code, or 128 plus the number of the terminating signal; -1 while running. */
int gg_process_get_status (GgProcess *self);

/** Returns the processor time that the process has used so far, in milliseconds; 0 if it ended. */
uint64_t gg_process_get_cpu_ms (const GgProcess *self);

/** Returns the peak of the resident memory of the process, in KiB; 0 if it ended. */
guint gg_process_get_peak_kb (const GgProcess *self);

/** Returns the process id, for diagnostics. */
int gg_process_get_id (const GgProcess *self);

/** These return the standard output or standard error captured so far, owned by the caller. */
char *gg_process_read_output (const GgProcess *self);
char *gg_process_read_errors (const GgProcess *self);

/** Runs a program to completion.
 * @param output_out standard output followed by standard error; may be NULL.
 * @return its status as above; -1 if it was killed after @p timeout_ms. */
int gg_process_run (const char *program,
                    const char *const *args,
                    uint64_t timeout_ms,
                    char **output_out);

/** Reserves a port of 127.0.0.1 that is free for TCP and UDP, until the test program ends.
 * @return "127.0.0.1:PORT", owned by the caller. */
char *gg_process_reserve_address (void);

typedef gboolean (*GgCondition) (void *data);

/** Returns whether @p condition became true within @p timeout_ms. */
gboolean gg_wait_until (GgCondition condition, void *data, uint64_t timeout_ms);
