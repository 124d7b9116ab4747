/** @file
 * A call whose whole answer is wanted within a time limit. */
#pragma once

#include "loop/client.h"

typedef struct _GgLoopFetch GgLoopFetch;

typedef enum
{
  GG_FETCH_ANSWERED,
  GG_FETCH_UNREACHABLE, /**< Nothing was sent. */
  GG_FETCH_LOST,        /**< No whole answer came in time; the call may have run, or may still. */
} GgFetchEnd;

typedef struct
{
  GgFetchEnd end;
  uint32_t status;  /**< The rest only if answered. */
  const char *body; /**< Ended by a zero byte; valid during the call. */
  size_t body_bytes;
} GgFetchResult;

typedef void (*GgFetchFunc) (void *data, const GgFetchResult *result);

typedef struct
{
  GgCallRequest call;
  uint64_t timeout_ms;   /**< For everything, from now on. */
  size_t max_body_bytes; /**< A longer answer counts as lost. */
} GgFetchRequest;

/** Sends the call. @p func is called once, after this function has returned.
 * @return the fetch, valid until then. */
GgLoopFetch *gg_loop_fetch (GgLoop *loop,
                            GgLoopClient *client,
                            const GgFetchRequest *request,
                            GgFetchFunc func,
                            void *data);

/** Gives the fetch up without a result; NULL is allowed. */
void gg_loop_fetch_cancel (GgLoopFetch *self);
