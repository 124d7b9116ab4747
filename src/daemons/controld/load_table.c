#include "daemons/controld/load_table.h"

/* Older loads do not reflect the present state. The wire format represents ages up to 12.75 s. */
#define LOAD_MAX_AGE_MS 10000
/* Resolution of the age on the wire. A load must be newer by more than the rounding error, or peers
 * would replace copies of the same load over and over. */
#define AGE_RESOLUTION_MS 50
/* Loads and request rates are removed at this age. Until then even a load above the maximum age
 * shows when its runner last answered. */
#define RETENTION_MS ((uint64_t) 10 * 60 * 1000)

typedef struct
{
  GgLoadRecord load;
  uint64_t measured_ms;
} LoadEntry;

typedef struct
{
  GArray *use; /* GgTeamUse */
  uint64_t received_ms;
} UseEntry;

struct _GgLoadTable
{
  GHashTable *loads; /* hash of the runner's id to LoadEntry */
  GHashTable *sums;  /* "DATA_CENTRE/SERVICE" to GgLoadSum */
  GHashTable *uses;  /* sender to UseEntry */
};

static void
use_entry_free (void *data)
{
  UseEntry *entry = data;
  g_array_unref (entry->use);
  g_free (entry);
}

void
gg_team_use_clear (GgTeamUse *self)
{
  g_clear_pointer (&self->team, g_free);
}

GgLoadTable *
gg_load_table_create (void)
{
  GgLoadTable *self = g_new0 (GgLoadTable, 1);
  self->loads = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  self->sums = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->uses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, use_entry_free);
  return self;
}

void
gg_load_table_destroy (GgLoadTable *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->loads);
  g_hash_table_unref (self->sums);
  g_hash_table_unref (self->uses);
  g_free (self);
}

void
gg_load_table_put (GgLoadTable *self, const GgLoadRecord *load, uint64_t now_ms)
{
  uint64_t measured_ms = now_ms > load->age_ms ? now_ms - load->age_ms : 0;
  void *key = GUINT_TO_POINTER (load->runner_hash);
  LoadEntry *entry = g_hash_table_lookup (self->loads, key);
  if (entry != NULL && measured_ms <= entry->measured_ms + AGE_RESOLUTION_MS)
    return;
  if (entry == NULL)
    {
      entry = g_new0 (LoadEntry, 1);
      g_hash_table_insert (self->loads, key, entry);
    }
  entry->load = *load;
  entry->measured_ms = measured_ms;
}

gboolean
gg_load_table_get (GgLoadTable *self, uint32_t runner_hash, uint64_t now_ms, GgLoadRecord *load_out)
{
  const LoadEntry *entry = g_hash_table_lookup (self->loads, GUINT_TO_POINTER (runner_hash));
  if (entry == NULL || now_ms > entry->measured_ms + LOAD_MAX_AGE_MS)
    return FALSE;
  *load_out = entry->load;
  load_out->age_ms = (uint32_t) (now_ms - MIN (now_ms, entry->measured_ms));
  return TRUE;
}

uint64_t
gg_load_table_get_measured_ms (GgLoadTable *self, uint32_t runner_hash)
{
  const LoadEntry *entry = g_hash_table_lookup (self->loads, GUINT_TO_POINTER (runner_hash));
  return entry != NULL ? entry->measured_ms : 0;
}

static char *
make_sum_key (const char *data_centre, const char *service)
{
  return g_strdup_printf ("%s/%s", data_centre, service != NULL ? service : "");
}

void
gg_load_table_put_sum (GgLoadTable *self,
                       const char *data_centre,
                       const char *service,
                       const GgLoadSum *sum)
{
  g_hash_table_insert (self->sums, make_sum_key (data_centre, service),
                       g_memdup2 (sum, sizeof *sum));
}

const GgLoadSum *
gg_load_table_get_sum (GgLoadTable *self,
                       const char *data_centre,
                       const char *service,
                       uint64_t now_ms)
{
  char *key = make_sum_key (data_centre, service);
  const GgLoadSum *sum = g_hash_table_lookup (self->sums, key);
  g_free (key);
  if (sum == NULL || sum->runners == 0 || now_ms > sum->received_ms + LOAD_MAX_AGE_MS)
    return NULL;
  return sum;
}

void
gg_load_table_put_use (GgLoadTable *self, const char *sender, GArray *use, uint64_t now_ms)
{
  UseEntry *entry = g_new0 (UseEntry, 1);
  entry->use = use;
  entry->received_ms = now_ms;
  g_hash_table_insert (self->uses, g_strdup (sender), entry);
}

const GArray *
gg_load_table_get_use (GgLoadTable *self, const char *sender)
{
  const UseEntry *entry = g_hash_table_lookup (self->uses, sender);
  return entry != NULL ? entry->use : NULL;
}

static void
add_use (GHashTable *totals, const UseEntry *entry)
{
  for (guint i = 0; i < entry->use->len; i++)
    {
      const GgTeamUse *use = &g_array_index (entry->use, GgTeamUse, i);
      guint total = GPOINTER_TO_UINT (g_hash_table_lookup (totals, use->team));
      g_hash_table_insert (totals, use->team, GUINT_TO_POINTER (total + use->milli_requests_per_s));
    }
}

GHashTable *
gg_load_table_sum_use (GgLoadTable *self, const char *except, uint64_t max_age_ms, uint64_t now_ms)
{
  GHashTable *totals = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  void *sender;
  void *value;
  g_hash_table_iter_init (&iter, self->uses);
  while (g_hash_table_iter_next (&iter, &sender, &value))
    {
      const UseEntry *entry = value;
      if (!g_str_equal (sender, except) && now_ms <= entry->received_ms + max_age_ms)
        add_use (totals, entry);
    }
  return totals;
}

static gboolean
is_load_expired (void *key, void *value, void *now_ms)
{
  return *(uint64_t *) now_ms > ((LoadEntry *) value)->measured_ms + RETENTION_MS;
}

static gboolean
is_sum_expired (void *key, void *value, void *now_ms)
{
  return *(uint64_t *) now_ms > ((GgLoadSum *) value)->received_ms + LOAD_MAX_AGE_MS;
}

static gboolean
is_use_expired (void *key, void *value, void *now_ms)
{
  return *(uint64_t *) now_ms > ((UseEntry *) value)->received_ms + RETENTION_MS;
}

void
gg_load_table_expire (GgLoadTable *self, uint64_t now_ms)
{
  g_hash_table_foreach_remove (self->loads, is_load_expired, &now_ms);
  g_hash_table_foreach_remove (self->sums, is_sum_expired, &now_ms);
  g_hash_table_foreach_remove (self->uses, is_use_expired, &now_ms);
}
