/** @file
 * What may be the reason if a request crashes the runner that begins to run it. */
#pragma once

#include "core/prompt_parts.h"

#include <stdint.h>

typedef struct
{
  GgPromptParts parts; /**< Of its prompt; none for a plain service. */
  uint64_t digest;     /**< Of the whole request (core/request_digest.h); 0 if it is not known. */
} GgRequestSuspects;
