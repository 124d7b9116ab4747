/** @file
 * The parts of a request's prompt that other requests may share. */
#pragma once

#include <stdint.h>

/** Further parts of a prompt are not looked at. */
#define GG_PROMPT_MAX_PARTS 16

/** Identifiers of the shared parts in order. The last part of a prompt belongs to one request or
 * session and is left out. */
typedef struct
{
  uint64_t ids[GG_PROMPT_MAX_PARTS];
  uint32_t n;
} GgPromptParts;
