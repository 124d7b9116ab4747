#include "callers.h"

#include "lineage.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define START_TIMEOUT_MS 10000

typedef struct
{
  GgCallers *callers;
  char *prompt;
  char *expected;
  const char *address;
  GgAnswer *answer;
  pthread_t thread;
} Caller;

struct _GgCallers
{
  GgCluster *cluster;
  uint32_t n_tokens;
  guint n;
  Caller *items;
  atomic_uint n_started; /* callers that received a first token or failed */
};

GgCallers *
gg_callers_create (GgCluster *cluster, guint n, uint32_t n_tokens)
{
  GgCallers *self = g_new0 (GgCallers, 1);
  self->cluster = cluster;
  self->n_tokens = n_tokens;
  self->n = n;
  self->items = g_new0 (Caller, n);
  for (guint i = 0; i < n; i++)
    {
      Caller *caller = &self->items[i];
      caller->callers = self;
      caller->prompt = g_strdup_printf ("Draft notice %u for the mooring at Nkora", i);
      caller->expected
          = gg_answer_fetch_text (cluster->instances[1].callers, caller->prompt, n_tokens);
    }
  return self;
}

void
gg_callers_destroy (GgCallers *self)
{
  for (guint i = 0; i < self->n; i++)
    {
      g_free (self->items[i].prompt);
      g_free (self->items[i].expected);
      g_clear_pointer (&self->items[i].answer, gg_answer_close);
    }
  g_free (self->items);
  g_free (self);
}

static void *
run_caller (void *data)
{
  Caller *caller = data;
  GgCallers *callers = caller->callers;
  caller->answer = gg_answer_open (caller->address, NULL, caller->prompt, callers->n_tokens);
  (void) gg_answer_read (caller->answer, 1);
  atomic_fetch_add (&callers->n_started, 1);
  gg_answer_finish (caller->answer);
  return NULL;
}

static gboolean
have_started (void *data)
{
  GgCallers *self = data;
  return atomic_load (&self->n_started) == self->n;
}

gboolean
gg_callers_start (GgCallers *self, int instance)
{
  for (guint i = 0; i < self->n; i++)
    {
      uint32_t number = instance >= 0 ? (uint32_t) instance : i % self->cluster->n_instances;
      self->items[i].address = self->cluster->instances[number].callers;
      int failed = pthread_create (&self->items[i].thread, NULL, run_caller, &self->items[i]);
      g_assert (failed == 0);
    }
  return gg_wait_until (have_started, self, START_TIMEOUT_MS);
}

static void
check_caller (const Caller *caller, guint number, GgProof *proof)
{
  uint32_t n_tokens = caller->callers->n_tokens;
  const GgAnswer *answer = caller->answer;
  if (!gg_answer_is_complete (answer, n_tokens))
    gg_proof_fail (proof, "caller %u: status %u, %u of %u tokens, closing event %s", number,
                   answer->status, answer->n_tokens, n_tokens,
                   answer->closing ? answer->closing : "missing");
  if (g_strcmp0 (answer->text->str, caller->expected) != 0)
    gg_proof_fail (proof, "caller %u: the text differs from the expected answer to its request",
                   number);
  gg_lineage_check (caller->callers->cluster, answer->request, n_tokens, proof);
}

void
gg_callers_finish (GgCallers *self, GgProof *proof)
{
  for (guint i = 0; i < self->n; i++)
    pthread_join (self->items[i].thread, NULL);
  for (guint i = 0; i < self->n; i++)
    check_caller (&self->items[i], i, proof);
}

uint64_t
gg_callers_get_longest_pause_ms (const GgCallers *self)
{
  uint64_t longest = 0;
  for (guint i = 0; i < self->n; i++)
    longest = MAX (longest, self->items[i].answer->longest_pause_ms);
  return longest;
}
