/** @file
 * Datagrams between an instance that watches the store for its data centre and those that rely on
 * it (XDR). */
#pragma once

#include "core/watch_delegation.h"
#include "core/runner_changes.h"

#include <glib.h>
#include <stdint.h>

/** Largest datagram, and the changes in it. */
#define GG_WATCH_MESSAGE_MAX_BYTES 1400
#define GG_WATCH_MESSAGE_MAX_CHANGES 64

typedef enum
{
  GG_WATCH_MESSAGE_REQUEST = 1,
  GG_WATCH_MESSAGE_REPORT = 2,
} GgWatchMessageKind;

/** What is asked by one who relies on the source. */
typedef struct
{
  uint64_t number;           /**< Comes back with the word. */
  char *reply_address;       /**< "IP:PORT", owned by the message. */
  uint64_t runners_revision; /**< Changes up to it are known. */
} GgWatchRequest;

/** What a source says. */
typedef struct
{
  uint64_t number; /**< Of the question; 0 if nobody asked, which proves nothing. */
  GgWatchStatus word;
  uint64_t config_revision;   /**< Of the configuration's key. */
  uint64_t changes_after;     /**< The changes are all those after this revision ... */
  uint64_t runners_revision;  /**< ... and up to this one. */
  gboolean is_listing_needed; /**< Some changes are forgotten. */
  GArray *changes;            /**< GgRunnerChange, in order of revision. */
} GgWatchReport;

typedef struct
{
  GgWatchMessageKind kind;
  union
  {
    GgWatchRequest question;
    GgWatchReport news;
  };
} GgWatchMessage;

void gg_watch_message_init (GgWatchMessage *self, GgWatchMessageKind kind);
void gg_watch_message_clear (GgWatchMessage *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_watch_message_encode (GgWatchMessage *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no such message; then there is nothing to clear. */
gboolean gg_watch_message_decode (char *buffer, size_t size_bytes, GgWatchMessage *self_out);
