/** @file
 * Shares of the teams in the capacity of each model service (core/team_share): counts the requests,
 * logs when a team begins or ceases to be over its share, and says which requests are held back.
 * Requests without a team, of plain services, and under a configuration with fewer than two teams
 * are not affected. */
#pragma once

#include "daemons/routerd/relay.h"

GgTeamShares *gg_team_shares_create (GgLoop *loop);
void gg_team_shares_destroy (GgTeamShares *self);

/** Counts a request that arrives; its service is known. */
void gg_team_shares_note_request (GgTeamShares *self, const GgRelay *relay);

/** Counts a request that is sent, unless it has been sent before. */
void gg_team_shares_note_admitted (GgTeamShares *self, GgRelay *relay);

/** Records that a request found no capacity. */
void gg_team_shares_note_shortage (GgTeamShares *self, const GgRelay *relay);

/** Returns the part of the runners' request memory that the share of its team allows a request, 0
 * to 1. A request whose answer has begun, or that runs or may have run, is not held back: it
 * would lose what it has. */
double gg_team_shares_get_usable_memory (GgTeamShares *self, const GgRelay *relay);

/** Counts a request that is refused because its team is over its share. */
void gg_team_shares_note_refused (void);
