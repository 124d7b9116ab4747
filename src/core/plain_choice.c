#include "core/plain_choice.h"

#include <string.h>

/* Requests beyond this multiple of a runner's slots would wait longer than their latency target. */
#define MAX_QUEUE_FACTOR 3.0
/* Added to the load of a runner in another data centre, whose use costs delay and bandwidth: it is
 * only chosen if the load of the local runners is higher by more than this. */
#define REMOTE_PENALTY 0.2

static double
get_load (const GgPlainQuery *query, const GgFleetRunner *runner)
{
  uint32_t n = runner->own.n_requests + runner->peers.n_requests;
  double load = (double) n / MAX (runner->record.slots, 1);
  return strcmp (runner->record.data_centre, query->data_centre) == 0 ? load
                                                                      : load + REMOTE_PENALTY;
}

static gboolean
may_serve (const GgPlainQuery *query, const GgFleetRunner *runner)
{
  return strcmp (runner->record.service, query->service) == 0
         && gg_fleet_runner_is_usable (runner, query->now_ms);
}

/* Returns the load of the least loaded runner, or a negative number if there is none.
 * @param n_best_out number of runners with that load. */
static double
find_least_load (const GgPlainQuery *query, guint *n_best_out, gboolean *is_full_out)
{
  double least = -1;
  *is_full_out = FALSE;
  *n_best_out = 0;
  for (guint i = 0; i < gg_fleet_get_size (query->fleet); i++)
    {
      const GgFleetRunner *runner = gg_fleet_get (query->fleet, i);
      if (!may_serve (query, runner))
        continue;
      if (!gg_fleet_runner_has_permit (runner, query->boot_ms))
        {
          *is_full_out = TRUE;
          continue;
        }
      if (runner == query->excluded)
        continue;
      double load = get_load (query, runner);
      if (load > MAX_QUEUE_FACTOR)
        {
          *is_full_out = TRUE;
          continue;
        }
      if (least < 0 || load < least)
        *n_best_out = 0;
      if (*n_best_out == 0)
        least = load;
      if (load <= least)
        ++*n_best_out;
    }
  return least;
}

GgFleetRunner *
gg_plain_choose_runner (const GgPlainQuery *query, gboolean *is_full_out)
{
  guint n_best = 0;
  double least = find_least_load (query, &n_best, is_full_out);
  guint n_skipped = n_best > 0 ? query->random % n_best : 0;
  GgFleetRunner *fallback = NULL;
  for (guint i = 0; i < gg_fleet_get_size (query->fleet); i++)
    {
      GgFleetRunner *runner = gg_fleet_get (query->fleet, i);
      if (!may_serve (query, runner) || !gg_fleet_runner_has_permit (runner, query->boot_ms))
        continue;
      if (runner == query->excluded)
        fallback = runner;
      else if (n_best > 0 && get_load (query, runner) <= least && n_skipped-- == 0)
        return runner;
    }
  return fallback;
}
