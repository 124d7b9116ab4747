#include "daemons/routerd/crash_detector.h"

#include "adapters/rpc/load_report.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "core/request_digest.h"
#include "daemons/routerd/link_monitor.h"
#include "loop/socket.h"

#include <string.h>

/* Interval of the checks while there are processes without proof. */
#define CHECK_MS 50
/* Attempts to connect to a process; its listening socket may close a little after its connections.
 * From then on its entry has to tell. */
#define MAX_PROBES 6
/* In a partition of this instance all connections are refused too. By this attempt that shows at
 * other runners, unless nothing is sent to them. */
#define SETTLED_PROBES 3
#define CONNECT_TIMEOUT_MS 400

/* An attempt to connect to a process. */
typedef struct
{
  GgCrashDetector *detector;
  char *runner_id;
  uint64_t started_ms;
  GgLoopSocket *socket; /* NULL between two attempts */
  uint64_t begun_ms;
  uint64_t broken_ms; /* when the first send was broken off (monotonic) */
  uint32_t n_attempts;
} Probe;

struct _GgCrashDetector
{
  GgRouter *router;
  GgCrashFunc func;
  void *data;
  GgCrashEvidence *evidence;
  GPtrArray *probes; /* Probe */
  GgLoopTimer *timer;
  gboolean is_timer_running;
};

static GgCounter crashes_total
    = GG_COUNTER ("greengage_router_crashes_at_start_total",
                  "Runners whose process ended while it began to run requests of this instance");

static void
free_probe (void *data)
{
  Probe *probe = data;
  gg_loop_socket_destroy (probe->socket, FALSE);
  g_free (probe->runner_id);
  g_free (probe);
}

static const char *
get_proof_name (GgCrashProof proof)
{
  switch (proof)
    {
    case GG_CRASH_UNPROVEN:
      return "none";
    case GG_CRASH_REFUSED:
      return "refused";
    case GG_CRASH_RESTARTED:
      return "restarted";
    case GG_CRASH_GONE:
      return "gone";
    }
  return "?";
}

static void
report_crashes (GgCrashDetector *self)
{
  const GgDoubtedProcess *process = NULL;
  GArray *sends = NULL;
  while ((sends = gg_crash_evidence_take (self->evidence, &process)) != NULL)
    {
      uint32_t hash = gg_load_report_hash (process->runner_id, process->started_ms);
      gg_counter_add (&crashes_total, 1);
      gg_event_log_add (GG_EVENT_NOTABLE, "runner_crashed", "runner=%s proof=%s requests=%u",
                        process->runner_id, get_proof_name (process->proof), sends->len);
      for (guint i = 0; i < sends->len; i++)
        self->func (self->data, &g_array_index (sends, GgRequestSuspects, i), hash);
      g_array_unref (sends);
    }
}

/* Whether a refused connection shows that the process has ended, and not that the link to it is
 * down. */
static gboolean
is_refusal_proof (const Probe *probe)
{
  const GgLinkMonitor *monitor = probe->detector->router->link_monitor;
  return gg_link_monitor_is_runner_at_fault (monitor, NULL, probe->broken_ms + 1)
         || (probe->n_attempts >= SETTLED_PROBES
             && gg_link_monitor_get_state (monitor, NULL) == GG_LINKS_UP);
}

static void
on_probe (void *data, const GgSocketEvent *event)
{
  Probe *probe = data;
  GgCrashDetector *self = probe->detector;
  if (event->kind == GG_SOCKET_DRAINED)
    return;
  gboolean is_refused = event->kind == GG_SOCKET_RESET && event->is_refused;
  gg_loop_socket_destroy (probe->socket, FALSE);
  probe->socket = NULL;
  if (!is_refused || !is_refusal_proof (probe))
    return;
  gg_crash_evidence_note_refused (self->evidence, probe->runner_id, probe->started_ms);
  g_ptr_array_remove (self->probes, probe);
  report_crashes (self);
}

static const GgDoubtedProcess *
find_process (const GgCrashDetector *self, const Probe *probe)
{
  const GPtrArray *processes = gg_crash_evidence_get_processes (self->evidence);
  for (guint i = 0; i < processes->len; i++)
    {
      const GgDoubtedProcess *process = g_ptr_array_index (processes, i);
      if (process->started_ms == probe->started_ms
          && strcmp (process->runner_id, probe->runner_id) == 0)
        return process;
    }
  return NULL;
}

/* Starts the next attempt if it is time.
 * @return FALSE if there is none. */
static gboolean
update_probe (Probe *probe, uint64_t now_ms)
{
  GgCrashDetector *self = probe->detector;
  const GgDoubtedProcess *process = find_process (self, probe);
  if (process == NULL || process->proof != GG_CRASH_UNPROVEN)
    return FALSE;
  if (probe->socket != NULL && now_ms < probe->begun_ms + CONNECT_TIMEOUT_MS)
    return TRUE;
  gg_loop_socket_destroy (probe->socket, FALSE);
  probe->socket = NULL;
  if (probe->n_attempts >= MAX_PROBES)
    return FALSE;
  probe->n_attempts++;
  probe->begun_ms = now_ms;
  probe->socket = gg_loop_socket_connect (self->router->loop, process->address, on_probe, probe);
  return TRUE;
}

static void
update_timer (GgCrashDetector *self)
{
  if (self->is_timer_running || !gg_crash_detector_has_pending (self))
    return;
  self->is_timer_running = TRUE;
  gg_loop_timer_start (self->timer, CHECK_MS);
}

static void
on_timer (void *data)
{
  GgCrashDetector *self = data;
  uint64_t now_ms = gg_clock_boot_ms ();
  self->is_timer_running = FALSE;
  gg_crash_evidence_update (self->evidence, self->router->fleet, now_ms);
  for (guint i = self->probes->len; i-- > 0;)
    if (!update_probe (g_ptr_array_index (self->probes, i), now_ms))
      g_ptr_array_remove_index (self->probes, i);
  report_crashes (self);
  update_timer (self);
}

void
gg_crash_detector_note_broken (GgCrashDetector *self,
                               const GgRequestSuspects *suspects,
                               const GgRunnerRecord *runner)
{
  uint64_t now_ms = gg_clock_boot_ms ();
  const GgDoubtedProcess *process
      = gg_crash_evidence_add (self->evidence, runner, suspects, now_ms);
  if (process == NULL)
    return;
  if (process->broken_ms == now_ms && process->sends->len == 1)
    {
      Probe *probe = g_new0 (Probe, 1);
      probe->detector = self;
      probe->runner_id = g_strdup (process->runner_id);
      probe->started_ms = process->started_ms;
      probe->broken_ms = gg_clock_now_ms ();
      g_ptr_array_add (self->probes, probe);
      update_probe (probe, now_ms);
    }
  report_crashes (self);
  update_timer (self);
}

void
gg_crash_detector_note_served (GgCrashDetector *self, uint64_t digest)
{
  gg_crash_evidence_note_served (self->evidence, digest);
}

gboolean
gg_crash_detector_has_pending (const GgCrashDetector *self)
{
  return gg_crash_evidence_get_processes (self->evidence)->len > 0;
}

gboolean
gg_crash_detector_has_prefix (const GgCrashDetector *self, uint16_t prefix)
{
  const GPtrArray *processes = gg_crash_evidence_get_processes (self->evidence);
  for (guint i = 0; i < processes->len; i++)
    {
      const GArray *sends = ((const GgDoubtedProcess *) g_ptr_array_index (processes, i))->sends;
      for (guint k = 0; k < sends->len; k++)
        if (gg_request_digest_to_prefix (g_array_index (sends, GgRequestSuspects, k).digest)
            == prefix)
          return TRUE;
    }
  return FALSE;
}

GgCrashDetector *
gg_crash_detector_create (GgRouter *router, GgCrashFunc func, void *data)
{
  GgCrashDetector *self = g_new0 (GgCrashDetector, 1);
  self->router = router;
  self->func = func;
  self->data = data;
  self->evidence = gg_crash_evidence_create ();
  self->probes = g_ptr_array_new_with_free_func (free_probe);
  self->timer = gg_loop_timer_create (router->loop, on_timer, self);
  return self;
}

void
gg_crash_detector_destroy (GgCrashDetector *self)
{
  gg_loop_timer_destroy (self->timer);
  g_ptr_array_unref (self->probes);
  gg_crash_evidence_destroy (self->evidence);
  g_free (self);
}
