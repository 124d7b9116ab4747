/** @file
 * Shared state of the control process, behind one mutex. Functions lock by themselves; a
 * field is read or written only by gg_control_state_lock() holders, or is constant. */
#pragma once

#include "base/settings.h"
#include "core/account.h"
#include "core/config.h"
#include "core/config_document.h"
#include "core/member.h"
#include "daemons/controld/load_table.h"

#include <pthread.h>

#define GG_CONTROL_CONFIG_KEY "greengage/config"
/** Instances of each data centre that watch the configuration. */
#define GG_CONTROL_WATCHERS 2

typedef enum
{
  GG_CONTROL_PLATFORM_KV,
  GG_CONTROL_PLATFORM_LIST,
  GG_CONTROL_N_PLATFORMS,
} GgControlPlatform;

typedef struct
{
  gboolean known; /**< Has answered or failed at least once. */
  gboolean up;
  gboolean recorded;      /**< The outage lasts and is in the account. */
  uint64_t changed_at_ms; /**< Start of the present state. */
} GgControlPlatformState;

typedef struct
{
  /* Constant after creation. */
  char *name;
  char *data_centre;
  char *rpc_address;
  uint64_t started_at_ms;
  GgAccount *account; /**< Thread-safe. */

  /* Guarded by the mutex. */
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  gboolean stopping;
  gboolean has_news; /**< Something that peers should hear at once. */
  GgMemberTable *members;
  gboolean list_was_read;
  GgLoadTable *loads;
  GgConfigDocument *document; /**< NULL until one was accepted. */
  GgConfig *config;
  char *config_json;
  char *newer_config_at;        /**< Control address of a peer with a newer configuration. */
  GHashTable *report_sequences; /**< Sender to its latest sequence. */
  GgControlPlatformState platform[GG_CONTROL_N_PLATFORMS];
} GgControlState;

GgControlState *gg_control_state_create (const GgSettings *settings);
void gg_control_state_destroy (GgControlState *self);

/** Starts a thread; that it can't be started is a broken invariant. */
void gg_control_thread_start (pthread_t *thread_out, void *(*func) (void *), void *data);

void gg_control_state_lock (GgControlState *self);
void gg_control_state_unlock (GgControlState *self);

/** Ends all waits. */
void gg_control_state_stop (GgControlState *self);
gboolean gg_control_state_is_stopping (GgControlState *self);

/** Waits for @p wait_ms; returns FALSE if the process stops. */
gboolean gg_control_state_wait (GgControlState *self, uint64_t wait_ms);

/** As gg_control_state_wait(), but ends early at news for peers, which it clears. */
gboolean gg_control_state_wait_news (GgControlState *self, uint64_t wait_ms);

/** Applies a reading of the instance list, or, until the list was read, the members of a peer. */
void gg_control_state_apply_members (GgControlState *self,
                                     const GArray *members,
                                     gboolean from_list,
                                     uint64_t now_ms);

/** Marks an instance as leaving, records that and wakes the exchange.
 * @param incarnation 0 for the current one.
 * @return FALSE if @p incarnation is 0 and the instance is not known. */
gboolean gg_control_state_mark_leaving (GgControlState *self,
                                        const char *id,
                                        uint64_t incarnation,
                                        GgMemberSource source,
                                        uint64_t now_ms);

/** Copies the members for which @p wanted holds (NULL for all) into an array of GgMember. */
typedef gboolean (*GgControlMemberFilter) (const GgControlState *self, const GgMember *member);
GArray *gg_control_state_copy_members (GgControlState *self, GgControlMemberFilter wanted);

/** Filter: live entries other than this one that can be called. */
gboolean gg_control_state_is_peer (const GgControlState *self, const GgMember *member);

/** TRUE if this instance is to watch the platform for its data centre, or is not listed. */
gboolean gg_control_state_is_watcher (GgControlState *self);

/** TRUE if this instance is the one that records what all instances see about @p subject. */
gboolean gg_control_state_is_recorder (GgControlState *self, const char *subject);

/** Accepts a document if it supersedes the present one and parses.
 * @param source for people, such as "platform". */
gboolean
gg_control_state_accept_config (GgControlState *self, const char *json, const char *source);
uint64_t gg_control_state_get_generation (GgControlState *self);

/** Remembers that the peer at @p address has @p generation, if that is newer. */
void
gg_control_state_note_generation (GgControlState *self, const char *address, uint64_t generation);

/** TRUE if a configuration and a membership are known. */
gboolean gg_control_state_is_ready (GgControlState *self);

/** Notes a success or failure of a call to the platform; records an outage that lasts and its
 * end. */
void gg_control_state_note_platform (GgControlState *self,
                                     GgControlPlatform which,
                                     gboolean up,
                                     uint64_t now_ms);
gboolean gg_control_state_is_platform_down (GgControlState *self, GgControlPlatform which);
const char *gg_control_platform_get_name (GgControlPlatform which);
