/** @file
 * Datagrams about the rate limits of runners (XDR): an instance requests permits from the allocator
 * of a runner and reports what the runner's answers state; the allocator replies, and notifies all
 * instances of the limits that it knows. Each message also states which instances allocate, as its
 * sender knows (core/allocator_election.h). */
#pragma once

#include "core/rate_limit.h"

#include <stddef.h>

/** Largest size of a datagram, and the most runners in it. */
#define GG_LIMIT_MESSAGE_MAX_BYTES 1400
#define GG_LIMIT_MESSAGE_MAX_ENTRIES 40
#define GG_LIMIT_MESSAGE_MAX_VIEWS 8

typedef enum
{
  GG_LIMIT_MESSAGE_REQUEST = 1,
  GG_LIMIT_MESSAGE_REPLY = 2,
  GG_LIMIT_MESSAGE_NOTICE = 3, /**< Of the allocator, without a request. */
  GG_LIMIT_MESSAGE_POLL = 4,   /**< Requests views; builds before the views ignore it. */
  GG_LIMIT_MESSAGE_VIEWS = 5,  /**< Reply to a poll. */
} GgLimitMessageKind;

typedef struct
{
  uint32_t runner_hash;     /**< gg_load_report_hash() of its id and start. */
  GgLimitEvidence evidence; /**< A time of 0: none. Sent as an age. */
  gboolean is_first_hand;   /**< Of a request: from an answer to the sender. */
  uint32_t n_permits;       /**< Wanted in a request, granted in a reply. */
} GgLimitEntry;

/** Who allocates the permits of a data centre's runners. */
typedef struct
{
  uint32_t data_centre_hash; /**< g_str_hash() of its name. */
  uint64_t term;
  char *address; /**< "IP:PORT"; empty for none. Allocated with malloc(), owned by the message. */
  gboolean is_ceded;
  gboolean is_claim; /**< Of a poll: the sender is the candidate and claims to allocate. */
} GgLimitView;

typedef struct
{
  GgLimitMessageKind kind;
  uint64_t number; /**< Of the request; copied into the reply. */
  char *sender;    /**< Its "IP:PORT"; allocated with malloc(), owned by the message. */
  GArray *entries; /**< GgLimitEntry. */
  GArray *views;   /**< GgLimitView; none from builds before them. */
} GgLimitMessage;

void gg_limit_message_init (GgLimitMessage *self, GgLimitMessageKind kind, const char *sender);
void gg_limit_message_clear (GgLimitMessage *self);

/** Replaces the sender. */
void gg_limit_message_set_sender (GgLimitMessage *self, const char *sender);

/** Adds a view, unless there are GG_LIMIT_MESSAGE_MAX_VIEWS already or its address is too long.
 * @param view its address is copied. */
void gg_limit_message_add_view (GgLimitMessage *self, const GgLimitView *view);
void gg_limit_message_clear_views (GgLimitMessage *self);

/** @param now_ms CLOCK_BOOTTIME.
 * @return the size in bytes, 0 if it does not fit. */
size_t
gg_limit_message_encode (GgLimitMessage *self, uint64_t now_ms, char *buffer, size_t size_bytes);

/** @return FALSE if the bytes are no valid message; there is nothing to clear then. */
gboolean gg_limit_message_decode (char *buffer,
                                  size_t size_bytes,
                                  uint64_t now_ms,
                                  GgLimitMessage *self_out);
