/** @file
 * Identifies requests that are the same for a runner: those with the same method, path, caller,
 * prompt and body. */
#pragma once

#include <stddef.h>
#include <stdint.h>

/** What a request is identified by; the id of an attempt is not part of it. */
typedef struct
{
  const char *method;
  const char *host;
  const char *target; /**< Path with query. */
  const char *caller; /**< NULL if it is not known. */
  const char *prompt; /**< Identifiers of all parts of its prompt; NULL for none. */
  const void *body;   /**< NULL for none. */
  size_t body_bytes;
} GgRequestIdentity;

/** Bits of a digest that depend on the size of the body, but not on its bytes. */
#define GG_REQUEST_DIGEST_PREFIX_BITS 16

/** Returns the digest of a request; never 0. Its upper bits are the prefix, the others come from a
 * SHA-256 of all fields. */
uint64_t gg_request_digest (const GgRequestIdentity *identity);

/** Returns the prefix of the digest, which tells at little cost that a request with a large body
 * can't have a certain digest. */
uint16_t gg_request_digest_get_prefix (const GgRequestIdentity *identity);

/** Returns the prefix of a digest. */
static inline uint16_t
gg_request_digest_to_prefix (uint64_t digest)
{
  return (uint16_t) (digest >> (64 - GG_REQUEST_DIGEST_PREFIX_BITS));
}
