#include "core/crash_evidence.h"

#include <string.h>

/* The entry of a runner that crashed goes after some seconds, when its lease has run out. */
#define KEPT_MS 10000

struct _GgCrashEvidence
{
  GPtrArray *processes; /* GgDoubtedProcess, the oldest first */
};

static void
free_process (void *data)
{
  GgDoubtedProcess *process = data;
  g_free (process->runner_id);
  g_free (process->address);
  g_array_unref (process->sends);
  g_free (process);
}

GgCrashEvidence *
gg_crash_evidence_create (void)
{
  GgCrashEvidence *self = g_new0 (GgCrashEvidence, 1);
  self->processes = g_ptr_array_new_with_free_func (free_process);
  return self;
}

void
gg_crash_evidence_destroy (GgCrashEvidence *self)
{
  g_ptr_array_unref (self->processes);
  g_free (self);
}

static GgDoubtedProcess *
find_process (const GgCrashEvidence *self, const char *runner_id, uint64_t started_ms)
{
  for (guint i = 0; i < self->processes->len; i++)
    {
      GgDoubtedProcess *process = g_ptr_array_index (self->processes, i);
      if (process->started_ms == started_ms && strcmp (process->runner_id, runner_id) == 0)
        return process;
    }
  return NULL;
}

static GgDoubtedProcess *
add_process (GgCrashEvidence *self, const GgRunnerRecord *runner, uint64_t now_ms)
{
  if (self->processes->len >= GG_EVIDENCE_MAX_PROCESSES)
    g_ptr_array_remove_index (self->processes, 0);
  GgDoubtedProcess *process = g_new0 (GgDoubtedProcess, 1);
  process->runner_id = g_strdup (runner->id);
  process->address = g_strdup (runner->address);
  process->started_ms = runner->started_ms;
  process->broken_ms = now_ms;
  process->sends = g_array_new (FALSE, TRUE, sizeof (GgRequestSuspects));
  g_ptr_array_add (self->processes, process);
  return process;
}

const GgDoubtedProcess *
gg_crash_evidence_add (GgCrashEvidence *self,
                       const GgRunnerRecord *runner,
                       const GgRequestSuspects *suspects,
                       uint64_t now_ms)
{
  if (runner->is_leaving)
    return NULL;
  GgDoubtedProcess *process = find_process (self, runner->id, runner->started_ms);
  if (process == NULL)
    process = add_process (self, runner, now_ms);
  if (process->sends->len >= GG_EVIDENCE_MAX_SENDS)
    g_array_remove_index (process->sends, 0);
  g_array_append_val (process->sends, *suspects);
  return process;
}

void
gg_crash_evidence_note_served (GgCrashEvidence *self, uint64_t digest)
{
  for (guint i = 0; i < self->processes->len; i++)
    {
      GgDoubtedProcess *process = g_ptr_array_index (self->processes, i);
      for (guint k = 0; k < process->sends->len; k++)
        {
          GgRequestSuspects *send = &g_array_index (process->sends, GgRequestSuspects, k);
          if (send->digest == digest)
            send->digest = 0;
        }
    }
}

void
gg_crash_evidence_note_refused (GgCrashEvidence *self, const char *runner_id, uint64_t started_ms)
{
  GgDoubtedProcess *process = find_process (self, runner_id, started_ms);
  if (process != NULL && process->proof == GG_CRASH_UNPROVEN)
    process->proof = GG_CRASH_REFUSED;
}

void
gg_crash_evidence_update (GgCrashEvidence *self, const GgFleet *fleet, uint64_t now_ms)
{
  for (guint i = self->processes->len; i-- > 0;)
    {
      GgDoubtedProcess *process = g_ptr_array_index (self->processes, i);
      const GgFleetRunner *runner = gg_fleet_find (fleet, process->runner_id);
      if (process->proof == GG_CRASH_UNPROVEN && runner == NULL)
        process->proof = GG_CRASH_GONE;
      else if (process->proof == GG_CRASH_UNPROVEN
               && runner->record.started_ms != process->started_ms)
        process->proof = GG_CRASH_RESTARTED;
      /* A stop that began meanwhile explains the end of the connection. */
      gboolean is_planned
          = process->proof == GG_CRASH_UNPROVEN && runner != NULL && runner->record.is_leaving;
      if (is_planned || now_ms > process->broken_ms + KEPT_MS)
        g_ptr_array_remove_index (self->processes, i);
    }
}

const GPtrArray *
gg_crash_evidence_get_processes (const GgCrashEvidence *self)
{
  return self->processes;
}

GArray *
gg_crash_evidence_take (GgCrashEvidence *self, const GgDoubtedProcess **process_out)
{
  for (guint i = 0; i < self->processes->len; i++)
    {
      GgDoubtedProcess *process = g_ptr_array_index (self->processes, i);
      if (process->proof == GG_CRASH_UNPROVEN || process->sends->len == 0)
        continue;
      GArray *sends = process->sends;
      process->sends = g_array_new (FALSE, TRUE, sizeof (GgRequestSuspects));
      *process_out = process;
      return sends;
    }
  return NULL;
}
