/** @file
 * State of a cluster under test as reported by its own processes. */
#pragma once

#include "adapters/rpc/control_client.h"
#include "trial.h"

/** These return the configuration generation in force at a process; 0 if it has none or does not
 * answer. */
uint64_t gg_view_control_generation (const GgTrial *trial, uint32_t instance);
uint64_t gg_view_entry_generation (const GgTrial *trial, uint32_t instance);

/** Fails the case unless all entry processes finish settling records in the background within
 * GG_TRIAL_WAIT_MS. */
void gg_view_expect_settled (GgTrial *trial);

/** Returns whether a status text of a control process matches a regular expression. */
gboolean
gg_view_matches (const GgTrial *trial, uint32_t instance, GgControlText which, const char *pattern);

/** Fails the case unless the text matches within @p timeout_ms. */
void gg_view_expect (GgTrial *trial,
                     uint32_t instance,
                     GgControlText which,
                     const char *pattern,
                     uint64_t timeout_ms);

/** Runs greengagectl against the control process of an instance.
 * @return its exit status. */
int gg_view_run_ctl (const GgTrial *trial,
                     uint32_t instance,
                     const char *const *args,
                     char **output_out);
