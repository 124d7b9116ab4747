/** @file
 * Bound on the memory that all answers together take while they are received. The answers of a
 * faulty runner may have no end, or stop just short of it, so a limit for each answer alone bounds
 * nothing. */
#pragma once

#include "daemons/routerd/send.h"
#include "loop/buffer_account.h"
#include "loop/loop.h"

typedef struct _GgAnswerMemory GgAnswerMemory;

/** @param limit_bytes for all answers together. */
GgAnswerMemory *gg_answer_memory_create (GgLoop *loop, uint64_t limit_bytes);

/** Destroys the account after all sends, and after the deferred calls of these. */
void gg_answer_memory_destroy (GgAnswerMemory *self);

/** Records what a send holds from now on. If all together hold more than the limit, those that
 * hold the most for the longest time are abandoned later in the same iteration of the loop.
 * @param holder of the send.
 * @param held_bytes 0 once the send has ended. */
void gg_answer_memory_set (GgAnswerMemory *self, GgBufferHolder *holder, size_t held_bytes);
