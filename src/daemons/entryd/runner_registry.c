#include "daemons/entryd/runner_registry.h"

#include "core/member.h"
#include "greengage/id.h"

#include <string.h>

/* One-way cost of a link within a data centre. */
#define LOCAL_LINK_US 50
/* Snapshots repeat a load report with an increasing age. A report counts as new if it was measured
 * later than the previous one by more than this. */
#define NEW_REPORT_MS 100

typedef struct
{
  GgRunner *runner;
  gboolean leaving; /* according to the members */
  gboolean is_local;
  uint64_t reported_at_ms;       /* when the latest load was measured, monotonic */
  uint32_t own_tokens_at_report; /* outstanding tokens of this instance when it arrived */
  const gg_rpc_load *load;       /* set only during gg_runner_registry_make_entries() */
} KnownRunner;

struct _GgRunnerRegistry
{
  char *data_centre;
  uint32_t remote_link_us;
  GHashTable *runners; /* hash of the id to KnownRunner */
};

static void
known_runner_free (gpointer data)
{
  KnownRunner *known = data;
  gg_runner_unref (known->runner);
  g_free (known);
}

static GHashTable *
create_table (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, known_runner_free);
}

GgRunnerRegistry *
gg_runner_registry_create (const char *data_centre, uint32_t remote_link_us)
{
  GgRunnerRegistry *self = g_new0 (GgRunnerRegistry, 1);
  self->data_centre = g_strdup (data_centre);
  self->remote_link_us = remote_link_us;
  self->runners = create_table ();
  return self;
}

void
gg_runner_registry_destroy (GgRunnerRegistry *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->runners);
  g_free (self->data_centre);
  g_free (self);
}

static gboolean
is_same_runner (const GgRunner *runner, const gg_rpc_member *member)
{
  return runner->incarnation == member->incarnation && strcmp (runner->id, member->id) == 0
         && strcmp (runner->address, member->address) == 0
         && strcmp (runner->service, member->service) == 0
         && runner->first_layer == member->first_layer && runner->end_layer == member->end_layer;
}

static KnownRunner *
make_known (const KnownRunner *before, const gg_rpc_member *member)
{
  KnownRunner *known = g_new0 (KnownRunner, 1);
  if (before != NULL && is_same_runner (before->runner, member))
    {
      *known = *before;
      gg_runner_ref (known->runner);
      return known;
    }
  known->runner
      = gg_runner_create (member->id, member->incarnation, member->address, member->data_centre,
                          member->service, member->first_layer, member->end_layer);
  return known;
}

void
gg_runner_registry_set_members (GgRunnerRegistry *self,
                                const gg_rpc_member *members,
                                size_t n_members)
{
  GHashTable *kept = create_table ();
  for (size_t i = 0; i < n_members; i++)
    {
      const gg_rpc_member *member = &members[i];
      if (member->role != GG_MEMBER_RUNNER)
        continue;
      gpointer key = GUINT_TO_POINTER (gg_id_hash_instance (member->id));
      KnownRunner *known = make_known (g_hash_table_lookup (self->runners, key), member);
      known->leaving = member->state == GG_MEMBER_LEAVING;
      known->is_local = strcmp (member->data_centre, self->data_centre) == 0;
      g_hash_table_replace (kept, key, known);
    }
  g_hash_table_unref (self->runners);
  self->runners = kept;
}

/* When a new report arrives, notes how much of the reported work was sent by this instance. */
static void
apply_load (KnownRunner *known, const gg_rpc_load *load, uint64_t now_ms)
{
  uint64_t reported_at_ms = now_ms > load->age_ms ? now_ms - load->age_ms : 1;
  known->load = load;
  if (reported_at_ms <= known->reported_at_ms + NEW_REPORT_MS)
    return;
  known->reported_at_ms = reported_at_ms;
  known->own_tokens_at_report = atomic_load (&known->runner->outstanding_tokens);
}

static GgRouteEntry
make_entry (const GgRunnerRegistry *self, const KnownRunner *known)
{
  const gg_rpc_load *load = known->load;
  GgRouteEntry entry = { .runner = known->runner,
                         .link_us = known->is_local ? LOCAL_LINK_US : self->remote_link_us,
                         .leaving = known->leaving };
  if (load == NULL)
    return entry;
  entry.reported_outstanding_tokens = load->outstanding_tokens;
  entry.tokens_per_s = load->tokens_per_s;
  entry.reported_at_ms = known->reported_at_ms;
  entry.own_tokens_at_report = known->own_tokens_at_report;
  entry.leaving = entry.leaving || load->leaving;
  uint32_t others = load->outstanding_tokens > known->own_tokens_at_report
                        ? load->outstanding_tokens - known->own_tokens_at_report
                        : 0;
  atomic_store (&known->runner->tokens_per_s, load->tokens_per_s);
  atomic_store (&known->runner->remote_tokens, others);
  return entry;
}

GArray *
gg_runner_registry_make_entries (GgRunnerRegistry *self,
                                 const gg_rpc_load *loads,
                                 size_t n_loads,
                                 uint64_t now_ms)
{
  for (size_t i = 0; i < n_loads; i++)
    {
      KnownRunner *known
          = g_hash_table_lookup (self->runners, GUINT_TO_POINTER (loads[i].runner_hash));
      if (known != NULL)
        apply_load (known, &loads[i], now_ms);
    }

  GArray *entries = g_array_new (FALSE, FALSE, sizeof (GgRouteEntry));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, self->runners);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      KnownRunner *known = value;
      GgRouteEntry entry = make_entry (self, known);
      known->load = NULL;
      g_array_append_val (entries, entry);
    }
  return entries;
}
