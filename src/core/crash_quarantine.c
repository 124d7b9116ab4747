#include "core/crash_quarantine.h"

#include <string.h>

/* One or two crashes per suspect also occur by coincidence, when a runner that fails for another
 * reason has just begun to run a request. More are needed against a part that was served, which
 * many requests may share, and against a request that was served since it was first suspected. */
#define MIN_CRASHES_IF_UNSERVED 3
#define MIN_CRASHES_IF_SERVED 5
/* A suspect without a further crash for this long is dropped. One that is nearly as old is not
 * accepted from other instances, which would otherwise pass it on to each other forever. */
#define SUSPECT_MS 60000
#define MAX_MERGED_AGE_MS 50000
/* A suspect of another instance must be newer by this much to replace one that is worth as much:
 * reports make crashes younger by their delay, so that two instances whose tables are full would
 * replace each other's suspects for ever. */
#define MERGE_MARGIN_MS 1000
/* A part that was in quarantine is kept for this long after its last crash and its release, so that
 * the release reaches an instance with an older state. */
#define RELEASED_MS 600000
/* A trial is allowed this long after the last crash, the first time and after a failed trial; and
 * again after the interval if the trial before has had no outcome, which doubles each time. */
#define FIRST_TRIAL_AFTER_MS 2000
#define TRIAL_AFTER_MS 600000
#define TRIAL_INTERVAL_MS 5000
#define MAX_TRIAL_SHIFT 6
/* If the leader has not received a certain request by then, any instance allows the trial. */
#define OTHERS_TRIAL_AFTER_MS 3000
/* A quarantine ends without a trial after a day without a crash. */
#define QUARANTINE_MS (24 * 3600 * 1000)
/* Parts that were served are kept in two generations of this size. */
#define MAX_SERVED_PARTS 1024

G_STATIC_ASSERT (sizeof (void *) >= sizeof (uint64_t));

struct _GgCrashQuarantine
{
  GgSuspectKind kind;
  GArray *parts; /* GgSuspect */
  /* Sets of the ids of parts that this instance has served lately. */
  GHashTable *served;
  GHashTable *served_before;
  GArray *events; /* GgQuarantineEvent */
};

GgCrashQuarantine *
gg_crash_quarantine_create (GgSuspectKind kind)
{
  GgCrashQuarantine *self = g_new0 (GgCrashQuarantine, 1);
  self->kind = kind;
  self->parts = g_array_new (FALSE, TRUE, sizeof (GgSuspect));
  self->events = g_array_new (FALSE, TRUE, sizeof (GgQuarantineEvent));
  self->served = g_hash_table_new (NULL, NULL);
  self->served_before = g_hash_table_new (NULL, NULL);
  return self;
}

void
gg_crash_quarantine_destroy (GgCrashQuarantine *self)
{
  g_array_unref (self->parts);
  g_array_unref (self->events);
  g_hash_table_unref (self->served);
  g_hash_table_unref (self->served_before);
  g_free (self);
}

static void *
get_key (uint64_t id)
{
  return (void *) (uintptr_t) id;
}

static gboolean
was_served_here (const GgCrashQuarantine *self, uint64_t id)
{
  return g_hash_table_contains (self->served, get_key (id))
         || g_hash_table_contains (self->served_before, get_key (id));
}

static void
remember_served (GgCrashQuarantine *self, uint64_t id)
{
  if (g_hash_table_contains (self->served, get_key (id)))
    return;
  if (g_hash_table_size (self->served) >= MAX_SERVED_PARTS)
    {
      g_hash_table_unref (self->served_before);
      self->served_before = self->served;
      self->served = g_hash_table_new (NULL, NULL);
    }
  g_hash_table_add (self->served, get_key (id));
}

static GgSuspect *
find_part (const GgCrashQuarantine *self, uint64_t id)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      GgSuspect *part = &g_array_index (self->parts, GgSuspect, i);
      if (part->id == id)
        return part;
    }
  return NULL;
}

static uint32_t
count_crashes (const GgSuspect *part)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < part->n_crashes; i++)
    n += !part->crashes[i].is_cleared;
  return n;
}

gboolean
gg_suspect_is_quarantined (const GgSuspect *self)
{
  return self->n_quarantines > self->n_releases;
}

static void
add_event (GgCrashQuarantine *self, GgQuarantineEventKind kind, const GgSuspect *part)
{
  GgQuarantineEvent event = { .kind = kind, .id = part->id, .n_crashes = count_crashes (part) };
  g_array_append_val (self->events, event);
}

/* Whether a suspect is worth less than another: one with few crashes, and the oldest of these. One
 * in quarantine is worth more than any that is not. */
static gboolean
is_worth_less (const GgSuspect *a, const GgSuspect *b)
{
  if (gg_suspect_is_quarantined (a) != gg_suspect_is_quarantined (b))
    return gg_suspect_is_quarantined (b);
  if (!gg_suspect_is_quarantined (a) && count_crashes (a) != count_crashes (b))
    return count_crashes (a) < count_crashes (b);
  return a->crashed_ms < b->crashed_ms;
}

static int
find_least (const GgCrashQuarantine *self)
{
  int least = 0;
  for (guint i = 1; i < self->parts->len; i++)
    if (is_worth_less (&g_array_index (self->parts, GgSuspect, i),
                       &g_array_index (self->parts, GgSuspect, least)))
      least = (int) i;
  return least;
}

/* Makes room for another suspect.
 * @param is_crash whether it has just crashed a runner.
 * @return FALSE if all others are worth as much. */
static gboolean
make_room (GgCrashQuarantine *self, const GgSuspect *suspect, gboolean is_crash)
{
  if (self->parts->len < GG_QUARANTINE_MAX_SUSPECTS)
    return TRUE;
  int at = find_least (self);
  const GgSuspect *least = &g_array_index (self->parts, GgSuspect, at);
  /* A caller with ever new requests that crash runners must not fill the table for good; parts of
   * prompts that do so are few. */
  gboolean is_replaced
      = gg_suspect_is_quarantined (least)
            ? self->kind == GG_SUSPECT_REQUEST && least->crashed_ms < suspect->crashed_ms
            : is_crash || is_worth_less (least, suspect);
  if (!is_replaced)
    return FALSE;
  g_array_remove_index (self->parts, (guint) at);
  return TRUE;
}

/* Returns the part with the same id, added if it is new; NULL if there is no room.
 * @param suspect tells what it is worth.
 * @param is_crash whether it has just crashed a runner. */
static GgSuspect *
get_part (GgCrashQuarantine *self, const GgSuspect *suspect, gboolean is_crash)
{
  GgSuspect *known = find_part (self, suspect->id);
  if (known != NULL)
    return known;
  if (!make_room (self, suspect, is_crash))
    return NULL;
  GgSuspect part = { .id = suspect->id, .was_served = was_served_here (self, suspect->id) };
  g_array_append_val (self->parts, part);
  return find_part (self, suspect->id);
}

/* Returns the crash of a runner, added if it is new and there is room; NULL if there is none.
 * @param is_cleared whether it is known to be cleared; only one that is not replaces another. */
static GgSuspectCrash *
get_crash (GgSuspect *part, uint32_t runner_hash, gboolean is_cleared, gboolean *is_new_out)
{
  *is_new_out = FALSE;
  for (uint32_t i = 0; i < part->n_crashes; i++)
    if (part->crashes[i].runner_hash == runner_hash)
      return &part->crashes[i];
  uint32_t at = part->n_crashes;
  for (uint32_t i = 0; i < part->n_crashes && at == GG_QUARANTINE_MAX_CRASHES; i++)
    if (part->crashes[i].is_cleared && !is_cleared)
      at = i;
  if (at == GG_QUARANTINE_MAX_CRASHES)
    return NULL;
  part->n_crashes = MAX (part->n_crashes, at + 1);
  part->crashes[at] = (GgSuspectCrash){ .runner_hash = runner_hash };
  *is_new_out = TRUE;
  return &part->crashes[at];
}

static uint32_t
get_needed_crashes (gboolean was_served)
{
  return was_served ? MIN_CRASHES_IF_SERVED : MIN_CRASHES_IF_UNSERVED;
}

/* Quarantines a part if there is enough evidence. */
static void
update_quarantine (GgCrashQuarantine *self, GgSuspect *part)
{
  if (gg_suspect_is_quarantined (part)
      || count_crashes (part) < get_needed_crashes (part->was_served))
    return;
  part->n_quarantines = part->n_releases + 1;
  add_event (self, GG_QUARANTINE_QUARANTINED, part);
}

static void
clear_part (GgCrashQuarantine *self, GgSuspect *part)
{
  for (uint32_t i = 0; i < part->n_crashes; i++)
    part->crashes[i].is_cleared = TRUE;
  if (!gg_suspect_is_quarantined (part))
    return;
  part->n_releases = part->n_quarantines;
  add_event (self, GG_QUARANTINE_RELEASED, part);
}

gboolean
gg_crash_quarantine_note_served (GgCrashQuarantine *self, const GgPromptParts *parts)
{
  gboolean is_changed = FALSE;
  for (uint32_t i = 0; i < parts->n; i++)
    {
      /* A request may begin to crash runners after it was served, when the engine changes. */
      if (self->kind == GG_SUSPECT_PART)
        remember_served (self, parts->ids[i]);
      GgSuspect *part = find_part (self, parts->ids[i]);
      if (part == NULL)
        continue;
      is_changed
          |= !part->was_served || count_crashes (part) > 0 || gg_suspect_is_quarantined (part);
      part->was_served = TRUE;
      clear_part (self, part);
    }
  return is_changed;
}

/* State of a part of a request whose runner crashed; only those in the last state that occurs are
 * suspects. */
typedef enum
{
  PART_SERVED,      /* at some time */
  PART_UNSERVED,    /* never, as far as is known */
  PART_QUARANTINED, /* it explains the crash */
} PartClass;

static PartClass
classify (const GgCrashQuarantine *self, uint64_t id)
{
  const GgSuspect *part = find_part (self, id);
  if (part != NULL && gg_suspect_is_quarantined (part))
    return PART_QUARANTINED;
  return was_served_here (self, id) || (part != NULL && part->was_served) ? PART_SERVED
                                                                          : PART_UNSERVED;
}

static gboolean
has_part (const GgPromptParts *parts, uint64_t id)
{
  for (uint32_t i = 0; i < parts->n; i++)
    if (parts->ids[i] == id)
      return TRUE;
  return FALSE;
}

/* Whether each crash under @p part also was one under @p other. */
static gboolean
is_explained_by (const GgSuspect *part, const GgSuspect *other)
{
  for (uint32_t i = 0; i < part->n_crashes; i++)
    {
      gboolean is_shared = FALSE;
      for (uint32_t k = 0; k < other->n_crashes; k++)
        is_shared |= other->crashes[k].runner_hash == part->crashes[i].runner_hash;
      if (!is_shared)
        return FALSE;
    }
  return part->n_crashes > 0;
}

/* Whether the crashes may be due to another part in quarantine, which the request does not have. */
static gboolean
is_ambiguous (const GgCrashQuarantine *self, const GgSuspect *part, const GgPromptParts *parts)
{
  if (part->is_confirmed)
    return FALSE;
  for (guint i = 0; i < self->parts->len; i++)
    {
      const GgSuspect *other = &g_array_index (self->parts, GgSuspect, i);
      if (gg_suspect_is_quarantined (other) && !has_part (parts, other->id)
          && is_explained_by (part, other))
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_trial_open (const GgSuspect *suspect)
{
  return suspect->tried_ms != 0 && suspect->crashed_ms < suspect->tried_ms;
}

/* Handles a crash of a runner that is already known to have crashed. The runner may have restarted
 * and its entry not show that yet, so that the crash is the outcome of a trial all the same. */
static void
note_known_crash (GgSuspect *suspect, uint64_t now_ms)
{
  if (is_trial_open (suspect))
    suspect->crashed_ms = now_ms;
}

gboolean
gg_crash_quarantine_note_crash (GgCrashQuarantine *self,
                                const GgPromptParts *parts,
                                uint32_t runner_hash,
                                uint64_t now_ms)
{
  PartClass suspected = PART_SERVED;
  gboolean is_changed = FALSE;
  for (uint32_t i = 0; i < parts->n; i++)
    suspected = MAX (suspected, classify (self, parts->ids[i]));
  for (uint32_t i = 0; i < parts->n; i++)
    {
      if (classify (self, parts->ids[i]) != suspected)
        continue;
      gboolean is_new = FALSE;
      GgSuspect added = { .id = parts->ids[i], .crashed_ms = now_ms };
      GgSuspect *part = get_part (self, &added, TRUE);
      gboolean was_ambiguous
          = part != NULL && suspected == PART_QUARANTINED && is_ambiguous (self, part, parts);
      if (part == NULL)
        continue;
      if (get_crash (part, runner_hash, FALSE, &is_new) != NULL && !is_new)
        {
          note_known_crash (part, now_ms);
          continue;
        }
      part->is_confirmed |= was_ambiguous;
      part->is_trial_withdrawn = FALSE;
      part->crashed_ms = now_ms;
      is_changed = TRUE;
      add_event (self, GG_QUARANTINE_SUSPECTED, part);
    }
  /* Only after all parts have the crash, so that ambiguous ones have the same crashes. */
  for (uint32_t i = 0; i < parts->n; i++)
    {
      GgSuspect *part = find_part (self, parts->ids[i]);
      if (part != NULL)
        update_quarantine (self, part);
    }
  return is_changed;
}

/* Whether a runner crashed under a suspect that was not served since. */
static gboolean
has_open_crash (const GgSuspect *suspect, uint32_t runner_hash)
{
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i].runner_hash == runner_hash && !suspect->crashes[i].is_cleared)
      return TRUE;
  return FALSE;
}

/* Whether another request in quarantine ran at all runners that crashed under this one.
 * @param n_more how many more crashes it has at least. */
static gboolean
is_covered (const GgCrashQuarantine *self, const GgSuspect *suspect, uint32_t n_more)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      const GgSuspect *other = &g_array_index (self->parts, GgSuspect, i);
      gboolean covers = other != suspect && gg_suspect_is_quarantined (other)
                        && count_crashes (other) >= count_crashes (suspect) + n_more;
      for (uint32_t k = 0; k < suspect->n_crashes && covers; k++)
        covers = suspect->crashes[k].is_cleared
                 || has_open_crash (other, suspect->crashes[k].runner_hash);
      if (covers)
        return TRUE;
    }
  return FALSE;
}

/* Whether a part of a request keeps it from the runners. */
static gboolean
is_barred (const GgCrashQuarantine *self, const GgSuspect *suspect, const GgPromptParts *parts)
{
  if (suspect == NULL || !gg_suspect_is_quarantined (suspect))
    return FALSE;
  return self->kind == GG_SUSPECT_REQUEST ? !is_covered (self, suspect, 1)
                                          : !is_ambiguous (self, suspect, parts);
}

/* Requests that ran at the same runners are tried one after the other, so that the outcome of one
 * is none of the other's. */
static gboolean
is_other_on_trial (const GgCrashQuarantine *self, const GgSuspect *suspect, uint64_t now_ms)
{
  for (guint i = 0; i < self->parts->len; i++)
    {
      const GgSuspect *other = &g_array_index (self->parts, GgSuspect, i);
      if (other != suspect && gg_suspect_is_quarantined (other) && is_trial_open (other)
          && now_ms < other->tried_ms + TRIAL_INTERVAL_MS)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_trial_due (const GgCrashQuarantine *self,
              const GgSuspect *suspect,
              gboolean is_leader,
              uint64_t now_ms)
{
  gboolean is_request = self->kind == GG_SUSPECT_REQUEST;
  if ((!is_leader && !is_request) || (is_request && is_other_on_trial (self, suspect, now_ms)))
    return FALSE;
  /* The outcome of a trial by another instance is not known for certain: it counts as failed. */
  if (is_trial_open (suspect))
    return now_ms >= suspect->tried_ms
                         + (TRIAL_INTERVAL_MS
                            << MIN (suspect->n_trials - suspect->n_quarantines, MAX_TRIAL_SHIFT));
  /* A failed trial proves nothing while another request may have been the reason. */
  gboolean is_untried = suspect->n_trials < suspect->n_quarantines || suspect->is_trial_withdrawn
                        || (is_request && is_covered (self, suspect, 0));
  uint64_t due_ms = suspect->crashed_ms + (is_untried ? FIRST_TRIAL_AFTER_MS : TRIAL_AFTER_MS);
  return now_ms >= due_ms + (is_leader ? 0 : OTHERS_TRIAL_AFTER_MS);
}

GgQuarantineVerdict
gg_crash_quarantine_judge (const GgCrashQuarantine *self,
                           const GgPromptParts *parts,
                           gboolean is_leader,
                           uint64_t now_ms)
{
  GgQuarantineVerdict verdict = GG_QUARANTINE_ALLOWED;
  for (uint32_t i = 0; i < parts->n; i++)
    {
      const GgSuspect *suspect = find_part (self, parts->ids[i]);
      if (!is_barred (self, suspect, parts))
        continue;
      if (!is_trial_due (self, suspect, is_leader, now_ms))
        return GG_QUARANTINE_REFUSED;
      verdict = GG_QUARANTINE_TRIAL_DUE;
    }
  return verdict;
}

void
gg_crash_quarantine_begin_trial (GgCrashQuarantine *self,
                                 const GgPromptParts *parts,
                                 uint64_t now_ms)
{
  for (uint32_t i = 0; i < parts->n; i++)
    {
      GgSuspect *suspect = find_part (self, parts->ids[i]);
      if (!is_barred (self, suspect, parts))
        continue;
      suspect->tried_ms = now_ms;
      suspect->is_trial_withdrawn = FALSE;
      suspect->n_trials = MAX (suspect->n_trials + 1, suspect->n_quarantines);
      add_event (self, GG_QUARANTINE_TRIED, suspect);
    }
}

void
gg_crash_quarantine_withdraw_trial (GgCrashQuarantine *self, const GgPromptParts *parts)
{
  for (uint32_t i = 0; i < parts->n; i++)
    {
      GgSuspect *suspect = find_part (self, parts->ids[i]);
      if (!is_barred (self, suspect, parts) || !is_trial_open (suspect))
        continue;
      suspect->tried_ms = 0;
      suspect->is_trial_withdrawn = TRUE;
      /* Others may have learned of it and report it back, hence the mark. */
      suspect->n_trials--;
    }
}

static gboolean
merge_crashes (GgSuspect *part, const GgSuspect *other)
{
  gboolean is_changed = FALSE;
  for (uint32_t i = 0; i < other->n_crashes; i++)
    {
      gboolean is_new = FALSE;
      GgSuspectCrash *crash
          = get_crash (part, other->crashes[i].runner_hash, other->crashes[i].is_cleared, &is_new);
      if (crash == NULL)
        continue;
      is_changed |= is_new || (other->crashes[i].is_cleared && !crash->is_cleared);
      crash->is_cleared |= other->crashes[i].is_cleared;
      /* Known crashes keep their time, which would grow by the delay with each report. */
      if (!is_new)
        continue;
      part->crashed_ms = MAX (part->crashed_ms, other->crashed_ms);
      part->is_trial_withdrawn = FALSE;
    }
  return is_changed;
}

gboolean
gg_crash_quarantine_merge (GgCrashQuarantine *self, const GgSuspect *other, uint64_t now_ms)
{
  GgSuspect *part = find_part (self, other->id);
  if (part == NULL && other->n_quarantines == 0 && now_ms > other->crashed_ms + MAX_MERGED_AGE_MS)
    return FALSE;
  gboolean is_changed = part == NULL;
  GgSuspect merged = *other;
  merged.crashed_ms -= MIN (merged.crashed_ms, MERGE_MARGIN_MS);
  part = get_part (self, &merged, FALSE);
  if (part == NULL)
    return FALSE;
  gboolean was_quarantined = gg_suspect_is_quarantined (part);
  /* This instance may be the only one that has served it. */
  gboolean was_served = part->was_served || other->was_served || was_served_here (self, other->id);
  is_changed |= was_served != other->was_served || was_served != part->was_served;
  is_changed |= other->is_confirmed && !part->is_confirmed;
  part->is_confirmed |= other->is_confirmed;
  is_changed |= other->n_quarantines > part->n_quarantines || other->n_releases > part->n_releases;
  part->was_served = was_served;
  if (part->crashed_ms == 0)
    part->crashed_ms = other->crashed_ms;
  is_changed |= merge_crashes (part, other);
  part->n_quarantines = MAX (part->n_quarantines, other->n_quarantines);
  part->n_releases = MAX (part->n_releases, other->n_releases);
  part->n_trials = MAX (part->n_trials, other->n_trials);
  /* Quarantined by an instance that did not know that it was served. */
  if (gg_suspect_is_quarantined (part) && was_served
      && count_crashes (part) < get_needed_crashes (TRUE))
    {
      part->n_releases = part->n_quarantines;
      is_changed = TRUE;
    }
  if (gg_suspect_is_quarantined (part) != was_quarantined)
    add_event (self, was_quarantined ? GG_QUARANTINE_RELEASED : GG_QUARANTINE_QUARANTINED, part);
  update_quarantine (self, part);
  return is_changed;
}

void
gg_crash_quarantine_release_all (GgCrashQuarantine *self)
{
  for (guint i = 0; i < self->parts->len; i++)
    clear_part (self, &g_array_index (self->parts, GgSuspect, i));
}

static uint64_t
get_lifetime_ms (const GgSuspect *part)
{
  if (gg_suspect_is_quarantined (part))
    return QUARANTINE_MS;
  return part->n_quarantines > 0 ? RELEASED_MS : SUSPECT_MS;
}

void
gg_crash_quarantine_expire (GgCrashQuarantine *self, uint64_t now_ms)
{
  for (guint i = self->parts->len; i-- > 0;)
    {
      const GgSuspect *part = &g_array_index (self->parts, GgSuspect, i);
      if (now_ms > part->crashed_ms + get_lifetime_ms (part))
        g_array_remove_index (self->parts, i);
    }
}

const GArray *
gg_crash_quarantine_get_suspects (const GgCrashQuarantine *self)
{
  return self->parts;
}

gboolean
gg_crash_quarantine_take_event (GgCrashQuarantine *self, GgQuarantineEvent *event_out)
{
  if (self->events->len == 0)
    return FALSE;
  *event_out = g_array_index (self->events, GgQuarantineEvent, 0);
  g_array_remove_index (self->events, 0);
  return TRUE;
}
