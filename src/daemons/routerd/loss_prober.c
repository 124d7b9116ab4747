#include "daemons/routerd/loss_prober.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_log.h"
#include "daemons/routerd/link_monitor.h"
#include "loop/fetch.h"
#include "ports/relay_wire.h"

#include <string.h>

/* Both together bound the delay until a runner that is lost is replaced. */
#define CONNECT_TIMEOUT_MS 300
#define ANSWER_TIMEOUT_MS 400
#define MAX_BODY_BYTES (256 * 1024)

typedef struct _Test Test;

/* One of the two probes of a test. */
typedef struct
{
  Test *test;
  GgFleetRunner *runner; /* NULL: there was no other runner */
  GgLoopFetch *fetch;    /* NULL once it has ended */
} Probe;

/* A probe of a runner that has failed, and of another one at the same time. */
struct _Test
{
  GgLossProber *prober;
  Probe suspect;
  Probe other;
  uint64_t sent_ms;
  GgRunnerLossProbe result;
};

struct _GgLossProber
{
  GgRouter *router;
  GHashTable *tests; /* GgFleetRunner -> Test */
};

static GgCounter probes_total
    = GG_COUNTER ("greengage_router_loss_probes_total",
                  "Probes of runners that have failed, before they are replaced");

static void
clear_probe (Probe *probe)
{
  gg_loop_fetch_cancel (probe->fetch);
  gg_fleet_runner_unref (probe->runner);
}

static void
free_test (void *data)
{
  Test *test = data;
  clear_probe (&test->suspect);
  clear_probe (&test->other);
  g_free (test);
}

static const char *
get_result_name (const GgRunnerLossProbe *result)
{
  if (result->is_reached)
    return result->is_restarted ? "restarted" : "reached";
  return result->is_other_reached ? "lost" : "unknown";
}

static void
end_test (Test *test)
{
  GgFleetRunner *runner = test->suspect.runner;
  if (test->suspect.fetch != NULL || test->other.fetch != NULL)
    return;
  gg_runner_loss_note_probe (&runner->loss, &test->result);
  gg_event_log_add (GG_EVENT_NOTABLE, "runner_probed", "runner=%s other=%s result=%s failures=%u",
                    runner->record.id,
                    test->other.runner != NULL ? test->other.runner->record.id : "-",
                    get_result_name (&test->result), runner->failures);
  g_hash_table_remove (test->prober->tests, runner);
}

/* Whether a report shows another process than the entry, or that its layers are gone. */
static gboolean
is_restarted (const GgFleetRunner *runner, const GgFetchResult *result)
{
  GgRunnerReport report;
  if (result->status != 200
      || !gg_relay_wire_read_report (result->body, result->body_bytes, &report))
    return FALSE;
  gboolean has_lost_layers
      = !report.is_busy && report.range.end_layer == 0 && runner->record.range.end_layer > 0;
  gboolean is_other_process = report.started_ms != runner->record.started_ms;
  gg_runner_report_clear (&report);
  return has_lost_layers || is_other_process;
}

static void
on_probed (void *data, const GgFetchResult *result)
{
  Probe *probe = data;
  Test *test = probe->test;
  GgLinkMonitor *link_monitor = test->prober->router->link_monitor;
  gboolean is_reached = result->end == GG_FETCH_ANSWERED;
  probe->fetch = NULL;
  if (is_reached)
    gg_link_monitor_note_received (link_monitor, probe->runner);
  else
    gg_link_monitor_note_missed (link_monitor, probe->runner, test->sent_ms);
  if (probe == &test->other)
    test->result.is_other_reached = is_reached;
  else
    {
      test->result.is_reached = is_reached;
      test->result.is_restarted = is_reached && is_restarted (probe->runner, result);
    }
  end_test (test);
}

/* Sends one probe over a new connection: those that are kept may live on in a partition. */
static void
send_probe (Test *test, Probe *probe, GgFleetRunner *runner)
{
  GgRouter *router = test->prober->router;
  probe->test = test;
  probe->runner = gg_fleet_runner_ref (runner);
  GgMessageHead *head = gg_link_monitor_build_probe (router->link_monitor, runner);
  const GgFetchRequest request = { .call = { .address = runner->record.address,
                                             .head = head,
                                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                             .max_idle_ms = 0 },
                                   .timeout_ms = ANSWER_TIMEOUT_MS,
                                   .max_body_bytes = MAX_BODY_BYTES };
  gg_fleet_runner_take_permit (runner, gg_clock_boot_ms ());
  probe->fetch = gg_loop_fetch (router->loop, router->client, &request, on_probed, probe);
  gg_counter_add (&probes_total, 1);
  gg_message_head_destroy (head);
}

/* Returns a random other runner: of the same data centre if there is any, since the links to
 * another one may be up while those to the suspect's are not, and without failures if possible.
 * Returns NULL if there is none. */
static GgFleetRunner *
choose_other (const GgLossProber *self, const GgFleetRunner *suspect)
{
  const GgFleet *fleet = self->router->fleet;
  GgFleetRunner *best = NULL;
  guint best_rank = 0;
  guint n_best = 0;
  for (guint i = 0; i < gg_fleet_get_size (fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (fleet, i);
      gboolean is_near = strcmp (runner->record.data_centre, suspect->record.data_centre) == 0;
      guint rank = (is_near ? 2 : 0) + (runner->failures == 0 ? 1 : 0);
      if (runner == suspect || (best != NULL && rank < best_rank)
          || !gg_link_monitor_may_probe (self->router->link_monitor, runner))
        continue;
      if (best != NULL && rank > best_rank)
        n_best = 0;
      best_rank = rank;
      if (g_random_int_range (0, (gint32) ++n_best) == 0)
        best = runner;
    }
  return best;
}

static void
start_test (GgLossProber *self, GgFleetRunner *runner)
{
  GgFleetRunner *other = choose_other (self, runner);
  Test *test = g_new0 (Test, 1);
  test->prober = self;
  test->sent_ms = gg_clock_now_ms ();
  test->result.is_other_reached = other == NULL;
  g_hash_table_insert (self->tests, runner, test);
  send_probe (test, &test->suspect, runner);
  if (other != NULL)
    send_probe (test, &test->other, other);
}

gboolean
gg_loss_prober_is_lost (GgLossProber *self, GgFleetRunner *runner)
{
  const GgRunnerPeerUse peers
      = { runner->peers.n_requests, runner->peers.token_layers, runner->peer_misses };
  if (g_hash_table_contains (self->tests, runner))
    return FALSE;
  switch (gg_runner_loss_update (&runner->loss, runner->failures, &peers, gg_clock_now_ms ()))
    {
    case GG_RUNNER_KEPT:
      return FALSE;
    case GG_RUNNER_PROBED:
      start_test (self, runner);
      return FALSE;
    case GG_RUNNER_LOST:
      return TRUE;
    }
  return FALSE;
}

GgLossProber *
gg_loss_prober_create (GgRouter *router)
{
  GgLossProber *self = g_new0 (GgLossProber, 1);
  self->router = router;
  self->tests = g_hash_table_new_full (NULL, NULL, NULL, free_test);
  gg_counter_register (&probes_total);
  return self;
}

void
gg_loss_prober_destroy (GgLossProber *self)
{
  g_hash_table_unref (self->tests);
  g_free (self);
}
