#include "lineage.h"

#include <stdio.h>
#include <string.h>

#define CANCEL_TIMEOUT_MS 5000
#define WIDTH (GG_CLUSTER_LAYERS / GG_CLUSTER_RANGES)

/* A call to an engine for a lineage. */
typedef struct
{
  char kind[16];
  char request[33];
  char attempt[33];
  uint64_t time_us;
  uint32_t epoch;
  uint32_t position;
  uint32_t n_inputs;
  uint32_t status;
  uint32_t runner;
} Call;

typedef struct
{
  char attempt[33];
  uint32_t runner;
  uint32_t range;
  uint32_t epoch;
  uint32_t n_layers;       /* executed */
  GArray *times;           /* uint64_t per position that ran, us */
  uint64_t first_call_us;  /* G_MAXUINT64 without a call */
  uint32_t first_n_inputs; /* of its first call */
} Lineage;

static void
clear_lineage (gpointer data)
{
  g_array_unref (((Lineage *) data)->times);
}

static uint32_t
count_positions (const Lineage *lineage)
{
  return lineage->n_layers / WIDTH;
}

static uint64_t
get_time (const Lineage *lineage, uint32_t position)
{
  return g_array_index (lineage->times, uint64_t, position);
}

static Lineage *
get_lineage (GArray *lineages, guint i)
{
  return &g_array_index (lineages, Lineage, i);
}

/* Returns the lineage of the attempt, adding it if it is new. Fails the case if its engine or
 * epoch differs. */
static Lineage *
ensure_lineage (
    GArray *lineages, const char *attempt, uint32_t runner, uint32_t epoch, GgProof *proof)
{
  for (guint i = 0; i < lineages->len; i++)
    {
      Lineage *known = get_lineage (lineages, i);
      if (strcmp (known->attempt, attempt) != 0)
        continue;
      if (known->runner != runner || known->epoch != epoch)
        gg_proof_fail (proof, "lineage %s has two engines or two epochs", attempt);
      return known;
    }
  Lineage lineage = {
    .runner = runner,
    .range = runner / GG_CLUSTER_ENGINES_PER_RANGE,
    .epoch = epoch,
    .times = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .first_call_us = G_MAXUINT64,
  };
  g_strlcpy (lineage.attempt, attempt, sizeof lineage.attempt);
  g_array_append_val (lineages, lineage);
  return get_lineage (lineages, lineages->len - 1);
}

static void
add_record (GArray *lineages, const GgClusterRecord *record, GgProof *proof)
{
  Lineage *lineage
      = ensure_lineage (lineages, record->attempt, record->runner, record->epoch, proof);
  uint32_t layer = lineage->range * WIDTH + lineage->n_layers % WIDTH;
  if (record->position != count_positions (lineage) || record->layer != layer)
    gg_proof_fail (proof, "lineage %s ran position %u layer %u, expected position %u layer %u",
                   record->attempt, record->position, record->layer, count_positions (lineage),
                   layer);
  lineage->n_layers++;
  if (lineage->n_layers % WIDTH == 0)
    g_array_append_val (lineage->times, record->time_us);
}

static gint
compare_call_times (gconstpointer a, gconstpointer b)
{
  const Call *left = a;
  const Call *right = b;
  return (left->time_us > right->time_us) - (left->time_us < right->time_us);
}

static GArray *
read_calls (GgCluster *cluster)
{
  GArray *calls = g_array_new (FALSE, TRUE, sizeof (Call));
  for (uint32_t i = 0; i < GG_CLUSTER_ENGINES; i++)
    {
      char *text = gg_cluster_read_output (cluster, i);
      char **lines = g_strsplit (text, "\n", -1);
      for (size_t k = 0; lines[k]; k++)
        {
          Call call = { .runner = i };
          if (sscanf (lines[k], "call %" G_GUINT64_FORMAT " %15s %32s %32s %u %u %u %u",
                      &call.time_us, call.kind, call.request, call.attempt, &call.epoch,
                      &call.position, &call.n_inputs, &call.status)
              == 8)
            g_array_append_val (calls, call);
        }
      g_strfreev (lines);
      g_free (text);
    }
  g_array_sort (calls, compare_call_times);
  return calls;
}

static gboolean
is_step_of (const Call *call, const char *request)
{
  return strcmp (call->kind, "step") == 0 && strcmp (call->request, request) == 0;
}

static gint
compare_lineages (gconstpointer a, gconstpointer b)
{
  const Lineage *left = a;
  const Lineage *right = b;
  if (left->range != right->range)
    return left->range < right->range ? -1 : 1;
  return (left->epoch > right->epoch) - (left->epoch < right->epoch);
}

/* Returns the lineages of a request, sorted by range and epoch. */
static GArray *
collect (GgCluster *cluster, const GArray *calls, const char *request, GgProof *proof)
{
  GArray *lineages = g_array_new (FALSE, FALSE, sizeof (Lineage));
  g_array_set_clear_func (lineages, clear_lineage);
  GArray *records = gg_cluster_read_records (cluster);
  for (guint i = 0; i < records->len; i++)
    {
      const GgClusterRecord *record = &g_array_index (records, GgClusterRecord, i);
      if (strcmp (record->request, request) == 0)
        add_record (lineages, record, proof);
    }
  g_array_unref (records);
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = &g_array_index (calls, Call, i);
      if (!is_step_of (call, request))
        continue;
      Lineage *lineage = ensure_lineage (lineages, call->attempt, call->runner, call->epoch, proof);
      if (lineage->first_call_us == G_MAXUINT64)
        lineage->first_n_inputs = call->n_inputs;
      lineage->first_call_us = MIN (lineage->first_call_us, call->time_us);
    }
  g_array_sort (lineages, compare_lineages);
  return lineages;
}

static const Lineage *
get_successor (GArray *lineages, guint i)
{
  if (i + 1 >= lineages->len)
    return NULL;
  const Lineage *next = get_lineage (lineages, i + 1);
  return next->range == get_lineage (lineages, i)->range ? next : NULL;
}

/* Returns the position at which the earlier lineage was abandoned, which it had not confirmed: the
 * last one in the first call of the successor. If no call of the successor is recorded, the last
 * position that it ran, since a killed engine may have recorded the step without writing its
 * call. */
static uint32_t
get_abandoned_position (const Lineage *successor)
{
  uint32_t n
      = successor->first_n_inputs > 0 ? successor->first_n_inputs : count_positions (successor);
  return n > 0 ? n - 1 : 0;
}

/* Fails the case if the abandoned lineage got a step after the abandoned position or, after the
 * first call of the successor, for a position that it already had. */
static void
check_calls_of_abandoned (const Lineage *lineage,
                          const Lineage *successor,
                          const GArray *calls,
                          GgProof *proof)
{
  uint32_t abandoned_position = get_abandoned_position (successor);
  int64_t highest = -1;
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = &g_array_index (calls, Call, i);
      if (strcmp (call->kind, "step") != 0 || strcmp (call->attempt, lineage->attempt) != 0)
        continue;
      uint32_t newest = call->position + call->n_inputs - 1;
      gboolean is_repeated
          = (int64_t) newest <= highest && call->time_us > successor->first_call_us;
      if (newest > abandoned_position || is_repeated)
        gg_proof_fail (proof, "abandoned lineage %s got a step for position %u, abandoned at %u",
                       lineage->attempt, newest, abandoned_position);
      highest = MAX (highest, (int64_t) newest);
    }
}

static void
check_succession (GArray *lineages, const GArray *calls, uint32_t n_positions, GgProof *proof)
{
  uint32_t n_final = 0;
  for (guint i = 0; i < lineages->len; i++)
    {
      const Lineage *lineage = get_lineage (lineages, i);
      const Lineage *successor = get_successor (lineages, i);
      if (lineage->n_layers % WIDTH != 0)
        gg_proof_fail (proof, "lineage %s ran only a part of its range", lineage->attempt);
      if (successor)
        {
          if (successor->epoch == lineage->epoch)
            gg_proof_fail (proof, "two lineages of range %u with epoch %u", lineage->range,
                           lineage->epoch);
          if (count_positions (lineage) > get_abandoned_position (successor) + 1)
            gg_proof_fail (proof, "abandoned lineage %s continued to run", lineage->attempt);
          check_calls_of_abandoned (lineage, successor, calls, proof);
          continue;
        }
      n_final++;
      if (count_positions (lineage) != n_positions)
        gg_proof_fail (proof, "the last lineage of range %u ran %u positions, expected %u",
                       lineage->range, count_positions (lineage), n_positions);
    }
  if (n_final != GG_CLUSTER_RANGES)
    gg_proof_fail (proof, "%u of %u ranges ran", n_final, GG_CLUSTER_RANGES);
}

/* Returns the lineage that produced the position of the answer, or NULL. */
static const Lineage *
find_producer (GArray *lineages, uint32_t range, uint32_t position)
{
  const Lineage *found = NULL;
  for (guint i = 0; i < lineages->len && !found; i++)
    {
      const Lineage *lineage = get_lineage (lineages, i);
      const Lineage *successor = get_successor (lineages, i);
      gboolean confirmed = position < count_positions (lineage)
                           && (!successor || position < get_abandoned_position (successor));
      found = lineage->range == range && confirmed ? lineage : NULL;
    }
  return found;
}

static void
check_order (GArray *lineages, uint32_t n_positions, GgProof *proof)
{
  uint64_t last_us = 0;
  for (uint32_t position = 0; position < n_positions; position++)
    for (uint32_t range = 0; range < GG_CLUSTER_RANGES; range++)
      {
        const Lineage *producer = find_producer (lineages, range, position);
        uint64_t time_us = producer ? get_time (producer, position) : 0;
        if (time_us < last_us)
          gg_proof_fail (proof, "position %u of range %u ran too early or not at all", position,
                         range);
        last_us = time_us;
      }
}

guint
gg_lineage_check (GgCluster *cluster, const char *request, uint32_t n_positions, GgProof *proof)
{
  GArray *calls = read_calls (cluster);
  GArray *lineages = collect (cluster, calls, request, proof);
  guint n = lineages->len;
  check_succession (lineages, calls, n_positions, proof);
  check_order (lineages, n_positions, proof);
  g_array_unref (lineages);
  g_array_unref (calls);
  return n;
}

int
gg_lineage_find_engine (GgCluster *cluster, const char *request, uint32_t range)
{
  GArray *records = gg_cluster_read_records (cluster);
  int found = -1;
  for (guint i = 0; i < records->len; i++)
    {
      const GgClusterRecord *record = &g_array_index (records, GgClusterRecord, i);
      if (strcmp (record->request, request) == 0
          && record->runner / GG_CLUSTER_ENGINES_PER_RANGE == range)
        found = (int) record->runner;
    }
  g_array_unref (records);
  return found;
}

static gint
compare_calls (gconstpointer a, gconstpointer b)
{
  const Call *left = a;
  const Call *right = b;
  int order = strcmp (right->kind, left->kind); /* steps before cancels */
  if (order == 0 && strcmp (left->kind, "step") == 0)
    order = (left->time_us > right->time_us) - (left->time_us < right->time_us);
  if (order == 0)
    order = (int) (left->runner / GG_CLUSTER_ENGINES_PER_RANGE)
            - (int) (right->runner / GG_CLUSTER_ENGINES_PER_RANGE);
  return order != 0 ? order : (int) left->epoch - (int) right->epoch;
}

/* Removes calls for other requests and sets the epoch of cancels to that of their lineage. */
static void
keep_calls_of (GArray *calls, const char *request)
{
  GHashTable *epochs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = &g_array_index (calls, Call, i);
      if (is_step_of (call, request))
        g_hash_table_insert (epochs, g_strdup (call->attempt), GUINT_TO_POINTER (call->epoch));
    }
  for (guint i = calls->len; i-- > 0;)
    {
      Call *call = &g_array_index (calls, Call, i);
      gpointer epoch = NULL;
      if (g_hash_table_lookup_extended (epochs, call->attempt, NULL, &epoch))
        call->epoch = GPOINTER_TO_UINT (epoch);
      else
        g_array_remove_index (calls, i);
    }
  g_hash_table_unref (epochs);
}

char *
gg_lineage_print_calls (GgCluster *cluster, const char *request)
{
  GArray *calls = read_calls (cluster);
  keep_calls_of (calls, request);
  g_array_sort (calls, compare_calls);
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = &g_array_index (calls, Call, i);
      uint32_t first = call->runner / GG_CLUSTER_ENGINES_PER_RANGE * WIDTH;
      g_string_append_printf (text, "%s layers %u-%u attempt %s epoch %u", call->kind, first,
                              first + WIDTH, call->attempt, call->epoch);
      if (call->n_inputs > 0)
        g_string_append_printf (text, " position %u inputs %u", call->position, call->n_inputs);
      g_string_append_printf (text, ": %u\n", call->status);
    }
  g_array_unref (calls);
  return g_string_free (text, FALSE);
}

typedef struct
{
  GgCluster *cluster;
  const char *request;
  guint n;
} Cancels;

static gboolean
have_cancels_arrived (void *data)
{
  const Cancels *cancels = data;
  GArray *calls = read_calls (cancels->cluster);
  keep_calls_of (calls, cancels->request);
  guint n = 0;
  for (guint i = 0; i < calls->len; i++)
    n += strcmp (g_array_index (calls, Call, i).kind, "cancel") == 0;
  g_array_unref (calls);
  return n >= cancels->n;
}

gboolean
gg_lineage_wait_cancels (GgCluster *cluster, const char *request, guint n)
{
  Cancels cancels = { cluster, request, n };
  return gg_wait_until (have_cancels_arrived, &cancels, CANCEL_TIMEOUT_MS);
}
