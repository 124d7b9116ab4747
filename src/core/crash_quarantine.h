/** @file
 * Detects what crashes each runner that begins to run it (a query of death), and has requests with
 * it refused: a part of prompts, whatever else the request holds, or a whole request that its
 * caller repeats.
 *
 * A suspect counts as served when an answer to it has got well under way. Evidence against it is a
 * runner whose process ended while it began to run such a request. Each suspect of the request is
 * cleared of the crashes known so far when it is served. Requests share parts, so a part that was
 * served at some time is no suspect while the request has another one that was not. Three crashed
 * runners quarantine a suspect, five a part that was served before, and a request that was served
 * since it was first suspected.
 *
 * Soon after that one request is allowed as a trial: what many requests share may have been
 * suspected by coincidence, when several runners failed together. If the trial crashes its runner
 * as well, the next one is allowed ten minutes later. One that reached no runner does not count.
 *
 * Parts that are suspected of the same crashes are ambiguous: a request is only refused if it has
 * all of them. The outcome of one that has some of them resolves the ambiguity. A request that ran
 * beside another one at all runners that crashed under it is not refused if the other one has more
 * crashes.
 *
 * The state is merged between instances in any order and any number of times: the set of crashes,
 * the marks on them and the counters of quarantines and releases only grow. Times are
 * CLOCK_BOOTTIME in ms. */
#pragma once

#include "core/prompt_parts.h"

#include <glib.h>
#include <stdint.h>

/** Suspects and those in quarantine at a time; so that a report fits into a datagram. */
#define GG_QUARANTINE_MAX_SUSPECTS 20
/** Crashes that are kept of a suspect. */
#define GG_QUARANTINE_MAX_CRASHES 8

typedef struct
{
  uint32_t runner_hash; /**< Of the runner's id and start. */
  gboolean is_cleared;  /**< The suspect was served since. */
} GgSuspectCrash;

/** What is suspected. */
typedef enum
{
  GG_SUSPECT_PART,    /**< A part of prompts. */
  GG_SUSPECT_REQUEST, /**< A request with all of its content; the only suspect of that request. */
} GgSuspectKind;

/** What is known of a suspect. */
typedef struct
{
  uint64_t id;
  gboolean was_served;   /**< At some time, by some instance. */
  gboolean is_confirmed; /**< It crashed a runner without the parts with which it was ambiguous. */
  uint32_t n_crashes;
  GgSuspectCrash crashes[GG_QUARANTINE_MAX_CRASHES];
  uint32_t n_quarantines; /**< It is in quarantine if this is more than n_releases. */
  uint32_t n_releases;
  uint32_t n_trials;   /**< At least n_quarantines once a trial was allowed in the latest one. */
  uint64_t crashed_ms; /**< Time of the latest crash that added evidence. */
  uint64_t tried_ms;   /**< When this instance last allowed a trial; 0 for never. Not merged. */
  /** The last trial of this instance reached no runner, and none crashed since. Not merged. */
  gboolean is_trial_withdrawn;
} GgSuspect;

typedef enum
{
  GG_QUARANTINE_SUSPECTED,   /**< A crash was added. */
  GG_QUARANTINE_QUARANTINED, /**< Requests with the suspect are refused from now on. */
  GG_QUARANTINE_TRIED,       /**< One request is allowed as a trial. */
  GG_QUARANTINE_RELEASED,    /**< The suspect was served, or released by an operator. */
} GgQuarantineEventKind;

/** A change, for the log. */
typedef struct
{
  GgQuarantineEventKind kind;
  uint64_t id;
  uint32_t n_crashes; /**< That are not cleared. */
} GgQuarantineEvent;

/** What to do with a request. */
typedef enum
{
  GG_QUARANTINE_ALLOWED,
  GG_QUARANTINE_TRIAL_DUE, /**< It may be sent as a trial. */
  GG_QUARANTINE_REFUSED,   /**< It must not be sent to a runner. */
} GgQuarantineVerdict;

typedef struct _GgCrashQuarantine GgCrashQuarantine;

GgCrashQuarantine *gg_crash_quarantine_create (GgSuspectKind kind);
void gg_crash_quarantine_destroy (GgCrashQuarantine *self);

/** Records that a request was served.
 * @return whether other instances should know. */
gboolean gg_crash_quarantine_note_served (GgCrashQuarantine *self, const GgPromptParts *parts);

/** Records that a runner crashed while it began to run a request.
 * @return whether other instances should know. */
gboolean gg_crash_quarantine_note_crash (GgCrashQuarantine *self,
                                         const GgPromptParts *parts,
                                         uint32_t runner_hash,
                                         uint64_t now_ms);

/** Decides whether a request may be sent to a runner.
 * @param is_leader whether this instance is the one that allows trials when they are due; of whole
 *   requests, which it may not receive, others do so a little later. */
GgQuarantineVerdict gg_crash_quarantine_judge (const GgCrashQuarantine *self,
                                               const GgPromptParts *parts,
                                               gboolean is_leader,
                                               uint64_t now_ms);

/** Records that a request for which a trial was due is sent. */
void gg_crash_quarantine_begin_trial (GgCrashQuarantine *self,
                                      const GgPromptParts *parts,
                                      uint64_t now_ms);

/** Records that a trial of this instance reached no runner, so that another one is due. */
void gg_crash_quarantine_withdraw_trial (GgCrashQuarantine *self, const GgPromptParts *parts);

/** Merges what another instance, or the store, knows of a suspect.
 * @return whether anything was new. */
gboolean
gg_crash_quarantine_merge (GgCrashQuarantine *self, const GgSuspect *suspect, uint64_t now_ms);

/** Releases all suspects. */
void gg_crash_quarantine_release_all (GgCrashQuarantine *self);

/** Drops suspects without a recent crash. */
void gg_crash_quarantine_expire (GgCrashQuarantine *self, uint64_t now_ms);

/** Returns what is suspected, in quarantine or released lately: GgSuspect, valid until the next
 * change. */
const GArray *gg_crash_quarantine_get_suspects (const GgCrashQuarantine *self);

gboolean gg_suspect_is_quarantined (const GgSuspect *self);

/** Takes the oldest change that was not taken yet.
 * @return FALSE if there is none. */
gboolean gg_crash_quarantine_take_event (GgCrashQuarantine *self, GgQuarantineEvent *event_out);
