#include "stream_proof.h"

#include "base/clock.h"

#include <string.h>

#define ENGINE_TIMEOUT_MS 5000

gboolean
gg_stream_proof_begin (GgStreamProof *self, GgProof *proof, uint32_t n_tokens)
{
  const GgClusterOptions options
      = { .n_instances = 2, .with_relays = TRUE, .step_us = GG_STREAM_PROOF_STEP_US };
  *self = (GgStreamProof){ .proof = proof, .n_tokens = n_tokens };
  self->cluster = gg_cluster_create (&options);
  if (!gg_proof_check (proof, self->cluster))
    return FALSE;
  self->expected = gg_answer_fetch_text (self->cluster->instances[1].callers,
                                         GG_STREAM_PROOF_PROMPT, n_tokens);
  self->answer = gg_answer_open (self->cluster->instances[0].callers, NULL, GG_STREAM_PROOF_PROMPT,
                                 n_tokens);
  return gg_proof_check (proof, self->expected)
         && gg_proof_check (proof,
                            gg_answer_read (self->answer, GG_STREAM_PROOF_TOKENS_BEFORE_FAULT));
}

void
gg_stream_proof_finish (GgStreamProof *self)
{
  GgAnswer *answer = self->answer;
  gg_answer_finish (answer);
  if (!gg_answer_is_complete (answer, self->n_tokens))
    gg_proof_fail (self->proof, "%u of %u tokens, closing event %s", answer->n_tokens,
                   self->n_tokens, answer->closing ? answer->closing : "missing");
  if (strcmp (answer->text->str, self->expected) != 0)
    gg_proof_fail (self->proof, "the text differs from that of a run without faults");
  self->proof->recovery_ms = (int64_t) answer->longest_pause_ms;
}

void
gg_stream_proof_check_layers (GgStreamProof *self, guint min_lineages, guint max_lineages)
{
  guint n = gg_lineage_check (self->cluster, self->answer->request, self->n_tokens, self->proof);
  if (n < min_lineages || n > max_lineages)
    gg_proof_fail (self->proof, "%u lineages, expected %u to %u", n, min_lineages, max_lineages);
}

void
gg_stream_proof_end (GgStreamProof *self)
{
  if (self->proof->failed && self->cluster)
    gg_cluster_print_errors (self->cluster);
  if (self->answer)
    gg_answer_close (self->answer);
  g_free (self->expected);
  gg_cluster_destroy (self->cluster);
}

uint32_t
gg_stream_proof_get_engine (GgStreamProof *self, uint32_t range)
{
  int engine = gg_lineage_find_engine (self->cluster, self->answer->request, range);
  if (engine < 0)
    gg_proof_fail (self->proof, "no engine ran layers of range %u", range);
  return engine < 0 ? range * GG_CLUSTER_ENGINES_PER_RANGE : (uint32_t) engine;
}

void
gg_stream_proof_signal_engine (GgStreamProof *self, uint32_t range, int number)
{
  uint32_t engine = gg_stream_proof_get_engine (self, range);
  gg_process_signal (self->cluster->runners[engine].process, number);
}

void
gg_stream_proof_signal_relay (GgStreamProof *self, uint32_t range, int number)
{
  uint32_t engine = gg_stream_proof_get_engine (self, range);
  gg_process_signal (self->cluster->runners[engine].relay, number);
}

void
gg_stream_proof_control_engine (GgStreamProof *self, uint32_t range, const char *json)
{
  uint32_t engine = gg_stream_proof_get_engine (self, range);
  gg_proof_check (self->proof, gg_cluster_control_runner (self->cluster, engine, json));
}

static gboolean
answers_load (void *data)
{
  char *load = gg_test_get (data, "/v1/load");
  g_free (load);
  return load != NULL;
}

void
gg_stream_proof_wait_engine (GgStreamProof *self, uint32_t engine)
{
  char *address = self->cluster->runners[engine].address;
  gg_proof_check (self->proof, gg_wait_until (answers_load, address, ENGINE_TIMEOUT_MS));
}
