/** @file
 * Finds out whether the process of a runner that broke off sends has ended
 * (core/crash_evidence.h): tries to connect to its address, and watches its entry. */
#pragma once

#include "core/crash_evidence.h"
#include "daemons/routerd/router.h"

typedef struct _GgCrashDetector GgCrashDetector;

/** Reports a request that a runner was beginning to run when its process ended.
 * @param runner_hash identifies the process. */
typedef void (*GgCrashFunc) (void *data, const GgRequestSuspects *suspects, uint32_t runner_hash);

GgCrashDetector *gg_crash_detector_create (GgRouter *router, GgCrashFunc func, void *data);
void gg_crash_detector_destroy (GgCrashDetector *self);

/** Records that a runner broke off a request that it was beginning to run. */
void gg_crash_detector_note_broken (GgCrashDetector *self,
                                    const GgRequestSuspects *suspects,
                                    const GgRunnerRecord *runner);

/** Records that a request was served. */
void gg_crash_detector_note_served (GgCrashDetector *self, uint64_t digest);

/** Whether broken requests wait for proof. */
gboolean gg_crash_detector_has_pending (const GgCrashDetector *self);

/** Whether one of them has this prefix in its digest. */
gboolean gg_crash_detector_has_prefix (const GgCrashDetector *self, uint16_t prefix);
