/** @file
 * Incremental reader of HTTP/1.1 messages. It stops after each message, so that bytes after a
 * complete one are never taken for a part of it. */
#pragma once

#include "loop/message_head.h"

#include <stddef.h>

typedef struct _GgMessageReader GgMessageReader;

typedef enum
{
  GG_MESSAGE_REQUESTS,
  GG_MESSAGE_RESPONSES,
} GgMessageDirection;

typedef enum
{
  GG_MESSAGE_HEAD,
  GG_MESSAGE_BODY, /**< A part of the body, without its framing. */
  GG_MESSAGE_END,  /**< The message is complete. */
} GgMessageEventKind;

typedef struct
{
  GgMessageEventKind kind;
  union
  {
    GgMessageHead *head; /**< GG_MESSAGE_HEAD; owned by the receiver. */
    struct
    {
      const char *bytes;
      size_t size_bytes;
    } body;           /**< GG_MESSAGE_BODY; valid during the call. */
    gboolean is_kept; /**< GG_MESSAGE_END: the connection may carry another message. */
  };
} GgMessageEvent;

/** Returning FALSE ends reading; gg_message_reader_feed() then returns GG_READ_STOPPED. */
typedef gboolean (*GgMessageFunc) (void *data, const GgMessageEvent *event);

typedef enum
{
  GG_READ_OK,             /**< All bytes were taken; the message goes on. */
  GG_READ_COMPLETE,       /**< A message ended; bytes after it were not taken. */
  GG_READ_STOPPED,        /**< The receiver ended reading. */
  GG_READ_MALFORMED,      /**< The bytes are no HTTP/1.1 message. */
  GG_READ_HEAD_TOO_LARGE, /**< The head is over the limit. */
} GgReadResult;

/** @param max_head_bytes limit of start line and fields together. */
GgMessageReader *gg_message_reader_create (GgMessageDirection direction,
                                           size_t max_head_bytes,
                                           GgMessageFunc func,
                                           void *data);
void gg_message_reader_destroy (GgMessageReader *self);

/** Reads the next bytes.
 * @param used_out how many were taken. */
GgReadResult gg_message_reader_feed (GgMessageReader *self,
                                     const char *bytes,
                                     size_t size_bytes,
                                     size_t *used_out);

/** Tells that the peer closed its side in order, which completes a response without a length.
 * @return GG_READ_COMPLETE, or GG_READ_MALFORMED if a message was cut. */
GgReadResult gg_message_reader_finish (GgMessageReader *self);

/** Returns whether a message has begun and not ended. */
gboolean gg_message_reader_is_within (const GgMessageReader *self);

/** For responses: whether the next one has no body whatever its head says (HEAD requests). */
void gg_message_reader_expect_no_body (GgMessageReader *self, gboolean is_bodiless);
