#include "core/link_health.h"

/* An awaited answer of which nothing arrives for so long puts the links in doubt. A service of
 * which the others answer has longer, since its answers may take that long. */
#define SILENCE_MS 400
#define SERVICE_SILENCE_MS 800
/* Failures at one runner count as one unless they are so far apart. */
#define FAILURE_INTERVAL_MS 200
/* Failures that put the links in doubt: at two runners, or at one. */
#define DOUBT_FAILURES 2
/* A single runner that fails may be down itself. Meanwhile a probe has reached any other one. */
#define DOWN_FAILURES_AT_ONE 4
/* Failures count for so long if none follows: without probes nothing would end the doubt. */
#define FAILURES_EXPIRY_MS 3000
/* A peer must have received bytes of a runner within this time for the links to count as down, and
 * to remain so. The second is longer, since a report of a peer may be lost. */
#define PROOF_MS 1000
#define PROOF_EXPIRY_MS 1500

/* The links to the runners of one service, or to all. */
typedef struct
{
  uint64_t silence_ms;
  uint32_t n_awaited;
  uint64_t awaited_since_ms; /* an answer has been awaited all the time since then */
  gboolean has_received;     /* at least once */
  uint64_t received_ms;
  gboolean has_peer_received;
  uint64_t peer_received_ms; /* latest time at which a peer received bytes of a runner */
  gboolean is_down;          /* as long as the peers' proof lasts */
  /* Since bytes of a runner were last received: */
  uint32_t n_failures; /* at one runner, FAILURE_INTERVAL_MS apart */
  gboolean is_spread;  /* at more than one runner */
  gboolean is_probed;  /* a probe has failed */
  guint runner_hash;   /* where the latest failure was */
  uint64_t failed_ms;
} Links;

typedef struct
{
  guint runner_hash;
  gboolean is_probe;
  uint64_t since_ms; /* nothing has arrived since then */
} Failure;

struct _GgLinkHealth
{
  Links all;
  GHashTable *services; /* name -> Links */
};

GgLinkHealth *
gg_link_health_create (void)
{
  GgLinkHealth *self = g_new0 (GgLinkHealth, 1);
  self->all.silence_ms = SILENCE_MS;
  self->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
gg_link_health_destroy (GgLinkHealth *self)
{
  g_hash_table_unref (self->services);
  g_free (self);
}

static Links *
get_links (GgLinkHealth *self, const char *service)
{
  Links *links = g_hash_table_lookup (self->services, service);
  if (links != NULL)
    return links;
  links = g_new0 (Links, 1);
  links->silence_ms = SERVICE_SILENCE_MS;
  g_hash_table_insert (self->services, g_strdup (service), links);
  return links;
}

/* Returns NULL for a service of which nothing is known. */
static const Links *
find_links (const GgLinkHealth *self, const char *service)
{
  return service == NULL ? &self->all : g_hash_table_lookup (self->services, service);
}

static gboolean
has_failures (const Links *links, uint64_t now_ms)
{
  return links->n_failures > 0 && now_ms - links->failed_ms < FAILURES_EXPIRY_MS;
}

static gboolean
is_silent (const Links *links, uint64_t now_ms)
{
  if (links->n_awaited == 0)
    return FALSE;
  uint64_t since_ms = links->has_received ? MAX (links->received_ms, links->awaited_since_ms)
                                          : links->awaited_since_ms;
  return now_ms >= since_ms + links->silence_ms;
}

/* Whether a peer has received bytes of a runner after this instance did, and within the last @p
 * max_age_ms. */
static gboolean
has_proof (const Links *links, uint64_t max_age_ms, uint64_t now_ms)
{
  return links->has_peer_received && now_ms <= links->peer_received_ms + max_age_ms
         && (!links->has_received || links->peer_received_ms > links->received_ms);
}

static gboolean
is_doubted (const Links *links, uint64_t now_ms)
{
  return is_silent (links, now_ms)
         || (has_failures (links, now_ms)
             && (links->is_spread || links->n_failures >= DOUBT_FAILURES));
}

static gboolean
has_down_failures (const Links *links, uint64_t now_ms)
{
  return has_failures (links, now_ms) && links->is_probed
         && (links->is_spread || links->n_failures >= DOWN_FAILURES_AT_ONE);
}

static GgLinkState
get_own_state (const Links *links, uint64_t now_ms)
{
  uint64_t proof_ms = links->is_down ? PROOF_EXPIRY_MS : PROOF_MS;
  if (has_down_failures (links, now_ms) && has_proof (links, proof_ms, now_ms))
    return GG_LINKS_DOWN;
  return is_doubted (links, now_ms) ? GG_LINKS_DOUBT : GG_LINKS_UP;
}

static void
update_down (Links *links, uint64_t now_ms)
{
  links->is_down = get_own_state (links, now_ms) == GG_LINKS_DOWN;
}

static void
add_sent (Links *links, uint64_t now_ms)
{
  if (links->n_awaited++ == 0)
    links->awaited_since_ms = now_ms;
}

void
gg_link_health_note_sent (GgLinkHealth *self, const char *service, uint64_t now_ms)
{
  add_sent (&self->all, now_ms);
  add_sent (get_links (self, service), now_ms);
}

void
gg_link_health_note_ended (GgLinkHealth *self, const char *service)
{
  Links *links = get_links (self, service);
  g_assert (links->n_awaited > 0 && self->all.n_awaited > 0);
  links->n_awaited--;
  self->all.n_awaited--;
}

static void
clear_failures (Links *links)
{
  links->is_down = FALSE;
  links->n_failures = 0;
  links->is_spread = FALSE;
  links->is_probed = FALSE;
}

static void
add_received (Links *links, uint64_t now_ms)
{
  links->has_received = TRUE;
  links->received_ms = now_ms;
  clear_failures (links);
}

void
gg_link_health_note_received (GgLinkHealth *self, const char *service, uint64_t now_ms)
{
  add_received (&self->all, now_ms);
  add_received (get_links (self, service), now_ms);
}

static void
add_failure (Links *links, const Failure *failure, uint64_t now_ms)
{
  /* What was received since shows that the links were up. */
  if (links->has_received && links->received_ms > failure->since_ms)
    return;
  if (!has_failures (links, now_ms))
    clear_failures (links);
  gboolean is_other = links->n_failures > 0 && links->runner_hash != failure->runner_hash;
  links->is_spread |= is_other;
  links->is_probed |= failure->is_probe;
  if (links->n_failures == 0 || is_other || now_ms >= links->failed_ms + FAILURE_INTERVAL_MS)
    {
      links->n_failures++;
      links->runner_hash = failure->runner_hash;
      links->failed_ms = now_ms;
    }
  update_down (links, now_ms);
}

void
gg_link_health_note_missed (GgLinkHealth *self,
                            const char *service,
                            const char *runner_id,
                            uint64_t since_ms,
                            uint64_t now_ms)
{
  const Failure failure = { g_str_hash (runner_id), FALSE, since_ms };
  add_failure (&self->all, &failure, now_ms);
  add_failure (get_links (self, service), &failure, now_ms);
}

void
gg_link_health_note_probe_failed (GgLinkHealth *self,
                                  const char *service,
                                  const char *runner_id,
                                  uint64_t since_ms,
                                  uint64_t now_ms)
{
  const Failure failure = { g_str_hash (runner_id), TRUE, since_ms };
  add_failure (&self->all, &failure, now_ms);
  add_failure (get_links (self, service), &failure, now_ms);
}

static void
add_peer_received (Links *links, uint64_t received_ms, uint64_t now_ms)
{
  if (!links->has_peer_received || received_ms > links->peer_received_ms)
    links->peer_received_ms = received_ms;
  links->has_peer_received = TRUE;
  update_down (links, now_ms);
}

void
gg_link_health_note_peer_received (GgLinkHealth *self,
                                   const char *service,
                                   uint64_t received_age_ms,
                                   uint64_t now_ms)
{
  uint64_t received_ms = now_ms > received_age_ms ? now_ms - received_age_ms : 0;
  add_peer_received (&self->all, received_ms, now_ms);
  add_peer_received (get_links (self, service), received_ms, now_ms);
}

GgLinkState
gg_link_health_get_state (const GgLinkHealth *self, const char *service, uint64_t now_ms)
{
  GgLinkState all = get_own_state (&self->all, now_ms);
  const Links *links = find_links (self, service);
  return links != NULL ? MAX (all, get_own_state (links, now_ms)) : all;
}

uint64_t
gg_link_health_get_received_age_ms (const GgLinkHealth *self, const char *service, uint64_t now_ms)
{
  const Links *links = find_links (self, service);
  return links != NULL && links->has_received ? now_ms - links->received_ms : G_MAXUINT64;
}

gboolean
gg_link_health_has_failures (const GgLinkHealth *self, const char *service, uint64_t now_ms)
{
  const Links *links = find_links (self, service);
  return links != NULL && has_failures (links, now_ms);
}

gboolean
gg_link_health_is_awaiting (const GgLinkHealth *self)
{
  return self->all.n_awaited > 0;
}

gboolean
gg_link_health_is_runner_at_fault (const GgLinkHealth *self,
                                   const char *service,
                                   uint64_t missed_ms,
                                   uint64_t now_ms)
{
  return self->all.has_received && self->all.received_ms >= missed_ms
         && gg_link_health_get_state (self, service, now_ms) == GG_LINKS_UP;
}
