#include "core/publish.h"

#include "core/backoff.h"
#include "core/config.h"
#include "core/config_document.h"
#include "core/mutation.h"

#include <string.h>

#define GG_PUBLISH_BACKOFF_BASE_MS 20
#define GG_PUBLISH_BACKOFF_MAX_MS 1000

struct _GgPublish
{
  GgPublishParams params;
  char *prefix;
  char *publish_id;
  GgConfigDocument *base; /* first document read; NULL if there was none */
  gboolean has_read;
  gboolean is_acknowledged; /* a write was confirmed, but not read back yet */
  gboolean is_in_doubt;     /* a write may have taken effect */
  char *text;               /* document being written */
  GgBackoff backoff;
  GRand *rand;
  GError *error;
};

G_DEFINE_QUARK (gg - publish - error - quark, gg_publish_error)

GgPublish *
gg_publish_create (const GgPublishParams *params)
{
  GgPublish *self = g_new0 (GgPublish, 1);
  self->params = *params;
  self->prefix = g_strconcat (params->prefix, "/", NULL);
  self->publish_id = g_strdup (params->publish_id);
  self->params.prefix = self->prefix;
  self->params.publish_id = self->publish_id;
  g_hash_table_ref (self->params.files);
  self->backoff
      = (GgBackoff) GG_BACKOFF_INIT (GG_PUBLISH_BACKOFF_BASE_MS, GG_PUBLISH_BACKOFF_MAX_MS);
  self->rand = g_rand_new_with_seed (params->seed);
  return self;
}

void
gg_publish_destroy (GgPublish *self)
{
  if (self == NULL)
    return;
  gg_config_document_unref (self->base);
  g_hash_table_unref (self->params.files);
  g_rand_free (self->rand);
  g_clear_error (&self->error);
  g_free (self->text);
  g_free (self->publish_id);
  g_free (self->prefix);
  g_free (self);
}

static void
fail (GgPublish *self, GgPublishError code, GgPublishEffect *effect_out, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

static void
fail (GgPublish *self, GgPublishError code, GgPublishEffect *effect_out, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_clear_error (&self->error);
  self->error = g_error_new_valist (GG_PUBLISH_ERROR, (int) code, format, args);
  va_end (args);
  effect_out->type = GG_PUBLISH_EFFECT_FAIL;
  effect_out->u.fail.error = self->error;
}

static void
finish (GgPublishOutcome outcome, const GgConfigDocument *document, GgPublishEffect *effect_out)
{
  effect_out->type = GG_PUBLISH_EFFECT_DONE;
  effect_out->u.done.outcome = outcome;
  effect_out->u.done.generation
      = document != NULL ? gg_config_document_get_generation (document) : 0;
}

/* Reads again after a backoff. Fails if the deadline comes first; the error says what is known of
 * the write. */
static void
retry (GgPublish *self, uint64_t now_ms, const char *cause, GgPublishEffect *effect_out)
{
  uint64_t wait_ms = gg_backoff_next_ms (&self->backoff, g_rand_int (self->rand));
  if (now_ms + wait_ms < self->params.deadline_ms)
    {
      effect_out->type = GG_PUBLISH_EFFECT_WAIT;
      effect_out->u.wait.wait_ms = wait_ms;
    }
  else if (self->is_acknowledged)
    fail (self, GG_PUBLISH_ERROR_PLATFORM, effect_out,
          "the platform confirmed publish %s, but it could not be read back: %s", self->publish_id,
          cause);
  else if (self->is_in_doubt)
    fail (self, GG_PUBLISH_ERROR_PLATFORM, effect_out,
          "publish %s may or may not have taken effect: %s; run the command again",
          self->publish_id, cause);
  else
    fail (self, GG_PUBLISH_ERROR_PLATFORM, effect_out, "nothing was published: %s", cause);
}

/* Returns a table of path to text, with a NULL text for each file that the publisher removes. Keys
 * and texts are borrowed from the publisher's files and from @p base. */
static GHashTable *
collect_changes (const GgPublish *self, const GgConfigDocument *base)
{
  GHashTable *changes = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer path;
  gpointer text;
  if (base != NULL)
    {
      g_hash_table_iter_init (&iter, gg_config_document_get_files (base));
      while (g_hash_table_iter_next (&iter, &path, NULL))
        if (g_str_has_prefix (path, self->prefix))
          g_hash_table_insert (changes, path, NULL);
    }
  g_hash_table_iter_init (&iter, self->params.files);
  while (g_hash_table_iter_next (&iter, &path, &text))
    g_hash_table_insert (changes, path, text);
  return changes;
}

/* Returns the first path whose stored text differs from the publisher's and changed after the base
 * generation, or NULL. */
static const char *
find_newer_file (const GgPublish *self, const GgConfigDocument *current, GHashTable *changes)
{
  const char *found = NULL;
  GHashTableIter iter;
  gpointer path;
  gpointer text;
  g_hash_table_iter_init (&iter, changes);
  while (g_hash_table_iter_next (&iter, &path, &text))
    {
      const char *stored = g_hash_table_lookup (gg_config_document_get_files (current), path);
      if (g_strcmp0 (stored, text) != 0
          && gg_config_document_get_changed (current, path) > self->params.base_generation
          && (found == NULL || strcmp (path, found) < 0))
        found = path;
    }
  return found;
}

static gboolean
check_base (GgPublish *self, const GgConfigDocument *current, GgPublishEffect *effect_out)
{
  uint64_t base = self->params.base_generation;
  uint64_t generation = current != NULL ? gg_config_document_get_generation (current) : 0;
  if (base > generation)
    {
      fail (self, GG_PUBLISH_ERROR_CONFLICT, effect_out,
            "base generation %" G_GUINT64_FORMAT
            ": expected at most the published generation %" G_GUINT64_FORMAT,
            (guint64) base, (guint64) generation);
      return FALSE;
    }
  if (current == NULL)
    return TRUE;
  GHashTable *changes = collect_changes (self, current);
  const char *path = find_newer_file (self, current, changes);
  if (path != NULL)
    fail (self, GG_PUBLISH_ERROR_CONFLICT, effect_out,
          "conflict: %s changed after the base generation %" G_GUINT64_FORMAT
          " (last change: generation %" G_GUINT64_FORMAT ")",
          path, (guint64) base, (guint64) gg_config_document_get_changed (current, path));
  g_hash_table_unref (changes);
  return path == NULL;
}

/* Readers never accept a lower generation, so a document whose generation has decreased must not be
 * the basis of a write. */
static gboolean
check_generation (GgPublish *self, const GgConfigDocument *current, GgPublishEffect *effect_out)
{
  uint64_t before = self->base != NULL ? gg_config_document_get_generation (self->base) : 0;
  uint64_t now = current != NULL ? gg_config_document_get_generation (current) : 0;
  if (now >= before)
    return TRUE;
  fail (self, GG_PUBLISH_ERROR_PLATFORM, effect_out,
        "the generation of the stored document decreased from %" G_GUINT64_FORMAT
        " to %" G_GUINT64_FORMAT,
        (guint64) before, (guint64) now);
  return FALSE;
}

static gboolean
files_equal (GHashTable *a, GHashTable *b)
{
  if (g_hash_table_size (a) != g_hash_table_size (b))
    return FALSE;
  GHashTableIter iter;
  gpointer path;
  gpointer text;
  g_hash_table_iter_init (&iter, a);
  while (g_hash_table_iter_next (&iter, &path, &text))
    if (g_strcmp0 (g_hash_table_lookup (b, path), text) != 0)
      return FALSE;
  return TRUE;
}

static gboolean
check_merged (GgPublish *self, const GgConfigDocument *merged, GgPublishEffect *effect_out)
{
  GError *error = NULL;
  GgConfig *config = gg_config_create (gg_config_document_get_files (merged), &error);
  if (config == NULL)
    {
      fail (self, GG_PUBLISH_ERROR_INVALID, effect_out, "%s", error->message);
      g_error_free (error);
      return FALSE;
    }
  gg_config_unref (config);
  g_free (self->text);
  self->text = gg_config_document_format (merged);
  size_t size_bytes = strlen (self->text);
  if (size_bytes <= GG_CONFIG_DOCUMENT_MAX_BYTES)
    return TRUE;
  fail (self, GG_PUBLISH_ERROR_INVALID, effect_out,
        "the document would have %zu bytes: expected at most %d", size_bytes,
        GG_CONFIG_DOCUMENT_MAX_BYTES);
  return FALSE;
}

static void
write_merged (GgPublish *self,
              const GgConfigDocument *merged,
              const GgConfigDocument *current,
              uint64_t version,
              GgPublishEffect *effect_out)
{
  if (!check_merged (self, merged, effect_out))
    return;
  if (self->params.is_check_only)
    finish (GG_PUBLISH_CHECKED, current, effect_out);
  else if (current != NULL
           && files_equal (gg_config_document_get_files (merged),
                           gg_config_document_get_files (current)))
    finish (GG_PUBLISH_UNCHANGED, current, effect_out);
  else
    {
      effect_out->type = GG_PUBLISH_EFFECT_WRITE;
      effect_out->u.write.text = self->text;
      effect_out->u.write.version = version;
    }
}

static void
merge (GgPublish *self,
       const GgConfigDocument *current,
       uint64_t version,
       GgPublishEffect *effect_out)
{
  GgConfigDocument *merged = NULL;
  char *conflict = NULL;
  GHashTable *changes = collect_changes (self, self->base);
  const GgConfigDocument *base = GG_IS_MUTATED ("publish-ignore-base") ? current : self->base;
  if (gg_config_document_merge (&merged, &conflict, base, changes, current, self->publish_id))
    write_merged (self, merged, current, version, effect_out);
  else
    fail (self, GG_PUBLISH_ERROR_CONFLICT, effect_out,
          "conflict: another publisher changed %s concurrently", conflict);
  g_free (conflict);
  gg_config_document_unref (merged);
  g_hash_table_unref (changes);
}

static void
apply_document (GgPublish *self,
                GgConfigDocument *current,
                uint64_t version,
                GgPublishEffect *effect_out)
{
  uint64_t own = current != NULL ? gg_config_document_find_publish (current, self->publish_id) : 0;
  if (own != 0)
    {
      finish (GG_PUBLISH_PUBLISHED, current, effect_out);
      effect_out->u.done.generation = own;
      return;
    }
  if (!self->has_read)
    {
      if (self->params.has_base && !check_base (self, current, effect_out))
        return;
      self->has_read = TRUE;
      self->base = current != NULL ? gg_config_document_ref (current) : NULL;
    }
  if (check_generation (self, current, effect_out))
    merge (self, current, version, effect_out);
}

static void
handle_read (GgPublish *self,
             const GgPublishEvent *event,
             uint64_t now_ms,
             GgPublishEffect *effect_out)
{
  switch (event->u.read.result)
    {
    case GG_PUBLISH_READ_OK:
      {
        GError *error = NULL;
        GgConfigDocument *current = gg_config_document_parse (event->u.read.text, &error);
        if (current != NULL)
          apply_document (self, current, event->u.read.version, effect_out);
        else
          fail (self, GG_PUBLISH_ERROR_PLATFORM, effect_out, "%s", error->message);
        g_clear_error (&error);
        gg_config_document_unref (current);
        return;
      }
    case GG_PUBLISH_READ_ABSENT:
      apply_document (self, NULL, 0, effect_out);
      return;
    case GG_PUBLISH_READ_FAILED:
      retry (self, now_ms, "the platform did not answer a read", effect_out);
      return;
    }
}

static void
handle_written (GgPublish *self,
                const GgPublishEvent *event,
                uint64_t now_ms,
                GgPublishEffect *effect_out)
{
  switch (event->u.written.result)
    {
    case GG_PUBLISH_WRITE_OK:
      self->is_acknowledged = TRUE;
      effect_out->type = GG_PUBLISH_EFFECT_READ;
      return;
    case GG_PUBLISH_WRITE_IN_DOUBT:
      self->is_in_doubt = TRUE;
      retry (self, now_ms, "the platform did not answer a write", effect_out);
      return;
    case GG_PUBLISH_WRITE_CONFLICT:
      retry (self, now_ms, "conflicts with writes of other publishers", effect_out);
      return;
    case GG_PUBLISH_WRITE_FAILED:
      retry (self, now_ms, "the platform cannot be reached", effect_out);
      return;
    }
}

void
gg_publish_apply (GgPublish *self,
                  const GgPublishEvent *event,
                  uint64_t now_ms,
                  GgPublishEffect *effect_out)
{
  memset (effect_out, 0, sizeof *effect_out);
  switch (event->type)
    {
    case GG_PUBLISH_EVENT_START:
    case GG_PUBLISH_EVENT_WAITED:
      effect_out->type = GG_PUBLISH_EFFECT_READ;
      return;
    case GG_PUBLISH_EVENT_READ:
      handle_read (self, event, now_ms, effect_out);
      return;
    case GG_PUBLISH_EVENT_WRITTEN:
      handle_written (self, event, now_ms, effect_out);
      return;
    }
}
