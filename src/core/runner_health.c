#include "core/runner_health.h"

#include "core/mutation.h"

#define EJECTION_BASE_MS 250
#define EJECTION_MAX_MS 10000
#define EJECTION_MAX_SHIFT 6

static gboolean
mark_suspect (GgRunner *runner)
{
  return !GG_IS_MUTATED ("health-skip-ejection") && atomic_exchange (&runner->suspect, 1) == 0;
}

static gboolean
eject (GgRunner *runner, uint64_t now_ms)
{
  uint32_t failures = atomic_fetch_add (&runner->failures, 1);
  uint64_t wait_ms = (uint64_t) EJECTION_BASE_MS << MIN (failures, EJECTION_MAX_SHIFT);
  atomic_store (&runner->ejected_until_ms, now_ms + MIN (wait_ms, EJECTION_MAX_MS));
  return mark_suspect (runner);
}

static gboolean
restore (GgRunner *runner)
{
  return atomic_exchange (&runner->suspect, 0) == 1;
}

gboolean
gg_runner_health_apply (GgRunner *runner, GgRunnerEvent event, uint64_t now_ms)
{
  switch (event)
    {
    case GG_RUNNER_EVENT_SUCCESS:
      atomic_store_explicit (&runner->answered_ms, now_ms, memory_order_relaxed);
      if (atomic_load_explicit (&runner->failures, memory_order_relaxed) != 0)
        atomic_store (&runner->failures, 0);
      if (atomic_load_explicit (&runner->suspect, memory_order_relaxed) == 0)
        return FALSE;
      return restore (runner);
    case GG_RUNNER_EVENT_PROBE_OK:
      /* The failure count is kept: a runner that answers probes but fails requests is ejected for
       * longer each time. */
      return restore (runner);
    case GG_RUNNER_EVENT_FAILED_REUSED:
      return mark_suspect (runner);
    case GG_RUNNER_EVENT_FAILED_FRESH:
      return eject (runner, now_ms);
    case GG_RUNNER_EVENT_LEAVING:
      return !GG_IS_MUTATED ("runner-ignore-refusal") && atomic_exchange (&runner->leaving, 1) == 0;
    }
  g_assert_not_reached ();
}

gboolean
gg_runner_health_is_ejected (const GgRunner *runner)
{
  return atomic_load_explicit (&runner->suspect, memory_order_relaxed) != 0;
}

gboolean
gg_runner_health_needs_probe (const GgRunner *runner, uint64_t now_ms)
{
  return gg_runner_health_is_ejected (runner) && now_ms >= atomic_load (&runner->ejected_until_ms);
}
