/** @file
 * JSON reports for operators. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Returns a summary of instances, runners and load per service, configuration and platform; the
 * caller frees it, as the texts below. */
char *gg_control_report_status (GgControlState *state);

/** Returns the summary with all members, their loads and the counters. */
char *gg_control_report_dump (GgControlState *state);

/** Returns {"records":[{"key","path","record"}],"gaps":[...]} with the records of non-idempotent
 * calls whose state is "intent" or "unknown". Blocks for at most about a second. */
char *gg_control_report_records (GgControlState *state, GgKv *kv);
