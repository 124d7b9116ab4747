/** @file
 * Incremental parser of HTTP/1.1 messages. It stops after each message, so that bytes that follow
 * a complete message are never parsed as part of it. Interim responses (1xx) are skipped; a
 * response with a status that RFC 9110 does not define, or that switches protocols, is malformed.
 */
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
  GG_MESSAGE_BODY, /**< A part of the body, without chunk framing. */
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
    } body;                 /**< GG_MESSAGE_BODY; valid during the call. */
    gboolean is_keep_alive; /**< GG_MESSAGE_END: the connection may carry another message. */
  };
} GgMessageEvent;

/** Returning FALSE ends reading; gg_message_reader_feed() then returns GG_READ_STOPPED. */
typedef gboolean (*GgMessageFunc) (void *data, const GgMessageEvent *event);

typedef enum
{
  GG_READ_OK,             /**< All bytes were consumed; the message continues. */
  GG_READ_COMPLETE,       /**< A message ended; bytes after it were not consumed. */
  GG_READ_STOPPED,        /**< The receiver returned FALSE. */
  GG_READ_MALFORMED,      /**< The bytes are not a valid HTTP/1.1 message. */
  GG_READ_HEAD_TOO_LARGE, /**< The head exceeds the limit. */
} GgReadResult;

/** @param max_head_bytes maximum total size of start line and fields. */
GgMessageReader *gg_message_reader_create (GgMessageDirection direction,
                                           size_t max_head_bytes,
                                           GgMessageFunc func,
                                           void *data);
void gg_message_reader_destroy (GgMessageReader *self);

/** Reads the next bytes.
 * @param used_out number of bytes consumed. */
GgReadResult gg_message_reader_feed (GgMessageReader *self,
                                     const char *bytes,
                                     size_t size_bytes,
                                     size_t *used_out);

/** Reports an orderly close by the peer, which completes a response without a length.
 * @return GG_READ_COMPLETE, or GG_READ_MALFORMED if a message was truncated. */
GgReadResult gg_message_reader_finish (GgMessageReader *self);

/** Returns whether a message has started and not ended. */
gboolean gg_message_reader_is_in_message (const GgMessageReader *self);

/** Returns the memory that the part of a head takes that was received so far, in bytes. */
size_t gg_message_reader_get_held_bytes (const GgMessageReader *self);

/** Sets whether the next response has no body regardless of its head, as for HEAD requests. */
void gg_message_reader_expect_no_body (GgMessageReader *self, gboolean is_bodiless);
