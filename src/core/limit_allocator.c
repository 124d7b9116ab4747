#include "core/limit_allocator.h"

/* A runner with a limit of 0 is still sent a request now and then, since only an answer can show
 * that the limit has ended. */
#define MIN_MILLI 200
/* Permits accumulate for a quarter of a second, so that what comes between two messages is not
 * lost. */
#define DEPTH_S 0.25
/* An instance that has sent no request for this long has no claim on a part. */
#define CLAIM_MS 400
/* The end of a limit is reported for this long, and a limit without requests is kept. */
#define ENDED_MS 5000
#define UNUSED_MS 60000
#define MS_PER_S 1000.0
#define MILLI 1000.0

typedef struct
{
  uint32_t need;
  uint64_t requested_ms;
} Claim;

typedef struct
{
  GgLimitEvidence evidence;
  double n_available;
  uint64_t filled_ms;
  uint64_t used_ms;   /* of the last request or report */
  GHashTable *claims; /* requester -> Claim */
} Entry;

struct _GgLimitAllocator
{
  GHashTable *entries; /* hash of a runner -> Entry */
};

static void
free_entry (void *data)
{
  Entry *entry = data;
  g_hash_table_unref (entry->claims);
  g_free (entry);
}

GgLimitAllocator *
gg_limit_allocator_create (void)
{
  GgLimitAllocator *self = g_new0 (GgLimitAllocator, 1);
  self->entries = g_hash_table_new_full (NULL, NULL, NULL, free_entry);
  return self;
}

void
gg_limit_allocator_destroy (GgLimitAllocator *self)
{
  g_hash_table_unref (self->entries);
  g_free (self);
}

static Entry *
find (const GgLimitAllocator *self, uint32_t runner_hash)
{
  return g_hash_table_lookup (self->entries, GUINT_TO_POINTER (runner_hash));
}

static double
get_rate (const Entry *entry)
{
  return MAX (entry->evidence.limit_milli, MIN_MILLI) / MILLI;
}

static void
fill (Entry *entry, uint64_t now_ms)
{
  double passed_s = now_ms > entry->filled_ms ? (double) (now_ms - entry->filled_ms) / MS_PER_S : 0;
  double rate = get_rate (entry);
  entry->n_available = MIN (entry->n_available + passed_s * rate, MAX (1, rate * DEPTH_S));
  entry->filled_ms = MAX (entry->filled_ms, now_ms);
}

gboolean
gg_limit_allocator_note (GgLimitAllocator *self,
                         uint32_t runner_hash,
                         const GgLimitEvidence *evidence,
                         gboolean is_first_hand,
                         uint64_t now_ms)
{
  Entry *entry = find (self, runner_hash);
  if (entry == NULL)
    {
      if (!evidence->is_limited)
        return FALSE;
      entry = g_new0 (Entry, 1);
      entry->claims = g_hash_table_new_full (NULL, NULL, NULL, g_free);
      entry->evidence = *evidence;
      entry->filled_ms = now_ms;
      entry->used_ms = now_ms;
      g_hash_table_insert (self->entries, GUINT_TO_POINTER (runner_hash), entry);
      return TRUE;
    }
  if (!is_first_hand || evidence->time_ms <= entry->evidence.time_ms)
    return FALSE;
  /* What accumulated until now did so at the rate of the limit before. */
  fill (entry, now_ms);
  gboolean is_changed = entry->evidence.is_limited != evidence->is_limited
                        || entry->evidence.limit_milli != evidence->limit_milli;
  if (!entry->evidence.is_limited)
    entry->n_available = 0;
  entry->evidence = *evidence;
  entry->used_ms = now_ms;
  return is_changed;
}

GgLimitEvidence
gg_limit_allocator_get (const GgLimitAllocator *self, uint32_t runner_hash)
{
  const Entry *entry = find (self, runner_hash);
  return entry != NULL ? entry->evidence : (GgLimitEvidence){ 0 };
}

/* Records the claim of an instance.
 * @return the sum of all claims. */
static uint32_t
add_claim (Entry *entry, uint32_t requester, uint32_t need, uint64_t now_ms)
{
  Claim *own = g_new (Claim, 1);
  GHashTableIter iter;
  void *value;
  uint32_t sum = 0;
  *own = (Claim){ need, now_ms };
  g_hash_table_replace (entry->claims, GUINT_TO_POINTER (requester), own);
  g_hash_table_iter_init (&iter, entry->claims);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Claim *claim = value;
      if (now_ms > claim->requested_ms + CLAIM_MS)
        g_hash_table_iter_remove (&iter);
      else
        sum += claim->need;
    }
  return sum;
}

uint32_t
gg_limit_allocator_grant (GgLimitAllocator *self,
                          uint32_t runner_hash,
                          uint32_t requester,
                          uint32_t need,
                          uint64_t now_ms)
{
  Entry *entry = find (self, runner_hash);
  if (entry == NULL || !entry->evidence.is_limited || need == 0)
    return 0;
  fill (entry, now_ms);
  entry->used_ms = now_ms;
  uint32_t sum = add_claim (entry, requester, need, now_ms);
  if (entry->n_available < 1)
    return 0;
  uint32_t n = (uint32_t) (entry->n_available * need / sum);
  n = CLAMP (n, 1, need);
  entry->n_available -= n;
  return n;
}

void
gg_limit_allocator_empty (GgLimitAllocator *self, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      entry->n_available = 0;
      entry->filled_ms = now_ms;
    }
}

void
gg_limit_allocator_expire (GgLimitAllocator *self, uint64_t now_ms)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      if (now_ms > entry->used_ms + (entry->evidence.is_limited ? UNUSED_MS : ENDED_MS))
        g_hash_table_iter_remove (&iter);
    }
}

gboolean
gg_limit_allocator_is_empty (const GgLimitAllocator *self)
{
  return g_hash_table_size (self->entries) == 0;
}

void
gg_limit_allocator_list (const GgLimitAllocator *self, GArray *out)
{
  GHashTableIter iter;
  void *key;
  void *value;
  g_hash_table_iter_init (&iter, self->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      GgAllocatedLimit limit = { GPOINTER_TO_UINT (key), ((const Entry *) value)->evidence };
      g_array_append_val (out, limit);
    }
}
