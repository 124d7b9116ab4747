#include "daemons/controld/control_state.h"

#include "base/clock.h"
#include "base/counters.h"
#include "base/log.h"
#include "greengage/id.h"

#include <string.h>
#include <time.h>

/* Failures must persist for this long to count as an outage; a single failed call does not. */
#define MIN_OUTAGE_MS 1000
/* Waiting threads wake up at least this often, in case a signal was lost. */
#define MAX_WAIT_SLICE_MS 1000

static GgCounter generation_gauge
    = GG_GAUGE ("greengage_config_generation", "Generation of the configuration in force");
static GgCounter refused_configs
    = GG_COUNTER ("greengage_config_refused_total", "Documents that do not parse or are not newer");
static GgCounter members_gauge = GG_GAUGE ("greengage_members", "Members in the table");
static GgCounter outages = GG_COUNTER ("greengage_platform_outages_total",
                                       "Outages of the platform that lasted over a second");

static void
init_locks (GgControlState *self)
{
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&self->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_mutex_init (&self->mutex, NULL);
}

GgControlState *
gg_control_state_create (const GgSettings *settings)
{
  GgControlState *self = g_new0 (GgControlState, 1);
  self->name = g_strdup (gg_settings_get_string (settings, "instance", "name"));
  self->data_centre = g_strdup (gg_settings_get_string (settings, "instance", "data_centre"));
  self->rpc_address = g_strdup (gg_settings_get_string (settings, "listen", "rpc"));
  self->started_at_ms = gg_clock_now_ms ();
  uint32_t max_entries = (uint32_t) gg_settings_get_uint (settings, "account", "max_entries");
  self->account = gg_account_create (self->name, max_entries);
  init_locks (self);
  self->members = gg_member_table_create (gg_settings_get_uint (settings, "members", "hold_ms"));
  self->loads = gg_load_table_create ();
  self->report_sequences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gg_counter_register (&refused_configs);
  gg_counter_register (&outages);
  return self;
}

void
gg_control_state_destroy (GgControlState *self)
{
  g_free (self->name);
  g_free (self->data_centre);
  g_free (self->rpc_address);
  gg_account_destroy (self->account);
  gg_member_table_destroy (self->members);
  gg_load_table_destroy (self->loads);
  g_clear_pointer (&self->document, gg_config_document_unref);
  g_clear_pointer (&self->config, gg_config_unref);
  g_free (self->config_json);
  g_free (self->newer_config_address);
  g_hash_table_unref (self->report_sequences);
  pthread_mutex_destroy (&self->mutex);
  pthread_cond_destroy (&self->changed);
  g_free (self);
}

void
gg_control_thread_start (pthread_t *thread_out, void *(*func) (void *), void *data)
{
  int failure = pthread_create (thread_out, NULL, func, data);
  g_assert (failure == 0);
}

void
gg_control_state_lock (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
}

void
gg_control_state_unlock (GgControlState *self)
{
  pthread_mutex_unlock (&self->mutex);
}

void
gg_control_state_stop (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
  self->stopping = TRUE;
  pthread_cond_broadcast (&self->changed);
  pthread_mutex_unlock (&self->mutex);
}

gboolean
gg_control_state_is_stopping (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
  gboolean stopping = self->stopping;
  pthread_mutex_unlock (&self->mutex);
  return stopping;
}

static struct timespec
to_timespec (uint64_t ms)
{
  return (struct timespec){ .tv_sec = (time_t) (ms / 1000),
                            .tv_nsec = (long) (ms % 1000) * 1000000 };
}

static gboolean
wait_until (GgControlState *self, uint64_t wait_ms, gboolean for_update)
{
  uint64_t end_ms = gg_clock_now_ms () + wait_ms;
  pthread_mutex_lock (&self->mutex);
  while (!self->stopping && !(for_update && self->has_update))
    {
      uint64_t now_ms = gg_clock_now_ms ();
      if (now_ms >= end_ms)
        break;
      uint64_t slice_ms = MIN (end_ms - now_ms, MAX_WAIT_SLICE_MS);
      struct timespec until = to_timespec (now_ms + slice_ms);
      pthread_cond_timedwait (&self->changed, &self->mutex, &until);
    }
  if (for_update)
    self->has_update = FALSE;
  gboolean is_running = !self->stopping;
  pthread_mutex_unlock (&self->mutex);
  return is_running;
}

gboolean
gg_control_state_wait (GgControlState *self, uint64_t wait_ms)
{
  return wait_until (self, wait_ms, FALSE);
}

gboolean
gg_control_state_wait_for_update (GgControlState *self, uint64_t wait_ms)
{
  return wait_until (self, wait_ms, TRUE);
}

static void
set_update (GgControlState *self)
{
  self->has_update = TRUE;
  pthread_cond_broadcast (&self->changed);
}

static gboolean
has_live_entry (const GgControlState *self)
{
  for (guint i = 0; i < gg_member_table_get_size (self->members); i++)
    {
      const GgMember *member = gg_member_table_get (self->members, i);
      if (member->role == GG_MEMBER_ENTRY && member->state == GG_MEMBER_LIVE)
        return TRUE;
    }
  return FALSE;
}

/* An event that all instances observe is recorded by only one of them; otherwise each event would
 * be written to the platform once per instance. The instance that the event is about may itself
 * have failed, so the one with the next rank records it. */
static gboolean
is_recorder (const GgControlState *self, const char *subject)
{
  int first = gg_member_table_get_rank (self->members, NULL, subject, subject) == 0 ? 1 : 0;
  return gg_member_table_get_rank (self->members, NULL, subject, self->name) == first
         || !has_live_entry (self);
}

gboolean
gg_control_state_is_recorder (GgControlState *self, const char *subject)
{
  pthread_mutex_lock (&self->mutex);
  gboolean recorder = is_recorder (self, subject);
  pthread_mutex_unlock (&self->mutex);
  return recorder;
}

/* An instance that is not listed yet has no rank and watches as well. A leaving instance does not
 * watch while another one is live. */
static gboolean
is_watcher (const GgControlState *self)
{
  const GgMember *own = gg_member_table_find (self->members, self->name);
  if (own != NULL && own->state == GG_MEMBER_LEAVING && has_live_entry (self))
    return FALSE;
  return gg_member_table_get_rank (self->members, self->data_centre, GG_CONTROL_CONFIG_KEY,
                                   self->name)
         < GG_CONTROL_WATCHERS;
}

gboolean
gg_control_state_is_watcher (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
  gboolean watcher = is_watcher (self);
  pthread_mutex_unlock (&self->mutex);
  return watcher;
}

static const char *
source_to_string (GgMemberSource source)
{
  switch (source)
    {
    case GG_MEMBER_SOURCE_LIST:
      return "the list";
    case GG_MEMBER_SOURCE_SELF:
      return "itself";
    case GG_MEMBER_SOURCE_OPERATOR:
      return "an operator";
    case GG_MEMBER_SOURCE_PEER:
      return "a peer";
    }
  return "";
}

static void
record_leaving (GgControlState *self, const char *id, uint64_t incarnation, GgMemberSource source)
{
  if (!is_recorder (self, id))
    return;
  char *detail = g_strdup_printf ("incarnation %" G_GUINT64_FORMAT " is leaving, learned from %s",
                                  incarnation, source_to_string (source));
  gg_account_record (self->account, "member-leaving", id, detail, FALSE, gg_clock_wall_ms ());
  g_free (detail);
}

static void
record_lost (GgControlState *self, const char *id)
{
  if (is_recorder (self, id))
    gg_account_record (self->account, "member-lost", id, "vanished from the list while live", FALSE,
                       gg_clock_wall_ms ());
}

/* Returns the set of ids of the live members. */
static GHashTable *
copy_live (const GgControlState *self)
{
  GHashTable *live = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < gg_member_table_get_size (self->members); i++)
    {
      const GgMember *member = gg_member_table_get (self->members, i);
      if (member->state == GG_MEMBER_LIVE)
        g_hash_table_add (live, g_strdup (member->id));
    }
  return live;
}

static void
record_changes (GgControlState *self, GHashTable *live_before)
{
  GHashTableIter iter;
  void *id;
  g_hash_table_iter_init (&iter, live_before);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      const GgMember *member = gg_member_table_find (self->members, id);
      if (member == NULL)
        record_lost (self, id);
      else if (member->state == GG_MEMBER_LEAVING)
        record_leaving (self, id, member->incarnation, GG_MEMBER_SOURCE_LIST);
      if (member == NULL || member->state == GG_MEMBER_LEAVING)
        set_update (self);
    }
}

/* A load record from any collector shows that the runner answered at that time. */
static void
confirm_by_loads (GgControlState *self)
{
  for (guint i = 0; i < gg_member_table_get_size (self->members); i++)
    {
      const GgMember *member = gg_member_table_get (self->members, i);
      if (member->role != GG_MEMBER_RUNNER)
        continue;
      uint64_t measured_ms
          = gg_load_table_get_measured_ms (self->loads, gg_id_hash_instance (member->id));
      if (measured_ms != 0)
        gg_member_table_confirm (self->members, member->id, measured_ms);
    }
}

void
gg_control_state_apply_members (GgControlState *self,
                                const GArray *members,
                                gboolean from_list,
                                uint64_t now_ms)
{
  pthread_mutex_lock (&self->mutex);
  if (from_list || !self->list_was_read)
    {
      self->list_was_read |= from_list;
      GHashTable *live = copy_live (self);
      confirm_by_loads (self);
      /* No digest of a peer confirms this instance itself. If the list omits it, it must stay in
       * the table: without a rank it would collect no loads. */
      gg_member_table_confirm (self->members, self->name, now_ms);
      if (gg_member_table_apply_list (self->members, (const GgMember *) (void *) members->data,
                                      members->len, now_ms))
        record_changes (self, live);
      g_hash_table_unref (live);
      gg_load_table_expire (self->loads, now_ms);
      gg_counter_set (&members_gauge, gg_member_table_get_size (self->members));
    }
  pthread_mutex_unlock (&self->mutex);
}

gboolean
gg_control_state_mark_leaving (GgControlState *self,
                               const char *id,
                               uint64_t incarnation,
                               GgMemberSource source,
                               uint64_t now_ms)
{
  pthread_mutex_lock (&self->mutex);
  const GgMember *member = gg_member_table_find (self->members, id);
  if (incarnation == 0 && member != NULL)
    incarnation = member->incarnation;
  gboolean known = member != NULL || incarnation != 0;
  if (known && gg_member_table_mark_leaving (self->members, id, incarnation, source, now_ms))
    {
      gg_log (LOG_NOTICE, "event=member-leaving id=%s incarnation=%" G_GUINT64_FORMAT, id,
              incarnation);
      record_leaving (self, id, incarnation, source);
      set_update (self);
    }
  pthread_mutex_unlock (&self->mutex);
  return known;
}

static void
clear_member (void *data)
{
  gg_member_clear (data);
}

GArray *
gg_control_state_copy_members (GgControlState *self, GgControlMemberFilter filter)
{
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (GgMember));
  g_array_set_clear_func (copies, clear_member);
  pthread_mutex_lock (&self->mutex);
  for (guint i = 0; i < gg_member_table_get_size (self->members); i++)
    {
      const GgMember *member = gg_member_table_get (self->members, i);
      if (filter != NULL && !filter (self, member))
        continue;
      GgMember copy;
      gg_member_copy (&copy, member);
      g_array_append_val (copies, copy);
    }
  pthread_mutex_unlock (&self->mutex);
  return copies;
}

gboolean
gg_control_state_is_peer (const GgControlState *self, const GgMember *member)
{
  return member->role == GG_MEMBER_ENTRY && member->state == GG_MEMBER_LIVE
         && member->control_address != NULL && *member->control_address != '\0'
         && strcmp (member->id, self->name) != 0;
}

/* Returns whether @document is now in force; takes ownership of both references in that case. */
static gboolean
replace_config (GgControlState *self, GgConfigDocument *document, GgConfig *config)
{
  pthread_mutex_lock (&self->mutex);
  gboolean newer = gg_config_document_supersedes (document, self->document);
  gboolean watcher = is_watcher (self);
  uint64_t generation = gg_config_document_get_generation (document);
  if (newer)
    {
      g_clear_pointer (&self->document, gg_config_document_unref);
      g_clear_pointer (&self->config, gg_config_unref);
      g_free (self->config_json);
      self->document = document;
      self->config = config;
      self->config_json = gg_config_document_format (document);
      set_update (self);
    }
  pthread_mutex_unlock (&self->mutex);

  if (newer && watcher)
    {
      char *detail = g_strdup_printf ("generation %" G_GUINT64_FORMAT, generation);
      gg_account_record (self->account, "config-accepted", "configuration", detail, FALSE,
                         gg_clock_wall_ms ());
      g_free (detail);
    }
  return newer;
}

static gboolean
is_newer (GgControlState *self, const GgConfigDocument *document)
{
  pthread_mutex_lock (&self->mutex);
  gboolean newer = gg_config_document_supersedes (document, self->document);
  pthread_mutex_unlock (&self->mutex);
  return newer;
}

gboolean
gg_control_state_accept_config (GgControlState *self, const char *json, const char *source)
{
  GError *error = NULL;
  GgConfig *config = NULL;
  gboolean accepted = FALSE;
  GgConfigDocument *document = gg_config_document_parse (json, &error);
  if (document != NULL && !is_newer (self, document))
    {
      gg_config_document_unref (document);
      return FALSE;
    }
  if (document != NULL)
    config = gg_config_create (gg_config_document_get_files (document), &error);
  if (config != NULL)
    accepted = replace_config (self, document, config);

  if (accepted)
    {
      uint64_t generation = gg_control_state_get_generation (self);
      gg_counter_set (&generation_gauge, (int64_t) generation);
      gg_log (LOG_NOTICE, "event=config-accepted generation=%" G_GUINT64_FORMAT " source=%s",
              generation, source);
      return TRUE;
    }
  if (error != NULL)
    {
      gg_counter_add (&refused_configs, 1);
      gg_log (LOG_ERR, "event=config-refused source=%s error=\"%s\"", source, error->message);
      g_error_free (error);
    }
  g_clear_pointer (&config, gg_config_unref);
  g_clear_pointer (&document, gg_config_document_unref);
  return FALSE;
}

uint64_t
gg_control_state_get_generation (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
  uint64_t generation
      = self->document != NULL ? gg_config_document_get_generation (self->document) : 0;
  pthread_mutex_unlock (&self->mutex);
  return generation;
}

void
gg_control_state_note_generation (GgControlState *self, const char *address, uint64_t generation)
{
  if (generation <= gg_control_state_get_generation (self))
    return;
  pthread_mutex_lock (&self->mutex);
  g_free (self->newer_config_address);
  self->newer_config_address = g_strdup (address);
  set_update (self);
  pthread_mutex_unlock (&self->mutex);
}

gboolean
gg_control_state_is_ready (GgControlState *self)
{
  pthread_mutex_lock (&self->mutex);
  gboolean ready = self->config != NULL && gg_member_table_get_size (self->members) > 0;
  pthread_mutex_unlock (&self->mutex);
  return ready;
}

const char *
gg_control_platform_get_name (GgControlPlatform which)
{
  switch (which)
    {
    case GG_CONTROL_PLATFORM_KV:
      return "key-value service";
    case GG_CONTROL_PLATFORM_LIST:
      return "instance list";
    case GG_CONTROL_N_PLATFORMS:
      break;
    }
  return "";
}

static void
record_platform (GgControlState *self, GgControlPlatform which, gboolean up, uint64_t lasted_ms)
{
  const char *name = gg_control_platform_get_name (which);
  char *detail = up ? g_strdup_printf ("answers again after %" G_GUINT64_FORMAT " ms", lasted_ms)
                    : g_strdup ("does not answer");
  gg_log (LOG_WARNING, "event=platform-%s part=\"%s\" detail=\"%s\"", up ? "up" : "down", name,
          detail);
  if (is_watcher (self))
    gg_account_record (self->account, up ? "platform-up" : "platform-down", name, detail, FALSE,
                       gg_clock_wall_ms ());
  g_free (detail);
}

void
gg_control_state_note_platform (GgControlState *self,
                                GgControlPlatform which,
                                gboolean up,
                                uint64_t now_ms)
{
  pthread_mutex_lock (&self->mutex);
  GgControlPlatformState *state = &self->platform[which];
  uint64_t lasted_ms = now_ms - state->changed_at_ms;
  if (!state->known || state->up != up)
    {
      if (up && state->recorded)
        record_platform (self, which, TRUE, lasted_ms);
      *state = (GgControlPlatformState){ .known = TRUE, .up = up, .changed_at_ms = now_ms };
    }
  else if (!up && !state->recorded && lasted_ms >= MIN_OUTAGE_MS)
    {
      state->recorded = TRUE;
      gg_counter_add (&outages, 1);
      record_platform (self, which, FALSE, lasted_ms);
    }
  pthread_mutex_unlock (&self->mutex);
}

gboolean
gg_control_state_is_platform_down (GgControlState *self, GgControlPlatform which)
{
  pthread_mutex_lock (&self->mutex);
  gboolean down = self->platform[which].known && !self->platform[which].up;
  pthread_mutex_unlock (&self->mutex);
  return down;
}
