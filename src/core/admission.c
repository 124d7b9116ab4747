#include "core/admission.h"

#include <math.h>
#include <pthread.h>

/* Time constant of the average of a team's request rate. */
#define USE_WINDOW_MS 1000.0
/* Burst size of the rate limit, in seconds of the rate. */
#define BURST_S 1.0
/* How long a reported request rate of the other instances counts. */
#define REMOTE_USE_VALID_MS 5000
/* Time constant of the admitted cost that fair shares compare. Comparing the work in flight
 * refused a team at each short burst, and a team with a demand slightly above its share could not
 * make up for it: in the test five of nine teams got less than 0.9 of their share. */
#define SHARE_WINDOW_MS 5000.0
/* A team takes part in the fair shares for this long after its last request. */
#define ACTIVE_MS 2000
#define MIN_RETRY_AFTER_MS 100

typedef struct
{
  double tokens; /* token bucket of the request rate */
  uint64_t bucket_at_ms;
  double use_per_s; /* request rate here, a moving average */
  uint64_t use_at_ms;
  double remote_use_per_s; /* request rate at the other instances, as last reported */
  uint64_t remote_use_at_ms;
  double admitted_cost; /* decays with SHARE_WINDOW_MS */
  uint64_t admitted_at_ms;
  uint64_t last_request_ms;
  double weight;
} Team;

struct _GgAdmission
{
  pthread_mutex_t lock;
  GHashTable *teams; /* name to Team */
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

/* The part of a rate limit that this instance may use: what the other instances leave, but at
 * least a part in proportion to its own share of the team's request rate, so that the instances
 * converge on parts in proportion to the requests that the balancer sends to each. */
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
consume_rate (Team *team,
              const GgAdmissionQuery *query,
              uint64_t now_ms,
              uint64_t *retry_after_ms_out)
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

static void
decay_admitted (Team *team, uint64_t now_ms)
{
  if (now_ms <= team->admitted_at_ms)
    return;
  team->admitted_cost *= exp (-(double) (now_ms - team->admitted_at_ms) / SHARE_WINDOW_MS);
  team->admitted_at_ms = now_ms;
}

static gboolean
is_active (const Team *team, uint64_t now_ms)
{
  return now_ms <= team->last_request_ms + ACTIVE_MS;
}

/* Compares the cost admitted for a team at this instance with its weighted fair share of the cost
 * admitted for all active teams. */
static gboolean
is_within_share (GgAdmission *self, Team *requesting, uint64_t now_ms)
{
  double cost = 0.0;
  double weight = 0.0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, self->teams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      Team *team = value;
      if (!is_active (team, now_ms))
        continue;
      decay_admitted (team, now_ms);
      cost += team->admitted_cost;
      weight += team->weight;
    }
  return requesting->admitted_cost <= cost * requesting->weight / weight;
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
  if (!consume_rate (team, query, now_ms, retry_after_ms_out))
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
      decay_admitted (team, now_ms);
      team->admitted_cost += query->cost_tokens;
    }
  pthread_mutex_unlock (&self->lock);
  return result;
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
