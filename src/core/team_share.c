#include "core/team_share.h"

#include <math.h>

/* Time constants of the recent and of the usual demand. */
#define DEMAND_MS 3000.0
#define USUAL_MS 30000.0
/* No team is held back, and a team's own usual demand is not known, before this time. */
#define LEARNING_MS 10000
/* A team without requests for this long, four time constants of its usual demand, is forgotten. */
#define FORGET_MS 120000
/* A shortage of other teams counts for this long. */
#define SHORTAGE_MS 3000
/* The state begins above the first and ends below the second multiple of the share. */
#define BEGIN_FACTOR 2.0
#define END_FACTOR 1.5
#define N_DEVIATIONS 3.0
/* Requests that are added to the share for the deviation: the counts of an instance that receives a
 * few requests per second are skewed, so that a plain deviation is exceeded often. With 1 instead
 * of 3, 24 equal teams at 10 requests/s with a third refused had some thirty false states in 10
 * minutes instead of 1. */
#define SKEW_REQUESTS 3.0
/* Part of its usual demand that a team claims if it sends less at the moment. At an instance that
 * receives a few requests per second such gaps are mostly noise, by which another team would be
 * lent a multiple of its share. */
#define MIN_CLAIM 0.5
/* Part of the runners' memory for teams over their share, beyond the share. The part above it, up
 * to the 0.95 that other requests may use, is some five requests of the fifty that a runner holds.
 */
#define USABLE_MEMORY 0.85
/* Callers state the sizes of their requests. One that states more than this multiple of the largest
 * that was recently sent counts with that: a false size, for which no runner has memory, would make
 * the demand of all other teams negligible for minutes. */
#define MAX_SIZE_FACTOR 2.0
#define MS_PER_S 1000.0

typedef struct
{
  double demand;        /* tokens, decaying over DEMAND_MS */
  double usual;         /* tokens, decaying over USUAL_MS */
  double usual_squares; /* squared tokens of the requests, decaying over USUAL_MS */
  double admitted;      /* tokens that were sent, decaying over DEMAND_MS */
  double weight;        /* usual demand, in the unit of demand */
  double guaranteed;    /* max-min share of what was admitted, in the same unit */
  uint64_t decayed_ms;
  uint64_t first_ms; /* first and latest request */
  uint64_t latest_ms;
  uint64_t shortage_ms;
  gboolean has_shortage;
  gboolean is_over;
} Team;

struct _GgTeamShare
{
  GgTeamShareFunc on_change;
  void *data;
  GHashTable *teams;       /* name -> Team */
  double admitted;         /* tokens, decaying over DEMAND_MS */
  double usually_admitted; /* tokens, decaying over USUAL_MS */
  double largest;          /* tokens of the largest request sent, decaying over USUAL_MS */
  uint64_t admitted_ms;
  uint64_t first_ms; /* first request since no team was known */
  uint64_t updated_ms;
};

/* What all teams together demand at one moment. */
typedef struct
{
  double demand;
  double weight;
  double level; /* share in relation to the weight; INFINITY if all demand was admitted */
} Totals;

GgTeamShare *
gg_team_share_create (GgTeamShareFunc on_change, void *data)
{
  GgTeamShare *self = g_new0 (GgTeamShare, 1);
  self->on_change = on_change;
  self->data = data;
  self->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
gg_team_share_destroy (GgTeamShare *self)
{
  g_hash_table_unref (self->teams);
  g_free (self);
}

static double
get_decay (uint64_t from_ms, uint64_t now_ms, double constant_ms)
{
  return exp (-(double) (now_ms - from_ms) / constant_ms);
}

/* Returns the usual amount in the unit of the recent one. The recent sum is subtracted, so that the
 * latest seconds hardly count: a team that begins to send too much does not raise its own share.
 * @param age_ms since when the sums are kept; a short time fills only a part of them. */
static double
get_usual (double usual, double recent, uint64_t age_ms)
{
  double filled_ms = USUAL_MS * (1 - exp (-(double) age_ms / USUAL_MS))
                     - DEMAND_MS * (1 - exp (-(double) age_ms / DEMAND_MS));
  return filled_ms > 0 ? MAX (usual - recent, 0) / filled_ms * DEMAND_MS : 0;
}

static void
decay_team (Team *team, uint64_t now_ms)
{
  double usual = get_decay (team->decayed_ms, now_ms, USUAL_MS);
  double recent = get_decay (team->decayed_ms, now_ms, DEMAND_MS);
  team->demand *= recent;
  team->admitted *= recent;
  team->usual *= usual;
  team->usual_squares *= usual;
  team->decayed_ms = now_ms;
}

static void
decay_admitted (GgTeamShare *self, uint64_t now_ms)
{
  self->admitted *= get_decay (self->admitted_ms, now_ms, DEMAND_MS);
  double usual = get_decay (self->admitted_ms, now_ms, USUAL_MS);
  self->usually_admitted *= usual;
  self->largest *= usual;
  self->admitted_ms = now_ms;
}

/* Returns what is distributed, in the unit of demand. It is the lesser one of the recent and the
 * usual amount: at first a team that sends too much fills what memory is free, which does not
 * last; and after a loss of runners the usual amount is not admitted any more. */
static double
get_capacity (const GgTeamShare *self, uint64_t now_ms)
{
  double usual = get_usual (self->usually_admitted, self->admitted, now_ms - self->first_ms);
  return MIN (self->admitted, usual);
}

static gboolean
is_forgotten (void *name, void *team, void *now_ms)
{
  const Team *known = team;
  return *(const uint64_t *) now_ms - known->latest_ms > FORGET_MS;
}

static gboolean
has_history (const Team *team, uint64_t now_ms)
{
  return now_ms - team->first_ms >= LEARNING_MS;
}

/* Sets the weights: the usual demand, or the mean of the teams that have one. */
static void
set_weights (GPtrArray *teams, uint64_t now_ms)
{
  double sum = 0;
  guint n_known = 0;
  for (guint i = 0; i < teams->len; i++)
    {
      Team *team = g_ptr_array_index (teams, i);
      decay_team (team, now_ms);
      if (!has_history (team, now_ms))
        continue;
      team->weight = get_usual (team->usual, team->demand, now_ms - team->first_ms);
      sum += team->weight;
      n_known++;
    }
  for (guint i = 0; i < teams->len; i++)
    {
      Team *team = g_ptr_array_index (teams, i);
      if (!has_history (team, now_ms))
        team->weight = n_known > 0 ? sum / n_known : 1;
    }
}

static gint
compare_need (gconstpointer a, gconstpointer b)
{
  const Team *x = *(Team *const *) a;
  const Team *y = *(Team *const *) b;
  double x_need = x->demand / x->weight;
  double y_need = y->demand / y->weight;
  return x_need < y_need ? -1 : x_need > y_need ? 1 : 0;
}

/* Distributes what was admitted by weight. Teams that need less than their share are served in
 * full, and what they leave is distributed among the others (water-filling). Sorts the teams. */
static Totals
fill_shares (GPtrArray *teams, double capacity)
{
  Totals totals = { .level = INFINITY };
  g_ptr_array_sort (teams, compare_need);
  for (guint i = 0; i < teams->len; i++)
    {
      const Team *team = g_ptr_array_index (teams, i);
      totals.demand += team->demand;
      totals.weight += team->weight;
    }
  double weight = totals.weight;
  for (guint i = 0; i < teams->len; i++)
    {
      const Team *team = g_ptr_array_index (teams, i);
      double claim = MAX (team->demand, MIN_CLAIM * team->weight);
      if (claim * weight > capacity * team->weight)
        {
          totals.level = capacity / weight;
          break;
        }
      capacity -= claim;
      weight -= team->weight;
    }
  return totals;
}

/* Returns the share of a team. It is at least what the other teams demand in relation to their
 * weights: if the demand of all teams grows alike, none displaces the others. */
static double
get_share (const Team *team, const Totals *totals)
{
  double others_weight = totals->weight - team->weight;
  double others_demand = MAX (totals->demand - team->demand, 0);
  double others_level = others_weight > 0 ? others_demand / others_weight : INFINITY;
  return MAX (totals->level, others_level) * team->weight;
}

/* Whether noise does not explain that a team demands more than its share. The variance of a
 * decaying sum of requests is half its mean times the mean size, weighted by size. */
static gboolean
is_significant (const Team *team, double share)
{
  double tokens = team->usual > 0 ? team->usual_squares / team->usual : 0;
  double variance = (share + SKEW_REQUESTS * tokens) * tokens / 2;
  return team->demand > share + N_DEVIATIONS * sqrt (variance);
}

/* Whether requests of other teams found no capacity recently. */
static gboolean
lack_others (const GPtrArray *teams, const Team *team, uint64_t now_ms)
{
  for (guint i = 0; i < teams->len; i++)
    {
      const Team *other = g_ptr_array_index (teams, i);
      if (other != team && other->has_shortage && now_ms - other->shortage_ms <= SHORTAGE_MS)
        return TRUE;
    }
  return FALSE;
}

static gboolean
decide (const GgTeamShare *self,
        const GPtrArray *teams,
        const Team *team,
        double share,
        uint64_t now_ms)
{
  if (team->is_over)
    return team->demand >= END_FACTOR * share && lack_others (teams, team, now_ms);
  return now_ms - self->first_ms >= LEARNING_MS && team->demand > BEGIN_FACTOR * share
         && is_significant (team, share) && lack_others (teams, team, now_ms);
}

static void
set_over (GgTeamShare *self, const char *name, Team *team, gboolean is_over, double share)
{
  GgTeamShareChange change = { .team = name,
                               .is_over = is_over,
                               .demand_per_s = team->demand / DEMAND_MS * MS_PER_S,
                               .share_per_s = share / DEMAND_MS * MS_PER_S };
  team->is_over = is_over;
  if (self->on_change != NULL)
    self->on_change (self->data, &change);
}

gboolean
gg_team_share_update (GgTeamShare *self, uint64_t now_ms)
{
  GPtrArray *teams = g_ptr_array_new ();
  GHashTableIter iter;
  void *name;
  void *value;
  gboolean has_over = FALSE;
  self->updated_ms = now_ms;
  g_hash_table_iter_init (&iter, self->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (teams, value);
  set_weights (teams, now_ms);
  decay_admitted (self, now_ms);
  Totals totals = fill_shares (teams, get_capacity (self, now_ms));
  g_hash_table_iter_init (&iter, self->teams);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      Team *team = value;
      double share = get_share (team, &totals);
      gboolean is_over = decide (self, teams, team, share, now_ms);
      team->guaranteed = totals.level * team->weight;
      if (is_over != team->is_over)
        set_over (self, name, team, is_over, share);
      has_over |= is_over;
    }
  g_ptr_array_unref (teams);
  /* A team that is over its share has recent requests, so its end was reported before. */
  g_hash_table_foreach_remove (self->teams, is_forgotten, &now_ms);
  return has_over;
}

static void
update_if_due (GgTeamShare *self, uint64_t now_ms)
{
  if (now_ms - self->updated_ms >= GG_TEAM_SHARE_INTERVAL_MS)
    gg_team_share_update (self, now_ms);
}

static Team *
get_team (GgTeamShare *self, const char *name, uint64_t now_ms)
{
  Team *team = g_hash_table_lookup (self->teams, name);
  if (team != NULL || g_hash_table_size (self->teams) >= GG_TEAM_SHARE_MAX_TEAMS)
    return team;
  team = g_new0 (Team, 1);
  team->first_ms = now_ms;
  team->decayed_ms = now_ms;
  g_hash_table_insert (self->teams, g_strdup (name), team);
  return team;
}

/* Begins to learn what is usual: after a start, or when all teams were forgotten. */
static void
begin (GgTeamShare *self, uint64_t now_ms)
{
  self->admitted = 0;
  self->usually_admitted = 0;
  self->admitted_ms = now_ms;
  self->first_ms = now_ms;
}

/* Returns the size for which a request counts as demand. One of unknown size counts as small. */
static double
get_size (const GgTeamShare *self, uint32_t tokens)
{
  return MAX (MIN (tokens, MAX_SIZE_FACTOR * self->largest), 1);
}

void
gg_team_share_note (GgTeamShare *self, const char *name, uint32_t tokens, uint64_t now_ms)
{
  update_if_due (self, now_ms);
  if (g_hash_table_size (self->teams) == 0)
    begin (self, now_ms);
  Team *team = get_team (self, name, now_ms);
  if (team == NULL)
    return;
  decay_team (team, now_ms);
  decay_admitted (self, now_ms);
  double size = get_size (self, tokens);
  team->demand += size;
  team->usual += size;
  team->usual_squares += size * size;
  team->latest_ms = now_ms;
}

void
gg_team_share_note_admitted (GgTeamShare *self, const char *name, uint32_t tokens, uint64_t now_ms)
{
  Team *team = g_hash_table_lookup (self->teams, name);
  if (team == NULL)
    return;
  double size = MAX (tokens, 1);
  decay_team (team, now_ms);
  decay_admitted (self, now_ms);
  team->admitted += size;
  self->admitted += size;
  self->usually_admitted += size;
  self->largest = MAX (self->largest, size);
}

void
gg_team_share_note_shortage (GgTeamShare *self, const char *name, uint64_t now_ms)
{
  Team *team = g_hash_table_lookup (self->teams, name);
  if (team == NULL || team->is_over)
    return;
  team->has_shortage = TRUE;
  team->shortage_ms = now_ms;
}

double
gg_team_share_get_usable_memory (GgTeamShare *self, const char *name, uint64_t now_ms)
{
  update_if_due (self, now_ms);
  Team *team = g_hash_table_lookup (self->teams, name);
  if (team == NULL || !team->is_over)
    return 1;
  decay_team (team, now_ms);
  return team->admitted < team->guaranteed ? 1 : USABLE_MEMORY;
}

guint
gg_team_share_count_teams (const GgTeamShare *self)
{
  return g_hash_table_size (self->teams);
}
