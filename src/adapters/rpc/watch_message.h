/** @file
 * Messages between an instance that watches the store and the instances that rely on it (XDR):
 * datagrams, and the list of runners as one document. */
#pragma once

#include "core/roster.h"
#include "core/runner_changes.h"
#include "core/watch_delegation.h"

#include <glib.h>
#include <stdint.h>

/** Largest size of a datagram, and the most changes and instances in it. */
#define GG_WATCH_MESSAGE_MAX_BYTES 1400
#define GG_WATCH_MESSAGE_MAX_CHANGES 64
#define GG_WATCH_MESSAGE_MAX_PEERS 64

/** Largest document; a power of two. */
#define GG_WATCH_MESSAGE_MAX_DOCUMENT_BYTES (4 * 1024 * 1024)

/** Most runners in a list. */
#define GG_WATCH_MESSAGE_MAX_LISTED 20000

typedef enum
{
  GG_WATCH_MESSAGE_REQUEST = 1,
  GG_WATCH_MESSAGE_REPORT = 2,
  GG_WATCH_MESSAGE_ROSTER = 3,
  GG_WATCH_MESSAGE_LIST = 4, /**< A report with all runners, sent as a document. */
} GgWatchMessageKind;

/** Request of an instance that relies on the delegate. */
typedef struct
{
  uint64_t number;           /**< Copied into the report. */
  char *reply_address;       /**< "IP:PORT", owned by the message. */
  uint64_t runners_revision; /**< Changes up to this one are known to the sender. */
  char *data_centre;         /**< Of the sender, owned by the message. */
  uint64_t roster_revision;  /**< Of the roster that the sender has; 0 for none. */
} GgWatchRequest;

/** Report of a delegate: its status, and the runners that changed. */
typedef struct
{
  uint64_t number; /**< Of the request; 0 for an unrequested report, which can't prove how old its
                    * content is. */
  char *sender;    /**< Its "IP:PORT", owned by the message. */
  GgWatchStatus status;
  uint64_t config_revision;   /**< Of the configuration's key. */
  uint32_t n_instances;       /**< Active in all data centres; 0 if not known. */
  uint64_t changes_after;     /**< The changes are all those after this revision ... */
  uint64_t runners_revision;  /**< ... and up to this one. */
  gboolean is_complete;       /**< The sender knows no later changes. */
  gboolean is_listing_needed; /**< Some changes are no longer known to the delegate. */
  GArray *changes;            /**< GgRunnerChange, in order of revision. */
} GgWatchReport;

/** The registered instances that matter in the receiver's data centre. */
typedef struct
{
  uint64_t revision; /**< Of the store. */
  GPtrArray *peers;  /**< GgPeer, owned by the message. */
} GgWatchRoster;

typedef struct
{
  GgWatchMessageKind kind;
  union
  {
    GgWatchRequest request;
    GgWatchReport report; /**< Of GG_WATCH_MESSAGE_LIST too. */
    GgWatchRoster roster;
  };
} GgWatchMessage;

void gg_watch_message_init (GgWatchMessage *self, GgWatchMessageKind kind);
void gg_watch_message_clear (GgWatchMessage *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_watch_message_encode (GgWatchMessage *self, char *buffer, size_t size_bytes);

/** Encodes a message as a document.
 * @return NULL if it is too large or has a part that no message may have. */
GByteArray *gg_watch_message_encode_document (GgWatchMessage *self);

/** @return FALSE if the bytes are no valid watch message; there is nothing to clear then. */
gboolean gg_watch_message_decode (char *buffer, size_t size_bytes, GgWatchMessage *self_out);
