/** @file
 * A streamed answer at instance 0 of a cluster of two instances, during which a case injects a
 * fault. */
#pragma once

#include "answer.h"
#include "cluster.h"
#include "lineage.h"
#include "prove.h"

#define GG_STREAM_PROOF_PROMPT "Summarise the loans of Gisenyi"
#define GG_STREAM_PROOF_TOKENS_BEFORE_FAULT 10
#define GG_STREAM_PROOF_STEP_US 3000

typedef struct
{
  GgProof *proof;
  GgCluster *cluster;
  GgAnswer *answer;
  char *expected; /**< Text of a run without faults at instance 1. */
  uint32_t n_tokens;
} GgStreamProof;

/** Starts a cluster with relays, fetches the expected text from instance 1, opens the answer at
 * instance 0 and reads the first tokens.
 * @return FALSE if the case failed; gg_stream_proof_end() must be called in any case. */
gboolean gg_stream_proof_begin (GgStreamProof *self, GgProof *proof, uint32_t n_tokens);

/** Reads the rest and checks that the answer is complete and has the expected text. Sets the
 * recovery time to the longest pause between two tokens. */
void gg_stream_proof_finish (GgStreamProof *self);

/** Checks the lineages of the answer; their number must be @p min_lineages to @p max_lineages. */
void gg_stream_proof_check_layers (GgStreamProof *self, guint min_lineages, guint max_lineages);

/** Destroys the cluster; prints the errors of its processes if the case failed. */
void gg_stream_proof_end (GgStreamProof *self);

/** Returns the engine that serves a layer range (0 to 2) of the answer. */
uint32_t gg_stream_proof_get_engine (GgStreamProof *self, uint32_t range);

/** Sends a signal to the engine that serves a layer range, or to its relay. */
void gg_stream_proof_signal_engine (GgStreamProof *self, uint32_t range, int number);
void gg_stream_proof_signal_relay (GgStreamProof *self, uint32_t range, int number);

/** Sends fault controls to the engine that serves a layer range. */
void gg_stream_proof_control_engine (GgStreamProof *self, uint32_t range, const char *json);

/** Waits until the engine answers load requests; fails the case after 5 s. */
void gg_stream_proof_wait_engine (GgStreamProof *self, uint32_t engine);
