#include "core/fleet.h"

#include <string.h>

/* First and longest suspension after a failure. */
#define SUSPEND_BASE_MS 250
#define SUSPEND_MAX_MS 4000
/* Least time between two failures for silence. */
#define SILENCE_INTERVAL_MS 1000
/* Observations that are further apart belong to two silences. */
#define SILENCE_GAP_MS 2000
/* First and longest pause after a refusal. */
#define PAUSE_BASE_MS 30
#define PAUSE_MAX_MS 1000
/* How long misses are reported to peers after the latest one; the entry of a lost runner expires
 * only after some seconds. */
#define MISS_REPORT_MS 1000
/* A single miss at another instance may be chance. */
#define MIN_PEER_MISSES 2
/* An assignment expires after this long. If its runner has not executed the order by then, the
 * placer requests the runner's state again. */
#define ASSIGNMENT_MS 10000
/* Bound on the remembered processes that were removed in a period of Retry-After. */
#define MAX_REMOVED 256

/* A process whose entry may come back before the end of its period. */
typedef struct
{
  char *id;
  uint64_t started_ms;
  GgRetryAfter retry_after;
} RemovedRunner;

struct _GgFleet
{
  GPtrArray *runners; /* GgFleetRunner in order of id */
  GQueue removed;     /* RemovedRunner, the oldest first */
  uint64_t revision;
};

void
gg_runner_load_add (GgRunnerLoad *self, const GgRunnerLoad *more)
{
  self->n_requests += more->n_requests;
  self->n_first_hop += more->n_first_hop;
  self->token_layers += more->token_layers;
  self->n_misses += more->n_misses;
}

void
gg_runner_load_subtract (GgRunnerLoad *self, const GgRunnerLoad *less)
{
  self->n_requests -= less->n_requests;
  self->n_first_hop -= less->n_first_hop;
  self->token_layers -= less->token_layers;
  self->n_misses -= less->n_misses;
}

void
gg_runner_record_copy (GgRunnerRecord *dest, const GgRunnerRecord *source)
{
  *dest = *source;
  dest->id = g_strdup (source->id);
  dest->address = g_strdup (source->address);
  dest->service = g_strdup (source->service);
  dest->data_centre = g_strdup (source->data_centre);
  dest->accelerator = g_strdup (source->accelerator);
}

void
gg_runner_record_clear (GgRunnerRecord *self)
{
  g_free (self->id);
  g_free (self->address);
  g_free (self->service);
  g_free (self->data_centre);
  g_free (self->accelerator);
  *self = (GgRunnerRecord){ 0 };
}

gboolean
gg_runner_record_is_text_valid (const char *text)
{
  size_t n = 0;
  while (n <= GG_RUNNER_RECORD_MAX_TEXT_BYTES && text[n] != '\0' && !g_ascii_iscntrl (text[n]))
    n++;
  return n > 0 && n <= GG_RUNNER_RECORD_MAX_TEXT_BYTES && text[n] == '\0';
}

GgFleetRunner *
gg_fleet_runner_ref (GgFleetRunner *self)
{
  self->refs++;
  return self;
}

void
gg_fleet_runner_unref (GgFleetRunner *self)
{
  if (self == NULL || --self->refs > 0)
    return;
  gg_runner_record_clear (&self->record);
  g_free (self->limit);
  g_free (self);
}

gboolean
gg_fleet_runner_is_usable (const GgFleetRunner *self, uint64_t now_ms)
{
  return self->is_listed && !self->record.is_leaving && now_ms >= self->suspended_until_ms
         && now_ms >= self->silent_until_ms && now_ms >= self->paused_until_ms
         && now_ms >= self->avoided_until_ms
         && gg_retry_after_may_send (&self->retry_after, now_ms);
}

gboolean
gg_fleet_runner_has_permit (const GgFleetRunner *self, uint64_t boot_ms)
{
  return self->limit == NULL || gg_rate_limit_may_send (self->limit, boot_ms);
}

void
gg_fleet_runner_take_permit (GgFleetRunner *self, uint64_t boot_ms)
{
  if (self->limit != NULL)
    gg_rate_limit_take (self->limit, boot_ms);
}

void
gg_fleet_runner_assign_range (GgFleetRunner *self, const GgLayerRange *range, uint64_t now_ms)
{
  self->assigned_range = *range;
  self->assigned_until_ms = now_ms + ASSIGNMENT_MS;
}

GgLayerRange
gg_fleet_runner_get_range (const GgFleetRunner *self, uint64_t now_ms)
{
  GgLayerRange range = self->record.range;
  if (self->assigned_range.end_layer == 0 || now_ms >= self->assigned_until_ms)
    return range;
  range.first_layer = MAX (range.first_layer, self->assigned_range.first_layer);
  range.end_layer = MIN (range.end_layer, self->assigned_range.end_layer);
  return range.end_layer > range.first_layer ? range : (GgLayerRange){ 0, 0 };
}

static void
count_miss (GgFleetRunner *self, uint64_t now_ms)
{
  self->misses++;
  self->last_miss_ms = now_ms;
}

uint32_t
gg_fleet_runner_get_misses (const GgFleetRunner *self, uint64_t now_ms)
{
  return now_ms - self->last_miss_ms < MISS_REPORT_MS ? self->misses : 0;
}

void
gg_fleet_runner_note_peer_misses (GgFleetRunner *self, uint32_t n_misses, uint64_t now_ms)
{
  if (n_misses > self->peer_misses && n_misses >= MIN_PEER_MISSES)
    self->avoided_until_ms
        = now_ms + MIN ((uint64_t) PAUSE_BASE_MS << MIN (n_misses, 8U), PAUSE_MAX_MS);
  self->peer_misses = n_misses;
}

void
gg_fleet_runner_note_failure (GgFleetRunner *self, uint64_t now_ms)
{
  /* Failures of requests that were in flight at the first failure count once. */
  if (now_ms < self->suspended_until_ms)
    return;
  uint32_t shift = MIN (self->failures + self->peer_misses, 8U);
  count_miss (self, now_ms);
  self->failures++;
  self->suspended_until_ms = now_ms + MIN ((uint64_t) SUSPEND_BASE_MS << shift, SUSPEND_MAX_MS);
}

void
gg_fleet_runner_note_heard (GgFleetRunner *self)
{
  self->failures -= MIN (self->failures, self->silent_failures);
  if (self->failures < GG_FLEET_LOST_FAILURES)
    gg_runner_loss_note_recovered (&self->loss);
  self->silent_failures = 0;
  self->silent_until_ms = 0;
}

gboolean
gg_fleet_runner_note_silent (GgFleetRunner *self, uint64_t until_ms, uint64_t now_ms)
{
  if (now_ms - self->silent_ms > SILENCE_GAP_MS)
    gg_fleet_runner_note_heard (self);
  gboolean is_counted
      = self->silent_failures == 0 || now_ms - self->silent_counted_ms >= SILENCE_INTERVAL_MS;
  self->silent_ms = now_ms;
  self->silent_until_ms = until_ms;
  uint32_t before = self->failures;
  if (is_counted)
    gg_fleet_runner_note_failure (self, now_ms);
  if (self->failures == before)
    return FALSE;
  self->silent_counted_ms = now_ms;
  self->silent_failures++;
  return TRUE;
}

void
gg_fleet_runner_note_success (GgFleetRunner *self, uint64_t sent_ms)
{
  gg_retry_after_note_success (&self->retry_after, sent_ms);
  self->failures = 0;
  gg_runner_loss_note_recovered (&self->loss);
  self->silent_failures = 0;
  self->suspended_until_ms = 0;
  self->silent_until_ms = 0;
  if (sent_ms <= self->last_refusal_ms)
    return;
  self->refusals = 0;
  self->paused_until_ms = 0;
  self->misses = 0;
}

void
gg_fleet_runner_note_refusal (GgFleetRunner *self, gboolean is_full, uint64_t now_ms)
{
  self->last_refusal_ms = now_ms;
  /* Refusals of requests that were in flight at the first refusal count once. */
  if (now_ms < self->paused_until_ms)
    return;
  uint32_t shift = MIN (self->refusals + self->peer_misses, 8U);
  if (!is_full)
    count_miss (self, now_ms);
  self->refusals++;
  self->paused_until_ms = now_ms + MIN ((uint64_t) PAUSE_BASE_MS << shift, PAUSE_MAX_MS);
}

static void
unref_runner (void *data)
{
  gg_fleet_runner_unref (data);
}

GgFleet *
gg_fleet_create (void)
{
  GgFleet *self = g_new0 (GgFleet, 1);
  self->runners = g_ptr_array_new_with_free_func (unref_runner);
  g_queue_init (&self->removed);
  return self;
}

static void
free_removed (void *data)
{
  RemovedRunner *removed = data;
  g_free (removed->id);
  g_free (removed);
}

void
gg_fleet_destroy (GgFleet *self)
{
  g_ptr_array_unref (self->runners);
  g_queue_clear_full (&self->removed, free_removed);
  g_free (self);
}

/* Returns the index of the first runner whose id is not below @p id. */
static guint
find_index (const GgFleet *self, const char *id)
{
  guint low = 0;
  guint high = self->runners->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      const GgFleetRunner *runner = g_ptr_array_index (self->runners, middle);
      if (strcmp (runner->record.id, id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

void
gg_fleet_clear_failures (GgFleet *self, const char *service)
{
  for (guint i = 0; i < self->runners->len; i++)
    {
      GgFleetRunner *runner = g_ptr_array_index (self->runners, i);
      if (service != NULL && strcmp (runner->record.service, service) != 0)
        continue;
      runner->failures = 0;
      gg_runner_loss_note_recovered (&runner->loss);
      runner->silent_failures = 0;
      runner->suspended_until_ms = 0;
      runner->silent_until_ms = 0;
      runner->misses = 0;
    }
}

GgFleetRunner *
gg_fleet_find (const GgFleet *self, const char *id)
{
  guint i = find_index (self, id);
  if (i == self->runners->len)
    return NULL;
  GgFleetRunner *runner = g_ptr_array_index (self->runners, i);
  return strcmp (runner->record.id, id) == 0 ? runner : NULL;
}

GgFleetRunner *
gg_fleet_find_address (const GgFleet *self, const char *address)
{
  for (guint i = 0; i < self->runners->len; i++)
    {
      GgFleetRunner *runner = g_ptr_array_index (self->runners, i);
      if (strcmp (runner->record.address, address) == 0)
        return runner;
    }
  return NULL;
}

gboolean
gg_fleet_is_replaced (const GgFleet *self, const GgRunnerRecord *record)
{
  const GgFleetRunner *same_id = gg_fleet_find (self, record->id);
  if (same_id != NULL && same_id->record.started_ms > record->started_ms)
    return TRUE;
  for (guint i = 0; i < self->runners->len; i++)
    {
      const GgFleetRunner *runner = g_ptr_array_index (self->runners, i);
      if (strcmp (runner->record.address, record->address) == 0
          && runner->record.started_ms > record->started_ms)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_same_record (const GgRunnerRecord *a, const GgRunnerRecord *b)
{
  return g_strcmp0 (a->address, b->address) == 0 && g_strcmp0 (a->service, b->service) == 0
         && g_strcmp0 (a->data_centre, b->data_centre) == 0
         && g_strcmp0 (a->accelerator, b->accelerator) == 0 && a->started_ms == b->started_ms
         && a->slots == b->slots && a->is_leaving == b->is_leaving
         && a->range.first_layer == b->range.first_layer
         && a->range.end_layer == b->range.end_layer;
}

static GgFleetRunner *
create_runner (const GgRunnerRecord *record)
{
  GgFleetRunner *runner = g_new0 (GgFleetRunner, 1);
  runner->refs = 1;
  runner->record = *record;
  runner->is_listed = TRUE;
  return runner;
}

static void
remember_retry_after (GgFleet *self, const GgFleetRunner *runner)
{
  if (!runner->retry_after.is_returning)
    return;
  if (self->removed.length >= MAX_REMOVED)
    free_removed (g_queue_pop_head (&self->removed));
  RemovedRunner *removed = g_new0 (RemovedRunner, 1);
  removed->id = g_strdup (runner->record.id);
  removed->started_ms = runner->record.started_ms;
  removed->retry_after = runner->retry_after;
  g_queue_push_tail (&self->removed, removed);
}

/* Returns the period that the same process named before its entry was removed. */
static GgRetryAfter
take_retry_after (GgFleet *self, const GgRunnerRecord *record)
{
  GgRetryAfter retry_after = { 0 };
  for (GList *l = self->removed.head; l != NULL; l = l->next)
    {
      RemovedRunner *removed = l->data;
      if (removed->started_ms != record->started_ms || strcmp (removed->id, record->id) != 0)
        continue;
      retry_after = removed->retry_after;
      g_queue_delete_link (&self->removed, l);
      free_removed (removed);
      break;
    }
  return retry_after;
}

gboolean
gg_fleet_put (GgFleet *self, GgRunnerRecord *record)
{
  guint i = find_index (self, record->id);
  GgFleetRunner *known = i < self->runners->len ? g_ptr_array_index (self->runners, i) : NULL;
  if (known != NULL && strcmp (known->record.id, record->id) != 0)
    known = NULL;
  if (known != NULL && known->record.started_ms == record->started_ms)
    {
      /* A runner that leaves ends; only a store that was restored still shows it as ready. */
      record->is_leaving |= known->record.is_leaving;
      gboolean is_same = is_same_record (&known->record, record);
      gg_runner_record_clear (&known->record);
      known->record = *record;
      *record = (GgRunnerRecord){ 0 };
      self->revision += is_same ? 0 : 1;
      return !is_same;
    }
  /* A restarted runner no longer has its earlier requests, so it gets a new object, without load or
   * failures. */
  if (known != NULL)
    {
      known->is_listed = FALSE;
      g_ptr_array_remove_index (self->runners, i);
    }
  GgFleetRunner *added = create_runner (record);
  added->retry_after = take_retry_after (self, record);
  g_ptr_array_insert (self->runners, (gint) i, added);
  *record = (GgRunnerRecord){ 0 };
  self->revision++;
  return TRUE;
}

void
gg_fleet_set_leaving (GgFleet *self, const char *id, uint64_t started_ms)
{
  GgFleetRunner *runner = gg_fleet_find (self, id);
  if (runner == NULL || runner->record.started_ms != started_ms || runner->record.is_leaving)
    return;
  runner->record.is_leaving = TRUE;
  self->revision++;
}

gboolean
gg_fleet_remove (GgFleet *self, const char *id)
{
  GgFleetRunner *runner = gg_fleet_find (self, id);
  if (runner == NULL)
    return FALSE;
  runner->is_listed = FALSE;
  remember_retry_after (self, runner);
  g_ptr_array_remove (self->runners, runner);
  self->revision++;
  return TRUE;
}

guint
gg_fleet_get_size (const GgFleet *self)
{
  return self->runners->len;
}

GgFleetRunner *
gg_fleet_get (const GgFleet *self, guint i)
{
  return g_ptr_array_index (self->runners, i);
}

/* Whether requests may be sent to the runner directly. */
static gboolean
is_first_hop (const GgRunnerRecord *record)
{
  return record->accelerator == NULL
         || (record->range.first_layer == 0 && record->range.end_layer > 0);
}

uint64_t
gg_fleet_get_retry_after_ms (const GgFleet *self, const char *service, uint64_t now_ms)
{
  uint64_t least_ms = 0;
  for (guint i = 0; i < self->runners->len; i++)
    {
      const GgFleetRunner *runner = g_ptr_array_index (self->runners, i);
      if (strcmp (runner->record.service, service) != 0 || runner->record.is_leaving
          || !is_first_hop (&runner->record))
        continue;
      if (!gg_retry_after_is_active (&runner->retry_after, now_ms))
        return 0;
      uint64_t wait_ms = runner->retry_after.until_ms - now_ms;
      least_ms = least_ms == 0 ? wait_ms : MIN (least_ms, wait_ms);
    }
  return least_ms;
}

uint64_t
gg_fleet_get_revision (const GgFleet *self)
{
  return self->revision;
}
