/** @file
 * Tells sends that were broken off by the end of the runner's process from those that lost their
 * connection for another reason, such as a cut link, a reset or a stop.
 *
 * A send that its runner broke off while it began to run the request is kept until there is proof:
 * the runner's address refuses connections, its entry shows another start or is gone. Without proof
 * it is dropped. Times are CLOCK_BOOTTIME in ms. */
#pragma once

#include "core/fleet.h"
#include "core/request_suspects.h"

#include <glib.h>
#include <stdint.h>

/** Processes of runners, and broken sends of each of them, that are kept at a time; the oldest
 * leave first. */
#define GG_EVIDENCE_MAX_PROCESSES 64
#define GG_EVIDENCE_MAX_SENDS 32

/** What shows that a process ended. */
typedef enum
{
  GG_CRASH_UNPROVEN,
  GG_CRASH_REFUSED,   /**< Its address refuses connections. */
  GG_CRASH_RESTARTED, /**< The runner's entry shows another start. */
  GG_CRASH_GONE,      /**< The runner's entry is gone. */
} GgCrashProof;

/** A process of a runner. */
typedef struct
{
  char *runner_id;
  char *address;
  uint64_t started_ms;
  uint64_t broken_ms; /**< Time of the first broken send. */
  GgCrashProof proof;
  GArray *sends; /**< GgRequestSuspects of the requests that it broke off, not taken yet. */
} GgDoubtedProcess;

typedef struct _GgCrashEvidence GgCrashEvidence;

GgCrashEvidence *gg_crash_evidence_create (void);
void gg_crash_evidence_destroy (GgCrashEvidence *self);

/** Adds a send that a runner broke off. One of a runner that is leaving is ignored, since its end
 * is planned.
 * @return the process, valid until the next call that changes anything; NULL if it was ignored. */
const GgDoubtedProcess *gg_crash_evidence_add (GgCrashEvidence *self,
                                               const GgRunnerRecord *runner,
                                               const GgRequestSuspects *suspects,
                                               uint64_t now_ms);

/** Drops the suspicion against a request, since it was served elsewhere. */
void gg_crash_evidence_note_served (GgCrashEvidence *self, uint64_t digest);

/** Records that connections to a process are refused. */
void
gg_crash_evidence_note_refused (GgCrashEvidence *self, const char *runner_id, uint64_t started_ms);

/** Looks for processes whose runner's entry is gone or shows another start, and drops those that
 * are too old. */
void gg_crash_evidence_update (GgCrashEvidence *self, const GgFleet *fleet, uint64_t now_ms);

/** Returns the processes: GgDoubtedProcess, valid until the next call that changes anything. */
const GPtrArray *gg_crash_evidence_get_processes (const GgCrashEvidence *self);

/** Takes the broken sends of a process that ended.
 * @param process_out borrowed, valid until the next call that changes anything.
 * @return GgRequestSuspects, owned by the caller; NULL if there is none. */
GArray *gg_crash_evidence_take (GgCrashEvidence *self, const GgDoubtedProcess **process_out);
