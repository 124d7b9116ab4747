/** @file
 * Datagrams between an instance that watches the store for its data centre and those that rely on
 * it (XDR). */
#pragma once

#include "core/feed_choice.h"
#include "core/runner_changes.h"

#include <glib.h>
#include <stdint.h>

/** Largest datagram, and the changes in it. */
#define GG_FEED_MESSAGE_MAX_BYTES 1400
#define GG_FEED_MESSAGE_MAX_CHANGES 64

typedef enum
{
  GG_FEED_QUESTION = 1,
  GG_FEED_WORD = 2,
} GgFeedMessageKind;

/** What is asked by one who relies on the source. */
typedef struct
{
  uint64_t number;           /**< Comes back with the word. */
  char *reply_address;       /**< "IP:PORT", owned by the message. */
  uint64_t runners_revision; /**< Changes up to it are known. */
} GgFeedQuestion;

/** What a source says. */
typedef struct
{
  uint64_t number; /**< Of the question; 0 if nobody asked, which proves nothing. */
  GgFeedWord word;
  uint64_t config_revision;   /**< Of the configuration's key. */
  uint64_t changes_after;     /**< The changes are all those after this revision ... */
  uint64_t runners_revision;  /**< ... and up to this one. */
  gboolean is_listing_needed; /**< Some changes are forgotten. */
  GArray *changes;            /**< GgRunnerChange, in order of revision. */
} GgFeedNews;

typedef struct
{
  GgFeedMessageKind kind;
  union
  {
    GgFeedQuestion question;
    GgFeedNews news;
  };
} GgFeedMessage;

void gg_feed_message_init (GgFeedMessage *self, GgFeedMessageKind kind);
void gg_feed_message_clear (GgFeedMessage *self);

/** @return the size in bytes, 0 if it does not fit. */
size_t gg_feed_message_encode (GgFeedMessage *self, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no such message; then there is nothing to clear. */
gboolean gg_feed_message_decode (char *buffer, size_t size_bytes, GgFeedMessage *self_out);
