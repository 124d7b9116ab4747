#include "core/plain_choice.h"

#include <string.h>

/* Work beyond this multiple of its slots would wait longer than the services' objectives. */
#define MAX_QUEUE_FACTOR 3.0
/* A runner in another data centre costs a crossing and bandwidth; work must differ by more. */
#define REMOTE_PENALTY 0.2

static double
get_load (const GgPlainQuery *query, const GgFleetRunner *runner)
{
  uint32_t n = runner->own.n_requests + runner->peers.n_requests;
  double load = (double) n / MAX (runner->record.slots, 1);
  return strcmp (runner->record.data_centre, query->data_centre) == 0 ? load
                                                                      : load + REMOTE_PENALTY;
}

GgFleetRunner *
gg_plain_choose (const GgPlainQuery *query, gboolean *is_full_out)
{
  guint size = gg_fleet_get_size (query->fleet);
  GgFleetRunner *best = NULL;
  GgFleetRunner *fallback = NULL;
  double best_load = 0;
  *is_full_out = FALSE;
  for (guint i = 0; i < size; i++)
    {
      GgFleetRunner *runner = gg_fleet_get (query->fleet, (i + query->random) % size);
      if (strcmp (runner->record.service, query->service) != 0
          || !gg_fleet_runner_is_usable (runner, query->now_ms))
        continue;
      if (runner == query->excluded)
        {
          fallback = runner;
          continue;
        }
      double load = get_load (query, runner);
      if (load > MAX_QUEUE_FACTOR)
        *is_full_out = TRUE;
      else if (best == NULL || load < best_load)
        {
          best = runner;
          best_load = load;
        }
    }
  return best != NULL ? best : fallback;
}
