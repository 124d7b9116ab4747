/** @file
 * Datagrams between a delegate, which watches the store for its data centre, and the instances that
 * rely on it (XDR). */
#pragma once

#include "core/watch_delegation.h"
#include "core/runner_changes.h"

#include <glib.h>
#include <stdint.h>

/** Largest size of a datagram, and the most changes in it. */
#define GG_WATCH_MESSAGE_MAX_BYTES 1400
#define GG_WATCH_MESSAGE_MAX_CHANGES 64

typedef enum
{
  GG_WATCH_MESSAGE_REQUEST = 1,
  GG_WATCH_MESSAGE_REPORT = 2,
} GgWatchMessageKind;

/** Request of an instance that relies on the delegate. */
typedef struct
{
  uint64_t number;           /**< Copied into the report. */
  char *reply_address;       /**< "IP:PORT", owned by the message. */
  uint64_t runners_revision; /**< Changes up to this one are known to the sender. */
} GgWatchRequest;

/** Report of a delegate: its status, and the runners that changed. */
typedef struct
{
  uint64_t number; /**< Of the request; 0 for an unrequested report, which can't prove how old its
                    * content is. */
  GgWatchStatus status;
  uint64_t config_revision;   /**< Of the configuration's key. */
  uint64_t changes_after;     /**< The changes are all those after this revision ... */
  uint64_t runners_revision;  /**< ... and up to this one. */
  gboolean is_listing_needed; /**< Some changes are no longer known to the delegate. */
  GArray *changes;            /**< GgRunnerChange, in order of revision. */
} GgWatchReport;

typedef struct
{
  GgWatchMessageKind kind;
  union
  {
    GgWatchRequest request;
    GgWatchReport report;
  };
} GgWatchMessage;

void gg_watch_message_init (GgWatchMessage *self, GgWatchMessageKind kind);
void gg_watch_message_clear (GgWatchMessage *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_watch_message_encode (GgWatchMessage *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no valid watch message; there is nothing to clear then. */
gboolean gg_watch_message_decode (char *buffer, size_t size_bytes, GgWatchMessage *self_out);
