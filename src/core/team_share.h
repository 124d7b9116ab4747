/** @file
 * Shares of the teams in the capacity of one service. While capacity is short, a team that sends
 * much more than its share is held back, so that its requests do not displace those of other teams:
 * beyond the share they may use a smaller part of the runners' memory (trunk reservation). Each
 * instance decides by the requests that it receives.
 *
 * The weight of a team is its usual demand, and its share is the weighted max-min share of what was
 * recently admitted: what other teams leave unused is lent. Without a shortage no team is held
 * back. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Teams that are counted for one service. Further ones are neither counted nor held back. */
#define GG_TEAM_SHARE_MAX_TEAMS 512

/** The decision is renewed when a call comes this long after the previous decision. */
#define GG_TEAM_SHARE_INTERVAL_MS 100

typedef struct _GgTeamShare GgTeamShare;

/** A state that began or ended. */
typedef struct
{
  const char *team;    /**< Borrowed, valid during the call. */
  gboolean is_over;    /**< Whether the team is over its share now. */
  double demand_per_s; /**< Recent demand in tokens per second. */
  double share_per_s;  /**< In tokens per second; INFINITY if all demand was admitted. */
} GgTeamShareChange;

/** Called when the state of a team changes; it must not call functions of this module. */
typedef void (*GgTeamShareFunc) (void *data, const GgTeamShareChange *change);

/** @param on_change may be NULL. */
GgTeamShare *gg_team_share_create (GgTeamShareFunc on_change, void *data);
void gg_team_share_destroy (GgTeamShare *self);

/** Counts a request that arrives.
 * @param tokens memory that it needs.
 * @param now_ms monotonic, here and below. */
void gg_team_share_note (GgTeamShare *self, const char *team, uint32_t tokens, uint64_t now_ms);

/** Counts a request that is sent to runners; call it once for each request. */
void
gg_team_share_note_admitted (GgTeamShare *self, const char *team, uint32_t tokens, uint64_t now_ms);

/** Records that a request waits or is refused for lack of capacity. Those of teams over their share
 * are no shortage for others. */
void gg_team_share_note_shortage (GgTeamShare *self, const char *team, uint64_t now_ms);

/** Returns the part of the runners' request memory up to which requests of a team are accepted; 1
 * unless the team is over its share and was recently admitted with as much as the share. */
double gg_team_share_get_usable_memory (GgTeamShare *self, const char *team, uint64_t now_ms);

/** Renews the decision, also if no request arrives.
 * @return whether a team is over its share. */
gboolean gg_team_share_update (GgTeamShare *self, uint64_t now_ms);

/** Returns the number of teams that are counted. */
guint gg_team_share_count_teams (const GgTeamShare *self);
