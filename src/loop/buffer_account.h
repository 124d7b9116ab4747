/** @file
 * Account of the memory that the connections of a process hold in buffers: input of requests that
 * are not complete or not answered yet, and output that was not sent yet. It has one limit for all
 * connections, and decides which of them gives way when the limit is exceeded: clients may send as
 * many requests as they like and stop before the end of each, so a limit for each request alone
 * bounds nothing. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgBufferAccount GgBufferAccount;

/** What one connection holds; zero-initialised and owned by the connection. */
typedef struct
{
  uint64_t held_bytes;
  uint64_t releasable_bytes; /**< Part of held_bytes for which the connection can be made to give
                              * way: not that of a request that is being served. */
  uint64_t since_ms;         /**< Since when it has held releasable memory (monotonic). */
  uint64_t progress_ms;      /**< When the client last sent or accepted bytes (monotonic). */
} GgBufferHolder;

/** A connection that holds no more than this may use an additional reserve, so that ordinary
 * requests are received while large ones take up the limit. */
#define GG_BUFFER_SMALL_BYTES 16384

/** @param limit_bytes for all connections together; another quarter of it is reserved for those
 *   that hold no more than GG_BUFFER_SMALL_BYTES. */
GgBufferAccount *gg_buffer_account_create (uint64_t limit_bytes);
void gg_buffer_account_set_limit (GgBufferAccount *self, uint64_t limit_bytes);
/** All holders must have been cleared. NULL is allowed. */
void gg_buffer_account_destroy (GgBufferAccount *self);

/** Returns the sum of what all connections hold, in bytes. */
uint64_t gg_buffer_account_get_held (const GgBufferAccount *self);

/** Records what a connection holds from now on; 0 bytes end its entry. */
void gg_buffer_account_set (GgBufferAccount *self,
                            GgBufferHolder *holder,
                            uint64_t held_bytes,
                            uint64_t releasable_bytes,
                            uint64_t now_ms);

/** Records that the client has sent or accepted bytes. */
void gg_buffer_holder_note_progress (GgBufferHolder *holder, uint64_t now_ms);

/** Returns whether memory must be released before a connection may hold @p held_bytes. */
gboolean gg_buffer_account_is_exceeded (const GgBufferAccount *self, uint64_t held_bytes);

/** Returns the connection that is to give way: the one with the largest product of its releasable
 * bytes and the time for which it has held such, where time without progress counts twice. So an
 * ordinary request that has just arrived is hardly ever chosen, nor is output that was just
 * written, and sending a byte now and then does not protect a connection.
 * @param held_bytes as for gg_buffer_account_is_exceeded().
 * @return NULL if what can be released is not enough. */
GgBufferHolder *
gg_buffer_account_choose (const GgBufferAccount *self, uint64_t held_bytes, uint64_t now_ms);
