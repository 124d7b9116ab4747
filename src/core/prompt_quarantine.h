/** @file
 * Finds the part of prompts that crashes the runners which begin to answer it (a query of death),
 * and keeps requests with it from them.
 *
 * Evidence is a runner that closed the connection after the head of an answer and before its first
 * event. Each part of such a request is a suspect; a part of a request whose answer begins is
 * absolved of the crashes known so far. Requests share parts, so a part that has begun anywhere is
 * not suspected while the request has another one that has not. Three runners that crashed under a
 * part put it into quarantine, five if answers to it have begun before.
 *
 * Soon after that one request is let pass on trial, since a part that many share may have been
 * hit by chance, when several runners failed together; if it crashes its runner too, the next trial
 * comes ten minutes later.
 *
 * Parts that crashed the same runners can't be told apart: a request is only refused if it has all
 * of them, and one that lacks some of them shows which it was.
 *
 * The state is merged between instances in any order and any number of times: crashes are united,
 * absolution, beginnings and releases stay. Times are CLOCK_BOOTTIME in ms. */
#pragma once

#include "core/prompt_parts.h"

#include <glib.h>
#include <stdint.h>

/** Parts that are suspected or in quarantine at a time; so that a report fits into a datagram. */
#define GG_QUARANTINE_MAX_PARTS 20
/** Crashes that are kept of a part. */
#define GG_QUARANTINE_MAX_CRASHES 8

typedef struct
{
  uint32_t runner_hash; /**< Of the runner's id and start. */
  gboolean is_absolved; /**< An answer to the part has begun since. */
} GgPartCrash;

/** What is known of a part. */
typedef struct
{
  uint64_t id;
  gboolean has_begun; /**< An answer to it has begun at some time. */
  uint32_t n_crashes;
  GgPartCrash crashes[GG_QUARANTINE_MAX_CRASHES];
  uint32_t n_quarantines; /**< It is in quarantine if this is more than n_releases. */
  uint32_t n_releases;
  uint32_t n_trials;   /**< Requests that were let pass on trial. */
  uint64_t crashed_ms; /**< Time of the latest crash that added evidence. */
  uint64_t tried_ms;   /**< When this instance last let a request pass on trial; 0 for never. Not
                        * merged. */
} GgSuspectPart;

typedef enum
{
  GG_QUARANTINE_SUSPECTED,   /**< A crash was added. */
  GG_QUARANTINE_QUARANTINED, /**< Requests with the part are refused from now on. */
  GG_QUARANTINE_TRIED,       /**< One request is let pass on trial. */
  GG_QUARANTINE_RELEASED,    /**< An answer to the part has begun, or an operator released it. */
} GgQuarantineEventKind;

/** A change, for the log. */
typedef struct
{
  GgQuarantineEventKind kind;
  uint64_t part;
  uint32_t n_crashes; /**< That are not absolved. */
} GgQuarantineEvent;

typedef struct _GgPromptQuarantine GgPromptQuarantine;

GgPromptQuarantine *gg_prompt_quarantine_create (void);
void gg_prompt_quarantine_destroy (GgPromptQuarantine *self);

/** Records that an answer to a request has begun.
 * @return whether other instances should know. */
gboolean gg_prompt_quarantine_note_begun (GgPromptQuarantine *self, const GgPromptParts *parts);

/** Records that a runner crashed when it began to answer a request.
 * @return whether other instances should know. */
gboolean gg_prompt_quarantine_note_crash (GgPromptQuarantine *self,
                                          const GgPromptParts *parts,
                                          uint32_t runner_hash,
                                          uint64_t now_ms);

/** Whether a request must not be sent to a runner.
 * @param may_try this instance is the one that may let a single request pass on trial when one
 *   is due.
 * @param part_out set to the part that is in quarantine if so. */
gboolean gg_prompt_quarantine_is_refused (GgPromptQuarantine *self,
                                          const GgPromptParts *parts,
                                          gboolean may_try,
                                          uint64_t now_ms,
                                          uint64_t *part_out);

/** Merges what another instance, or the store, knows of a part.
 * @return whether anything was new. */
gboolean
gg_prompt_quarantine_merge (GgPromptQuarantine *self, const GgSuspectPart *part, uint64_t now_ms);

/** Releases all parts. */
void gg_prompt_quarantine_release_all (GgPromptQuarantine *self);

/** Forgets suspects without a recent crash. */
void gg_prompt_quarantine_expire (GgPromptQuarantine *self, uint64_t now_ms);

/** Returns the parts that are suspected, in quarantine or released lately: GgSuspectPart, valid
 * until the next change. */
const GArray *gg_prompt_quarantine_get_parts (const GgPromptQuarantine *self);

gboolean gg_suspect_part_is_quarantined (const GgSuspectPart *self);

/** Takes the oldest change that was not taken yet.
 * @return FALSE if there is none. */
gboolean gg_prompt_quarantine_take_event (GgPromptQuarantine *self, GgQuarantineEvent *event_out);
