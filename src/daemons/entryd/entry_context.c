#include "daemons/entryd/entry_context.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "core/runner_health.h"

static GgCounter ejections
    = GG_COUNTER ("greengage_runner_ejections_total", "Runners taken out of use after a failure");
static GgCounter restorations
    = GG_COUNTER ("greengage_runner_restorations_total", "Runners put back into use");

void
gg_entry_apply_runner_event (GgEntry *entry, GgRunner *runner, int event)
{
  if (!gg_runner_health_apply (runner, (GgRunnerEvent) event, gg_clock_now_ms ()))
    return;
  switch ((GgRunnerEvent) event)
    {
    case GG_RUNNER_EVENT_SUCCESS:
    case GG_RUNNER_EVENT_PROBE_OK:
      gg_counter_add (&restorations, 1);
      gg_log (LOG_NOTICE, "event=runner-restored runner=%s", runner->id);
      gg_snapshot_client_report_event (entry->snapshots, "runner-restored", runner->id, NULL,
                                       FALSE);
      break;
    case GG_RUNNER_EVENT_FAILED_REUSED:
    case GG_RUNNER_EVENT_FAILED_FRESH:
      gg_counter_add (&ejections, 1);
      gg_log (LOG_WARNING, "event=runner-ejected runner=%s", runner->id);
      gg_snapshot_client_report_event (entry->snapshots, "runner-ejected", runner->id,
                                       event == GG_RUNNER_EVENT_FAILED_REUSED
                                           ? "no answer on an open connection"
                                           : "no answer on a new connection",
                                       FALSE);
      break;
    case GG_RUNNER_EVENT_LEAVING:
      gg_log (LOG_NOTICE, "event=runner-leaving runner=%s", runner->id);
      gg_snapshot_client_report_leaving (entry->snapshots, runner->id, runner->incarnation);
      break;
    }
}

uint64_t
gg_entry_random (void)
{
  return (uint64_t) g_random_int () << 32 | g_random_int ();
}
