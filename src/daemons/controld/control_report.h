/** @file
 * JSON texts for operators. */
#pragma once

#include "daemons/controld/control_state.h"
#include "ports/kv.h"

/** Instances, runners per service, configuration, platform and load; owned by the caller. */
char *gg_control_report_status (GgControlState *state);

/** All members and loads, and the counters. */
char *gg_control_report_dump (GgControlState *state);

/** {"records":[{"key","path","record"}],"gaps":[...]}: records of non-idempotent calls whose
 * state is "intent" or "unknown". Blocks for at most about a second. */
char *gg_control_report_records (GgControlState *state, GgKv *kv);
