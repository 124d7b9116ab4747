/** @file
 * Datagrams about the rate limits of runners (XDR): an instance requests permits from the allocator
 * of a runner and reports what the runner's answers state; the allocator replies, and notifies all
 * instances of the limits that it knows. */
#pragma once

#include "core/rate_limit.h"

#include <stddef.h>

/** Largest size of a datagram, and the most runners in it. */
#define GG_LIMIT_MESSAGE_MAX_BYTES 1400
#define GG_LIMIT_MESSAGE_MAX_ENTRIES 40

typedef enum
{
  GG_LIMIT_MESSAGE_REQUEST = 1,
  GG_LIMIT_MESSAGE_REPLY = 2,
  GG_LIMIT_MESSAGE_NOTICE = 3, /**< Of the allocator, without a request. */
} GgLimitMessageKind;

typedef struct
{
  uint32_t runner_hash;     /**< gg_load_report_hash() of its id and start. */
  GgLimitEvidence evidence; /**< A time of 0: none. Sent as an age. */
  gboolean is_first_hand;   /**< Of a request: from an answer to the sender. */
  uint32_t n_permits;       /**< Wanted in a request, granted in a reply. */
} GgLimitEntry;

typedef struct
{
  GgLimitMessageKind kind;
  uint64_t number; /**< Of the request; copied into the reply. */
  char *sender;    /**< Its "IP:PORT"; allocated with malloc(), owned by the message. */
  GArray *entries; /**< GgLimitEntry. */
} GgLimitMessage;

void gg_limit_message_init (GgLimitMessage *self, GgLimitMessageKind kind, const char *sender);
void gg_limit_message_clear (GgLimitMessage *self);

/** @param now_ms CLOCK_BOOTTIME.
 * @return the size in bytes, 0 if it does not fit. */
size_t
gg_limit_message_encode (GgLimitMessage *self, uint64_t now_ms, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no valid message; there is nothing to clear then. */
gboolean gg_limit_message_decode (char *buffer,
                                  size_t size_bytes,
                                  uint64_t now_ms,
                                  GgLimitMessage *self_out);
