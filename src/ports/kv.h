/** @file
 * Port to the platform's key-value service. Thread-safe. Every call has a deadline and is
 * counted. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _GgKv GgKv;

typedef enum
{
  GG_KV_OK,
  GG_KV_ABSENT,      /**< The key does not exist. */
  GG_KV_CONFLICT,    /**< The stored version differs; nothing was written. */
  GG_KV_UNREACHABLE, /**< Certainly nothing was sent, or a read failed. */
  GG_KV_IN_DOUBT,    /**< A write may have been applied; read it back. */
} GgKvResult;

typedef struct
{
  char *key;
  char *text; /**< Value, NUL-terminated; NULL if the key does not exist. */
  uint64_t version;
} GgKvValue;

void gg_kv_value_clear (GgKvValue *self);

/** @param addresses NULL-terminated "IP:PORT" list, tried in turn. */
GgKv *gg_kv_create (const char *const *addresses);
void gg_kv_destroy (GgKv *self);

/** Reads one key. @p deadline_ms is monotonic, here and below.
 * @param value_out cleared by the caller with gg_kv_value_clear(), whatever the result. */
GgKvResult gg_kv_get (GgKv *self, const char *key, uint64_t deadline_ms, GgKvValue *value_out);

/** Reads all keys under @p prefix into an array of GgKvValue (clear function set).
 * @param values_out NULL unless the result is GG_KV_OK.
 * @return GG_KV_ABSENT if there is no such key. */
GgKvResult gg_kv_list (GgKv *self, const char *prefix, uint64_t deadline_ms, GArray **values_out);

/** Writes the key if its stored version is @p version; with 0, creates it if it does not exist.
 * @param text at most 2^20 bytes; a longer one is not sent and gives GG_KV_UNREACHABLE. */
GgKvResult gg_kv_put_if_version (
    GgKv *self, const char *key, const char *text, uint64_t version, uint64_t deadline_ms);

/** Waits until the version of @p key exceeds @p version or @p deadline_ms, then reads it.
 * @param value_out as for gg_kv_get(). */
GgKvResult gg_kv_watch (
    GgKv *self, const char *key, uint64_t version, uint64_t deadline_ms, GgKvValue *value_out);
