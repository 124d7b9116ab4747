#include "greengage/outcome.h"

#include <glib.h>

const char *
gg_outcome_to_string (GgOutcome outcome)
{
  switch (outcome)
    {
    case GG_OUTCOME_COMPLETE:
      return "complete";
    case GG_OUTCOME_NOT_RUN:
      return "not-run";
    case GG_OUTCOME_UNKNOWN:
      return "unknown";
    }
  g_assert_not_reached ();
}
