/** @file
 * Port to the platform's metadata store, for a process with an event loop. Calls never block;
 * each ends with one reply, after which its GgStoreCall is no longer valid. A write that got no
 * reply may still be applied later, so every write is conditional. */
#pragma once

#include "loop/client.h"

#include <glib.h>
#include <stdint.h>

typedef struct _GgStore GgStore;
typedef struct _GgStoreCall GgStoreCall;

typedef enum
{
  GG_STORE_OK,
  GG_STORE_ABSENT,    /**< The key or lease does not exist. */
  GG_STORE_CONFLICT,  /**< The condition does not hold; nothing was written. */
  GG_STORE_COMPACTED, /**< A watch starts at, or a check names, a position that is not in the
                       * store's history: it was dropped, or lost when the store was restored from a
                       * copy. */
  GG_STORE_REFUSED,   /**< The store did nothing: it refused the call or could not be reached. */
  GG_STORE_UNKNOWN,   /**< No valid answer: a write may have been or may still be applied. */
} GgStoreResult;

/** One key. Strings are owned by the reply. */
typedef struct
{
  char *key;
  GBytes *value;     /**< NULL if the key was deleted. */
  uint64_t revision; /**< Position of its last change, see core/store_position.h. */
  uint64_t lease;    /**< 0 for none. */
} GgStoreItem;

typedef struct
{
  GgStoreResult result;
  GPtrArray *items;      /**< GgStoreItem; set by reads, lists, watches and conflicts. */
  uint64_t revision;     /**< Position of the store, or of the write. */
  gboolean has_more;     /**< There are more keys after this page of a list. */
  uint64_t lease;        /**< Lease that was opened. */
  uint64_t ttl_ms;       /**< Time to live that the store has granted. */
  uint64_t sent_boot_ms; /**< When the call was sent (CLOCK_BOOTTIME): the reply is at least as new
                          * as that. */
} GgStoreReply;

/** Called after the reply that showed that the store was restored from a copy: what was written
 * last is gone, leases too. */
typedef void (*GgStoreRestoredFunc) (void *data);

/** @p reply is valid during the call. */
typedef void (*GgStoreFunc) (void *data, const GgStoreReply *reply);

/** @param client sends the calls; not owned. */
GgStore *gg_store_create (GgLoop *loop, GgLoopClient *client, const char *address);
void gg_store_destroy (GgStore *self);

/** Returns the era of the store, which rises with each restore; 0 before the first reply. */
uint64_t gg_store_get_era (const GgStore *self);

/** Calls @p func after each restore, in the order in which the functions were added. */
void gg_store_add_restored_func (GgStore *self, GgStoreRestoredFunc func, void *data);

GgStoreCall *gg_store_read (GgStore *self, const char *key, GgStoreFunc func, void *data);

/** Lists a page of keys after @p after_key ("" for the first page). */
GgStoreCall *gg_store_list (
    GgStore *self, const char *prefix, const char *after_key, GgStoreFunc func, void *data);

/** Waits for changes after @p revision, for @p wait_ms at most. */
GgStoreCall *gg_store_watch (GgStore *self,
                             const char *prefix,
                             uint64_t revision,
                             uint64_t wait_ms,
                             GgStoreFunc func,
                             void *data);

/** Writes a key if its revision is @p expected_revision (0: the key does not exist), else gives
 * GG_STORE_CONFLICT with the current item.
 * @param lease with which the key expires; 0 for none. */
GgStoreCall *gg_store_write (GgStore *self,
                             const char *key,
                             uint64_t expected_revision,
                             const char *value,
                             uint64_t lease,
                             GgStoreFunc func,
                             void *data);

/** Deletes a key if its revision is @p expected_revision, else gives GG_STORE_CONFLICT with the
 * current item. */
GgStoreCall *gg_store_delete (
    GgStore *self, const char *key, uint64_t expected_revision, GgStoreFunc func, void *data);

/** Checks that a key still has @p revision: GG_STORE_OK if so, else GG_STORE_CONFLICT with the
 * current item. Nothing is written. */
GgStoreCall *
gg_store_check (GgStore *self, const char *key, uint64_t revision, GgStoreFunc func, void *data);

/** Calls on leases. Renewal or end of one that has expired gives GG_STORE_ABSENT. */
GgStoreCall *gg_store_open_lease (GgStore *self, uint64_t ttl_ms, GgStoreFunc func, void *data);
GgStoreCall *gg_store_renew_lease (GgStore *self, uint64_t lease, GgStoreFunc func, void *data);
GgStoreCall *gg_store_end_lease (GgStore *self, uint64_t lease, GgStoreFunc func, void *data);

/** Whether part of the reply has been received. */
gboolean gg_store_call_has_data (const GgStoreCall *call);

/** Cancels a call; its function is not called. NULL is allowed. */
void gg_store_call_cancel (GgStoreCall *call);
