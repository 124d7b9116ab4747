#include "core/source_choice.h"

#include <string.h>

/* One in this many polls also goes to the preferred source while another one is used. */
#define PREFERRED_POLL_INTERVAL 2

typedef struct
{
  char *address;
  GgWatchDelegation delegation;
} Source;

struct _GgSourceChoice
{
  GPtrArray *sources; /* Source, the preferred one first */
  Source *chosen;     /* NULL for none */
  uint64_t valid_ms;  /* when a source was last valid, or the start */
  guint n_polls;
};

static void
free_source (void *data)
{
  Source *source = data;
  g_free (source->address);
  g_free (source);
}

GgSourceChoice *
gg_source_choice_create (uint64_t now_ms)
{
  GgSourceChoice *self = g_new0 (GgSourceChoice, 1);
  self->sources = g_ptr_array_new_with_free_func (free_source);
  self->valid_ms = now_ms;
  return self;
}

void
gg_source_choice_destroy (GgSourceChoice *self)
{
  g_ptr_array_unref (self->sources);
  g_free (self);
}

static Source *
find_source (const GgSourceChoice *self, const char *address)
{
  for (guint i = 0; i < self->sources->len; i++)
    {
      Source *source = g_ptr_array_index (self->sources, i);
      if (strcmp (source->address, address) == 0)
        return source;
    }
  return NULL;
}

void
gg_source_choice_set_sources (GgSourceChoice *self, const GPtrArray *addresses)
{
  GPtrArray *sources = g_ptr_array_new_with_free_func (free_source);
  char *chosen = self->chosen != NULL ? g_strdup (self->chosen->address) : NULL;
  for (guint i = 0; i < addresses->len; i++)
    {
      const char *address = g_ptr_array_index (addresses, i);
      const Source *known = find_source (self, address);
      Source *source = g_new0 (Source, 1);
      source->address = g_strdup (address);
      if (known != NULL)
        source->delegation = known->delegation;
      g_ptr_array_add (sources, source);
    }
  g_ptr_array_unref (self->sources);
  self->sources = sources;
  self->chosen = chosen != NULL ? find_source (self, chosen) : NULL;
  g_free (chosen);
}

void
gg_source_choice_note_status (GgSourceChoice *self,
                              const char *address,
                              const GgWatchStatus *status,
                              uint64_t requested_ms,
                              uint64_t now_ms)
{
  Source *source = find_source (self, address);
  if (source == NULL)
    return;
  gg_watch_delegation_note_status (&source->delegation, status, requested_ms);
  if (gg_watch_delegation_is_active (&source->delegation, now_ms))
    self->valid_ms = MAX (self->valid_ms, requested_ms);
}

/* Finds the preferred one of the valid sources. */
static Source *
find_valid (const GgSourceChoice *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->sources->len; i++)
    {
      Source *source = g_ptr_array_index (self->sources, i);
      if (gg_watch_delegation_is_active (&source->delegation, now_ms))
        return source;
    }
  return NULL;
}

gboolean
gg_source_choice_update (GgSourceChoice *self, uint64_t now_ms, uint64_t search_timeout_ms)
{
  self->chosen = find_valid (self, now_ms);
  return self->chosen != NULL || now_ms < self->valid_ms + search_timeout_ms;
}

const char *
gg_source_choice_get_source (const GgSourceChoice *self)
{
  return self->chosen != NULL ? self->chosen->address : NULL;
}

guint
gg_source_choice_get_polls (GgSourceChoice *self,
                            const char *addresses_out[GG_SOURCE_CHOICE_MAX_POLLS])
{
  guint n_sources = self->sources->len;
  guint n = 0;
  self->n_polls++;
  if (n_sources == 0)
    return 0;
  const Source *preferred = g_ptr_array_index (self->sources, 0);
  if (self->chosen == NULL)
    {
      for (; n < MIN (n_sources, GG_SOURCE_CHOICE_MAX_POLLS); n++)
        {
          guint i = (self->n_polls * GG_SOURCE_CHOICE_MAX_POLLS + n) % n_sources;
          addresses_out[n] = ((const Source *) g_ptr_array_index (self->sources, i))->address;
        }
      return n;
    }
  addresses_out[n++] = self->chosen->address;
  if (self->chosen != preferred && self->n_polls % PREFERRED_POLL_INTERVAL == 0)
    addresses_out[n++] = preferred->address;
  return n;
}

gboolean
gg_source_choice_has_responding (const GgSourceChoice *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->sources->len; i++)
    {
      const Source *source = g_ptr_array_index (self->sources, i);
      if (gg_watch_delegation_has_delegate (&source->delegation, now_ms))
        return TRUE;
    }
  return FALSE;
}
