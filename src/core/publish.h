/** @file
 * State machine of one publish: read, check, merge, compare-and-swap, read back. */
#pragma once

#include <glib.h>
#include <stdint.h>

#define GG_PUBLISH_ERROR (gg_publish_error_quark ())
GQuark gg_publish_error_quark (void);

typedef enum
{
  GG_PUBLISH_ERROR_CONFLICT, /**< Another publisher changed a file; the message names it. */
  GG_PUBLISH_ERROR_PLATFORM, /**< The platform failed, or its document is malformed or of an older
                                generation. */
  GG_PUBLISH_ERROR_INVALID,  /**< The files and the document together are not valid. */
} GgPublishError;

typedef struct
{
  const char *prefix;       /**< PREFIX; the publisher owns the paths "PREFIX/...". */
  const char *publish_id;   /**< Unique for this run. */
  GHashTable *files;        /**< "PREFIX/..." to text (both char *); replaces all under PREFIX. */
  gboolean has_base;        /**< Whether @p base_generation is given. */
  uint64_t base_generation; /**< No file of the publisher may have changed after it. */
  gboolean is_check_only;
  uint64_t deadline_ms; /**< Monotonic; no step is started or retried after it. */
  uint32_t seed;        /**< Of the backoff jitter. */
} GgPublishParams;

typedef enum
{
  GG_PUBLISH_EVENT_START,
  GG_PUBLISH_EVENT_READ,
  GG_PUBLISH_EVENT_WRITTEN,
  GG_PUBLISH_EVENT_WAITED,
} GgPublishEventType;

typedef enum
{
  GG_PUBLISH_READ_OK,
  GG_PUBLISH_READ_ABSENT,
  GG_PUBLISH_READ_FAILED,
} GgPublishReadResult;

typedef enum
{
  GG_PUBLISH_WRITE_OK,
  GG_PUBLISH_WRITE_CONFLICT, /**< The stored version differs. */
  GG_PUBLISH_WRITE_FAILED,   /**< It is certain that nothing was written. */
  GG_PUBLISH_WRITE_IN_DOUBT, /**< It may have taken effect, or may do so later. */
} GgPublishWriteResult;

typedef struct
{
  GgPublishEventType type;
  union
  {
    struct
    {
      GgPublishReadResult result;
      const char *text;
      uint64_t version;
    } read;
    struct
    {
      GgPublishWriteResult result;
    } written;
  } u;
} GgPublishEvent;

typedef enum
{
  GG_PUBLISH_EFFECT_READ,
  GG_PUBLISH_EFFECT_WRITE,
  GG_PUBLISH_EFFECT_WAIT,
  GG_PUBLISH_EFFECT_DONE,
  GG_PUBLISH_EFFECT_FAIL,
} GgPublishEffectType;

typedef enum
{
  GG_PUBLISH_PUBLISHED,
  GG_PUBLISH_UNCHANGED, /**< The document already has the files; nothing was written. */
  GG_PUBLISH_CHECKED,   /**< Only checked. */
} GgPublishOutcome;

/** Strings and errors are owned by the GgPublish and valid until the next event. */
typedef struct
{
  GgPublishEffectType type;
  union
  {
    struct
    {
      const char *text;
      uint64_t version; /**< Stored version that the write replaces; 0 if there is none. */
    } write;
    struct
    {
      uint64_t wait_ms;
    } wait;
    struct
    {
      GgPublishOutcome outcome;
      uint64_t generation; /**< 0 if only checked and there is no document. */
    } done;
    struct
    {
      const GError *error;
    } fail;
  } u;
} GgPublishEffect;

typedef struct _GgPublish GgPublish;

/** @param params copied; its table is referenced and must not change. */
GgPublish *gg_publish_create (const GgPublishParams *params);
void gg_publish_destroy (GgPublish *self);

/** Applies the result of the last effect; the first event is START. DONE and FAIL are final. */
void gg_publish_apply (GgPublish *self,
                       const GgPublishEvent *event,
                       uint64_t now_ms,
                       GgPublishEffect *effect_out);
