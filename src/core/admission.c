#include "core/admission.h"

#include <math.h>
#include <pthread.h>

/* Time constant of the use of a team's request rate. */
#define USE_WINDOW_MS 1000.0
/* Requests that a team may send at once after a pause, in seconds of its rate. */
#define BURST_S 1.0
/* A report of other instances' use is believed for this long. */
#define REMOTE_USE_VALID_MS 5000
/* A team counts as active for the fair shares for this long after its last request. */
#define ACTIVE_MS 2000
#define MIN_RETRY_AFTER_MS 100

typedef struct
{
  double tokens; /* token bucket of the request rate */
  uint64_t bucket_at_ms;
  double use_per_s;
  uint64_t use_at_ms;
  double remote_use_per_s;
  uint64_t remote_use_at_ms;
  uint64_t cost_in_flight;
  uint64_t last_request_ms;
  double weight;
} Team;

struct _GgAdmission
{
  pthread_mutex_t lock;
  GHashTable *teams; /* name to Team */
  uint64_t cost_in_flight;
  uint64_t target_wait_ms;
};

GgAdmission *
gg_admission_create (uint64_t target_wait_ms)
{
  GgAdmission *self = g_new0 (GgAdmission, 1);
  pthread_mutex_init (&self->lock, NULL);
  self->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->target_wait_ms = target_wait_ms;
  return self;
}

void
gg_admission_destroy (GgAdmission *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->teams);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

static Team *
ensure_team (GgAdmission *self, const char *name)
{
  Team *team = g_hash_table_lookup (self->teams, name);
  if (team == NULL)
    {
      team = g_new0 (Team, 1);
      team->weight = 1.0;
      g_hash_table_insert (self->teams, g_strdup (name), team);
    }
  return team;
}

static void
decay_use (Team *team, uint64_t now_ms)
{
  if (now_ms <= team->use_at_ms)
    return;
  team->use_per_s *= exp (-(double) (now_ms - team->use_at_ms) / USE_WINDOW_MS);
  team->use_at_ms = now_ms;
}

static double
remote_use (const Team *team, uint64_t now_ms)
{
  return now_ms <= team->remote_use_at_ms + REMOTE_USE_VALID_MS ? team->remote_use_per_s : 0.0;
}

/* The share of a limit that this instance may use: what the others leave, but at least as much
 * of the limit as its own part of all use, so that instances converge on shares in proportion
 * to the balancer's spread. */
static double
local_rate (const Team *team, uint32_t limit_per_s, uint64_t now_ms)
{
  double remote = remote_use (team, now_ms);
  double left = (double) limit_per_s - remote;
  double all = remote + team->use_per_s;
  double proportional = all > 0.0 ? limit_per_s * team->use_per_s / all : limit_per_s;
  return MAX (left, proportional);
}

static gboolean
take_rate (Team *team, const GgAdmissionQuery *query, uint64_t now_ms, uint64_t *retry_after_ms_out)
{
  if (query->requests_per_s == 0)
    return TRUE;
  double rate = MAX (local_rate (team, query->requests_per_s, now_ms), 0.1);
  double burst = MAX (rate * BURST_S, 1.0);
  if (team->bucket_at_ms == 0)
    team->tokens = burst;
  else
    team->tokens += rate * (double) (now_ms - team->bucket_at_ms) / 1000.0;
  team->tokens = MIN (team->tokens, burst);
  team->bucket_at_ms = now_ms;
  if (team->tokens < 1.0)
    {
      *retry_after_ms_out = (uint64_t) ((1.0 - team->tokens) / rate * 1000.0) + 1;
      return FALSE;
    }
  team->tokens -= 1.0;
  return TRUE;
}

static double
active_weight (GgAdmission *self, uint64_t now_ms)
{
  double sum = 0.0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, self->teams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const Team *team = value;
      if (team->cost_in_flight > 0 || now_ms <= team->last_request_ms + ACTIVE_MS)
        sum += team->weight;
    }
  return sum;
}

/* Weighted fair share of the work in flight at this instance. */
static gboolean
is_within_share (GgAdmission *self, const Team *team, uint64_t now_ms)
{
  double share = (double) self->cost_in_flight * team->weight / active_weight (self, now_ms);
  return (double) team->cost_in_flight < share;
}

static GgAdmissionResult
decide_locked (GgAdmission *self,
               Team *team,
               const GgAdmissionQuery *query,
               uint64_t now_ms,
               uint64_t *retry_after_ms_out)
{
  uint64_t wait_ms = query->predicted_wait_ms;
  if (now_ms + wait_ms > query->deadline_ms)
    {
      *retry_after_ms_out = MAX (now_ms + wait_ms - query->deadline_ms, MIN_RETRY_AFTER_MS);
      return GG_ADMISSION_DEADLINE;
    }
  if (wait_ms > self->target_wait_ms && !is_within_share (self, team, now_ms))
    {
      *retry_after_ms_out = MAX (wait_ms - self->target_wait_ms, MIN_RETRY_AFTER_MS);
      return GG_ADMISSION_OVERLOAD;
    }
  if (!take_rate (team, query, now_ms, retry_after_ms_out))
    return GG_ADMISSION_TEAM_LIMIT;
  return GG_ADMISSION_ADMITTED;
}

GgAdmissionResult
gg_admission_decide (GgAdmission *self,
                     const GgAdmissionQuery *query,
                     uint64_t now_ms,
                     uint64_t *retry_after_ms_out)
{
  pthread_mutex_lock (&self->lock);
  Team *team = ensure_team (self, query->team);
  team->weight = query->weight > 0.0 ? query->weight : 1.0;
  team->last_request_ms = now_ms;
  decay_use (team, now_ms);
  GgAdmissionResult result = decide_locked (self, team, query, now_ms, retry_after_ms_out);
  if (result == GG_ADMISSION_ADMITTED)
    {
      team->use_per_s += 1000.0 / USE_WINDOW_MS;
      team->cost_in_flight += query->cost_tokens;
      self->cost_in_flight += query->cost_tokens;
    }
  pthread_mutex_unlock (&self->lock);
  return result;
}

void
gg_admission_release (GgAdmission *self, const char *name, uint32_t cost_tokens)
{
  pthread_mutex_lock (&self->lock);
  Team *team = ensure_team (self, name);
  g_assert (team->cost_in_flight >= cost_tokens);
  team->cost_in_flight -= cost_tokens;
  self->cost_in_flight -= cost_tokens;
  pthread_mutex_unlock (&self->lock);
}

void
gg_admission_set_remote_use (GgAdmission *self,
                             const char *name,
                             double requests_per_s,
                             uint64_t now_ms)
{
  pthread_mutex_lock (&self->lock);
  Team *team = ensure_team (self, name);
  team->remote_use_per_s = requests_per_s;
  team->remote_use_at_ms = now_ms;
  pthread_mutex_unlock (&self->lock);
}

double
gg_admission_get_local_use (GgAdmission *self, const char *name, uint64_t now_ms)
{
  pthread_mutex_lock (&self->lock);
  Team *team = ensure_team (self, name);
  decay_use (team, now_ms);
  double use = team->use_per_s;
  pthread_mutex_unlock (&self->lock);
  return use;
}
