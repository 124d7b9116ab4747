/** @file
 * Shared state of the control process, protected by one mutex. The functions take the lock
 * themselves; fields that are not constant may be accessed only between gg_control_state_lock()
 * and gg_control_state_unlock(). */
#pragma once

#include "base/settings.h"
#include "core/account.h"
#include "core/config.h"
#include "core/config_document.h"
#include "core/member.h"
#include "daemons/controld/load_table.h"

#include <pthread.h>

#define GG_CONTROL_CONFIG_KEY "greengage/config"
/** Number of instances per data centre that watch the configuration. */
#define GG_CONTROL_WATCHERS 2

/** Services of the platform whose outages are noted. */
typedef enum
{
  GG_CONTROL_PLATFORM_KV,
  GG_CONTROL_PLATFORM_LIST,
  GG_CONTROL_N_PLATFORMS,
} GgControlPlatform;

/** State of one of these services, as seen by this process. */
typedef struct
{
  gboolean known; /**< At least one call has succeeded or failed. */
  gboolean up;
  gboolean recorded; /**< The present outage was logged, and put into the account by watchers. */
  uint64_t changed_at_ms; /**< Start of the present state, monotonic. */
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
  gboolean has_update; /**< A change is to be sent to peers without delay. */
  GgMemberTable *members;
  gboolean list_was_read;
  GgLoadTable *loads;
  GgConfigDocument *document; /**< NULL before the first one is accepted. */
  GgConfig *config;
  char *config_json;
  char *newer_config_address;   /**< Control address of a peer with a newer configuration. */
  GHashTable *report_sequences; /**< Sender to the sequence number of its latest report. */
  GgControlPlatformState platform[GG_CONTROL_N_PLATFORMS];
} GgControlState;

GgControlState *gg_control_state_create (const GgSettings *settings);
void gg_control_state_destroy (GgControlState *self);

/** Starts a thread. Aborts the process if that fails. */
void gg_control_thread_start (pthread_t *thread_out, void *(*func) (void *), void *data);

void gg_control_state_lock (GgControlState *self);
void gg_control_state_unlock (GgControlState *self);

/** Marks the process as stopping and wakes all waiting threads. */
void gg_control_state_stop (GgControlState *self);
gboolean gg_control_state_is_stopping (GgControlState *self);

/** Waits for @p wait_ms, or until the process stops.
 * @return FALSE if the process is stopping. */
gboolean gg_control_state_wait (GgControlState *self, uint64_t wait_ms);

/** As gg_control_state_wait(), but also returns once has_update is set, and clears it. */
gboolean gg_control_state_wait_for_update (GgControlState *self, uint64_t wait_ms);

/** Applies @p members.
 * @param from_list TRUE for the platform's list of instances, FALSE for the members of a peer,
 *   which are ignored once the list has been read. */
void gg_control_state_apply_members (GgControlState *self,
                                     const GArray *members,
                                     gboolean from_list,
                                     uint64_t now_ms);

/** Marks a member as leaving, records the change in the account and wakes the peer exchange.
 * @param incarnation 0 for the current one.
 * @return FALSE if @p incarnation is 0 and the member is unknown. */
gboolean gg_control_state_mark_leaving (GgControlState *self,
                                        const char *id,
                                        uint64_t incarnation,
                                        GgMemberSource source,
                                        uint64_t now_ms);

/** Called with the state locked. */
typedef gboolean (*GgControlMemberFilter) (const GgControlState *self, const GgMember *member);

/** Returns an array of GgMember with copies of the members that @p filter accepts (NULL for all);
 * the caller releases it. */
GArray *gg_control_state_copy_members (GgControlState *self, GgControlMemberFilter filter);

/** Filter for the live entry instances, other than this one, that have a control address. */
gboolean gg_control_state_is_peer (const GgControlState *self, const GgMember *member);

/** Returns whether this instance watches the configuration for its data centre. An instance that is
 * not in the member table watches it as well. */
gboolean gg_control_state_is_watcher (GgControlState *self);

/** Returns whether this instance records events about @p subject that all instances observe. */
gboolean gg_control_state_is_recorder (GgControlState *self, const char *subject);

/** Puts a configuration document into force if it is valid and supersedes the present one.
 * @param source where it came from, such as "platform", for the log.
 * @return whether it was accepted. */
gboolean
gg_control_state_accept_config (GgControlState *self, const char *json, const char *source);

/** Returns the generation of the configuration in force; 0 for none. */
uint64_t gg_control_state_get_generation (GgControlState *self);

/** Stores @p address as the source of a newer configuration if @p generation is newer than the one
 * in force. */
void
gg_control_state_note_generation (GgControlState *self, const char *address, uint64_t generation);

/** Returns whether a configuration is in force and at least one member is known. */
gboolean gg_control_state_is_ready (GgControlState *self);

/** Notes the success or failure of a call to the platform. An outage is recorded once it has lasted
 * for a second, and so is its end. */
void gg_control_state_note_platform (GgControlState *self,
                                     GgControlPlatform which,
                                     gboolean up,
                                     uint64_t now_ms);

/** Returns whether the last call to the platform failed. */
gboolean gg_control_state_is_platform_down (GgControlState *self, GgControlPlatform which);
const char *gg_control_platform_get_name (GgControlPlatform which);
