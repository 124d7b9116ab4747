#include "daemons/entryd/drain.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/mutation.h"
#include "daemons/entryd/caller_reply.h"

#define POLL_MS 10
/* Records that are still open after this stay open; the control process reports them in the
 * account. */
#define SETTLE_TIMEOUT_MS 2000

static uint32_t
count_in_flight (GgEntry *entry)
{
  return (uint32_t) atomic_load (&entry->requests) + (uint32_t) atomic_load (&entry->answers);
}

static void
wait_for_in_flight (GgEntry *entry, uint64_t deadline_ms)
{
  while (count_in_flight (entry) > 0 && gg_clock_now_ms () < deadline_ms
         && !GG_IS_MUTATED ("drain-skip-wait"))
    g_usleep (POLL_MS * 1000);
  /* A caller that lost its connection may still resume its answer. */
  uint64_t resume_deadline_ms = MIN (deadline_ms, gg_clock_now_ms () + entry->grace_ms);
  while (gg_stream_registry_count_undelivered (entry->streams) > 0
         && gg_clock_now_ms () < resume_deadline_ms && !GG_IS_MUTATED ("drain-skip-undelivered"))
    g_usleep (POLL_MS * 1000);
}

static void
wait_for_settling (GgEntry *entry)
{
  uint64_t deadline_ms = gg_clock_now_ms () + SETTLE_TIMEOUT_MS;
  while (atomic_load (&entry->settling) > 0 && gg_clock_now_ms () < deadline_ms)
    g_usleep (POLL_MS * 1000);
  atomic_store (&entry->accepting, FALSE);
}

uint32_t
gg_drain_run (GgEntry *entry, GgCallerHttp *http, const GgDrainLimits *limits)
{
  gg_log (LOG_NOTICE, "event=drain-started requests=%d answers=%d", atomic_load (&entry->requests),
          atomic_load (&entry->answers));
  atomic_store (&entry->draining, TRUE);
  gg_caller_reply_set_closing (TRUE);
  gg_snapshot_client_report_event (entry->snapshots, "drain", entry->instance, "planned stop",
                                   FALSE);
  gg_snapshot_client_report_leaving (entry->snapshots, entry->instance, 0);
  if (!GG_IS_MUTATED ("drain-skip-settle"))
    g_usleep ((gulong) limits->balancer_settle_ms * 1000);
  gg_caller_http_stop_accepting (http);

  wait_for_in_flight (entry, gg_clock_now_ms () + limits->timeout_ms);
  uint32_t n_unfinished = count_in_flight (entry);
  if (n_unfinished > 0)
    {
      char *detail
          = g_strdup_printf ("%u requests or answers were cut at the drain's bound", n_unfinished);
      gg_log (LOG_ERR, "event=drain-cut count=%u", n_unfinished);
      gg_snapshot_client_report_event (entry->snapshots, "drain-cut", entry->instance, detail,
                                       TRUE);
      g_free (detail);
    }
  wait_for_settling (entry);
  gg_log (LOG_NOTICE, "event=drain-finished cut=%u", n_unfinished);
  return n_unfinished;
}
